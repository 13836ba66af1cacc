"""Moves of runs to workers on which they finish earlier.

A filler that pacing holds down beside a serving task, or that shares a worker
with too many others, keeps a whole step waiting although other workers have
processor time to spare. Such a run is stopped, and its task starts again
elsewhere, if the gain is well above the cost of the restart.
"""

import msgspec

# Time that a run must be observed for, so that a short burst of a serving
# task's load does not move it, and a moved run has time to show its speed.
MIN_OBSERVED_SECONDS = 2.0
# Time constant of the average of a run's speed.
SPEED_AVERAGE_SECONDS = 1.5
# Time to stop a run, record its task again and restore its checkpoint.
RESTART_SECONDS = 1.5
# A move must shorten the remaining time by this factor and by this time.
# Estimates of the remaining time are rough, and two workers of similar speed
# would otherwise exchange runs.
MIN_GAIN_FACTOR = 1.5
MIN_GAIN_SECONDS = 2.0
# Speed below which the remaining time no longer distinguishes runs.
MIN_SPEED = 0.01
# Speed below which a run counts as held down. A run that pacing lets work for
# one interval in ten is still below it.
HELD_SPEED = 0.1
# The same as a pace, in percent of full speed.
HELD_PACE_PERCENT = int(100 * HELD_SPEED)
# Time for which a pace must have held a run down. An objective is 1.5 to 2
# times the work of a few seconds, so that a run cannot wait for much longer
# and still be in time after a restart; a shorter dip of the pace passes.
HELD_PACE_SECONDS = 1.0
# Progress from which a run's own speed replaces the submitter's estimate,
# which may be wrong by 90%.
MIN_PROGRESS_PERCENT = 5.0
COMPLETE_PERCENT = 100.0


class RunForecast(msgspec.Struct, frozen=True):
    """Hold the expected rest of a run."""

    # Time until the end at full speed.
    work_seconds: float
    # Current speed as a share of full speed.
    speed: float
    # Work at full speed that a restart repeats.
    repeated_seconds: float

    @property
    def remaining_seconds(self) -> float:
        """Return the time until the end at the current speed."""
        return self.work_seconds / max(MIN_SPEED, self.speed)

    @property
    def is_held(self) -> bool:
        """Return whether the run makes hardly any progress."""
        return self.speed < HELD_SPEED


class SpeedTracker:
    """Track the speed of a run from its use of processor time."""

    __slots__ = (
        '_started_at',
        '_observed_at',
        '_first_progress',
        '_progress',
        '_worked_seconds',
        '_speed',
    )

    def __init__(self, now: float, progress: float) -> None:
        self._started_at = now
        self._observed_at = now
        self._first_progress = progress
        self._progress = progress
        # Time of work at full speed since the first observation.
        self._worked_seconds = 0.0
        self._speed = 1.0

    @property
    def work_seconds(self) -> float | None:
        """Return the expected work of the whole run at full speed.

        Return None if the run has not advanced enough while it was observed.
        """
        gained = self._progress - self._first_progress
        if gained < MIN_PROGRESS_PERCENT or not self._worked_seconds:
            return None
        return self._worked_seconds * COMPLETE_PERCENT / gained

    @property
    def speed(self) -> float:
        """Return the average speed as a share of full speed."""
        return self._speed

    def skip(self, now: float) -> None:
        """Exclude the time since the last observation."""
        self._started_at += now - self._observed_at
        self._observed_at = now

    def observe(self, progress: float, cpu_share: float, now: float) -> None:
        """Record an observation.

        `progress` is in percent; `cpu_share` is the used share of the
        processor time that the run requested, from 0 to 1.
        """
        elapsed = now - self._observed_at
        self._observed_at = now
        self._progress = progress
        self._worked_seconds += elapsed * cpu_share
        weight = min(1.0, elapsed / SPEED_AVERAGE_SECONDS)
        self._speed += weight * (cpu_share - self._speed)

    def forecast(
        self, estimated_seconds: float, checkpointing: bool, now: float
    ) -> RunForecast | None:
        """Return the expected rest of the run; None if it is not yet known."""
        if now < self._started_at + MIN_OBSERVED_SECONDS:
            return None
        return self._forecast(estimated_seconds, checkpointing, self._speed)

    def forecast_held(
        self,
        estimated_seconds: float,
        checkpointing: bool,
        pace: int,
        held_seconds: float,
    ) -> RunForecast | None:
        """Return the expected rest of a run that its pace holds down.

        `pace` is in percent of full speed and has been so low for
        `held_seconds`. Returns None if it does not hold the run down, or not
        for long enough. The speed need not be observed first.
        """
        if pace >= HELD_PACE_PERCENT or held_seconds < HELD_PACE_SECONDS:
            return None
        return self._forecast(
            estimated_seconds, checkpointing, pace / COMPLETE_PERCENT
        )

    def _forecast(
        self, estimated_seconds: float, checkpointing: bool, speed: float
    ) -> RunForecast:
        gained = self._progress - self._first_progress
        left = COMPLETE_PERCENT - self._progress
        work_seconds = estimated_seconds * left / COMPLETE_PERCENT
        if gained >= MIN_PROGRESS_PERCENT:
            work_seconds = self._worked_seconds * left / gained
        # A stop makes a checkpoint of the work so far.
        repeated_seconds = 0.0 if checkpointing else self._worked_seconds
        return RunForecast(work_seconds, speed, repeated_seconds)


def is_move_worthwhile(forecast: RunForecast, speed_elsewhere: float) -> bool:
    """Return whether a restart finishes a run much earlier.

    `speed_elsewhere` is the expected share of full speed after the move.
    """
    work_seconds = forecast.work_seconds + forecast.repeated_seconds
    seconds_elsewhere = RESTART_SECONDS + work_seconds / max(
        MIN_SPEED, speed_elsewhere
    )
    return forecast.remaining_seconds >= max(
        MIN_GAIN_FACTOR * seconds_elsewhere,
        seconds_elsewhere + MIN_GAIN_SECONDS,
    )
