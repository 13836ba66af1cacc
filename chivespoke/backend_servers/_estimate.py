"""Estimate of run times, from which queue waits are predicted."""

import collections.abc

# Weight of the newest run in the exponential moving averages.
SMOOTHING_FACTOR = 0.05
# Distance of the upper bound from the mean run time, in mean deviations.
UPPER_BOUND_DEVIATIONS = 2.0


class RunTimeEstimate:
    """Average run times and their deviation from the mean, in seconds."""

    __slots__ = ('mean_seconds', 'deviation_seconds', '_has_samples')

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.deviation_seconds = 0.0
        self._has_samples = False

    def observe(self, seconds: float) -> None:
        """Update the averages with one run time."""
        if not self._has_samples:
            self._has_samples = True
            self.mean_seconds = seconds
            self.deviation_seconds = seconds / 4
            return
        self.deviation_seconds += SMOOTHING_FACTOR * (
            abs(seconds - self.mean_seconds) - self.deviation_seconds
        )
        self.mean_seconds += SMOOTHING_FACTOR * (seconds - self.mean_seconds)

    @property
    def upper_bound_seconds(self) -> float:
        """Return a run time that few runs exceed."""
        return (
            self.mean_seconds + UPPER_BOUND_DEVIATIONS * self.deviation_seconds
        )

    def predict_wait(
        self,
        queued_ahead: int,
        slots: int,
        elapsed: collections.abc.Collection[float],
    ) -> float:
        """Return an upper estimate of the wait in the queue, in seconds.

        queued_ahead is the number of requests ahead in the queue; elapsed
        holds the seconds since each running request started.
        """
        # If the running requests already exceed the estimate, the server has
        # become slow.
        mean_elapsed = sum(elapsed) / len(elapsed) if elapsed else 0.0
        return (
            max(self.upper_bound_seconds, mean_elapsed)
            * (queued_ahead + 1)
            / slots
        )
