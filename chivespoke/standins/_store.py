"""An in-memory fake of the platform's log store with fault injection."""

import asyncio
import base64
import collections.abc
import struct
import typing

from aiohttp import web
import msgspec

from chivespoke import addresses
from chivespoke import web as chivespoke_web

RECORD_LENGTH = struct.Struct('>I')
# Header of a read response: the end offset and the first retained offset.
READ_HEADER = struct.Struct('>QQ')
# Limits of one page of newest records, and the default limit of one read.
MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 1_000_000
DEFAULT_READ_KB = 1024
# Larger records are refused with status 400.
MAX_RECORD_BYTES = 262_144
# Size of the chunks in which a response is sent over a rate-limited link.
CHUNK_BYTES = 16_384
# Last responses kept in a partition for repeated appends.
CACHED_RESPONSES = 5
# Larger appends are refused with status 507.
MAX_APPEND_BYTES = 400 * 1024 * 1024


class _Partition:
    """Hold the records of a partition and the state of its producers."""

    __slots__ = ('records', 'first', 'epochs', 'answers', 'changed')

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        # Last epoch and sequence number, by producer identifier; the number is
        # None before the first append with records.
        self.epochs: dict[str, tuple[int, int | None]] = {}
        # Responses to recent appends, by producer identifier, epoch and
        # sequence number.
        self.answers: dict[tuple[str, int, int], bytes] = {}
        self.changed = asyncio.Condition()

    @property
    def end(self) -> int:
        return len(self.records)


class _Group:
    """Hold the members of a consumer group and their partitions."""

    __slots__ = ('generation', 'members', 'parts', 'targets')

    def __init__(self) -> None:
        self.generation = 0
        # Loop time at which the membership expires, by member.
        self.members: dict[str, float] = {}
        # Owning member, by partition.
        self.parts: dict[int, str] = {}
        # Member to which each partition is to be handed over.
        self.targets: dict[int, str] = {}


class StoreFaults(msgspec.Struct):
    """Configure the injected faults; every request checks them."""

    # Status with which all requests are refused, without effect; 0 for none.
    refuse_with: int = 0
    # Ports of the store's servers on which all requests are refused with
    # status 503, without effect.
    refused_ports: frozenset[int] = frozenset()
    # Number of appends that take effect but get no response.
    lose_answers: int = 0
    # Number of appends that get no response and take effect after
    # ``late_seconds``.
    late_appends: int = 0
    late_seconds: float = 0.2
    # Seconds by which every request is delayed.
    delay: float = 0.0
    # Bandwidth of the link to each client; 0 for no limit.
    link_bytes_per_second: int = 0
    # Indices, counted from 0, of the responses longer than one chunk whose
    # connection is aborted half-way.
    broken_answers: frozenset[int] = frozenset()
    # Reads of the log get a response without a body.
    empty_answers: bool = False
    # Number of records that each partition retains; 0 for all.
    kept_records: int = 0


