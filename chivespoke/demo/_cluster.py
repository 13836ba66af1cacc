"""The whole system in one process, with fakes of external systems."""

import asyncio

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import daemons
from chivespoke.demo import _settings
from chivespoke import identifiers
from chivespoke import settings
from chivespoke import standins

# Seconds between heartbeats, and without one until a peer expires.
HEARTBEAT_INTERVAL = 0.5
HEARTBEAT_LIMIT = 2.0
# Seconds until the balancer reacts to a failing health check.
BALANCER_NOTICE_SECONDS = 0.1
ANY_ADDRESS = settings.Address()
POLL_SECONDS = 0.05


class Cluster(application.Component):
    """Run a log, entries, workers, backend servers and their sidecars."""

    __slots__ = (
        'log',
        'entries',
        'workers',
        'backend_servers',
        'sidecars',
        '_log_server',
        '_settings',
        '_clock',
        '_started',
    )

    def __init__(
        self, demo: _settings.DemoSettings, clock: clocks.Clock
    ) -> None:
        self._settings = demo
        self._clock = clock
        self.log = standins.MemoryLog(clock)
        self._log_server = standins.LogServer(self.log, ANY_ADDRESS)
        self.entries: list[daemons.Entry] = []
        self.workers: list[standins.WorkerServer] = []
        self.backend_servers: list[standins.CountingServer] = []
        self.sidecars: list[daemons.Sidecar] = []
        self._started: list[
            application.Component | application.Application
        ] = []

    @property
    def log_address(self) -> settings.Address:
        """Return the address of the in-memory log."""
        return self._log_server.address

    @property
    def balancer(self) -> settings.Address:
        """Return the first entry's address, used in place of a balancer."""
        return self.entries[0].http.address

    async def start(self) -> None:
        try:
            await self._start_entries()
            await self._start_service()
            await self._start_workers()
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        while self._started:
            await self._started.pop().stop()

    async def wait_ready(self) -> None:
        """Wait until the cluster is ready.

        Every entry must know all backend servers, and every worker must be
        registered.
        """
        expected = self._settings.service.runners
        while min(map(self._count_available_servers, self.entries)) < expected:
            await asyncio.sleep(POLL_SECONDS)
        for worker in self.workers:
            await worker.registered.wait()

    def choose_data_centre(self, index: int) -> identifiers.DataCentreName:
        """Return the data centre of the n-th process, assigned round-robin."""
        names = self._settings.data_centres
        return names[index % len(names)]

    def _count_available_servers(self, entry: daemons.Entry) -> int:
        service = self._settings.service.name
        return entry.context.registry.count_available(service)

    async def _start(
        self, component: application.Component | application.Application
    ) -> None:
        await component.start()
        self._started.append(component)

    async def _start_entries(self) -> None:
        await self._start(self._log_server)
        for index in range(self._settings.entries):
            entry = daemons.Entry(
                settings.EntrySettings(
                    name=f'entry-{index + 1}',
                    data_centre=self.choose_data_centre(index),
                    platform_log=self.log_address,
                    heartbeat_interval=HEARTBEAT_INTERVAL,
                    heartbeat_limit=HEARTBEAT_LIMIT,
                ),
                self._clock,
                balancer_notice_seconds=BALANCER_NOTICE_SECONDS,
            )
            await self._start(entry)
            self.entries.append(entry)

    async def _start_service(self) -> None:
        service = self._settings.service
        for index in range(service.runners):
            server = standins.CountingServer(ANY_ADDRESS)
            await self._start(server)
            self.backend_servers.append(server)
            sidecar = daemons.Sidecar(
                settings.SidecarSettings(
                    name=f'{service.name}-{index + 1}',
                    data_centre=self.choose_data_centre(index),
                    service=service.name,
                    backend_server=server.address,
                    balancer=self.balancer,
                    slots=service.slots,
                    connections=service.connections,
                    heartbeat_interval=HEARTBEAT_INTERVAL,
                    heartbeat_limit=HEARTBEAT_LIMIT,
                ),
                self._clock,
            )
            await self._start(sidecar)
            self.sidecars.append(sidecar)

    async def _start_workers(self) -> None:
        workers = self._settings.workers
        for index in range(workers.count):
            data_centre = self.choose_data_centre(index)
            rack_index = index // (
                workers.per_rack * len(self._settings.data_centres)
            )
            worker = standins.WorkerServer(
                standins.make_worker_registration(
                    f'worker-{index + 1}',
                    data_centre,
                    f'{data_centre}-rack-{rack_index + 1}',
                    workers.capacity,
                ),
                ANY_ADDRESS,
                self.balancer,
                self._clock,
            )
            await self._start(worker)
            self.workers.append(worker)
