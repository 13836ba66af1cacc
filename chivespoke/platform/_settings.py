"""Reading the settings file that the platform writes for each process."""

import pathlib
import tomllib

import msgspec

from chivespoke import errors

STEP = 'read platform settings'


class _ListenAddresses(msgspec.Struct):
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
    max_record_bytes: int = 262144


class _SettingsFile(msgspec.Struct):
    node_name: str
    machine_class: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    platform: _Store
    listen_addresses: _ListenAddresses
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Address of the worker beside a sidecar; empty for other processes.
    app: str = ''
    service: str = ''
    # Address of the advisor; empty if there is none.
    recommendation: str = ''


class Bounds(msgspec.Struct, frozen=True):
    """Hold the limits and intervals that the platform sets."""

    # Longest lease that a worker grants.
    max_lease_seconds: float
    # Longest time that stopping a run takes.
    max_stop_seconds: float
    # Time for which callers can query a finished job.
    status_retention_seconds: float
    # Time between SIGTERM and SIGKILL.
    shutdown_grace_seconds: float
    # Running time of a task between two checkpoints.
    checkpoint_interval_seconds: float
    # Factor by which a task takes longer outside its preferred rack.
    remote_factor: float


class MachineSettings(msgspec.Struct, frozen=True):
    """Hold the settings of a process for its machine and the platform."""

    name: str
    ip: str
    data_centre: str
    # Addresses for callers' requests and for the load balancer's readiness
    # checks.
    caller_address: str
    readiness_address: str
    # Address at which this machine's worker registers.
    registration_address: str
    # First of the ports for messages between chivespoke processes.
    first_port: int
    store_address: str
    store_min_ttl_seconds: float
    store_max_record_bytes: int
    # Address of this machine's worker; empty if there is none.
    worker_address: str
    # Address of the advisor; empty if there is none.
    advisor_address: str
    bounds: Bounds


class MachineSettingsHolder:
    """Hold the current settings, which a reload replaces."""

    __slots__ = ('machine',)

    def __init__(self, machine: MachineSettings) -> None:
        self.machine = machine


def replace_bounds(
    machine: MachineSettings, bounds: Bounds
) -> MachineSettings:
    """Return a copy of the settings with new bounds."""
    return msgspec.structs.replace(machine, bounds=bounds)


def read_machine_settings(path: pathlib.Path) -> MachineSettings:
    """Read and validate the settings file; raise SettingsError."""
    try:
        content = tomllib.loads(path.read_text(encoding='utf-8'))
        parsed = msgspec.convert(content, _SettingsFile)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(STEP, str(path), str(error)) from error
    bounds = parsed.bounds
    return MachineSettings(
        name=parsed.node_name,
        ip=parsed.ip,
        data_centre=parsed.zone,
        caller_address=parsed.listen_addresses.frontend,
        readiness_address=parsed.listen_addresses.readiness,
        registration_address=parsed.listen_addresses.control,
        first_port=parsed.internal_port_range[0],
        store_address=parsed.platform.address,
        store_min_ttl_seconds=parsed.platform.min_ttl_ms / 1000,
        store_max_record_bytes=parsed.platform.max_record_bytes,
        worker_address=parsed.app,
        advisor_address=parsed.recommendation,
        bounds=Bounds(
            max_lease_seconds=bounds.max_hold_ms / 1000,
            max_stop_seconds=bounds.stop_timeout_ms / 1000,
            status_retention_seconds=bounds.status_s,
            shutdown_grace_seconds=bounds.grace_s,
            checkpoint_interval_seconds=bounds.checkpoint_interval_s,
            remote_factor=bounds.remote_factor,
        ),
    )
