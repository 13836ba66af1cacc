"""Settings of the daemons, read from YAML and checked."""

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
# A peer lapses only after this many heartbeats went missing.
HEARTBEATS_IN_LIMIT = 2
# Keys that only a sidecar's file has.
SIDECAR_KEYS = frozenset({'service', 'backend_server'})


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say how the process writes its own log lines."""

    format: logs.LogFormat = logs.LogFormat.HUMAN
    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the settings of an entry."""

    name: str
    data_centre: identifiers.DataCentreName
    # Callers' and operators' HTTP requests.
    http: Address = Address()
    # Messages from sidecars and other entries.
    messages: Address = Address()
    # The platform's balancer in front of the entries.
    balancer: Address | None = None
    platform_log: Address
    # Seconds for which the log keeps a record.
    platform_log_retention: Positive = 86400.0
    # How backend servers are chosen; the others are for comparison.
    routing: typing.Literal['choice-of-two', 'round-robin', 'random'] = (
        'choice-of-two'
    )
    # Worker groups whose tasks this entry may schedule.
    shards: tuple[str, ...] = ()
    log: LogSettings = LogSettings()
    # Seconds between heartbeats, and of silence after which a peer lapses.
    heartbeat_interval: Positive = 1.0
    heartbeat_limit: Positive = 3.0

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
    # Messages from entries, and the sidecar's own HTTP status and metrics.
    messages: Address = Address()
    http: Address = Address()
    balancer: Address
    slots: PositiveCount = 8
    connections: PositiveCount = 60
    # Requests that may wait for a slot.
    queue_limit: PositiveCount = 64
    log: LogSettings = LogSettings()
    heartbeat_interval: Positive = 1.0
    heartbeat_limit: Positive = 3.0

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
    """Read and check a settings file; raise SettingsError."""
    return yaml_files.read_yaml(path, expected, STEP)


def check_settings(path: pathlib.Path) -> Settings:
    """Read a file as the kind its keys tell; raise SettingsError."""
    keys = yaml_files.read_keys(path, STEP)
    if keys & SIDECAR_KEYS:
        return read_settings(path, SidecarSettings)
    return read_settings(path, EntrySettings)


def _check_heartbeats(interval: float, limit: float) -> None:
    if limit < HEARTBEATS_IN_LIMIT * interval:
        raise ValueError(
            f'heartbeat_limit {limit} s must be at least '
            f'{HEARTBEATS_IN_LIMIT} times heartbeat_interval {interval} s, '
            'or one lost message would look like a lost peer'
        )
