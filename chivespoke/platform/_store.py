"""The client of the platform's log store.

A topic consists of partitions, each of which is a log of records.
"""

import math
import struct
import typing
import urllib.parse

import msgspec

from chivespoke import decoding
from chivespoke import errors
from chivespoke.platform import _transport

# Prefix of compacted topics: the store keeps the newest record of each key.
KEYED_PREFIX = 'keyed.'
RECORD_LENGTH = struct.Struct('>I')
RECORD_HEADER_BYTES = RECORD_LENGTH.size
# End offset of the partition and its first available offset.
READ_HEADER = struct.Struct('>QQ')
# A call takes about 5 ms, and up to sixty times that when the store is slow.
CALL_TIMEOUT_SECONDS = 1.0
# Shortest time for which a read of the log may bring nothing, whether it waits
# for records or not: other answers share its link.
READ_TIMEOUT_SECONDS = 2.0
# Size of one answer with records of the log.
MAX_READ_BYTES = 1_048_576
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION_FAILED = 412
# Statuses of appends whose records the store does not take: invalid, or more
# than it stores at once.
RECORD_REFUSALS = frozenset((400, 413, 507))
Body = typing.TypeVar('Body')


class FencedError(errors.RefusedError):
    """Report an append by a producer with an outdated epoch."""


class ConditionFailedError(errors.RefusedError):
    """Report an append whose condition on the log's end offset failed."""


class RecordRefusedError(errors.RefusedError):
    """Report an append whose records the store does not take."""


class TruncatedError(errors.RefusedError):
    """Report a read at an offset that the store no longer holds."""


class Record(msgspec.Struct, frozen=True):
    """Hold one record of a compacted topic.

    An empty value is a tombstone, which removes the key.
    """

    offset: int
    key: str
    value: bytes


class Page(msgspec.Struct, frozen=True):
    """Hold records in order and the offset at which reading continues.

    The end offset is that of the partition, which lies beyond the page if the
    store has more records than it returns at once.
    """

    records: tuple[Record, ...]
    next_offset: int
    end_offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """Hold the newest records of some keys, in the order of the keys.

    The end offset is that of the partition at the time of the page.
    """

    records: tuple[Record, ...]
    end_offset: int
    is_last: bool


class Producer(msgspec.Struct, frozen=True):
    """Identify a producer and one of its appends.

    The store refuses epochs below the highest that it has received under the
    name. The sequence number makes a repeated append idempotent.
    """

    name: str
    epoch: int
    sequence: int


class Membership(msgspec.Struct, frozen=True):
    """Hold the partitions that a group assigns to one of its members."""

    generation: int
    partitions: frozenset[int]


class _AppendResponse(msgspec.Struct):
    offset: decoding.Amount
    end_offset: decoding.Amount


class _RefusalBody(msgspec.Struct):
    reason: str = ''


class _NewestRecord(msgspec.Struct):
    key: str
    # In base64.
    value: bytes
    offset: decoding.Amount


class _NewestResponse(msgspec.Struct):
    items: list[_NewestRecord]
    end_offset: decoding.Amount
    has_more: bool = False


class _JoinResponse(msgspec.Struct):
    generation: decoding.Amount
    # Topic, partition and committed offset.
    parts: list[tuple[str, decoding.Number, decoding.Number]]


APPEND_DECODER = msgspec.json.Decoder(_AppendResponse)
NEWEST_DECODER = msgspec.json.Decoder(_NewestResponse)
JOIN_DECODER = msgspec.json.Decoder(_JoinResponse)
REFUSAL_DECODER = msgspec.json.Decoder(_RefusalBody)


