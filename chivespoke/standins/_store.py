"""A small fake of the platform's log store, with the faults it may have."""

import asyncio
import base64
import collections.abc
import struct
import typing

from aiohttp import web
import msgspec

from chivespoke import addresses
from chivespoke import web as chivespoke_web

LENGTH = struct.Struct('>I')
OFFSETS = struct.Struct('>QQ')
# Limits of one page of newest records, and of one read by default.
PAGE = 500
PAGE_BYTES = 1_000_000
READ_KB = 1024
MAX_RECORD_BYTES = 262_144
# Size of the pieces in which an answer is sent over a slow link.
SENT_BYTES = 16_384
REMEMBERED = 5
SERVED_BYTES = 400 * 1024 * 1024


class _Partition:
    """Hold the records of one partition and who may append to it."""

    __slots__ = ('records', 'first', 'epochs', 'answers', 'changed')

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        # Epoch and sequence last seen, by producer.
        self.epochs: dict[str, tuple[int, int]] = {}
        self.answers: dict[tuple[str, int, int], bytes] = {}
        self.changed = asyncio.Condition()

    @property
    def end(self) -> int:
        return len(self.records)


class _Group:
    """Hold the members of a group and what each is given."""

    __slots__ = ('generation', 'members', 'parts')

    def __init__(self) -> None:
        self.generation = 0
        # Time until which each member may stay silent.
        self.members: dict[str, float] = {}
        self.parts: dict[int, str] = {}


class StoreFaults(msgspec.Struct):
    """Say how the store misbehaves; each call looks here first."""

    # Status with which all calls are refused; nothing is done.
    refuse_with: int = 0
    # Appends that are done and get no answer.
    lose_answers: int = 0
    # Appends that get no answer and are done so many seconds later.
    late_appends: int = 0
    late_seconds: float = 0.2
    # Seconds that every answer waits.
    delay: float = 0.0
    # Bytes a second of the link to each caller; 0 for no limit.
    link_bytes_per_second: int = 0
    # Numbers of the answers longer than a piece, counted from 0, that break
    # off in the middle.
    broken_answers: frozenset[int] = frozenset()
    # Reads of the log are answered without a body.
    empty_answers: bool = False
    # Records of history that each partition keeps; 0 for all.
    kept_records: int = 0


