"""Quarantine of workers on which tasks fail or stall.

A worker may report itself healthy and still fail every task, or its tasks may
make no progress. After several consecutive failures, or one stall, it is
quarantined and gets no tasks. When the quarantine ends, the worker is on
probation and gets one task at a time as a probe, like a half-open circuit
breaker.
"""

# Consecutive failures that quarantine a worker. A healthy worker with a
# failure rate of 1 in 20 fails this often in a row once in 8,000 tasks.
QUARANTINE_FAILURES = 3
# Duration of the quarantine; worker faults last 3 to 7 s.
QUARANTINE_SECONDS = 3.0
# A probe that has neither failed nor stalled for this time clears the worker:
# failures occur within 0.1 s, and a stall is detected after 1.2 s.
PROBE_SECONDS = 2.0


class WorkerQuarantine:
    """Quarantine one worker according to the outcomes of its runs."""

    __slots__ = ('_failures', '_quarantined_until', '_probe_started_at')

    def __init__(self) -> None:
        self._failures = 0
        self._quarantined_until = 0.0
        # When the probe was assigned; None without a probe.
        self._probe_started_at: float | None = None

    @property
    def is_quarantined(self) -> bool:
        """Return whether the worker is in quarantine or on probation."""
        return self._failures >= QUARANTINE_FAILURES

    def record_success(self) -> None:
        """Reset the failure count, which ends quarantine and probation."""
        self._failures = 0
        self._probe_started_at = None

    def record_failure(self, now: float) -> bool:
        """Count a failure; return whether the worker is now quarantined."""
        self._failures += 1
        self._probe_started_at = None
        if not self.is_quarantined:
            return False
        self._quarantined_until = now + QUARANTINE_SECONDS
        return True

    def record_stall(self, now: float) -> None:
        """Quarantine the worker because a run on it has stalled."""
        self._failures = max(self._failures, QUARANTINE_FAILURES)
        self._probe_started_at = None
        self._quarantined_until = now + QUARANTINE_SECONDS

    def record_probe(self, now: float) -> None:
        """Record that a worker on probation was assigned a task."""
        self._probe_started_at = now

    def allows_task(self, now: float) -> bool:
        """Return whether the worker may be assigned another task.

        Clears the worker if its probe has lasted long enough.
        """
        if not self.is_quarantined:
            return True
        if self._probe_started_at is None:
            return now >= self._quarantined_until
        if now >= self._probe_started_at + PROBE_SECONDS:
            self.record_success()
            return True
        return False
