"""Detection of stalled runs.

On a faulty worker a task may make no progress although it is listed as running
and appears to use its processor time. A run is stalled if its progress has not
changed while its processor time should have advanced it by several percent;
its task is then restarted on another worker.
"""

# Minimum expected but missing progress of a stalled run. Estimated durations
# are wrong by up to 90%.
MIN_SHORTFALL_PERCENT = 5.0
# Minimum time without progress of a stalled run: three observations, so that a
# single wrong reading has no effect.
MIN_STALL_SECONDS = 1.2
COMPLETE_PERCENT = 100.0


class StallDetector:
    """Compare the progress of a run with its use of processor time."""

    __slots__ = (
        '_progress',
        '_unchanged_since',
        '_observed_at',
        '_expected_percent',
    )

    def __init__(self, now: float) -> None:
        self._progress = -1.0
        self._unchanged_since = now
        self._observed_at = now
        # Progress expected since the last change, from processor time used.
        self._expected_percent = 0.0

    def skip(self, now: float) -> None:
        """Exclude the time since the last observation from stall detection."""
        self._unchanged_since += now - self._observed_at
        self._observed_at = now

    def observe(
        self,
        progress: float,
        cpu_share: float,
        estimated_seconds: float,
        now: float,
    ) -> bool:
        """Record an observation; return whether the run is stalled.

        `progress` is in percent; `cpu_share` is the used share of the
        processor time that the run requested, from 0 to 1.
        """
        elapsed = now - self._observed_at
        self._observed_at = now
        if progress != self._progress:
            self._progress = progress
            self._unchanged_since = now
            self._expected_percent = 0.0
            return False
        if progress >= COMPLETE_PERCENT or estimated_seconds <= 0:
            return False
        self._expected_percent += (
            COMPLETE_PERCENT * elapsed * cpu_share / estimated_seconds
        )
        return (
            self._expected_percent >= MIN_SHORTFALL_PERCENT
            and now - self._unchanged_since >= MIN_STALL_SECONDS
        )
