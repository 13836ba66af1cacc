"""Settings of entries and sidecars, read from YAML and validated."""

import pathlib
import typing

import msgspec

from chivespoke import addresses
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import yaml_files

Address = addresses.Address
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = typing.Annotated[int, msgspec.Meta(gt=0)]

STEP = 'read settings'
# heartbeat_limit is at least this many heartbeat intervals, so that one lost
# heartbeat does not make a peer count as failed.
MIN_LIMIT_INTERVALS = 2
# Keys that occur only in the settings of a sidecar.
SIDECAR_KEYS = frozenset({'service', 'backend_server'})


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log lines of a process."""

    format: logs.LogFormat = logs.LogFormat.HUMAN
    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the settings of an entry."""

    name: str
    data_centre: identifiers.DataCentreName
    # Serves the HTTP requests of callers and operators.
    http: Address = Address()
    # Receives messages from sidecars and other entries.
    messages: Address = Address()
    # The platform's load balancer in front of the entries.
    balancer: Address | None = None
    platform_log: Address
    # Retention time of records in the log, in seconds.
    platform_log_retention: Positive = 86400.0
    # Policy that chooses backend servers; round-robin and random exist only
    # for comparison.
    routing: typing.Literal['choice-of-two', 'round-robin', 'random'] = (
        'choice-of-two'
    )
    # Worker groups whose tasks this entry may schedule.
    shards: tuple[str, ...] = ()
    log: LogSettings = LogSettings()
    # Seconds between heartbeats, and seconds without a message after which
    # a peer counts as failed.
    heartbeat_interval: Positive = 1.0
    heartbeat_limit: Positive = 3.0
    # HTTP connections at a time, and bytes of the requests that they bring.
    max_connections: PositiveCount = 2048
    body_memory: PositiveCount = 67_108_864

    def __post_init__(self) -> None:
        _check_heartbeats(self.heartbeat_interval, self.heartbeat_limit)


class SidecarSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the settings of a sidecar."""

    name: str
    data_centre: identifiers.DataCentreName
    service: identifiers.ServiceName
    backend_server: Address
    # Receive messages from entries, and serve health checks and metrics.
    messages: Address = Address()
    http: Address = Address()
    balancer: Address
    slots: PositiveCount = 8
    connections: PositiveCount = 60
    # Maximum number of requests that wait for a slot.
    queue_limit: PositiveCount = 64
    log: LogSettings = LogSettings()
    heartbeat_interval: Positive = 1.0
    heartbeat_limit: Positive = 3.0
    max_connections: PositiveCount = 2048
    body_memory: PositiveCount = 67_108_864

    def __post_init__(self) -> None:
        _check_heartbeats(self.heartbeat_interval, self.heartbeat_limit)


Settings = EntrySettings | SidecarSettings
SETTINGS_TYPES: dict[str, type[Settings]] = {
    'entry': EntrySettings,
    'sidecar': SidecarSettings,
}
SettingsType = typing.TypeVar('SettingsType', bound=Settings)


def read_settings(
    path: pathlib.Path, expected: type[SettingsType]
) -> SettingsType:
    """Read and validate a settings file; raise SettingsError."""
    return yaml_files.read_yaml(path, expected, STEP)


def check_settings(path: pathlib.Path) -> Settings:
    """Validate a settings file of either kind; raise SettingsError.

    A file with a key of SIDECAR_KEYS is read as a sidecar's.
    """
    keys = yaml_files.read_keys(path, STEP)
    if keys & SIDECAR_KEYS:
        return read_settings(path, SidecarSettings)
    return read_settings(path, EntrySettings)


def _check_heartbeats(interval: float, limit: float) -> None:
    if limit < MIN_LIMIT_INTERVALS * interval:
        raise ValueError(
            f'heartbeat_limit {limit} s must be at least '
            f'{MIN_LIMIT_INTERVALS} times heartbeat_interval {interval} s, '
            'or one lost heartbeat would make a peer count as failed'
        )
