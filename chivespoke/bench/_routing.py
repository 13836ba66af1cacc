"""Measure the request path over real daemons, beside naive routing."""

import asyncio
import pathlib
import tempfile
import time

import aiohttp
import msgspec

from chivespoke.bench import _load
from chivespoke.bench import _processes
from chivespoke import clock
from chivespoke import errors
from chivespoke import settings
from chivespoke import standins

POLICIES = ('choice-of-two', 'round-robin', 'random')
SERVERS = 10
SLOTS = 8
# Milliseconds that a request runs at a backend server, but for overhead.
RUN_MS = 200
SLOWNESS = 10.0
# Share of all slots that the load takes while one server is slow.
SLOW_LOAD = 0.4
OVERLOAD = 1.5
# Milliseconds.
OVERLOAD_DEADLINE = 1000
SATURATING_CONNECTIONS = 32
# Direct calls for each call through the entry; few, as both are sent by
# one process.
DIRECT_SHARE = 0.1
# Seconds for slow start to end and latencies to be learnt.
WARM_SECONDS = 7.0
READY_SECONDS = 30.0
SERVICE = 'counting'


class PolicyFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one policy reached, in seconds and requests."""

    policy: str
    slow_server: _load.Figures
    overload: _load.Figures
    # Useful answers a second over the slots' capacity.
    overload_useful: float
    expired_in_queue: int


class RoutingReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one run."""

    seed: int
    requests_per_second: float
    half_load: float
    direct: _load.Figures
    through: _load.Figures
    added_p50_ms: float
    added_p99_ms: float
    added_p999_ms: float
    policies: tuple[PolicyFigures, ...]
    slow_p99_over_round_robin: float


class _Site:
    """Own the daemons of a run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._daemons: list[_processes.Daemon] = []
        self._log = standins.LogServer(
            standins.MemoryLog(clock.SystemClock()), settings.Address()
        )
        self.http = settings.Address(port=_processes.find_free_port())
        self._messages = settings.Address(port=_processes.find_free_port())
        self.servers: list[settings.Address] = []
        self._statuses: list[settings.Address] = []

    async def start(self) -> None:
        """Start the log."""
        await self._log.start()

    async def stop(self) -> None:
        """Stop everything, the last started first."""
        while self._daemons:
            await self._daemons.pop().stop()
        await self._log.stop()

    async def start_servers(self, count: int, slowness: float) -> None:
        """Start backend servers in one process, the first one slow."""
        self.servers = [
            settings.Address(port=_processes.find_free_port())
            for _ in range(count)
        ]
        ports = [str(server.port) for server in self.servers]
        daemon = await self._run(
            'servers',
            ('standin', 'backend-server', '--slow-first', str(slowness))
            + tuple(f'--ports={port}' for port in ports),
        )
        for server in self.servers:
            await daemon.wait_ready(server.format_http() + '/health')

    async def start_sidecars(self) -> None:
        """Start a sidecar for every backend server."""
        for number, server in enumerate(self.servers):
            status = settings.Address(port=_processes.find_free_port())
            self._statuses.append(status)
            await self._run_with(
                f'sidecar-{number}',
                'sidecar',
                settings.SidecarSettings(
                    name=f'server-{number}',
                    data_centre='colombo-1',  # type: ignore[arg-type]
                    service=SERVICE,  # type: ignore[arg-type]
                    backend_server=server,
                    http=status,
                    balancer=self.http,
                    slots=SLOTS,
                    heartbeat_interval=0.5,
                    heartbeat_limit=3.0,
                    log=settings.LogSettings(level='WARNING'),
                ),
            )

    async def start_entry(self, policy: str) -> _processes.Daemon:
        """Start an entry and wait until it knows every backend server."""
        daemon = await self._run_with(
            f'entry-{policy}',
            'entry',
            settings.EntrySettings(
                name='entry-1',
                data_centre='colombo-1',  # type: ignore[arg-type]
                http=self.http,
                messages=self._messages,
                platform_log=self._log.address,
                routing=policy,  # type: ignore[arg-type]
                log=settings.LogSettings(level='INFO'),
            ),
        )
        await daemon.wait_ready(self.http.format_http() + '/health')
        deadline = time.monotonic() + READY_SECONDS
        while daemon.read_log().count('joined') < len(self.servers):
            if time.monotonic() > deadline:
                raise errors.UnavailableError(
                    'wait for sidecars', daemon.name, daemon.read_log()[-500:]
                )
            await asyncio.sleep(0.1)
        return daemon

    async def stop_entry(self, daemon: _processes.Daemon) -> None:
        """Stop one entry."""
        self._daemons.remove(daemon)
        await daemon.stop()

    async def count_expired(self) -> int:
        """Return the requests that ever expired in a sidecar's queue."""
        total = 0
        async with aiohttp.ClientSession() as session:
            for status in self._statuses:
                url = status.format_http() + '/metrics'
                async with session.get(url) as response:
                    total += _read_expired(await response.text())
        return total

    async def _run_with(
        self,
        name: str,
        command: str,
        found: settings.EntrySettings | settings.SidecarSettings,
    ) -> _processes.Daemon:
        path = self._folder / f'{name}.yaml'
        path.write_bytes(msgspec.json.encode(found))
        return await self._run(name, (command, '--settings', str(path)))

    async def _run(
        self, name: str, arguments: tuple[str, ...]
    ) -> _processes.Daemon:
        daemon = _processes.Daemon(
            name, arguments, self._folder / f'{name}.log'
        )
        await daemon.start()
        self._daemons.append(daemon)
        return daemon


