"""What a sidecar knows of its worker's leases; no input or output."""

import collections.abc
import contextlib

import msgspec

from chivespoke import coordination
from chivespoke import errors

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


class _Successor(msgspec.Struct):
    """Hold what is known of an incarnation that may have followed.

    Times are monotonic, in seconds.
    """

    # A reading of its clock, and when it was received.
    clock_ms: int
    read_at: float
    # When it answered last.
    answered_at: float
    # Highest token that it is known to have accepted.
    fence: int


class _OpenCall(msgspec.Struct, frozen=True):
    """Hold a call that requested a lease and has no answer."""

    # Monotonic time in seconds.
    sent_at: float
    fence: int


class WorkerLeases:
    """Compute the ends of leases, and tell whether all have expired.

    Ends of leases are readings of the worker's clock in milliseconds; now is
    the monotonic time in seconds.

    A bound on the leases holds for one incarnation of the worker. Another one
    under the same identifier has a clock that began anew, by which the leases
    requested for the incarnation before last as long as any may. Answers to
    polls name the incarnation; of other answers only the clock tells.
    """

    __slots__ = (
        'sent_ms',
        '_own_end_ms',
        '_others_end_ms',
        '_clock_ms',
        '_max_lease_seconds',
        '_limit_ms',
        '_read_at',
        '_polled_at',
        '_successor',
        '_open_calls',
    )

    def __init__(self, max_lease_seconds: float) -> None:
        # The latest end that was requested.
        self.sent_ms = 0
        # The latest end of the leases that this process requested since the
        # first reading, and of those that earlier processes may have.
        self._own_end_ms = 0
        self._others_end_ms = 0
        # The last reading of the worker's clock by a poll, when it was
        # received, and when the poll was sent.
        self._clock_ms = 0
        self._read_at: float | None = None
        self._polled_at = 0.0
        self._successor: _Successor | None = None
        self._open_calls: list[_OpenCall] = []
        self._max_lease_seconds = max_lease_seconds
        # The latest end that the leader allows.
        self._limit_ms = 0

    @property
    def has_successor(self) -> bool:
        """Return whether another incarnation may have followed."""
        return self._successor is not None

    @property
    def clock_ms(self) -> int:
        """Return the last reading of the worker's clock."""
        if self._successor is not None:
            return self._successor.clock_ms
        return self._clock_ms

    @property
    def end_ms(self) -> int:
        """Return the latest end that any lease may have."""
        if self._successor is not None:
            return self._compute_successor_end(self._successor)
        return max(self._own_end_ms, self._others_end_ms)

    def _compute_successor_end(self, successor: _Successor) -> int:
        """Return the latest end that a lease of a successor may have.

        Any call that requested a lease grants it the longest there is. Those
        without an answer may do so late, unless their token is lower than one
        that the successor has accepted.
        """
        executed_at = max(
            (
                call.sent_at + coordination.LATE_CALL_SECONDS
                for call in self._open_calls
                if call.fence >= successor.fence
            ),
            default=successor.answered_at,
        )
        granted_seconds = (
            max(executed_at, successor.answered_at)
            - successor.read_at
            + self._max_lease_seconds
        )
        return successor.clock_ms + int(granted_seconds * 1000)

    def measure_reading_age(self, now: float) -> float:
        """Return the age of the last reading in seconds."""
        read_at = self._find_reading_time()
        return 0.0 if read_at is None else now - read_at

    def _find_reading_time(self) -> float | None:
        if self._successor is not None:
            return self._successor.read_at
        return self._read_at

    @contextlib.contextmanager
    def record_call(
        self, now: float, fence: int
    ) -> collections.abc.Iterator[None]:
        """Record a call that requests a lease as open until it is answered.

        Without an answer it may be executed late, by a later incarnation.
        """
        self._open_calls = [
            call
            for call in self._open_calls
            if now
            < call.sent_at
            + coordination.LATE_CALL_SECONDS
            + self._max_lease_seconds
        ]
        call = _OpenCall(now, fence)
        self._open_calls.append(call)
        is_over = False
        try:
            yield
            is_over = True
        except errors.RefusedError:
            is_over = True
            raise
        finally:
            if is_over and call in self._open_calls:
                self._open_calls.remove(call)

    def record_reading(
        self, clock_ms: int, sent_at: float, received_at: float
    ) -> None:
        """Record the clock by a poll that this incarnation has answered."""
        if self._successor is not None:
            if sent_at <= self._successor.read_at:
                # Answers on other connections may have overtaken this one.
                return
            # Nothing has followed this incarnation.
            self._successor = None
        if self._read_at is None:
            # Others may have renewed the leases, and the worker shortens any
            # lease to its longest.
            self._own_end_ms = 0
            self._others_end_ms = clock_ms + int(
                self._max_lease_seconds * 1000
            )
        self._clock_ms = clock_ms
        self._read_at = received_at
        self._polled_at = sent_at

    def record_answer(
        self, clock_ms: int, received_at: float, fence: int
    ) -> bool:
        """Return whether an answer reveals that an incarnation has followed.

        The answer names no incarnation. One that followed began after the last
        poll that this one answered was sent, which bounds the reading of its
        clock. fence is the token that the worker has accepted with the call, 0
        if it may not have.
        """
        if self._successor is not None:
            self._successor.answered_at = received_at
            self._successor.fence = max(self._successor.fence, fence)
            return False
        if self._read_at is None:
            return False
        longest_age = (received_at - self._polled_at) * (1 + CLOCK_DRIFT_SHARE)
        if clock_ms > longest_age * 1000:
            return False
        self.record_successor(clock_ms, received_at, fence)
        return True

    def record_successor(
        self, clock_ms: int, received_at: float, fence: int
    ) -> None:
        """Record a reading of the clock of an incarnation that followed."""
        self._successor = _Successor(clock_ms, received_at, received_at, fence)

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
        if (
            self._read_at is None
            or self._successor is not None
            or not self._limit_ms
        ):
            return None
        lease_seconds = min(
            lease_seconds, MAX_LEASE_SHARE * self._max_lease_seconds
        )
        desired_ms = self._clock_ms + int(
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
        return self._clock_ms + (now - self._read_at) * 1000 > end_ms

    def have_expired(self, now: float) -> bool:
        """Return whether all leases have certainly expired."""
        read_at = self._find_reading_time()
        if read_at is None:
            return False
        earliest_clock_ms = self.clock_ms + (now - read_at) * 1000 * (
            1 - CLOCK_DRIFT_SHARE
        )
        return earliest_clock_ms > self.end_ms
