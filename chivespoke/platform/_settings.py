"""The settings file that the platform writes for each process."""

import pathlib
import tomllib

import msgspec

from chivespoke import errors

STEP = 'read platform settings'


class _Listen(msgspec.Struct):
    frontend: str = ''
    readiness: str = ''
    control: str = ''


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    memory_mb: int = 0


class _Bounds(msgspec.Struct):
    drain_ms: int = 2000
    grace_s: float = 6
    config_apply_ms: int = 2000
    max_hold_ms: int = 10000
    stop_timeout_ms: int = 900
    gang_timeout_ms: int = 3000
    cancel_ms: int = 3000
    early_ms: int = 250
    status_s: float = 120
    remote_factor: float = 1.5
    checkpoint_interval_s: float = 1
    pace_ms: int = 100
    interference_ms: int = 4000
    evacuate_ms: int = 5000


class _Store(msgspec.Struct):
    address: str
    min_ttl_ms: int = 1000
    max_request_bytes: int = 2097152


class _File(msgspec.Struct):
    node_name: str
    machine_class: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    platform: _Store
    listen_addresses: _Listen
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Address of the worker beside a sidecar.
    app: str = ''
    service: str = ''
    # Address of the advisor; empty where there is none.
    recommendation: str = ''


class Bounds(msgspec.Struct, frozen=True):
    """Hold the times within which the platform holds us to things."""

    # Longest lease that a worker grants, in seconds.
    max_lease_seconds: float
    # Longest time that stopping a run takes, in seconds.
    max_stop_seconds: float
    # Time in which a finished job can still be asked for, in seconds.
    status_retention_seconds: float
    # Time between SIGTERM and SIGKILL, in seconds.
    grace: float
    # Time of work between two checkpoints, in seconds.
    checkpoint_interval: float
    # How much longer a task takes away from its rack.
    remote_factor: float


class MachineSettings(msgspec.Struct, frozen=True):
    """Hold what a process is told of its machine and its platform."""

    name: str
    ip: str
    data_centre: str
    # Address for callers' requests and for the balancer's checks.
    caller_address: str
    readiness_address: str
    # Address at which the worker of this machine registers.
    registration_address: str
    # Ports free for messages between our own processes.
    first_port: int
    store_address: str
    store_min_ttl_seconds: float
    store_max_request_bytes: int
    # Address of this machine's worker; empty where there is none.
    worker_address: str
    # Address of the advisor on steps; empty where there is none.
    advisor_address: str
    bounds: Bounds


class MachineSettingsHolder:
    """Hold the settings in force; a reload replaces them."""

    __slots__ = ('machine',)

    def __init__(self, machine: MachineSettings) -> None:
        self.machine = machine


def replace_bounds(
    machine: MachineSettings, bounds: Bounds
) -> MachineSettings:
    """Return settings with other bounds."""
    return msgspec.structs.replace(machine, bounds=bounds)


def read_machine_settings(path: pathlib.Path) -> MachineSettings:
    """Read and check the platform's file; raise SettingsError."""
    try:
        content = tomllib.loads(path.read_text(encoding='utf-8'))
        found = msgspec.convert(content, _File)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(STEP, str(path), str(error)) from error
    bounds = found.bounds
    return MachineSettings(
        name=found.node_name,
        ip=found.ip,
        data_centre=found.zone,
        caller_address=found.listen_addresses.frontend,
        readiness_address=found.listen_addresses.readiness,
        registration_address=found.listen_addresses.control,
        first_port=found.internal_port_range[0],
        store_address=found.platform.address,
        store_min_ttl_seconds=found.platform.min_ttl_ms / 1000,
        store_max_request_bytes=found.platform.max_request_bytes,
        worker_address=found.app,
        advisor_address=found.recommendation,
        bounds=Bounds(
            max_lease_seconds=bounds.max_hold_ms / 1000,
            max_stop_seconds=bounds.stop_timeout_ms / 1000,
            status_retention_seconds=bounds.status_s,
            grace=bounds.grace_s,
            checkpoint_interval=bounds.checkpoint_interval_s,
            remote_factor=bounds.remote_factor,
        ),
    )
