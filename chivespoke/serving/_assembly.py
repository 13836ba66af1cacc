"""Composing the platform's daemons from their parts."""

import pathlib

from chivespoke import addresses
from chivespoke import agents
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import intake
from chivespoke import platform
from chivespoke.serving import _watcher
from chivespoke import telemetry
from chivespoke import web

# Connections to the store for calls, and for reads that wait.
STORE_CONNECTIONS = 16
READ_CONNECTIONS = 4
# Where metrics are served; the deploy file names the same port.
METRICS_PORT = 9464


def make_entry(
    path: pathlib.Path, time: clock.Clock
) -> application.Application:
    """Compose an entry: the callers' door, and a part that may lead.

    Raise SettingsError if the settings cannot be used.
    """
    machine = platform.read_machine_settings(path)
    holder = platform.MachineSettingsHolder(machine)
    calls = platform.Transport(machine.store_address, STORE_CONNECTIONS)
    reads = platform.Transport(machine.store_address, READ_CONNECTIONS)
    store = platform.Store(calls, reads)
    instruments = telemetry.Telemetry()
    # A process that restarts is another member: what the store still holds
    # for the one before lapses by itself.
    member = f'{machine.name}-{identifiers.make_incarnation()}'
    coordinator = coordination.Coordinator(
        store, machine, member, time, instruments
    )
    desk = intake.JobDesk(coordinator, store, time, instruments)
    readiness = intake.Readiness(coordinator, desk, time)
    return application.Application(
        (
            _watcher.SettingsWatcher(path, holder),
            calls,
            reads,
            web.HttpServer(parse_address(machine.caller_address), (desk,)),
            web.HttpServer(
                parse_address(machine.readiness_address), (readiness,)
            ),
            web.HttpServer(
                addresses.Address(machine.ip, METRICS_PORT), (instruments,)
            ),
            readiness,
            coordinator,
        )
    )


def make_sidecar(
    path: pathlib.Path, time: clock.Clock
) -> application.Application:
    """Compose the process beside a worker; raise SettingsError."""
    machine = platform.read_machine_settings(path)
    holder = platform.MachineSettingsHolder(machine)
    calls = platform.Transport(machine.store_address, STORE_CONNECTIONS)
    store = platform.Store(calls, calls)
    instruments = telemetry.Telemetry()
    agent = agents.Agent(holder, store, time, instruments)
    desk = agents.RegistrationHandler(agent)
    return application.Application(
        (
            _watcher.SettingsWatcher(path, holder),
            calls,
            agent,
            web.HttpServer(
                parse_address(machine.registration_address), (desk,)
            ),
            web.HttpServer(
                addresses.Address(machine.ip, METRICS_PORT), (instruments,)
            ),
        )
    )


def find_coordinator(
    entry: application.Application,
) -> coordination.Coordinator:
    """Return the part of an entry that may lead; raise SettingsError."""
    for component in entry.components:
        if isinstance(component, coordination.Coordinator):
            return component
    raise errors.SettingsError('find coordinator', 'entry', 'not an entry')


def is_leading(entry: application.Application) -> bool:
    """Tell whether an entry leads."""
    return find_coordinator(entry).term is not None


def parse_address(text: str) -> addresses.Address:
    """Return an address given as an IP number and a port."""
    host, _, port = text.rpartition(':')
    return addresses.Address(host, int(port))
