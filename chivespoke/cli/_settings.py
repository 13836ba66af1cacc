"""Commands that check settings files and list their keys."""

import pathlib
import typing

import cyclopts
import msgspec

from chivespoke.cli import _output
from chivespoke import settings
from chivespoke import settings_reference

EPILOGUE = """\
Examples:

  chivespoke settings check examples/entry.yaml

  chivespoke settings keys sidecar --json
"""

SETTINGS = cyclopts.App(
    name='settings',
    help='Check settings files and list their keys.',
    help_epilogue=EPILOGUE,
)


@SETTINGS.command
def check(file: pathlib.Path, *, json: _output.JsonFlag = False) -> None:
    """Check a settings file and print it with every default filled in.

    For an invalid file, print the line, the key and a correction, and exit
    with code 2.

    Parameters
    ----------
    file
        Settings of an entry or a sidecar, in YAML.
    """
    checked = settings.check_settings(file)
    if json:
        _output.print_json(checked)
        return
    kind = type(checked).__name__.removesuffix('Settings').lower()
    rows = _flatten(msgspec.to_builtins(checked), '')
    _output.print_table(f'{file}: valid, {kind}', ('key', 'value'), rows)


@SETTINGS.command
def keys(
    kind: typing.Literal['entry', 'sidecar'],
    *,
    json: _output.JsonFlag = False,
) -> None:
    """List the keys of a kind of settings file, with types and defaults."""
    setting_keys = settings_reference.list_keys(settings.SETTINGS_TYPES[kind])
    if json:
        _output.print_json(setting_keys)
        return
    rows = [(key.name, key.type_name, key.default) for key in setting_keys]
    _output.print_table(
        f'settings of {kind}', ('key', 'type', 'default'), rows
    )


def _flatten(value: dict[str, object], prefix: str) -> list[tuple[str, str]]:
    rows: list[tuple[str, str]] = []
    for key, inner in value.items():
        if isinstance(inner, dict):
            rows.extend(_flatten(inner, f'{prefix}{key}.'))
        else:
            rows.append((f'{prefix}{key}', str(inner)))
    return rows