def _read_expired(text: str) -> int:
    for line in text.splitlines():
        if line.startswith('chivespoke_expired_in_queue_total'):
            return int(float(line.split()[-1]))
    return 0


async def measure_routing(seed: int, seconds: float) -> RoutingReport:
    """Run daemons on loopback and measure; about two minutes."""
    with tempfile.TemporaryDirectory() as folder:
        site = _Site(pathlib.Path(folder))
        await site.start()
        try:
            direct, through, rate = await _measure_added(site, seed, seconds)
        finally:
            await site.stop()
    with tempfile.TemporaryDirectory() as folder:
        site = _Site(pathlib.Path(folder))
        await site.start()
        try:
            await site.start_servers(SERVERS, SLOWNESS)
            await site.start_sidecars()
            found = [
                await _measure_policy(site, policy, seed, seconds)
                for policy in POLICIES
            ]
        finally:
            await site.stop()
    return RoutingReport(
        seed=seed,
        requests_per_second=rate,
        half_load=rate / 2,
        direct=direct,
        through=through,
        added_p50_ms=(through.p50 - direct.p50) * 1000,
        added_p99_ms=(through.p99 - direct.p99) * 1000,
        added_p999_ms=(through.p999 - direct.p999) * 1000,
        policies=tuple(found),
        slow_p99_over_round_robin=(
            found[0].slow_server.p99 / found[1].slow_server.p99
        ),
    )


async def _measure_added(
    site: _Site, seed: int, seconds: float
) -> tuple[_load.Figures, _load.Figures, float]:
    await site.start_servers(1, 1.0)
    await site.start_sidecars()
    await site.start_entry(POLICIES[0])
    url = f'{site.http.format_http()}/services/{SERVICE}/x'
    rate = await _load.measure_capacity(url, SATURATING_CONNECTIONS, seconds)
    # At the same time, so that both meet the same machine.
    direct, through = await _load.measure_together(
        (site.servers[0].format_http() + '/x', url),
        (DIRECT_SHARE * rate / 2, rate / 2),
        seconds,
        seed,
    )
    return direct, through, rate


async def _measure_policy(
    site: _Site, policy: str, seed: int, seconds: float
) -> PolicyFigures:
    entry = await site.start_entry(policy)
    base = site.http.format_http()
    url = f'{base}/services/{SERVICE}/x?ms={RUN_MS}'
    capacity = SERVERS * SLOTS * 1000 / RUN_MS
    await _load.drive(url, capacity * SLOW_LOAD, WARM_SECONDS, seed)
    slow = await _load.drive(url, capacity * SLOW_LOAD, seconds, seed)
    for server in site.servers[:1]:
        await _load.put(server.format_http() + '/slowness?factor=1')
    await _load.drive(url, capacity * SLOW_LOAD, WARM_SECONDS, seed)
    expired = await site.count_expired()
    overload = await _load.drive(
        url, capacity * OVERLOAD, seconds, seed, OVERLOAD_DEADLINE
    )
    expired = await site.count_expired() - expired
    await _load.put(
        site.servers[0].format_http() + f'/slowness?factor={SLOWNESS}'
    )
    await site.stop_entry(entry)
    return PolicyFigures(
        policy=policy,
        slow_server=slow,
        overload=overload,
        overload_useful=overload.useful_per_second / capacity,
        expired_in_queue=expired,
    )
