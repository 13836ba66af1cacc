"""Builders of a small platform that runs the daemons."""

import asyncio
import contextlib
import math
import os
import pathlib
import tempfile
import time
import typing

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import platform
from chivespoke import serving
from chivespoke import standins
from chivespoke import web
from chivespoke import workloads

SERVICE = 'service-1'
HOST = 'queue.example'
PREFIX = '/jobs/'
TASK_SECONDS = 0.3
# The limit of leases in the settings.
MAX_HOLD_MS = 10_000
# Start of each worker's first boot.
BORN_MS = 1_790_000_000_000
FIRST_PORT = 7000
# Part of the loopback addresses: each test process has its own block.
LOOPBACK_BLOCK = (100 + os.getpid() // 62500 % 100, os.getpid() // 250 % 250)
SETTINGS_TEMPLATE = """\
node_name = "{name}"
machine_class = "{kind}"
recommendation = "{advisor}"
ip = "{ip}"
zone = "zone-1"
internal_port_range = [{port}, {port}]
app = "{worker}"
[listen_addresses]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
control = "{ip}:8166"
[bounds]
max_hold_ms = 10000
[platform]
address = "{store}"
min_ttl_ms = 1000
"""


def make_configuration(version: int = 1, **route: object) -> bytes:
    """Return the operator's configuration with one queue."""
    return msgspec.json.encode(
        {
            'version': version,
            'routes': [
                {
                    'name': 'queue-1',
                    'host': HOST,
                    'path_prefix': PREFIX,
                    'service': SERVICE,
                    'max_attempts': 2,
                    'stretch': 2.0,
                    'target_completion_ms': 250,
                    **route,
                }
            ],
            'services': [{'name': SERVICE, 'enforces_capacity': True}],
        }
    )


class Daemon:
    """Run one daemon, which can be killed and restarted."""

    def __init__(self, kind: str, path: pathlib.Path, ip: str) -> None:
        self.kind = kind
        self.path = path
        self.ip = ip
        self.application: application.Application | None = None

    async def start(self) -> None:
        """Start the daemon."""
        make = {'edge': serving.make_entry, 'side': serving.make_sidecar}
        self.application = make[self.kind](self.path, clock.SystemClock())
        await self.application.start()

    async def kill(self) -> None:
        """Abort the daemon without a graceful shutdown."""
        if self.application is not None:
            await self.application.abort()
            self.application = None


class Platform:
    """Run a store, workers and the daemons."""

    def __init__(self) -> None:
        self.store = standins.PlatformStore()
        self.ledger = standins.RunLedger()
        self.runners: list[standins.PlatformRunner] = []
        self.entries: list[Daemon] = []
        # Port of the store's server that each entry uses.
        self.store_ports: list[int] = []
        self.sidecars: list[Daemon] = []
        # Indices of the workers that do not register at first.
        self.unregistered: frozenset[int] = frozenset()
        self._servers: list[web.HttpServer] = []
        self._worker_servers: list[web.HttpServer] = []
        self._folder = tempfile.TemporaryDirectory()
        self._stack = contextlib.AsyncExitStack()
        self._address_count = 0
        # If set, the queue requires its advice for all steps.
        self.advisor: standins.PlatformAdvisor | None = None
        self._advisor_address = ''
        self.session: aiohttp.ClientSession | None = None

    async def start(self, entries: int, workers: int) -> None:
        """Start all processes and return once all entries are ready."""
        store = await self._start_server(self.store.make_server())
        await self.store.put('keyed.op', 'config', self._make_configuration())
        if self.advisor is not None:
            self._advisor_address = await self._start_server(
                self.advisor.make_server()
            )
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        for number in range(entries):
            entry_store = await self._start_server(self.store.make_server())
            self.store_ports.append(int(entry_store.rpartition(':')[2]))
            self.entries.append(
                self._make_daemon('edge', f'entry-{number}', entry_store, '')
            )
        for number in range(workers):
            runner = standins.PlatformRunner(
                f'i-{number}',
                SERVICE,
                'zone-1',
                TASK_SECONDS,
                self.ledger,
                BORN_MS,
            )
            runner.advisor = self.advisor
            runner.faults.max_hold_ms = MAX_HOLD_MS
            runner.faults.skips_registration = number in self.unregistered
            server = runner.make_server()
            self._worker_servers.append(server)
            runner.address = await self._start_server(server)
            await runner.start()
            self.runners.append(runner)
            sidecar = self._make_daemon(
                'side', f'sidecar-{number}', store, runner.address
            )
            self.sidecars.append(sidecar)
            runner.register_at(f'{sidecar.ip}:8166')
        for daemon in (*self.entries, *self.sidecars):
            await daemon.start()
        for daemon in self.entries:
            await self.wait_until_ready(daemon)

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in (*self.entries, *self.sidecars):
            await daemon.kill()
        for runner in self.runners:
            await runner.stop()
        await self._stack.aclose()
        for server in self._servers:
            await server.stop()
        self._folder.cleanup()

    async def end_worker(self, number: int) -> None:
        """End a worker for good; its machine then refuses connections."""
        self.runners[number].exit()
        await self._worker_servers[number].stop()

    async def put_cancelled_jobs(self, count: int, payload_bytes: int) -> None:
        """Store the records of cancelled jobs."""
        now_ms = int(time.time() * 1000)
        for number in range(count):
            job = workloads.Job(
                identifier=f'f{number:015x}',
                queue='queue-1',
                terms=workloads.QueueTerms(service=SERVICE),
                payload='w' * payload_bytes,
                steps=(workloads.Step(count=1),),
                accepted_ms=now_ms,
            )
            for record in (
                coordination.encode_job(job),
                coordination.encode_cancel(job.identifier, now_ms),
            ):
                (decoded,) = platform.decode_records(record, 0)
                await self.store.put(
                    coordination.SYSTEM_TOPIC, decoded.key, decoded.value
                )

    async def wait_until_ready(self, daemon: Daemon) -> None:
        """Return once the readiness check of an entry succeeds."""
        assert self.session is not None
        while True:
            url = f'http://{daemon.ip}:8167/ready'
            async with self.session.get(url) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.02)

    async def request(
        self,
        method: str,
        identifier: str,
        body: object = None,
        entry: int = 0,
    ) -> tuple[int, typing.Any]:
        """Send a caller's request; return the status and the decoded body."""
        assert self.session is not None
        url = f'http://{self.entries[entry].ip}:8161{PREFIX}{identifier}'
        async with self.session.request(
            method, url, json=body, headers={'Host': HOST}
        ) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def wait_for_state(
        self, identifier: str, state: str, entry: int = 0
    ) -> None:
        """Return once an entry reports that a job is in a state."""
        while True:
            status, content = await self.request(
                'GET', identifier, entry=entry
            )
            if status == 200 and content['state'] == state:
                return
            await asyncio.sleep(0.05)

    def list_started_runs(self) -> list[standins.Ran]:
        """Return every run that started on any worker."""
        return [ran for runner in self.runners for ran in runner.began]

    def find_ledger(self, entry: int) -> coordination.Ledger:
        """Return the ledger of a running entry."""
        daemon = self.entries[entry].application
        assert daemon is not None
        return serving.find_coordinator(daemon).ledger

    def list_leaders(self) -> list[int]:
        """Return the indices of the entries that lead."""
        return [
            number
            for number, daemon in enumerate(self.entries)
            if daemon.application is not None
            and serving.is_leading(daemon.application)
        ]

    async def age_leader(self) -> None:
        """Let the leader take all leases of earlier ones for past."""
        while True:
            for number in self.list_leaders():
                daemon = self.entries[number].application
                assert daemon is not None
                term = serving.find_coordinator(daemon).term
                assert term is not None
                state = term.engine.state
                # Infinite before the take-over, which sets it.
                if math.isfinite(state.earlier_leases_end_at):
                    state.earlier_leases_end_at = 0.0
                    return
            await asyncio.sleep(0.02)

    def _make_configuration(self) -> bytes:
        if self.advisor is None:
            return make_configuration()
        return make_configuration(
            recommendation={
                'decision_ms': 20,
                'per_worker_ms': 0,
                'valid_ms': int(self.advisor.valid_seconds * 1000),
            }
        )

    async def _start_server(self, server: web.HttpServer) -> str:
        await server.start()
        self._servers.append(server)
        return f'{server.address.host}:{server.address.port}'

    def _make_daemon(
        self, kind: str, name: str, store: str, worker: str
    ) -> Daemon:
        self._address_count += 1
        last_octet = os.getpid() % 250
        ip = (
            f'127.{LOOPBACK_BLOCK[0]}.'
            f'{(LOOPBACK_BLOCK[1] + self._address_count) % 256}.'
            f'{last_octet + 1}'
        )
        path = pathlib.Path(self._folder.name, f'{name}.toml')
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                kind=kind,
                ip=ip,
                port=FIRST_PORT,
                worker=worker,
                store=store,
                advisor=self._advisor_address,
            ),
            encoding='utf-8',
        )
        return Daemon(kind, path, ip)