def encode_record(key: str, value: bytes) -> bytes:
    """Encode a record of a compacted topic; the key has up to 255 bytes."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return RECORD_LENGTH.pack(len(content)) + content


def decode_records(body: bytes, first_offset: int) -> tuple[Record, ...]:
    """Decode consecutive records, of which the first has first_offset."""
    records: list[Record] = []
    position = 0
    while position + RECORD_LENGTH.size <= len(body):
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + size]
        position += size
        records.append(_decode_record(content, first_offset + len(records)))
    return tuple(records)


def _decode_record(content: bytes, offset: int) -> Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode(errors='replace')
    return Record(offset, key, content[1 + size :])


class Store:
    """Append to topics, read them, and join the groups that share them."""

    __slots__ = ('_call_transport', '_read_transport')

    def __init__(
        self,
        call_transport: _transport.Transport,
        read_transport: _transport.Transport,
    ) -> None:
        self._call_transport = call_transport
        # Long polls occupy their connections, so reads use separate ones.
        self._read_transport = read_transport

    @property
    def answers(self) -> int:
        """Return the number of calls that the store has answered."""
        if self._call_transport is self._read_transport:
            return self._call_transport.answers
        return self._call_transport.answers + self._read_transport.answers

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: Producer | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        partition: int = 0,
    ) -> int:
        """Append encoded records and return the partition's new end offset.

        Raise FencedError if the producer was fenced, RefusedError if nothing
        was appended, RecordRefusedError if that is due to the records, and
        UnavailableError if the records may already be appended or may be
        appended later.
        """
        query: dict[str, str | int] = {'topic': topic, 'part': partition}
        if producer is not None:
            query |= {
                'producer_id': producer.name,
                'epoch': producer.epoch,
                'sequence': producer.sequence,
            }
        response = await self._call_transport.call(
            'append',
            'POST',
            f'/log-append?{urllib.parse.urlencode(query)}',
            records,
            timeout_seconds,
        )
        if response.status == OK:
            return self._decode(response, APPEND_DECODER, 'append').end_offset
        self._raise_refusal('append', response)

    async def read(
        self,
        topic: str,
        start: int,
        wait_seconds: float,
        partition: int = 0,
        max_bytes: int = MAX_READ_BYTES,
    ) -> Page:
        """Return records from an offset on; wait if there are none yet.

        The page is empty when the wait times out. Raise TruncatedError if the
        store no longer holds the offset.
        """
        query = urllib.parse.urlencode(
            {
                'topic': topic,
                'part': partition,
                'from': start,
                'wait_ms': round(wait_seconds * 1000),
                'max_kb': math.ceil(max_bytes / 1024),
            }
        )
        response = await self._read_transport.call(
            'read',
            'GET',
            f'/log-read?{query}',
            timeout_seconds=max(
                READ_TIMEOUT_SECONDS, wait_seconds + CALL_TIMEOUT_SECONDS
            ),
            idle_timeout=True,
        )
        if response.status != OK:
            self._raise_refusal('read', response)
        if len(response.body) < READ_HEADER.size:
            raise errors.UnavailableError(
                'read',
                self._read_transport.peer,
                f'the answer has {len(response.body)} bytes and no header',
            )
        end_offset, _ = READ_HEADER.unpack_from(response.body)
        records = decode_records(response.body[READ_HEADER.size :], start)
        return Page(records, start + len(records), end_offset)

    async def read_newest(
        self, topic: str, last_key: str = '', partition: int = 0
    ) -> NewestPage:
        """Return the newest records of the keys after the last key.

        The pages of a topic are not a consistent snapshot of it.
        """
        query = {'topic': topic, 'part': str(partition)}
        if last_key:
            # Despite its name, this parameter is the key after which the
            # store continues.
            query['depends_on'] = last_key
        response = await self._read_transport.call(
            'read newest',
            'GET',
            f'/log-newest?{urllib.parse.urlencode(query)}',
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            idle_timeout=True,
        )
        if response.status != OK:
            self._raise_refusal('read newest', response)
        page = self._decode(response, NEWEST_DECODER, 'read newest')
        records = tuple(
            Record(item.offset, item.key, item.value) for item in page.items
        )
        is_last = not page.has_more or not page.items
        return NewestPage(records, page.end_offset, is_last)

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
    ) -> Membership:
        """Join a group or renew membership; return the assigned partitions."""
        body = {
            'group': group,
            'member_id': member,
            'topics': [topic],
            'ttl_ms': int(ttl_seconds * 1000),
            'generation': generation,
        }
        response = await self._post('join group', '/log-join', body)
        joined = self._decode(response, JOIN_DECODER, 'join group')
        return Membership(
            joined.generation,
            frozenset(part for name, part, _ in joined.parts if name == topic),
        )

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, which releases the member's partitions."""
        body = {'group': group, 'member_id': member}
        await self._post('leave group', '/log-leave', body)

    async def _post(
        self, step: str, path: str, body: typing.Mapping[str, object]
    ) -> _transport.Response:
        response = await self._call_transport.call(
            step,
            'POST',
            path,
            msgspec.json.encode(body),
            CALL_TIMEOUT_SECONDS,
            _transport.JSON_HEADERS,
        )
        if response.status != OK:
            self._raise_refusal(step, response)
        return response

    def _decode(
        self,
        response: _transport.Response,
        decoder: decoding.Decoder[Body],
        step: str,
    ) -> Body:
        return _transport.decode_response(
            decoder, response.body, step, self._call_transport.peer
        )

    def _raise_refusal(
        self, step: str, response: _transport.Response
    ) -> typing.NoReturn:
        detail = f'status {response.status}: {response.body[:200]!r}'
        if response.status == GONE:
            raise TruncatedError(step, self._call_transport.peer, detail)
        if response.status == PRECONDITION_FAILED:
            raise ConditionFailedError(step, self._call_transport.peer, detail)
        if (
            response.status == CONFLICT
            and _read_reason(response.body) == 'fenced'
        ):
            raise FencedError(step, self._call_transport.peer, detail)
        if response.status in RECORD_REFUSALS:
            raise RecordRefusedError(step, self._call_transport.peer, detail)
        raise errors.RefusedError(step, self._call_transport.peer, detail)


def _read_reason(body: bytes) -> str:
    try:
        return decoding.decode(
            REFUSAL_DECODER, body, 'read refusal', 'store'
        ).reason
    except errors.RefusedError:
        return ''