class PlatformStore(chivespoke_web.RouteProvider):
    """Serve topics, keyed topics and consumer groups from memory."""

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
        # Start keys of the requested pages of newest records; empty for the
        # first page.
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
        """Append a keyed record, as an operator does."""
        content = bytes((len(key),)) + key.encode() + value
        await self._append_records(self._get_partition(topic, 0), [content])

    def expire_records_before(self, topic: str, offset: int) -> None:
        """Expire the records before an offset; newest values stay readable."""
        self._get_partition(topic, 0).first = offset

    def forget_history(self, topic: str) -> None:
        """Expire all records of a topic; newest values stay readable."""
        self.expire_records_before(topic, self._get_partition(topic, 0).end)

    def reassign_partitions(self, group: str) -> None:
        """Rotate the partitions of a group among its members."""
        state = self._groups[group]
        members = sorted(state.members)
        state.generation += 1
        state.parts = {
            part: members[(part + state.generation) % len(members)]
            for part in range(self._parts)
        }
        state.targets = dict(state.parts)

    def list_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that is not deleted."""
        newest = self._list_newest(self._get_partition(topic, 0))
        return {key: value for key, (_, value) in newest.items()}

    def _get_partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _guard(
        self,
        handler: collections.abc.Callable[
            [web.Request], collections.abc.Awaitable[web.Response]
        ],
    ) -> collections.abc.Callable[
        [web.Request], collections.abc.Awaitable[web.StreamResponse]
    ]:
        """Wrap a handler so that the injected faults apply to it."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls += 1
            if not await self._receive_body(request):
                return web.Response(status=503)
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            if self.faults.refuse_with:
                return web.Response(status=self.faults.refuse_with)
            if find_server_port(request) in self.faults.refused_ports:
                return web.Response(status=503)
            response = await handler(request)
            if not self.faults.link_bytes_per_second:
                return response
            return await self._send_limited(request, response)

        return handle

    async def _receive_body(self, request: web.Request) -> bool:
        """Return whether the client stayed connected during the upload."""
        body = await request.read()
        if not self.faults.link_bytes_per_second:
            return True
        await asyncio.sleep(len(body) / self.faults.link_bytes_per_second)
        return not _is_closed(request)

    async def _send_limited(
        self, request: web.Request, response: web.Response
    ) -> web.StreamResponse:
        body = response.body
        assert isinstance(body, bytes)
        if _is_closed(request):
            return response
        stream = web.StreamResponse(status=response.status)
        stream.content_length = len(body)
        stream.content_type = response.content_type
        await stream.prepare(request)
        end = len(body)
        if end > CHUNK_BYTES:
            if self._long_answers in self.faults.broken_answers:
                end //= 2
            self._long_answers += 1
        for start in range(0, end, CHUNK_BYTES):
            chunk = body[start : min(end, start + CHUNK_BYTES)]
            await asyncio.sleep(len(chunk) / self.faults.link_bytes_per_second)
            if _is_closed(request):
                return stream
            await stream.write(chunk)
        if end < len(body) and request.transport is not None:
            request.transport.abort()
        return stream

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.late_appends:
            self.faults.late_appends -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_seconds,
                lambda: asyncio.ensure_future(
                    self._perform_append(request.query, body)
                ),
            )
            await self._withhold_response(request)
        response = await self._perform_append(request.query, body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await self._withhold_response(request)
        return response

    async def _withhold_response(self, request: web.Request) -> None:
        # Keeps the request open without a response.
        await asyncio.sleep(3600)

    async def _perform_append(
        self, query: typing.Mapping[str, str], body: bytes
    ) -> web.Response:
        partition = self._get_partition(query['topic'], int(query['part']))
        if len(body) > MAX_APPEND_BYTES:
            return web.Response(status=507)
        if any(
            len(record) > MAX_RECORD_BYTES for record in _split_records(body)
        ):
            return web.Response(status=400)
        if 'at' in query and int(query['at']) != partition.end:
            return _make_response({'end_offset': partition.end}, 412)
        if 'producer_id' in query:
            refusal = self._check_producer(partition, query, bool(body))
            if refusal is not None:
                return refusal
        offset = partition.end
        await self._append_records(partition, _split_records(body))
        content = {'offset': offset, 'end_offset': partition.end}
        if 'producer_id' in query and body:
            self._cache_response(
                partition, query, msgspec.json.encode(content)
            )
        return _make_response(content)

    def _check_producer(
        self,
        partition: _Partition,
        query: typing.Mapping[str, str],
        has_records: bool,
    ) -> web.Response | None:
        producer_id = query['producer_id']
        epoch, sequence = int(query['epoch']), int(query['sequence'])
        last_epoch, last_sequence = partition.epochs.get(
            producer_id, (-1, None)
        )
        cached = partition.answers.get((producer_id, epoch, sequence))
        if epoch < last_epoch:
            return _make_response({'reason': 'fenced'}, 409)
        if cached is not None:
            return web.Response(body=cached, content_type='application/json')
        if not has_records:
            # Sets the epoch. The next append with records may have any number
            # if it is the first of the epoch.
            if epoch > last_epoch:
                partition.epochs[producer_id] = (epoch, None)
            return None
        if (
            epoch == last_epoch
            and last_sequence is not None
            and sequence != last_sequence + 1
        ):
            return _make_response(
                {'reason': 'seq', 'sequence': last_sequence + 1}, 409
            )
        partition.epochs[producer_id] = (epoch, sequence)
        return None

    def _cache_response(
        self,
        partition: _Partition,
        query: typing.Mapping[str, str],
        response: bytes,
    ) -> None:
        producer_id = query['producer_id']
        key = (producer_id, int(query['epoch']), int(query['sequence']))
        partition.answers[key] = response
        for oldest in tuple(partition.answers)[:-CACHED_RESPONSES]:
            del partition.answers[oldest]

    async def _append_records(
        self, partition: _Partition, records: collections.abc.Iterable[bytes]
    ) -> None:
        async with partition.changed:
            partition.records += records
            if self.faults.kept_records:
                first_kept = partition.end - self.faults.kept_records
                partition.first = max(partition.first, first_kept)
            partition.changed.notify_all()

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self._get_partition(query['topic'], int(query['part']))
        start = int(query['from'])
        if start < partition.first:
            return _make_response({'first_offset': partition.first}, 410)
        wait_seconds = int(query.get('wait_ms', '0')) / 1000
        async with partition.changed:
            try:
                async with asyncio.timeout(wait_seconds):
                    await partition.changed.wait_for(
                        lambda: partition.end > start
                    )
            except TimeoutError:
                # The wait is over: an empty page is returned.
                pass
        if self.faults.empty_answers:
            return web.Response(body=b'')
        limit = int(query.get('max_kb', DEFAULT_READ_KB)) * 1024
        body = READ_HEADER.pack(partition.end, partition.first)
        for record in partition.records[start:]:
            if (
                len(body) + len(record) > limit
                and len(body) > READ_HEADER.size
            ):
                break
            body += RECORD_LENGTH.pack(len(record)) + record
        return web.Response(body=body)

    async def _read_newest(self, request: web.Request) -> web.Response:
        partition = self._get_partition(
            request.query['topic'], int(request.query['part'])
        )
        after = request.query.get('depends_on', '')
        self.asked_after.append(after)
        newest = self._list_newest(partition)
        rows = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in sorted(newest)
            if key > after
        ]
        page = _limit_page(rows)
        return _make_response(
            {
                'items': page,
                'has_more': len(rows) > len(page),
                'end_offset': partition.end,
            }
        )

    def _list_newest(
        self, partition: _Partition
    ) -> dict[str, tuple[int, bytes]]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(partition.records):
            size = record[0]
            key = record[1 : 1 + size].decode()
            newest[key] = (offset, record[1 + size :])
        return {key: row for key, row in newest.items() if row[1]}

    async def _join(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        group = self._groups.setdefault(body['group'], _Group())
        member = body['member_id']
        now = asyncio.get_running_loop().time()
        expired = [
            name
            for name, expires_at in group.members.items()
            if expires_at < now
        ]
        for name in expired:
            del group.members[name]
        is_new = member not in group.members
        group.members[member] = now + body['ttl_ms'] / 1000
        if is_new or expired:
            self._assign_partitions(group)
        if body['generation'] >= group.generation:
            # The member has heard which partitions it is to hand over.
            for part, owner in group.parts.items():
                if owner == member:
                    group.parts[part] = group.targets[part]
        topic = body['topics'][0]
        return _make_response(
            {
                'generation': group.generation,
                'parts': [
                    [topic, part, 0]
                    for part, owner in group.parts.items()
                    if owner == member == group.targets[part]
                ],
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        group = self._groups.setdefault(body['group'], _Group())
        if group.members.pop(body['member_id'], None) is not None:
            self._assign_partitions(group)
        return _make_response({})

    def _assign_partitions(self, group: _Group) -> None:
        """Share the partitions out; members that own one hand it over."""
        group.generation += 1
        members = sorted(group.members)
        group.targets = {
            part: members[part % len(members)]
            for part in range(self._parts if members else 0)
        }
        group.parts = {
            part: (
                group.parts[part]
                if group.parts.get(part) in group.members
                else target
            )
            for part, target in group.targets.items()
        }


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records


def _is_closed(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


def _limit_page(
    rows: list[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    page: list[dict[str, typing.Any]] = []
    size = 0
    for row in rows[:MAX_PAGE_RECORDS]:
        size += len(row['value'])
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(row)
    return page


def _make_response(body: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def find_server_port(request: web.Request) -> int:
    """Return the port of the server that received a request, 0 if unknown."""
    if request.transport is None:
        return 0
    return int(request.transport.get_extra_info('sockname')[1])
