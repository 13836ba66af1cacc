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


class Conduct:
    """Judge one worker by how its runs end."""

    __slots__ = ('_failures', '_paused_until')

    def __init__(self) -> None:
        self._failures = 0
        self._paused_until = 0.0

    def note_success(self) -> None:
        """Clear the worker."""
        self._failures = 0

    def note_failure(self, now: float) -> bool:
        """Count a failure, and tell whether it marks the worker."""
        self._failures += 1
        if self._failures < FAILURES:
            return False
        self._paused_until = now + PAUSE_SECONDS
        return True

    def note_stall(self, now: float) -> None:
        """Mark the worker: runs stand still on it."""
        self._failures = max(self._failures, FAILURES)
        self._paused_until = now + PAUSE_SECONDS

    def allows(self, now: float, running: int) -> bool:
        """Tell whether the worker may be given another task."""
        if self._failures < FAILURES:
            return True
        return now >= self._paused_until and running == 0
