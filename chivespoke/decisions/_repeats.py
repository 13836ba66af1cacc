"""Repetition of a call to the store whose earlier tries may still be answered.

The load pattern is a store whose queue is longer than the timeout of a call.
A caller that abandons a try there gives up its place in the queue and joins
the end of it again. It never gets an answer, and each of its tries makes the
queue longer. Earlier tries therefore stay open while further ones are sent;
the first answer of any of them counts. The intervals are still short, because
a try over a dead connection is never answered.

Only calls that take effect once however often they are received may be
repeated in this way.
"""

from chivespoke.decisions import _timeout

# Time for which a try stays open. The store lets a call wait for 2 s before it
# turns further ones away, and a slow store takes 0.4 s to receive a call and
# as long to answer it.
OPEN_TRY_SECONDS = 3.0
# Every open try occupies a connection of the process's pool.
MAX_OPEN_TRIES = 6
# Size in bytes of all open tries of a call together: what the slowest link on
# which a large request succeeds carries in half a second. A larger request
# has one open try, because several would slow each other down.
MAX_OPEN_BYTES = _timeout.MIN_BYTES_PER_SECOND // 2
# Pause before the call is repeated after its latest try has failed.
FAILED_TRY_PAUSE_SECONDS = 0.1


class RepeatSchedule:
    """Decide when to send the tries of one call and which stay open.

    All times are monotonic seconds.
    """

    __slots__ = (
        '_timeout',
        '_size_bytes',
        '_due_at',
        '_tries',
        '_is_unanswered',
    )

    def __init__(
        self, timeout: _timeout.AdaptiveTimeout, size_bytes: int, now: float
    ) -> None:
        # Shared with the other calls to the store.
        self._timeout = timeout
        self._size_bytes = size_bytes
        self._due_at = now
        self._tries = 0
        # The latest try has neither been answered nor failed.
        self._is_unanswered = False

    @property
    def tries(self) -> int:
        """Return the number of tries that were sent."""
        return self._tries

    @property
    def due_at(self) -> float:
        """Return the time at which the next try is due."""
        return self._due_at

    @property
    def open_seconds(self) -> float:
        """Return for how many seconds a try stays open."""
        transfer = self._size_bytes / _timeout.MIN_BYTES_PER_SECOND
        return max(OPEN_TRY_SECONDS, self._timeout.seconds) + transfer

    @property
    def max_open_tries(self) -> int:
        """Return the number of tries that may be open at the same time."""
        if not self._size_bytes:
            return MAX_OPEN_TRIES
        return max(1, min(MAX_OPEN_TRIES, MAX_OPEN_BYTES // self._size_bytes))

    def record_send(self, now: float) -> None:
        """Record that a try is sent; the next one is due a timeout later."""
        if self._is_unanswered:
            self._timeout.record_timeout()
        self._tries += 1
        self._is_unanswered = True
        self._due_at = now + self._timeout.compute_for_request(
            self._size_bytes
        )

    def record_failure(self, now: float, may_take_effect: bool) -> None:
        """Record that the latest try has failed; it is soon repeated."""
        if may_take_effect:
            self._timeout.record_timeout()
        self._is_unanswered = False
        self._due_at = now + FAILED_TRY_PAUSE_SECONDS
