"""An estimate of run times, for predicting waits."""

import collections.abc

# Weight of the newest run.
GAIN = 0.05
# Deviations above the mean that a careful prediction takes.
CAREFUL_DEVIATIONS = 2.0


class RunTimeEstimate:
    """Follow the mean and the mean deviation of run times, in seconds."""

    __slots__ = ('mean', 'deviation', '_known')

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self._known = False

    def observe(self, seconds: float) -> None:
        """Take in one run."""
        if not self._known:
            self._known = True
            self.mean = seconds
            self.deviation = seconds / 4
            return
        self.deviation += GAIN * (abs(seconds - self.mean) - self.deviation)
        self.mean += GAIN * (seconds - self.mean)

    @property
    def careful(self) -> float:
        """Return a run time that few runs exceed."""
        return self.mean + CAREFUL_DEVIATIONS * self.deviation

    def predict_wait(
        self,
        ahead: int,
        slots: int,
        elapsed: collections.abc.Collection[float],
    ) -> float:
        """Predict carefully the wait behind others, given running times."""
        # Runs that already took longer than usual tell of a slow server.
        slowest = sum(elapsed) / len(elapsed) if elapsed else 0.0
        return max(self.careful, slowest) * (ahead + 1) / slots
