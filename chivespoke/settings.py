"""Settings of the daemons, read from YAML and checked."""

import pathlib
import re
import typing

import msgspec
import ruamel.yaml
from ruamel.yaml import comments
from ruamel.yaml import error as yaml_error

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = typing.Annotated[int, msgspec.Meta(gt=0)]

STEP = 'read settings'
UNKNOWN_FIELD = re.compile('unknown field `([^`]*)`')


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold an IP number and a port; port 0 takes any free one."""

    host: str = '127.0.0.1'
    port: Port = 0

    def format_http(self) -> str:
        """Return the base URL of an HTTP server there."""
        return f'http://{self.host}:{self.port}'

    def format_tcp(self) -> str:
        """Return the endpoint of a message socket there."""
        return f'tcp://{self.host}:{self.port}'


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
    # Worker groups whose tasks this entry may schedule.
    shards: tuple[str, ...] = ()
    log: LogSettings = LogSettings()
    # Seconds between heartbeats, and of silence after which a peer lapses.
    heartbeat_interval: Positive = 1.0
    heartbeat_limit: Positive = 3.0


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


SettingsType = typing.TypeVar(
    'SettingsType', bound=EntrySettings | SidecarSettings
)


def read_settings(
    path: pathlib.Path, expected: type[SettingsType]
) -> SettingsType:
    """Read and check a settings file; raise SettingsError."""
    tree = _parse_yaml(path)
    try:
        return msgspec.convert(tree, expected)
    except msgspec.ValidationError as error:
        line = _find_line(tree, str(error))
        raise errors.SettingsError(
            STEP, f'{path}:{line}', str(error)
        ) from error


def _parse_yaml(path: pathlib.Path) -> typing.Any:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(STEP, str(path), str(error)) from error
    try:
        return ruamel.yaml.YAML(typ='rt').load(text)
    except yaml_error.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 1
        raise errors.SettingsError(
            STEP, f'{path}:{line}', str(error.problem)
        ) from error


def _find_line(tree: typing.Any, message: str) -> int:
    """Return the line of the key that a validation message names."""
    _, _, location = message.partition('`$')
    keys = location.rstrip('`').strip('.').split('.') if location else []
    unknown = UNKNOWN_FIELD.search(message)
    if unknown is not None:
        keys.append(unknown.group(1))
    line = 1
    for key in keys:
        if not isinstance(tree, comments.CommentedMap) or key not in tree:
            break
        line = tree.lc.key(key)[0] + 1
        tree = tree[key]
    return line
