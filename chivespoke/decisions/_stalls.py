"""When a run stands still.

Answers workers on which tasks make no progress although they are listed as
running and seem to use their processor time: once a run should have advanced
by several percent and has not, its task is better begun elsewhere.
"""

# Percent of the work that must be missing: estimates are wrong by up to 90%.
MISSING_PERCENT = 5.0
# Shortest time without progress that counts, in seconds: three looks, so that
# one odd reading is none.
LEAST_SECONDS = 1.2
COMPLETE = 100.0


class StallDetector:
    """Compare the progress of a run with what its use should bring."""

    __slots__ = ('_progress', '_since', '_looked_at', '_expected')

    def __init__(self, now: float) -> None:
        self._progress = -1.0
        self._since = now
        self._looked_at = now
        # Percent that the use since the last progress should have brought.
        self._expected = 0.0

    def skip(self, now: float) -> None:
        """Leave out the time since the last look: nothing was seen."""
        self._since += now - self._looked_at
        self._looked_at = now

    def observe(
        self, progress: float, use: float, estimated_seconds: float, now: float
    ) -> bool:
        """Take in a look, and tell whether the run stands still.

        The use is the share of its processor time that the run got.
        """
        passed = now - self._looked_at
        self._looked_at = now
        if progress != self._progress:
            self._progress = progress
            self._since = now
            self._expected = 0.0
            return False
        if progress >= COMPLETE or estimated_seconds <= 0:
            return False
        self._expected += COMPLETE * passed * use / estimated_seconds
        return (
            self._expected >= MISSING_PERCENT
            and now - self._since >= LEAST_SECONDS
        )
