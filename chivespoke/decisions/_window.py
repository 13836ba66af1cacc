"""A limit on the bytes that are sent and not answered yet.

Senders that share a slow link would otherwise queue more than it carries, and
repeat messages that are still in the queue. Like the window of TCP, the limit
adapts the rate to the link, because answers make room for further messages.
"""


class SendWindow:
    """Limit the total size of the unanswered messages."""

    __slots__ = ('_limit_bytes', '_timeout_seconds', '_pending', '_size')

    def __init__(self, limit_bytes: int, timeout_seconds: float) -> None:
        self._limit_bytes = limit_bytes
        # Time after which a message without an answer counts as lost.
        self._timeout_seconds = timeout_seconds
        # Time of sending and size by key, in the order of sending.
        self._pending: dict[str, tuple[float, int]] = {}
        self._size = 0

    def admit(self, key: str, size: int, now: float) -> bool:
        """Return whether a message of a size in bytes may be sent now.

        A message larger than the limit is sent when no other is unanswered.
        """
        self._drop_lost(now)
        self.release(key)
        if self._pending and self._size + size > self._limit_bytes:
            return False
        self._pending[key] = (now, size)
        self._size += size
        return True

    def release(self, key: str) -> None:
        """Make room after the answer to a message."""
        _, size = self._pending.pop(key, (0.0, 0))
        self._size -= size

    def _drop_lost(self, now: float) -> None:
        while self._pending:
            key, (sent_at, _) = next(iter(self._pending.items()))
            if now < sent_at + self._timeout_seconds:
                return
            self.release(key)
