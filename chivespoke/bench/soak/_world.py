"""The store, the workers and the daemons of a soak, and harm done to them."""

import asyncio
import collections.abc
import os
import pathlib
import signal

from chivespoke import application
from chivespoke.bench.soak import _daemon
from chivespoke.bench.soak import _proxy
from chivespoke.bench.soak import _schedule
from chivespoke import coordination
from chivespoke import platform
from chivespoke import standins
from chivespoke import web

SERVICE = 'service-1'
TASK_SECONDS = 0.4
BORN_MS = 1_790_000_000_000
NARROW_BYTES_PER_SECOND = 550_000
SLOW_STORE_SECONDS = 0.3
LOST_ANSWERS = 3
CONTROL_PORT = 8166


class World(application.Component):
    """Own every part of a soak."""

    def __init__(
        self, folder: pathlib.Path, entries: int, sidecars: int
    ) -> None:
        self._folder = folder
        self._sidecar_count = sidecars
        self._entry_count = entries
        self.store = standins.PlatformStore()
        self.ledger = standins.RunLedger()
        self.runners: list[standins.PlatformRunner] = []
        self.daemons: dict[str, _daemon.SoakDaemon] = {}
        self._proxies: dict[str, _proxy.LinkProxy] = {}
        self._servers: list[web.HttpServer] = []
        # In the order of the runners.
        self._worker_servers: list[web.HttpServer] = []
        self._worker_links: list[_proxy.LinkProxy] = []
        # Number of faults that hold each kind of harm, by target.
        self._held: dict[tuple[str, _schedule.FaultKind], int] = {}
        # Whether the operator writes as fast as it can.
        self.is_storm = False
        # Spans of the faults so far, by the clock of the event loop.
        self.faults: list[tuple[float, float]] = []

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the names of the entries."""
        return tuple(f'entry-{each}' for each in range(self._entry_count))

    @property
    def sidecars(self) -> tuple[str, ...]:
        """Return the names of the sidecars."""
        return tuple(f'sidecar-{each}' for each in range(self._sidecar_count))

    async def start(self) -> None:
        store = self.store.make_server()
        await store.start()
        self._servers.append(store)
        for number, name in enumerate((*self.entries, *self.sidecars)):
            proxy = _proxy.LinkProxy(store.address.host, store.address.port)
            await proxy.start()
            self._proxies[name] = proxy
            is_entry = name in self.entries
            runner = None if is_entry else await self._start_runner(number)
            daemon = _daemon.SoakDaemon(
                name,
                'entry' if is_entry else 'sidecar',
                make_loopback_address(number),
                proxy.address,
                runner.address if runner is not None else '',
                self._folder,
            )
            self.daemons[name] = daemon
            await daemon.start()
            if runner is not None:
                runner.register_at(self._find_control(name))

    def find_control_url(self, sidecar: str) -> str:
        """Return the URL at which a sidecar takes registrations."""
        return f'http://{self._find_control(sidecar)}'

    def _find_control(self, sidecar: str) -> str:
        return f'{self.daemons[sidecar].ip}:{CONTROL_PORT}'

    async def stop(self) -> None:
        for daemon in self.daemons.values():
            await daemon.stop()
        for proxy in self._proxies.values():
            await proxy.stop()
        for link in self._worker_links:
            await link.stop()
        for runner in self.runners:
            await runner.stop()
        for server in (*self._worker_servers, *self._servers):
            await server.stop()

    async def _start_runner(self, number: int) -> standins.PlatformRunner:
        runner = standins.PlatformRunner(
            f'i-{number}',
            SERVICE,
            'zone-1',
            TASK_SECONDS,
            self.ledger,
            BORN_MS,
        )
        server = runner.make_server()
        await server.start()
        self._worker_servers.append(server)
        link = _proxy.LinkProxy(server.address.host, server.address.port)
        await link.start()
        self._worker_links.append(link)
        runner.address = link.address
        runner.faults.max_hold_ms = _daemon.MAX_HOLD_MS
        await runner.start()
        self.runners.append(runner)
        return runner

    def list_exited(self) -> list[str]:
        """Return the names of the daemons whose processes have ended."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.has_exited_by_itself()
        ]

    async def do_harm(self, fault: _schedule.Fault) -> None:
        """Bring a fault about and end it after its time."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        await self._do_harm(fault)
        self.faults.append((begin, loop.time()))

    async def _do_harm(self, fault: _schedule.Fault) -> None:
        kind = fault.kind
        if kind in _schedule.LINK_FAULTS:
            await self._harm_link(fault)
        elif kind is _schedule.FaultKind.STORM:
            await self._hold(fault, self._set_storm)
        elif kind in _schedule.STORE_FAULTS:
            await self._harm_store(fault)
        elif kind is _schedule.FaultKind.RUNNER_GONE:
            await self._lose_worker(self.sidecars.index(fault.target))
        elif kind is _schedule.FaultKind.RUNNER_RETURNS:
            await self._start_worker_again(
                self.sidecars.index(fault.target), fault.seconds
            )
        elif kind is _schedule.FaultKind.RUNNER_CUT:
            await self._cut_worker(fault)
        elif kind is _schedule.FaultKind.SIDECAR_GONE:
            await self.daemons[fault.target].end()
        elif kind is _schedule.FaultKind.PAUSE:
            await self.daemons[fault.target].pause(fault.seconds)
        elif kind is _schedule.FaultKind.RELOAD:
            self.daemons[fault.target].send(signal.SIGHUP)
        else:
            await self.daemons[fault.target].restart(
                kind is _schedule.FaultKind.TERMINATE
            )

    async def _lose_worker(self, number: int) -> None:
        """End a worker for good; its address refuses connections."""
        self.runners[number].exit()
        await self._worker_links[number].stop()
        await self._worker_servers[number].stop()

    async def _start_worker_again(self, number: int, seconds: float) -> None:
        """Let a worker end without a word, and start again after a time."""
        runner, link = self.runners[number], self._worker_links[number]
        link.go_dark()
        runner.exit()
        await asyncio.sleep(seconds)
        runner.restart(runner.born_ms + int(seconds * 1000) + 1)
        link.return_from_dark()

    async def _cut_worker(self, fault: _schedule.Fault) -> None:
        """Let nothing pass between a worker and its sidecar."""
        number = self.sidecars.index(fault.target)

        def apply(held: bool) -> None:
            self._worker_links[number].is_cut = held
            self.runners[number].faults.skips_registration = held

        await self._hold(fault, apply)

    async def _harm_link(self, fault: _schedule.Fault) -> None:
        proxy = self._proxies[fault.target]

        def apply(held: bool) -> None:
            if fault.kind is _schedule.FaultKind.CUT:
                proxy.is_cut = held
            elif fault.kind is _schedule.FaultKind.RESET:
                proxy.resets = held
                if held:
                    proxy.abort_connections()
            else:
                proxy.bytes_per_second = NARROW_BYTES_PER_SECOND * held

        await self._hold(fault, apply)

    async def _harm_store(self, fault: _schedule.Fault) -> None:
        faults = self.store.faults

        def apply(held: bool) -> None:
            if fault.kind is _schedule.FaultKind.STORE_REFUSES:
                faults.refuse_with = 503 * held
            elif fault.kind is _schedule.FaultKind.STORE_SLOW:
                faults.delay = SLOW_STORE_SECONDS * held
            elif held and fault.kind is _schedule.FaultKind.STORE_FORGETS:
                for topic in (
                    platform.OPERATOR_TOPIC,
                    coordination.SYSTEM_TOPIC,
                ):
                    self.store.forget_history(topic)
            elif held:
                faults.lose_answers += LOST_ANSWERS

        await self._hold(fault, apply)

    async def _hold(
        self,
        fault: _schedule.Fault,
        apply: collections.abc.Callable[[bool], None],
    ) -> None:
        """Hold a harm until the last fault that holds it is over."""
        key = (fault.target, fault.kind)
        self._held[key] = self._held.get(key, 0) + 1
        apply(True)
        await asyncio.sleep(fault.seconds)
        self._held[key] -= 1
        if not self._held[key]:
            apply(False)

    def _set_storm(self, held: bool) -> None:
        self.is_storm = held


def make_loopback_address(number: int) -> str:
    """Return a loopback address that no other soak of this machine has."""
    process = os.getpid()
    block = 60 + process // 250 % 40
    return f'127.{block}.{process % 250 + 1}.{number + 1}'
