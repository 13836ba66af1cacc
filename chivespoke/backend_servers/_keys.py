"""Table of the idempotency keys that a sidecar has run or is running."""

import collections
import enum

import msgspec

from chivespoke.backend_servers import _messages
from chivespoke import entries
from chivespoke import errors

# Time for which a key is kept after its run has ended.
KEY_RETENTION_SECONDS = 120.0
MAX_KEYS = 200_000
# Limit on the bodies of all stored replies together.
MAX_STORED_BYTES = 64 * 1024 * 1024
# If a body is larger, only the fact that the key has run is stored.
MAX_STORED_BODY_BYTES = 1024 * 1024
REPLY_NOT_KEPT = 'ran before; its answer is no longer kept'


class KeyState(enum.Enum):
    """List the states of a stored key."""

    RUNNING = 'running'
    ENDED = 'ended'


class Waiter(msgspec.Struct, frozen=True):
    """Hold an attempt that waits for another run of the same key."""

    peer: entries.Peer
    sequence: int


class KeyRecord:
    """Hold the state of a key from its first dispatch until it expires."""

    __slots__ = ('key', 'state', 'reply', 'expires_at', 'waiters')

    def __init__(self, key: str) -> None:
        self.key = key
        self.state = KeyState.RUNNING
        self.reply: _messages.Reply | None = None
        self.expires_at = float('inf')
        self.waiters: list[Waiter] = []


class KeyTable:
    """Store keys for a retention time, bounded by count and by bytes.

    Keys are never evicted early: new keys are refused if the table is full.
    Replies may be evicted early: repeats of their keys then get the outcome
    "unknown".
    """

    __slots__ = (
        '_records',
        '_completed',
        '_retention_seconds',
        '_max_keys',
        '_stored_bytes',
        'run_count',
    )

    def __init__(
        self,
        retention_seconds: float = KEY_RETENTION_SECONDS,
        max_keys: int = MAX_KEYS,
    ) -> None:
        self._records: dict[str, KeyRecord] = {}
        # Ordered by expiry.
        self._completed: collections.deque[KeyRecord] = collections.deque()
        self._retention_seconds = retention_seconds
        self._max_keys = max_keys
        self._stored_bytes = 0
        self.run_count = 0

    def find(self, key: str, now: float) -> KeyRecord | None:
        """Return the record of a key, or None if the key is unknown."""
        self._expire(now)
        return self._records.get(key)

    def is_full(self) -> bool:
        """Return whether the table has no space for another key."""
        return len(self._records) >= self._max_keys

    def start_run(self, key: str, now: float) -> KeyRecord:
        """Add a key whose run has been admitted; it must not be stored yet."""
        self._expire(now)
        errors.check_invariant(
            key not in self._records, 'one run for each key', 'key table', key
        )
        record = KeyRecord(key)
        self._records[key] = record
        self.run_count += 1
        return record

    def end_run(
        self, record: KeyRecord, reply: _messages.Reply, now: float
    ) -> list[Waiter]:
        """Store the result of a run and return the attempts waiting for it.

        A key that was not run is removed, so that it may be run later.
        """
        errors.check_invariant(
            record.state is KeyState.RUNNING, 'a run ends once', 'key table'
        )
        waiters, record.waiters = record.waiters, []
        if reply.outcome is _messages.Outcome.NOT_RUN:
            del self._records[record.key]
            self.run_count -= 1
            return waiters
        record.state = KeyState.ENDED
        record.reply = _drop_large_body(reply)
        record.expires_at = now + self._retention_seconds
        self._completed.append(record)
        self._stored_bytes += len(record.reply.body)
        self._evict_replies()
        return waiters

    def list_completed(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return each completed key with the seconds until it expires."""
        self._expire(now)
        return tuple(
            (record.key, record.expires_at - now) for record in self._completed
        )

    def _expire(self, now: float) -> None:
        while self._completed and self._completed[0].expires_at <= now:
            record = self._completed.popleft()
            del self._records[record.key]
            self._evict_reply(record)

    def _evict_replies(self) -> None:
        for record in self._completed:
            if self._stored_bytes <= MAX_STORED_BYTES:
                return
            self._evict_reply(record)

    def _evict_reply(self, record: KeyRecord) -> None:
        if record.reply is not None and record.reply.body:
            self._stored_bytes -= len(record.reply.body)
            record.reply = _messages.Reply(
                0, _messages.Outcome.UNKNOWN, REPLY_NOT_KEPT
            )


def _drop_large_body(reply: _messages.Reply) -> _messages.Reply:
    if len(reply.body) <= MAX_STORED_BODY_BYTES:
        return reply
    return _messages.Reply(0, _messages.Outcome.UNKNOWN, REPLY_NOT_KEPT)
