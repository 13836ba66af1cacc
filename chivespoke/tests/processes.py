"""Run entries and sidecars as processes.

Their log, balancer, servers and workers run in the test process.
"""

import asyncio
import os
import pathlib
import secrets
import signal
import tempfile
import typing

import aiohttp
import ruamel.yaml

from chivespoke import bench
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import settings
from chivespoke import standins
from chivespoke import workers

SERVICE = identifiers.ServiceName('counting')
DATA_CENTRE = identifiers.DataCentreName('colombo-1')
WAIT_TIMEOUT_SECONDS = 40.0
POLL_INTERVAL_SECONDS = 0.1
HEARTBEAT_INTERVAL = 0.25
WORKER_CAPACITY = resources.Resources(8000, 8192, 0)
PATCH_CONTENT_TYPE = 'application/json-patch+json'

Json = typing.Any


class System:
    """Own a small system of a log, entries, servers and sidecars."""

    def __init__(self) -> None:
        self.log = standins.LogServer(
            standins.MemoryLog(clock.SystemClock()), settings.Address()
        )
        self.balancer = standins.Balancer()
        self.servers: list[standins.CountingServer] = []
        self.workers: list[standins.WorkerServer] = []
        self.entries: dict[str, settings.Address] = {}
        self.daemons: dict[str, bench.Daemon] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the caller's HTTP session."""
        assert self._session is not None
        return self._session

    async def start(self, entries: int, sidecars: int) -> None:
        """Start all processes and wait until requests are answered."""
        self._session = aiohttp.ClientSession()
        await self.log.start()
        await self.balancer.start()
        for number in range(entries):
            await self.start_entry(f'entry-{number}')
        for number in range(sidecars):
            await self.start_sidecar(f'sidecar-{number}')
        for name in self.entries if sidecars else ():
            await self.wait_until_served(name)

    async def stop(self) -> None:
        """Kill all processes that still run and release all resources."""
        for name in tuple(self.daemons):
            await self.kill(name)
        for worker in self.workers:
            await worker.stop()
        for server in self.servers:
            await server.stop()
        await self.balancer.stop()
        await self.log.stop()
        await self.session.close()
        self._folder.cleanup()

    async def start_entry(self, name: str) -> None:
        """Start an entry, wait until healthy, add it to the balancer."""
        address = settings.Address(port=bench.find_free_port())
        tree = {
            'name': name,
            'data_centre': DATA_CENTRE,
            'http': _write_address(address),
            'balancer': _write_address(self.balancer.address),
            'platform_log': _write_address(self.log.address),
        }
        daemon = await self._start_daemon('entry', name, tree)
        self.entries[name] = address
        await daemon.wait_ready(f'{address.format_http()}/health')
        self.balancer.targets.append(address)

    async def start_sidecar(self, name: str) -> None:
        """Start a backend server and its sidecar."""
        server = standins.CountingServer(settings.Address())
        await server.start()
        self.servers.append(server)
        await self._start_daemon(
            'sidecar',
            name,
            {
                'name': name,
                'data_centre': DATA_CENTRE,
                'service': SERVICE,
                'backend_server': _write_address(server.address),
                'balancer': _write_address(self.balancer.address),
            },
        )

    async def start_worker(
        self, name: str, data_centre: identifiers.DataCentreName
    ) -> standins.WorkerServer:
        """Start a worker in this process and wait until it registered."""
        worker = standins.WorkerServer(
            workers.Registration(
                worker_id=identifiers.WorkerId(name),
                incarnation=identifiers.make_incarnation(),
                data_centre=data_centre,
                rack=identifiers.RackName(f'{data_centre}-rack'),
                capacity=WORKER_CAPACITY,
            ),
            settings.Address(),
            self.balancer.address,
            clock.SystemClock(),
        )
        await worker.start()
        self.workers.append(worker)
        await asyncio.wait_for(worker.registered.wait(), WAIT_TIMEOUT_SECONDS)
        return worker

    async def _start_daemon(
        self, command: str, name: str, tree: dict[str, Json]
    ) -> bench.Daemon:
        tree['heartbeat_interval'] = HEARTBEAT_INTERVAL
        path = pathlib.Path(self._folder.name) / f'{name}.yaml'
        with path.open('w', encoding='utf-8') as output:
            ruamel.yaml.YAML().dump(tree, output)
        daemon = bench.Daemon(
            name,
            (command, '--settings', str(path)),
            path.with_suffix('.log'),
        )
        await daemon.start()
        self.daemons[name] = daemon
        return daemon

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        daemon = self.daemons.pop(name)
        address = self.entries.pop(name, None)
        if address in self.balancer.targets:
            self.balancer.targets.remove(address)
        self.send_signal(daemon, signal.SIGCONT)
        self.send_signal(daemon, signal.SIGKILL)
        await daemon.stop()

    async def replace_entry(self, name: str, successor: str) -> None:
        """Stop an entry gracefully and start its successor."""
        address = self.entries.pop(name)
        stopping = asyncio.create_task(self.daemons.pop(name).stop())
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self.balancer.targets.remove(address)
        await self.start_entry(successor)
        await stopping

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.send_signal(self.daemons[name], signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.send_signal(self.daemons[name], signal.SIGCONT)

    def send_signal(self, daemon: bench.Daemon, number: int) -> None:
        """Send a signal to a process that this object started."""
        try:
            os.kill(daemon.pid, number)
        except ProcessLookupError:
            # The process has already exited.
            pass

    def count_runs(self, path: str) -> int:
        """Return how often the servers ran a request for a path."""
        return sum(server.runs[path] for server in self.servers)

    async def request(
        self,
        entry: str,
        method: str,
        path: str,
        key: str = '',
        deadline_ms: int = 5000,
    ) -> tuple[int, str, bytes]:
        """Return the status, the outcome and the body of a request."""
        headers = {'Chivespoke-Deadline-Ms': str(deadline_ms)}
        if key:
            headers['Chivespoke-Request-Key'] = key
        url = f'{self.entries[entry].format_http()}/services/{SERVICE}{path}'
        async with self.session.request(
            method, url, headers=headers
        ) as response:
            outcome = response.headers.get('Chivespoke-Outcome', '')
            return response.status, outcome, await response.read()

    async def wait_until_served(self, entry: str) -> None:
        """Wait until a request through an entry is answered."""
        await self.wait_for(lambda: self._is_serving(entry), 'served')

    async def _is_serving(self, entry: str) -> bool:
        """Return whether requests with and without a key are answered."""
        outcomes = [
            (await self.request(entry, 'POST', '/probe', key))[1]
            for key in ('', f'probe-{secrets.token_hex(4)}')
        ]
        return outcomes == ['answered', 'answered']

    async def wait_for(
        self,
        probe: typing.Callable[[], typing.Awaitable[bool]],
        condition: str,
    ) -> None:
        """Wait until a probe returns true; fail with the daemons' logs."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_SECONDS
        while loop.time() < deadline:
            try:
                if await probe():
                    return
            except aiohttp.ClientError:
                # The entry may be starting or stopping.
                pass
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        logs = '\n'.join(
            f'{name}: {daemon.read_log()[-2000:]}'
            for name, daemon in self.daemons.items()
        )
        raise AssertionError(f'timeout while waiting for: {condition}\n{logs}')

    async def submit(self, entry: str, job: Json) -> Json:
        """Submit one job; return the response."""
        url = f'{self.entries[entry].format_http()}/v1/jobs'
        async with self.session.post(url, json={'jobs': [job]}) as response:
            return await response.json()

    async def show_job(self, entry: str, job: str) -> Json:
        """Return the report of a job."""
        url = f'{self.entries[entry].format_http()}/v1/jobs/{job}'
        async with self.session.get(url) as response:
            return await response.json()

    async def get_version(self, entry: str) -> int:
        """Return the configuration version that an entry uses."""
        url = f'{self.entries[entry].format_http()}/configuration'
        async with self.session.get(url) as response:
            body = await response.json()
            return int(body['version'])

    async def patch(
        self, entry: str, base: int, operations: list[Json], patch_id: str
    ) -> tuple[int, Json]:
        """Propose a patch; return the status and the response."""
        url = f'{self.entries[entry].format_http()}/configuration'
        headers = {
            'If-Match': f'"{base}"',
            'Content-Type': PATCH_CONTENT_TYPE,
            'Idempotency-Key': patch_id,
        }
        async with self.session.patch(
            url, json=operations, headers=headers
        ) as response:
            return response.status, await response.json()


def _write_address(address: settings.Address) -> dict[str, Json]:
    return {'host': address.host, 'port': address.port}
