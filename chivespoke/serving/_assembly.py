"""Assembly of the daemons from their components."""

import collections.abc
import os
import pathlib

import msgspec

from chivespoke import addresses
from chivespoke import agents
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decoding
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import intake
from chivespoke import platform
from chivespoke.serving import _watcher
from chivespoke import telemetry
from chivespoke import web
from chivespoke import web_limits

# The operator's setting for entries, `1` or `0`: while there is too little
# room, jobs are delayed by what that costs their callers.
DELAY_VARIABLE = 'CHIVESPOKE_DELAY_JOBS'
# The operator's settings for what clients may make each server hold.
MAX_CONNECTIONS_VARIABLE = 'CHIVESPOKE_MAX_CONNECTIONS'
BODY_MEMORY_VARIABLE = 'CHIVESPOKE_BODY_MEMORY_BYTES'
# Defaults for a machine with 4,100 descriptors and 168 MB.
MAX_CONNECTIONS = 2048
BODY_MEMORY_BYTES = 32 * web_limits.BYTES_PER_MIB
# Largest body at any address, well above the record of a job in the store.
MAX_BODY_BYTES = 8 * web_limits.BYTES_PER_MIB
# Connections to the addresses that only the platform and neighbours use.
MAX_INTERNAL_CONNECTIONS = 256
# Connections to the store for calls and for long polls.
STORE_CONNECTIONS = 16
READ_CONNECTIONS = 4
# Port of the metrics endpoint; the deployment file names the same port.
METRICS_PORT = 9464


def make_entry(
    path: pathlib.Path, time: clock.Clock
) -> application.Application:
    """Assemble an entry: the API for callers and a coordinator.

    The coordinator takes part in the election of the leader. Raise
    SettingsError if the settings are invalid.
    """
    machine = platform.read_machine_settings(path)
    holder = platform.MachineSettingsHolder(machine)
    call_transport = platform.Transport(
        machine.store_address, STORE_CONNECTIONS
    )
    read_transport = platform.Transport(
        machine.store_address, READ_CONNECTIONS
    )
    store = platform.Store(call_transport, read_transport)
    instruments = telemetry.Telemetry()
    # A restarted process joins as a new member; the membership of the old
    # process expires in the store.
    member = f'{machine.name}-{identifiers.make_incarnation()}'
    coordinator = coordination.Coordinator(
        store,
        machine,
        member,
        time,
        instruments,
        read_delay_setting(os.environ),
    )
    relay_address = addresses.Address(machine.ip, machine.first_port)
    relay = intake.Relay(
        machine.name,
        f'{relay_address.host}:{relay_address.port}',
        coordinator,
        store,
        time,
    )
    submissions = intake.Submissions(
        store, coordinator.ledger, time, instruments
    )
    job_routes = intake.JobRoutes(
        coordinator,
        submissions,
        relay,
        time,
        instruments,
        coordination.compute_max_job_tasks(machine.store_max_record_bytes),
    )
    readiness = intake.Readiness(coordinator, job_routes, time)
    limits = read_limits(os.environ)
    internal_limits = limit_internal(limits)
    return application.Application(
        (
            _watcher.SettingsWatcher(path, holder),
            call_transport,
            read_transport,
            # Stopped after the servers, whose requests wait for it.
            submissions,
            web.HttpServer(
                parse_address(machine.caller_address),
                (job_routes,),
                limits=limits,
            ),
            web.HttpServer(
                parse_address(machine.readiness_address),
                (readiness,),
                limits=internal_limits,
            ),
            web.HttpServer(
                addresses.Address(machine.ip, METRICS_PORT),
                (instruments,),
                limits=internal_limits,
            ),
            web.HttpServer(
                relay_address,
                (
                    coordination.HandoverRoutes(coordinator),
                    intake.NeighbourRoutes(job_routes),
                ),
                limits=internal_limits,
            ),
            readiness,
            relay,
            coordinator,
        )
    )


def make_sidecar(
    path: pathlib.Path, time: clock.Clock
) -> application.Application:
    """Assemble the sidecar of a worker; raise SettingsError."""
    machine = platform.read_machine_settings(path)
    holder = platform.MachineSettingsHolder(machine)
    call_transport = platform.Transport(
        machine.store_address, STORE_CONNECTIONS
    )
    store = platform.Store(call_transport, call_transport)
    instruments = telemetry.Telemetry()
    agent = agents.Agent(holder, store, time, instruments)
    registration_routes = agents.RegistrationRoutes(agent)
    internal_limits = limit_internal(read_limits(os.environ))
    return application.Application(
        (
            _watcher.SettingsWatcher(path, holder),
            call_transport,
            agent,
            web.HttpServer(
                parse_address(machine.registration_address),
                (registration_routes,),
                limits=internal_limits,
            ),
            web.HttpServer(
                addresses.Address(machine.ip, METRICS_PORT),
                (instruments,),
                limits=internal_limits,
            ),
        )
    )


def read_delay_setting(
    environment: collections.abc.Mapping[str, str],
) -> bool:
    """Return whether jobs are delayed by cost; raise SettingsError."""
    text = environment.get(DELAY_VARIABLE, '0')
    if text not in ('0', '1'):
        raise errors.SettingsError(
            'read settings', DELAY_VARIABLE, f'{text!r} is neither 0 nor 1'
        )
    return text == '1'


def read_limits(
    environment: collections.abc.Mapping[str, str],
) -> web_limits.ServerLimits:
    """Return the limits of the server for callers; raise SettingsError."""
    return web_limits.ServerLimits(
        max_connections=read_number(
            environment, MAX_CONNECTIONS_VARIABLE, MAX_CONNECTIONS
        ),
        max_body_bytes=MAX_BODY_BYTES,
        memory_bytes=read_number(
            environment, BODY_MEMORY_VARIABLE, BODY_MEMORY_BYTES
        ),
    )


def limit_internal(
    limits: web_limits.ServerLimits,
) -> web_limits.ServerLimits:
    """Return the limits of a server that callers do not use."""
    return msgspec.structs.replace(
        limits,
        max_connections=min(limits.max_connections, MAX_INTERNAL_CONNECTIONS),
    )


def read_number(
    environment: collections.abc.Mapping[str, str], name: str, default: int
) -> int:
    """Return a number above 0 of the environment; raise SettingsError."""
    text = environment.get(name, str(default))
    if not decoding.is_number(text) or not int(text):
        raise errors.SettingsError(
            'read settings', name, f'{text!r} is no number above 0'
        )
    return int(text)


def find_coordinator(
    entry: application.Application,
) -> coordination.Coordinator:
    """Return the coordinator of an entry.

    Raise SettingsError if the application is not an entry.
    """
    for component in entry.components:
        if isinstance(component, coordination.Coordinator):
            return component
    raise errors.SettingsError(
        'find coordinator', 'entry', 'the application has no coordinator'
    )


def is_leading(entry: application.Application) -> bool:
    """Tell whether an entry is the leader."""
    return find_coordinator(entry).term is not None


def parse_address(text: str) -> addresses.Address:
    """Parse an address of the form ``IP:port``."""
    host, _, port = text.rpartition(':')
    return addresses.Address(host, int(port))
