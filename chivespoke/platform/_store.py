"""The client of the platform's log store."""

import base64
import struct
import typing
import urllib.parse

import msgspec

from chivespoke import errors
from chivespoke.platform import _transport

# Prefix of topics of which the store keeps the newest record of each key.
KEYED_PREFIX = 'keyed.'
LENGTH = struct.Struct('>I')
OFFSETS = struct.Struct('>QQ')
# An answer takes about 5 ms; a slow store was seen to take sixty times that.
CALL_SECONDS = 1.0
DONE = 200
GONE = 410
FENCED = 409
CONDITION_FAILED = 412
Body = typing.TypeVar('Body')


class FencedError(errors.RefusedError):
    """Report an append by a producer that a later one has replaced."""


class ConditionFailedError(errors.RefusedError):
    """Report an append whose condition on the end of the log failed."""


class TruncatedError(errors.RefusedError):
    """Report a read of records that the store no longer holds."""


class Record(msgspec.Struct, frozen=True):
    """Hold one record of a keyed topic; no value means the key is dropped."""

    offset: int
    key: str
    value: bytes


class Page(msgspec.Struct, frozen=True):
    """Hold records in order and the offset to go on from."""

    records: tuple[Record, ...]
    next_offset: int


class Producer(msgspec.Struct, frozen=True):
    """Name the only writer that the store is to take records from."""

    name: str
    epoch: int
    sequence: int


class Membership(msgspec.Struct, frozen=True):
    """Hold what a group assigns to one of its members."""

    generation: int
    partitions: frozenset[int]


class _Appended(msgspec.Struct):
    offset: int
    end_offset: int


class _Refusal(msgspec.Struct):
    reason: str = ''


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_NewestItem]
    end_offset: int
    has_more: bool = False


class _Joined(msgspec.Struct):
    generation: int
    # Topic, partition and committed offset.
    parts: list[tuple[str, int, int]]


def encode_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic as it is appended."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return LENGTH.pack(len(content)) + content


def decode_records(body: bytes, first: int) -> tuple[Record, ...]:
    """Return the records that a body holds from its start."""
    records: list[Record] = []
    position = 0
    while position + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + size]
        position += size
        records.append(_decode_content(content, first + len(records)))
    return tuple(records)


def _decode_content(content: bytes, offset: int) -> Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode(errors='replace')
    return Record(offset, key, content[1 + size :])


class Store:
    """Append to, read from and share out the topics of the store."""

    __slots__ = ('_calls', '_reads')

    def __init__(
        self, calls: _transport.Transport, reads: _transport.Transport
    ) -> None:
        self._calls = calls
        # Reads that wait keep their connections busy, so they have their own.
        self._reads = reads

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: Producer | None = None,
        timeout_seconds: float = CALL_SECONDS,
        partition: int = 0,
    ) -> int:
        """Append encoded records and return the partition's new end.

        Raise FencedError, RefusedError if nothing was done, and
        UnavailableError if the records may have been or may yet be appended.
        """
        query: dict[str, str | int] = {'topic': topic, 'part': partition}
        if producer is not None:
            query |= {
                'producer_id': producer.name,
                'epoch': producer.epoch,
                'sequence': producer.sequence,
            }
        answer = await self._calls.call(
            'append',
            'POST',
            f'/log-append?{urllib.parse.urlencode(query)}',
            records,
            timeout_seconds,
        )
        if answer.status == DONE:
            return self._decode(answer, _Appended, 'append').end_offset
        self._refuse('append', answer)

    async def read(
        self,
        topic: str,
        start: int,
        wait_seconds: float,
        partition: int = 0,
    ) -> Page:
        """Wait for records from an offset on; raise TruncatedError."""
        query = urllib.parse.urlencode(
            {
                'topic': topic,
                'part': partition,
                'from': start,
                'wait_ms': int(wait_seconds * 1000),
            }
        )
        answer = await self._reads.call(
            'read',
            'GET',
            f'/log-read?{query}',
            timeout_seconds=wait_seconds + CALL_SECONDS,
        )
        if answer.status != DONE:
            self._refuse('read', answer)
        if len(answer.body) < OFFSETS.size:
            return Page((), start)
        records = decode_records(answer.body[OFFSETS.size :], start)
        return Page(records, start + len(records))

    async def read_newest(self, topic: str, partition: int = 0) -> Page:
        """Return the newest record of each key.

        The pages of the store are no snapshot: going on from the first
        page's end replays whatever changed while they were read.
        """
        records: list[Record] = []
        end: int | None = None
        after = ''
        while True:
            query = {'topic': topic, 'part': str(partition)}
            if after:
                # The store's name for "go on behind this key".
                query['depends_on'] = after
            answer = await self._reads.call(
                'read newest',
                'GET',
                f'/log-newest?{urllib.parse.urlencode(query)}',
                timeout_seconds=CALL_SECONDS,
            )
            if answer.status != DONE:
                self._refuse('read newest', answer)
            page = self._decode(answer, _Newest, 'read newest')
            end = page.end_offset if end is None else end
            records += [
                Record(item.offset, item.key, base64.b64decode(item.value))
                for item in page.items
            ]
            if not page.has_more or not page.items:
                return Page(tuple(records), end)
            after = page.items[-1].key

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
    ) -> Membership:
        """Join a group, or stay in it, and return this member's part."""
        body = {
            'group': group,
            'member_id': member,
            'topics': [topic],
            'ttl_ms': int(ttl_seconds * 1000),
            'generation': generation,
        }
        answer = await self._post('join group', '/log-join', body)
        joined = self._decode(answer, _Joined, 'join group')
        return Membership(
            joined.generation,
            frozenset(part for name, part, _ in joined.parts if name == topic),
        )

    async def leave(self, group: str, member: str) -> None:
        """Give up everything that a group has assigned to a member."""
        body = {'group': group, 'member_id': member}
        await self._post('leave group', '/log-leave', body)

    async def _post(
        self, step: str, path: str, body: typing.Mapping[str, object]
    ) -> _transport.Answer:
        answer = await self._calls.call(
            step,
            'POST',
            path,
            msgspec.json.encode(body),
            CALL_SECONDS,
            _transport.JSON_HEADERS,
        )
        if answer.status != DONE:
            self._refuse(step, answer)
        return answer

    def _decode(
        self, answer: _transport.Answer, expected: type[Body], step: str
    ) -> Body:
        try:
            return msgspec.json.decode(answer.body, type=expected)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                step, self._calls.peer, f'unreadable answer: {error}'
            ) from error

    def _refuse(self, step: str, answer: _transport.Answer) -> typing.NoReturn:
        detail = f'status {answer.status}: {answer.body[:200]!r}'
        if answer.status == GONE:
            raise TruncatedError(step, self._calls.peer, detail)
        if answer.status == CONDITION_FAILED:
            raise ConditionFailedError(step, self._calls.peer, detail)
        if answer.status == FENCED and _read_reason(answer.body) == 'fenced':
            raise FencedError(step, self._calls.peer, detail)
        raise errors.RefusedError(step, self._calls.peer, detail)


def _read_reason(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_Refusal).reason
    except msgspec.MsgspecError:
        return ''
