"""Which workers fail what they are given.

Answers workers that report themselves healthy and fail every task, or on which
tasks stand still: after a few failures with no success between them a worker
is left out, and is tried with one task at a time when its probation begins.
"""

# Failures in a row that mark a worker: a sound one, at one failure in twenty,
# shows that many in a row once in eight thousand tasks.
FAILURES = 3
# Seconds for which a marked worker gets nothing; faults were seen to last for
# three to seven seconds.
PAUSE_SECONDS = 3.0


# A trial that has not failed or stood still for so long, in seconds, shows a
# sound worker: failures came within 0.1 s, and a stall shows after 1.2 s.
TRIAL_SECONDS = 2.0


class WorkerQuarantine:
    """Judge one worker by how its runs end."""

    __slots__ = ('_failures', '_paused_until', '_trial_at')

    def __init__(self) -> None:
        self._failures = 0
        self._paused_until = 0.0
        # When the one task of the probation was given, None if none was.
        self._trial_at: float | None = None

    @property
    def is_quarantined(self) -> bool:
        """Tell whether the worker is marked."""
        return self._failures >= FAILURES

    def record_success(self) -> None:
        """Clear the worker."""
        self._failures = 0
        self._trial_at = None

    def record_failure(self, now: float) -> bool:
        """Count a failure, and tell whether it marks the worker."""
        self._failures += 1
        self._trial_at = None
        if not self.is_quarantined:
            return False
        self._paused_until = now + PAUSE_SECONDS
        return True

    def record_stall(self, now: float) -> None:
        """Mark the worker: runs stand still on it."""
        self._failures = max(self._failures, FAILURES)
        self._trial_at = None
        self._paused_until = now + PAUSE_SECONDS

    def record_probe(self, now: float) -> None:
        """Note that a marked worker is given a task."""
        self._trial_at = now

    def allows_task(self, now: float) -> bool:
        """Tell whether the worker may be given another task."""
        if not self.is_quarantined:
            return True
        if self._trial_at is None:
            return now >= self._paused_until
        if now >= self._trial_at + TRIAL_SECONDS:
            self.record_success()
            return True
        return False
