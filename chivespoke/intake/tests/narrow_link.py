"""A store that an entry reads over a narrow link, in simulated time."""

import asyncio
import bisect
import collections.abc
import operator
from unittest import mock

from aiohttp import streams
from aiohttp import test_utils
from aiohttp import web
import msgspec

from chivespoke import coordination
from chivespoke import errors
from chivespoke import intake
from chivespoke.intake import _responses
from chivespoke.intake.tests import builders
from chivespoke import platform
from chivespoke import telemetry

CONNECT_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0
ROUND_TRIP_SECONDS = 0.006
CHUNK_BYTES = 16_384
READ_PAGE_BYTES = 1_048_576
# Values of the newest records are sent in base64.
NEWEST_SIZE_FACTOR = 4 / 3
HOST = 'callers.example'
ROUTE_BYTES = 200


class Written(msgspec.Struct, frozen=True):
    """Hold a record and the time at which the store acknowledged it."""

    at: float
    key: str
    value: bytes


class NarrowLinkStore(platform.Store):
    """Serve reads over a link of a set rate, with periods without a path."""

    def __init__(
        self,
        bytes_per_second: float,
        outages: tuple[tuple[float, float], ...] = (),
    ) -> None:
        transport = platform.Transport('store', 1)
        super().__init__(transport, transport)
        self.topics: dict[str, list[Written]] = {}
        self.outages = outages
        # Topics that an outage concerns; all if empty.
        self.hidden_topics: frozenset[str] = frozenset()
        self._bytes_per_second = bytes_per_second
        # Calls share the link chunk by chunk.
        self._link = asyncio.Lock()

    async def read(
        self,
        topic: str,
        start: int,
        wait_seconds: float,
        partition: int = 0,
        max_bytes: int = READ_PAGE_BYTES,
    ) -> platform.Page:
        await self._reach('read', topic)
        records = self.topics.get(topic, [])
        now = asyncio.get_running_loop().time()
        if self._count_written(topic, now) <= start:
            next_at = (
                records[start].at if start < len(records) else float('inf')
            )
            await asyncio.sleep(min(wait_seconds, next_at - now))
            now = asyncio.get_running_loop().time()
        end = self._count_written(topic, now)
        page: list[platform.Record] = []
        size = 0
        for offset in range(start, end):
            written = records[offset]
            size += len(written.value)
            if page and size > max_bytes:
                size -= len(written.value)
                break
            page.append(platform.Record(offset, written.key, written.value))
        await self._transfer('read', topic, size)
        return platform.Page(tuple(page), start + len(page), end)

    async def read_newest(
        self, topic: str, last_key: str = '', partition: int = 0
    ) -> platform.NewestPage:
        await self._reach('read newest', topic)
        now = asyncio.get_running_loop().time()
        end = self._count_written(topic, now)
        newest: dict[str, platform.Record] = {}
        for offset, written in enumerate(self.topics.get(topic, [])[:end]):
            newest[written.key] = platform.Record(
                offset, written.key, written.value
            )
        records = tuple(
            newest[key]
            for key in sorted(newest)
            if newest[key].value and key > last_key
        )
        size = sum(len(record.value) for record in records)
        await self._transfer(
            'read newest', topic, int(size * NEWEST_SIZE_FACTOR)
        )
        return platform.NewestPage(records, end, True)

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
    ) -> platform.Membership:
        await self._reach('join group', topic)
        return platform.Membership(1, frozenset())

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: platform.Producer | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        partition: int = 0,
    ) -> int:
        await self._reach('append', topic)
        now = asyncio.get_running_loop().time()
        return self._count_written(topic, now)

    def _count_written(self, topic: str, now: float) -> int:
        return bisect.bisect_right(
            self.topics.get(topic, []), now, key=operator.attrgetter('at')
        )

    def _is_cut(self, topic: str) -> bool:
        now = asyncio.get_running_loop().time()
        return (not self.hidden_topics or topic in self.hidden_topics) and any(
            start <= now < end for start, end in self.outages
        )

    async def _reach(self, step: str, topic: str) -> None:
        if self._is_cut(topic):
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise errors.RefusedError(step, 'store', 'connection timeout')
        await asyncio.sleep(ROUND_TRIP_SECONDS)

    async def _transfer(self, step: str, topic: str, size: int) -> None:
        while size > 0:
            chunk = min(size, CHUNK_BYTES)
            async with self._link:
                await asyncio.sleep(chunk / self._bytes_per_second)
            size -= chunk
        if self._is_cut(topic):
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise errors.UnavailableError(step, 'store', 'timeout')


def encode_configuration(version: int, paths: list[str], size: int) -> bytes:
    """Return a version with a queue for each path, of about a size."""
    routes = [
        {
            'name': f'queue-{path}',
            'host': HOST,
            'path_prefix': path,
            'service': 'service',
        }
        for path in paths
    ]
    while len(routes) * ROUTE_BYTES < size:
        filler = f'/filler-{len(routes)}/'
        routes.append(
            {
                'name': filler.ljust(ROUTE_BYTES - 100, '-'),
                'host': HOST,
                'path_prefix': filler,
                'service': 'service',
            }
        )
    return msgspec.json.encode(
        {
            'version': version,
            'routes': routes,
            'services': [{'name': 'service'}],
        }
    )


def write_version(
    at: float, version: int, paths: list[str], size: int = 0
) -> Written:
    """Return a version that is acknowledged at a time."""
    return Written(at, 'config', encode_configuration(version, paths, size))


def write_versions(
    times: collections.abc.Iterable[float], size: int
) -> list[Written]:
    """Return versions that each add a route; see `make_added_path`."""
    paths: list[str] = []
    records: list[Written] = []
    for version, at in enumerate(times):
        paths.append(make_added_path(version))
        records.append(write_version(at, version, paths, size))
    return records