class PlatformStore(chivespoke_web.RouteProvider):
    """Serve topics, groups and keyed topics from memory."""

    __slots__ = (
        'faults',
        'calls',
        'asked_after',
        '_long_answers',
        '_partitions',
        '_groups',
        '_parts',
    )

    def __init__(self, parts: int = 12) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        # Keys after which pages of newest records were asked for.
        self.asked_after: list[str] = []
        self._long_answers = 0
        self._parts = parts
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/log-append', self._guard(self._append)),
            web.get('/log-read', self._guard(self._read)),
            web.get('/log-newest', self._guard(self._read_newest)),
            web.post('/log-join', self._guard(self._join)),
            web.post('/log-leave', self._guard(self._leave)),
        )

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record as the operator does."""
        content = bytes((len(key),)) + key.encode() + value
        await self._add(self._find(topic, 0), [content])

    def forget_before(self, topic: str, offset: int) -> None:
        """Drop the history of a topic; newest records of keys stay."""
        self._find(topic, 0).first = offset

    def deal_anew(self, group: str) -> None:
        """Give the partitions of a group to its members in another order."""
        found = self._groups[group]
        members = sorted(found.members)
        found.generation += 1
        found.parts = {
            part: members[(part + found.generation) % len(members)]
            for part in range(self._parts)
        }

    def list_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        newest = self._list_newest(self._find(topic, 0))
        return {key: value for key, (_, value) in newest.items()}

    def _find(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _guard(
        self,
        handler: collections.abc.Callable[
            [web.Request], collections.abc.Awaitable[web.Response]
        ],
    ) -> collections.abc.Callable[
        [web.Request], collections.abc.Awaitable[web.StreamResponse]
    ]:
        async def answer(request: web.Request) -> web.StreamResponse:
            self.calls += 1
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            if self.faults.refuse_with:
                return web.Response(status=self.faults.refuse_with)
            if not await self._receive(request):
                return web.Response(status=503)
            response = await handler(request)
            if not self.faults.link_bytes_per_second:
                return response
            return await self._send(request, response)

        return answer

    async def _receive(self, request: web.Request) -> bool:
        """Return whether the caller waited until all bytes had arrived."""
        body = await request.read()
        if self.faults.link_bytes_per_second:
            await asyncio.sleep(len(body) / self.faults.link_bytes_per_second)
        return not _is_closed(request)

    async def _send(
        self, request: web.Request, response: web.Response
    ) -> web.StreamResponse:
        body = response.body
        assert isinstance(body, bytes)
        sent = web.StreamResponse(status=response.status)
        sent.content_length = len(body)
        sent.content_type = response.content_type
        await sent.prepare(request)
        end = len(body)
        if end > SENT_BYTES:
            if self._long_answers in self.faults.broken_answers:
                end //= 2
            self._long_answers += 1
        for start in range(0, end, SENT_BYTES):
            piece = body[start : min(end, start + SENT_BYTES)]
            await asyncio.sleep(len(piece) / self.faults.link_bytes_per_second)
            if _is_closed(request):
                return sent
            await sent.write(piece)
        if end < len(body) and request.transport is not None:
            request.transport.abort()
        return sent

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.late_appends:
            self.faults.late_appends -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_seconds,
                lambda: asyncio.ensure_future(
                    self._carry_out(request.query, body)
                ),
            )
            await self._hang(request)
        answer = await self._carry_out(request.query, body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await self._hang(request)
        return answer

    async def _hang(self, request: web.Request) -> None:
        # The channel returns nothing further.
        await asyncio.sleep(3600)

    async def _carry_out(
        self, query: typing.Mapping[str, str], body: bytes
    ) -> web.Response:
        found = self._find(query['topic'], int(query['part']))
        if len(body) > SERVED_BYTES:
            return web.Response(status=507)
        if any(len(record) > MAX_RECORD_BYTES for record in _split(body)):
            return web.Response(status=400)
        if 'at' in query and int(query['at']) != found.end:
            return _answer({'end_offset': found.end}, 412)
        if 'producer_id' in query:
            refusal = self._check_producer(found, query)
            if refusal is not None:
                return refusal
        offset = found.end
        await self._add(found, _split(body))
        answer = {'offset': offset, 'end_offset': found.end}
        if 'producer_id' in query:
            self._remember(found, query, msgspec.json.encode(answer))
        return _answer(answer)

    def _check_producer(
        self, found: _Partition, query: typing.Mapping[str, str]
    ) -> web.Response | None:
        name = query['producer_id']
        epoch, sequence = int(query['epoch']), int(query['sequence'])
        known, last = found.epochs.get(name, (-1, -1))
        repeated = found.answers.get((name, epoch, sequence))
        if epoch < known:
            return _answer({'reason': 'fenced'}, 409)
        if repeated is not None:
            return web.Response(body=repeated, content_type='application/json')
        if epoch == known and sequence != last + 1:
            return _answer({'reason': 'seq', 'sequence': last + 1}, 409)
        found.epochs[name] = (epoch, sequence)
        return None

    def _remember(
        self,
        found: _Partition,
        query: typing.Mapping[str, str],
        answer: bytes,
    ) -> None:
        name = query['producer_id']
        key = (name, int(query['epoch']), int(query['sequence']))
        found.answers[key] = answer
        for old in tuple(found.answers)[:-REMEMBERED]:
            del found.answers[old]

    async def _add(
        self, found: _Partition, records: collections.abc.Iterable[bytes]
    ) -> None:
        async with found.changed:
            found.records += records
            if self.faults.kept_records:
                kept = found.end - self.faults.kept_records
                found.first = max(found.first, kept)
            found.changed.notify_all()

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        found = self._find(query['topic'], int(query['part']))
        start = int(query['from'])
        if start < found.first:
            return _answer({'first_offset': found.first}, 410)
        wait = int(query.get('wait_ms', '0')) / 1000
        async with found.changed:
            try:
                async with asyncio.timeout(wait):
                    await found.changed.wait_for(lambda: found.end > start)
            except TimeoutError:
                # Answered empty, as the wait is over.
                pass
        if self.faults.empty_answers:
            return web.Response(body=b'')
        limit = int(query.get('max_kb', READ_KB)) * 1024
        body = OFFSETS.pack(found.end, found.first)
        for record in found.records[start:]:
            if len(body) + len(record) > limit and len(body) > OFFSETS.size:
                break
            body += LENGTH.pack(len(record)) + record
        return web.Response(body=body)

    async def _read_newest(self, request: web.Request) -> web.Response:
        found = self._find(request.query['topic'], int(request.query['part']))
        after = request.query.get('depends_on', '')
        self.asked_after.append(after)
        newest = self._list_newest(found)
        rows = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in sorted(newest)
            if key > after
        ]
        page = _take_page(rows)
        return _answer(
            {
                'items': page,
                'has_more': len(rows) > len(page),
                'end_offset': found.end,
            }
        )

    def _list_newest(self, found: _Partition) -> dict[str, tuple[int, bytes]]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(found.records):
            size = record[0]
            key = record[1 : 1 + size].decode()
            newest[key] = (offset, record[1 + size :])
        return {key: row for key, row in newest.items() if row[1]}

    async def _join(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        group = self._groups.setdefault(body['group'], _Group())
        member = body['member_id']
        now = asyncio.get_running_loop().time()
        lapsed = [name for name, at in group.members.items() if at < now]
        for name in lapsed:
            del group.members[name]
        new = member not in group.members
        group.members[member] = now + body['ttl_ms'] / 1000
        if new or lapsed:
            self._deal(group)
        topic = body['topics'][0]
        return _answer(
            {
                'generation': group.generation,
                'parts': [
                    [topic, part, 0]
                    for part, owner in group.parts.items()
                    if owner == member
                ],
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        group = self._groups.setdefault(body['group'], _Group())
        if group.members.pop(body['member_id'], None) is not None:
            self._deal(group)
        return _answer({})

    def _deal(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        group.parts = {
            part: members[part % len(members)]
            for part in range(self._parts if members else 0)
        }


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records


def _is_closed(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


def _take_page(
    rows: list[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    page: list[dict[str, typing.Any]] = []
    size = 0
    for row in rows[:PAGE]:
        size += len(row['value'])
        if page and size > PAGE_BYTES:
            break
        page.append(row)
    return page


def _answer(body: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )
