"""What a sidecar remembers of the requests that carry a key."""

import collections
import enum

import msgspec

from chivespoke.backend_servers import _messages
from chivespoke import entries
from chivespoke import errors

# Seconds after its end for which a key is remembered.
KEY_WINDOW = 120.0
KEY_LIMIT = 200_000
ANSWER_BYTES_LIMIT = 64 * 1024 * 1024
# Only the end of a larger answer is remembered, not the answer.
LARGEST_ANSWER = 1024 * 1024
NOT_KEPT = 'ran before; its answer is no longer kept'


class KeyState(enum.Enum):
    """Name the states of a remembered key."""

    RUNNING = 'running'
    ENDED = 'ended'


class Joiner(msgspec.Struct, frozen=True):
    """Name an attempt that waits for another's end."""

    peer: entries.Peer
    sequence: int


class KeyRecord:
    """Follow one key from its first dispatch to the end of the window."""

    __slots__ = ('key', 'state', 'reply', 'expires_at', 'joiners')

    def __init__(self, key: str) -> None:
        self.key = key
        self.state = KeyState.RUNNING
        self.reply: _messages.Reply | None = None
        self.expires_at = float('inf')
        self.joiners: list[Joiner] = []


class KeyTable:
    """Remember keys for a window, bounded by count and by bytes.

    No key is forgotten early: when the table is full new ones are refused.
    Answers may be forgotten early: a repeat is then told "unknown".
    """

    __slots__ = ('_records', '_ended', '_window', '_limit', '_bytes', 'runs')

    def __init__(
        self, window: float = KEY_WINDOW, limit: int = KEY_LIMIT
    ) -> None:
        self._records: dict[str, KeyRecord] = {}
        # In the order in which they expire.
        self._ended: collections.deque[KeyRecord] = collections.deque()
        self._window = window
        self._limit = limit
        self._bytes = 0
        self.runs = 0

    def find(self, key: str, now: float) -> KeyRecord | None:
        """Return what is remembered of a key."""
        self._expire(now)
        return self._records.get(key)

    def is_full(self) -> bool:
        """Tell whether no more keys can be remembered."""
        return len(self._records) >= self._limit

    def open(self, key: str, now: float) -> KeyRecord:
        """Begin a key's only run."""
        self._expire(now)
        errors.check_invariant(
            key not in self._records, 'one run for each key', 'key table', key
        )
        record = KeyRecord(key)
        self._records[key] = record
        self.runs += 1
        return record

    def close(
        self, record: KeyRecord, reply: _messages.Reply, now: float
    ) -> list[Joiner]:
        """Note the end of a run and return who waits for it."""
        errors.check_invariant(
            record.state is KeyState.RUNNING, 'a run ends once', 'key table'
        )
        joiners, record.joiners = record.joiners, []
        if reply.outcome is _messages.Outcome.NOT_RUN:
            del self._records[record.key]
            self.runs -= 1
            return joiners
        record.state = KeyState.ENDED
        record.reply = _shorten(reply)
        record.expires_at = now + self._window
        self._ended.append(record)
        self._bytes += len(record.reply.body)
        self._shed_answers()
        return joiners

    def list_completed(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return every remembered key and the seconds it has left."""
        self._expire(now)
        return tuple(
            (record.key, record.expires_at - now) for record in self._ended
        )

    def _expire(self, now: float) -> None:
        while self._ended and self._ended[0].expires_at <= now:
            record = self._ended.popleft()
            del self._records[record.key]
            self._forget_answer(record)

    def _shed_answers(self) -> None:
        for record in self._ended:
            if self._bytes <= ANSWER_BYTES_LIMIT:
                return
            self._forget_answer(record)

    def _forget_answer(self, record: KeyRecord) -> None:
        if record.reply is not None and record.reply.body:
            self._bytes -= len(record.reply.body)
            record.reply = _messages.Reply(
                0, _messages.Outcome.UNKNOWN, NOT_KEPT
            )


def _shorten(reply: _messages.Reply) -> _messages.Reply:
    if len(reply.body) <= LARGEST_ANSWER:
        return reply
    return _messages.Reply(0, _messages.Outcome.UNKNOWN, NOT_KEPT)