def make_added_path(version: int) -> str:
    """Return the path of the route that a version adds."""
    return f'/added-{version}/'


class LinkedTransport(platform.Transport):
    """Hand requests to an entry without a connection."""

    def __init__(self, entry: 'Entry', answer_seconds: float) -> None:
        super().__init__('neighbour', 1)
        self._entry = entry
        # Time that an answer takes on its way.
        self._answer_seconds = answer_seconds

    async def start(self) -> None:
        return None

    async def call(
        self,
        step: str,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_seconds: float = 1.0,
        headers: dict[str, str] | None = None,
        idle_timeout: bool = False,
    ) -> platform.Response:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        response = await self._entry.handle_for_neighbour(
            make_request(method, path, body, headers)
        )
        assert isinstance(response.body, bytes)
        await asyncio.sleep(self._answer_seconds)
        return platform.Response(
            response.status,
            response.body,
            int(response.headers.get('Retry-After', 0)),
            int(response.headers[platform.CONFIGURATION_VERSION_HEADER]),
        )


def make_request(
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    body_seconds: float = 0.0,
) -> web.Request:
    """Return a request whose body arrives after some seconds."""
    payload = streams.StreamReader(mock.Mock(_reading_paused=False), 2**16)
    payload.feed_data(body)
    asyncio.get_running_loop().call_later(body_seconds, payload.feed_eof)
    return test_utils.make_mocked_request(
        method, path, headers=headers or {'Host': HOST}, payload=payload
    )


class Entry:
    """Run the followers of an entry and handle requests in it."""

    def __init__(self, store: platform.Store, name: str = 'entry-1') -> None:
        time = builders.LoopClock()
        instruments = telemetry.Telemetry()
        machine = mock.Mock(
            advisor_address='127.0.0.1:1',
            store_min_ttl_seconds=1.0,
            store_max_record_bytes=262_144,
        )
        machine.bounds.status_retention_seconds = 120.0
        self.coordinator = coordination.Coordinator(
            store, machine, name, time, instruments
        )
        self.submissions = mock.create_autospec(
            intake.Submissions,
            instance=True,
            given_up_at=float('-inf'),
            refuses=False,
        )
        self.submissions.append.return_value = mock.Mock(
            outcome=_responses.Outcome.ACCEPTED, detail='stored'
        )
        self.relay = intake.Relay(name, '', self.coordinator, store, time)
        self.routes = intake.JobRoutes(
            self.coordinator,
            self.submissions,
            self.relay,
            time,
            instruments,
            100,
        )
        self.readiness = intake.Readiness(self.coordinator, self.routes, time)

    async def start(self) -> None:
        """Start to follow the topics, without a part in elections."""
        await self.coordinator.operator_follower.start()
        await self.coordinator.follower.start()

    async def stop(self) -> None:
        """Stop the followers."""
        await self.coordinator.follower.stop()
        await self.coordinator.operator_follower.stop()

    async def relay_once(
        self,
        answer: platform.Response,
        method: str = 'GET',
        path: str = '/',
        seconds: float = 0.0,
    ) -> int:
        """Hand a request to a neighbour that gives an answer after a time.

        Return the status that is passed on, 0 if there is none.
        """

        async def call(*arguments: object) -> platform.Response:
            await asyncio.sleep(seconds)
            return answer

        self.coordinator.ledger.entry_addresses['entry-2'] = 'neighbour:1'
        transport = mock.create_autospec(platform.Transport, instance=True)
        transport.call.side_effect = call
        with mock.patch.object(platform, 'Transport', return_value=transport):
            forwarded = await self.relay.forward(
                make_request(method, path), float('inf')
            )
        return forwarded.status if forwarded is not None else 0

    async def find_named_version(self, path: str) -> int:
        """Return the version that an answer to a neighbour names."""
        response = await self.handle_for_neighbour(make_request('GET', path))
        return int(response.headers[platform.CONFIGURATION_VERSION_HEADER])

    async def handle_for_neighbour(self, request: web.Request) -> web.Response:
        """Return the answer to a request that a neighbour hands over."""
        (route,) = intake.NeighbourRoutes(self.routes).list_routes()
        assert isinstance(route, web.RouteDef)
        response = await route.handler(request)
        assert isinstance(response, web.Response)
        return response

    async def ask(
        self,
        neighbours: collections.abc.Mapping[str, 'Entry'],
        method: str,
        path: str,
        body: bytes = b'',
        answer_seconds: float = 0.0,
    ) -> web.Response:
        """Return the answer to a caller of an entry with neighbours."""
        addresses = self.coordinator.ledger.entry_addresses
        addresses.clear()
        addresses.update({name: name for name in neighbours})
        (route,) = self.routes.list_routes()
        assert isinstance(route, web.RouteDef)
        with mock.patch.object(
            platform,
            'Transport',
            lambda address, connections: LinkedTransport(
                neighbours[address], answer_seconds
            ),
        ):
            response = await route.handler(make_request(method, path, body))
        assert isinstance(response, web.Response)
        return response

    async def probe(self) -> int:
        """Return the status of the readiness check."""
        (route,) = self.readiness.list_routes()
        assert isinstance(route, web.RouteDef)
        response = await route.handler(
            test_utils.make_mocked_request('GET', platform.READINESS_PATH)
        )
        assert isinstance(response, web.Response)
        return response.status

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        body_seconds: float = 0.0,
    ) -> int:
        """Return the status with which a request is answered here.

        Its body arrives after some seconds.
        """
        request = make_request(method, path, body, body_seconds=body_seconds)
        response = await self.routes.handle_here(
            request, self.routes.find_limit(request)
        )
        return response.status
