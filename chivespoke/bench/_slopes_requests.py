"""Slope scenarios of entries and sidecars without requests or tasks."""

import asyncio
import contextlib
import pathlib

import msgspec
import ruamel.yaml

from chivespoke import application
from chivespoke.bench import _processes
from chivespoke.bench import _slopes
from chivespoke import capacity
from chivespoke import clock
from chivespoke import daemons
from chivespoke import identifiers
from chivespoke import settings
from chivespoke import standins

DATA_CENTRE = identifiers.DataCentreName('data-centre-1')
SERVICE = identifiers.ServiceName('service-1')
# Time for all entries and sidecars to discover each other.
SETTLE_SECONDS = 6.0


def write_settings(
    folder: pathlib.Path, daemon_settings: settings.Settings
) -> pathlib.Path:
    """Write settings to a YAML file and return its path."""
    path = folder / f'{daemon_settings.name}.yaml'
    with path.open('w', encoding='utf-8') as file:
        ruamel.yaml.YAML(typ='safe', pure=True).dump(
            msgspec.to_builtins(daemon_settings), file
        )
    return path


def make_entry_settings(
    name: str, log: settings.Address, shards: tuple[str, ...] = ()
) -> settings.EntrySettings:
    """Return settings of an entry that listens on free ports."""
    return settings.EntrySettings(
        name=name,
        data_centre=DATA_CENTRE,
        http=settings.Address(port=_processes.find_free_port()),
        messages=settings.Address(port=_processes.find_free_port()),
        platform_log=log,
        shards=shards,
        log=settings.LogSettings(level='WARNING'),
    )


def make_sidecar_settings(
    name: str, backend_server: settings.Address, balancer: settings.Address
) -> settings.SidecarSettings:
    """Return settings of a sidecar that listens on a free port."""
    return settings.SidecarSettings(
        name=name,
        data_centre=DATA_CENTRE,
        service=SERVICE,
        backend_server=backend_server,
        balancer=balancer,
        http=settings.Address(port=_processes.find_free_port()),
        log=settings.LogSettings(level='WARNING'),
    )


async def start_daemon(
    stack: contextlib.AsyncExitStack,
    kind: str,
    daemon_settings: settings.Settings,
    folder: pathlib.Path,
) -> _processes.Daemon:
    """Start a daemon that is stopped when the stack is closed."""
    path = write_settings(folder, daemon_settings)
    daemon = _processes.Daemon(
        daemon_settings.name,
        (kind, '--settings', str(path)),
        folder / f'{daemon_settings.name}.log',
    )
    stack.push_async_callback(daemon.stop)
    await daemon.start()
    await daemon.wait_ready(daemon_settings.http.format_http() + '/health')
    return daemon


async def start_component(
    stack: contextlib.AsyncExitStack,
    component: application.Component | application.Application,
) -> None:
    """Start a component in this process.

    It is stopped when the stack is closed.
    """
    await component.start()
    stack.push_async_callback(component.stop)


async def start_log(
    stack: contextlib.AsyncExitStack,
) -> standins.LogServer:
    """Start an in-memory stand-in for the platform log in this process."""
    server = standins.LogServer(
        standins.MemoryLog(clock.SystemClock()), settings.Address()
    )
    await start_component(stack, server)
    return server


class EntrySidecars(_slopes.Scenario):
    """Measures an entry daemon with a varying number of sidecars.

    The sidecars run in this process.
    """

    __slots__ = ()

    role = capacity.Role.ENTRY
    driver = capacity.Driver.SIDECARS
    sizes = (10, 40, 80, 160)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with contextlib.AsyncExitStack() as stack:
            log = await start_log(stack)
            server = standins.CountingServer(settings.Address())
            await start_component(stack, server)
            entry = make_entry_settings('entry-1', log.address)
            daemon = await start_daemon(stack, 'entry', entry, folder)
            for index in range(size):
                sidecar_settings = make_sidecar_settings(
                    f'sidecar-{index}', server.address, entry.http
                )
                sidecar = daemons.Sidecar(
                    sidecar_settings, clock.SystemClock()
                )
                await start_component(stack, sidecar)
            await asyncio.sleep(SETTLE_SECONDS)
            return _slopes.make_values(await daemon.measure(seconds))


class SidecarEntries(_slopes.Scenario):
    """Measures a sidecar daemon with a varying number of entries.

    The entries run in this process.
    """

    __slots__ = ()

    role = capacity.Role.SIDECAR
    driver = capacity.Driver.PEERS
    sizes = (1, 2, 4, 8)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with contextlib.AsyncExitStack() as stack:
            log = await start_log(stack)
            server = standins.CountingServer(settings.Address())
            await start_component(stack, server)
            entries = []
            for index in range(size):
                entry = daemons.Entry(
                    make_entry_settings(f'entry-{index}', log.address),
                    clock.SystemClock(),
                    balancer_notice_seconds=0.0,
                )
                await start_component(stack, entry)
                entries.append(entry)
            balancer = entries[0]
            for entry in entries[1:]:
                balancer.context.directory.add(
                    entry.context.directory.list_entries()[0], direct=True
                )
            sidecar = make_sidecar_settings(
                'sidecar-1', server.address, balancer.http.address
            )
            daemon = await start_daemon(stack, 'sidecar', sidecar, folder)
            await asyncio.sleep(SETTLE_SECONDS)
            return _slopes.make_values(await daemon.measure(seconds))
