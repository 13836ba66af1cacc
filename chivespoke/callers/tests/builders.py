"""Builders of complete request paths on loopback, and of their parts."""

import asyncio
import collections.abc
import contextlib
import types
import typing

import aiohttp

from chivespoke import application
from chivespoke import backend_servers
from chivespoke import clock
from chivespoke import daemons
from chivespoke import identifiers
from chivespoke import settings
from chivespoke import standins

SERVICE = identifiers.ServiceName('counting')
DATA_CENTRE = identifiers.DataCentreName('colombo-1')
ANY_ADDRESS = settings.Address()
POLL_SECONDS = 0.01
# Timeout for a condition that a test waits for.
WAIT_TIMEOUT_SECONDS = 15.0
NO_HEADERS: collections.abc.Mapping[str, str] = {}
OUTCOME = 'Chivespoke-Outcome'


class Answer(typing.NamedTuple):
    """Hold the response that a caller received."""

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome header of the response."""
        return self.headers.get(OUTCOME, '')


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition is true; raise TimeoutError if it is not."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


class RequestPath:
    """Run entries, sidecars and backend servers connected over loopback."""

    def __init__(self, **sidecar_settings: typing.Any) -> None:
        self.entries: list[daemons.Entry] = []
        self.sidecars: list[daemons.Sidecar] = []
        self.servers: list[standins.CountingServer] = []
        self.clock = clock.SystemClock()
        self._stopped: list[application.Application] = []
        self._sidecar_settings = sidecar_settings
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'RequestPath':
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for each in (*self.sidecars, *self.entries):
            await self.stop(each)
        for server in self.servers:
            await server.stop()
        if self._session is not None:
            await self._session.close()

    async def stop(self, daemon: application.Application) -> None:
        """Stop an entry or a sidecar gracefully, at most once."""
        if daemon not in self._stopped:
            self._stopped.append(daemon)
            await daemon.stop()

    async def add_entry(
        self,
        address: settings.Address = ANY_ADDRESS,
        policy: backend_servers.RoutingPolicy | None = None,
        platform_log: settings.Address = ANY_ADDRESS,
        retention: float = 86400.0,
    ) -> daemons.Entry:
        """Start an entry."""
        entry = daemons.Entry(
            settings.EntrySettings(
                name=f'entry-{len(self.entries) + 1}',
                data_centre=DATA_CENTRE,
                http=address,
                platform_log=platform_log,
                platform_log_retention=retention,
                heartbeat_interval=0.1,
                heartbeat_limit=2.0,
            ),
            self.clock,
            policy,
            balancer_notice_seconds=0.05,
            home_limits=backend_servers.HomeLimits(tick_seconds=0.05),
        )
        await entry.start()
        self.entries.append(entry)
        return entry

    async def add_server(self) -> standins.CountingServer:
        """Start a backend server without a sidecar."""
        server = standins.CountingServer(ANY_ADDRESS)
        await server.start()
        self.servers.append(server)
        return server

    async def add_sidecar(
        self,
        server: standins.CountingServer | None = None,
        name: str = '',
    ) -> daemons.Sidecar:
        """Start a sidecar, and its backend server if none is given."""
        if server is None:
            server = await self.add_server()
        sidecar = daemons.Sidecar(
            settings.SidecarSettings(
                name=name or f'server-{len(self.sidecars) + 1}',
                data_centre=DATA_CENTRE,
                service=SERVICE,
                backend_server=server.address,
                balancer=self.entries[0].http.address,
                heartbeat_interval=0.1,
                heartbeat_limit=2.0,
                **self._sidecar_settings,
            ),
            self.clock,
        )
        await sidecar.start()
        self.sidecars.append(sidecar)
        return sidecar

    async def wait_for_available_servers(self, count: int) -> None:
        """Wait until every entry has count servers that accept requests."""

        def has_available_servers(entry: daemons.Entry) -> bool:
            return entry.context.registry.count_available(SERVICE) >= count

        await wait_until(lambda: all(map(has_available_servers, self.entries)))

    async def call(
        self,
        path: str = '/x',
        method: str = 'GET',
        entry: int = 0,
        *,
        body: bytes = b'',
        headers: collections.abc.Mapping[str, str] = NO_HEADERS,
        **more_headers: str,
    ) -> Answer:
        """Send a request to the service.

        Header names are given without the prefix "Chivespoke-".
        """
        assert self._session is not None
        address = self.entries[entry].http.address
        async with self._session.request(
            method,
            f'{address.format_http()}/services/{SERVICE}{path}',
            data=body or None,
            headers={
                'Chivespoke-' + name.replace('_', '-'): text
                for name, text in {**headers, **more_headers}.items()
            },
        ) as response:
            return Answer(
                response.status, response.headers, await response.read()
            )

    def count_runs(self) -> int:
        """Return the total number of runs at all backend servers."""
        return sum(sum(server.runs.values()) for server in self.servers)

    async def restart_servers(self) -> None:
        """Restart crashed servers once every entry knows of the crashes."""

        def knows_crashes(entry: daemons.Entry) -> bool:
            return self.count_crashes() == sum(
                len(server.announcement.crashes)
                for server in entry.context.registry.list_all()
            )

        await wait_until(lambda: all(map(knows_crashes, self.entries)))
        for server in self.servers:
            await server.restart()
        await self.wait_for_available_servers(len(self.servers))

    def count_crashes(self) -> int:
        """Return the total number of crashes of all backend servers."""
        return sum(server.crashes for server in self.servers)


def start_call(path: RequestPath, target: str) -> 'asyncio.Task[Answer]':
    """Start a request to the service without waiting for its answer."""
    return asyncio.create_task(path.call(target))


@contextlib.asynccontextmanager
async def run_request_path(
    entries: int = 1, servers: int = 1, **sidecar_settings: typing.Any
) -> collections.abc.AsyncIterator[RequestPath]:
    """Run a request path that is ready to serve requests."""
    async with RequestPath(**sidecar_settings) as path:
        for _ in range(entries):
            await path.add_entry()
        for entry in path.entries:
            for other in path.entries:
                known = other.context.directory.list_entries()
                entry.context.directory.add(known[-1], direct=True)
        for _ in range(servers):
            await path.add_sidecar()
        await path.wait_for_available_servers(servers)
        yield path
