"""What a sidecar knows of its worker's leases; no input or output."""

# Each renewal sets the end of the leases this far ahead, so that a machine may
# stall for up to 3.5 s without its runs ending.
LEASE_SECONDS = 5.0
# The same for a worker that is about to leave: its runs start again elsewhere
# only once the leases have expired.
DRAINING_LEASE_SECONDS = 2.0
# Share of the worker's longest lease that is requested at most.
MAX_LEASE_SHARE = 0.9
# Largest share by which the worker's clock may run slow, plus a margin for
# rounding.
CLOCK_DRIFT_SHARE = 0.03


class WorkerLeases:
    """Compute the ends of leases, and tell whether all have expired.

    Ends of leases are readings of the worker's clock in milliseconds; now is
    the monotonic time in seconds.
    """

    __slots__ = (
        'sent_ms',
        '_own_end_ms',
        '_others_end_ms',
        'clock_ms',
        '_max_lease_seconds',
        '_limit_ms',
        '_read_at',
    )

    def __init__(self, max_lease_seconds: float) -> None:
        # The latest end that was requested.
        self.sent_ms = 0
        # The latest end of the leases that this process requested since the
        # first reading, and of those that earlier processes may have.
        self._own_end_ms = 0
        self._others_end_ms = 0
        # The last reading of the worker's clock, and when it was received.
        self.clock_ms = 0
        self._read_at: float | None = None
        self._max_lease_seconds = max_lease_seconds
        # The latest end that the leader allows.
        self._limit_ms = 0

    @property
    def end_ms(self) -> int:
        """Return the latest end that any lease may have."""
        return max(self._own_end_ms, self._others_end_ms)

    def measure_reading_age(self, now: float) -> float:
        """Return the age of the last reading in seconds."""
        return 0.0 if self._read_at is None else now - self._read_at

    def record_reading(self, clock_ms: int, received_at: float) -> None:
        """Record a reading of the worker's clock."""
        if self._read_at is None:
            # Others may have renewed the leases, and the worker shortens any
            # lease to its longest.
            self._own_end_ms = 0
            self._others_end_ms = clock_ms + int(
                self._max_lease_seconds * 1000
            )
        self.clock_ms = clock_ms
        self._read_at = received_at

    def record_restart(self, clock_ms: int, received_at: float) -> None:
        """Record a reading on a worker whose leases are not known."""
        self._read_at = None
        self.record_reading(clock_ms, received_at)

    def bound_others(self, granted_until_ms: int) -> None:
        """Expect no lease of earlier processes beyond a reading."""
        self._others_end_ms = min(self._others_end_ms, granted_until_ms)

    def raise_limit(self, limit_ms: int) -> None:
        """Allow leases up to a reading of the worker's clock."""
        self._limit_ms = max(self._limit_ms, limit_ms)

    def extend(
        self, now: float, lease_seconds: float = LEASE_SECONDS
    ) -> int | None:
        """Advance the end of the leases and return it, None if unchanged."""
        if self._read_at is None or not self._limit_ms:
            return None
        lease_seconds = min(
            lease_seconds, MAX_LEASE_SHARE * self._max_lease_seconds
        )
        desired_ms = self.clock_ms + int(
            (now - self._read_at + lease_seconds) * 1000
        )
        extended_ms = min(desired_ms, self._limit_ms)
        if extended_ms <= self.sent_ms:
            return None
        self.sent_ms = self._own_end_ms = extended_ms
        return extended_ms

    def is_past(self, end_ms: int, now: float) -> bool:
        """Return whether the worker's clock has probably passed a reading."""
        if self._read_at is None:
            return False
        return self.clock_ms + (now - self._read_at) * 1000 > end_ms

    def have_expired(self, now: float) -> bool:
        """Return whether all leases have certainly expired."""
        if self._read_at is None:
            return False
        earliest_clock_ms = self.clock_ms + (now - self._read_at) * 1000 * (
            1 - CLOCK_DRIFT_SHARE
        )
        return earliest_clock_ms > self.end_ms
