"""Commands that read and change the versioned configuration."""

import datetime
import getpass
import json as json_module
import pathlib
import typing

import cyclopts
import msgspec
import ruamel.yaml
from ruamel.yaml import error as yaml_error

from chivespoke.cli import _entry_client
from chivespoke.cli import _exit_codes
from chivespoke.cli import _operator_client
from chivespoke.cli import _output
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators

EPILOGUE = """\
Examples:

  chivespoke config show

  chivespoke config patch --base 41 take-out.yaml --dry-run

  chivespoke config patch --base 41 take-out.yaml

  chivespoke config wait 42
"""
CONFIG = cyclopts.App(
    name='config',
    help='Show and patch the configuration and follow its versions.',
    help_epilogue=EPILOGUE,
)
# Longer values are truncated in tables.
MAX_VALUE_CHARACTERS = 50


@CONFIG.command
def show(
    version: int | None = None,
    *,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Show the newest version, or an older one that is still stored."""
    requested = None if version is None else identifiers.Version(version)
    answer = _operator_client.call_entry(
        entry, lambda client: client.show(requested)
    )
    if json:
        _output.print_json(answer)
        return
    rows = [
        (section, name, _shorten(value))
        for section, entries in answer.document.items()
        for name, value in entries.items()
    ]
    _output.print_table(
        f'configuration, version {answer.version}',
        ('section', 'name', 'value'),
        rows,
    )


@CONFIG.command
def history(
    *,
    limit: int = 20,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """List the newest versions with their authors and changed paths."""
    patches = _operator_client.call_entry(
        entry, lambda client: client.list_history(limit)
    )
    if json:
        _output.print_json(patches)
        return
    rows = [
        (
            str(accepted.version),
            _format_time(accepted.proposed_at),
            accepted.author,
            ', '.join(accepted.describe().paths),
        )
        for accepted in reversed(patches)
    ]
    _output.print_table(
        'history, newest first', ('version', 'proposed', 'by', 'paths'), rows
    )


@CONFIG.command
def diff(
    older: int,
    newer: int,
    *,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Show what changed from version OLDER to version NEWER."""
    difference = _operator_client.call_entry(
        entry,
        lambda client: client.diff(
            identifiers.Version(older), identifiers.Version(newer)
        ),
    )
    if json:
        _output.print_json(difference)
        return
    _print_operations(f'version {older} to {newer}', difference.operations)


@CONFIG.command
def patch(
    file: pathlib.Path,
    *,
    base: int,
    dry_run: bool = False,
    rebase: bool = False,
    patch_id: str = '',
    author: str = '',
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Propose a patch; it becomes the next version or is refused.

    Parameters
    ----------
    file
        JSON Patch operations (RFC 6902), in JSON or YAML.
    base
        The version that the patch is based on.
    dry_run
        Change nothing; show what the patch would stop, move or make
        impossible to place.
    rebase
        Apply the patch to a newer version if its paths do not conflict
        with the changes since the base.
    patch_id
        Idempotency key; repeating that of an earlier patch returns the
        first decision.
    author
        Author of the patch; by default the name of the current user.
    """
    operations = read_operations(file)
    version = identifiers.Version(base)
    if dry_run:
        result = _operator_client.call_entry(
            entry, lambda client: client.try_patch(version, operations)
        )
        if json:
            _output.print_json(result)
        else:
            _print_impact(result.impact)
            _print_decision(result.decision, 'would be ')
        return _find_exit_code(result.decision)
    proposal_id = identifiers.ProposalId(
        patch_id or identifiers.make_proposal_id()
    )
    decision = _operator_client.call_entry(
        entry,
        lambda client: client.patch(
            version, operations, proposal_id, author or _find_user(), rebase
        ),
    )
    if json:
        _output.print_json(decision)
    else:
        _print_decision(decision, '')
    return _find_exit_code(decision)


@CONFIG.command
def validate(file: pathlib.Path, *, json: _output.JsonFlag = False) -> None:
    """Validate a complete configuration file without an entry."""
    tree = _read_file(file)
    try:
        document = operators.validate_tree(
            msgspec.convert(tree, dict[str, typing.Any])
        )
    except operators.InvalidError as error:
        raise errors.SettingsError(
            error.step, f'{file}: {error.peer}', error.detail
        ) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            'validate the configuration', str(file), str(error)
        ) from error
    if json:
        _output.print_json(document)
    else:
        _output.print_line(f'{file}: valid')


@CONFIG.command
def wait(
    version: int,
    *,
    seconds: int = 16,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Wait until every process uses a version, or show those that lag."""
    rollout = _operator_client.call_entry(
        entry,
        lambda client: client.wait(identifiers.Version(version), seconds),
    )
    if json:
        _output.print_json(rollout)
    else:
        print_rollout(rollout)
    return _exit_codes.DONE if rollout.is_complete() else _exit_codes.FAILED


def read_operations(file: pathlib.Path) -> tuple[operators.Operation, ...]:
    """Return the operations of a patch file.

    Raise SettingsError if it cannot be read or is not a patch.
    """
    try:
        return operators.decode_operations(
            json_module.dumps(_read_file(file)).encode()
        )
    except (operators.PatchError, TypeError) as error:
        raise errors.SettingsError(
            'read a patch', str(file), str(error)
        ) from error


def print_rollout(rollout: operators.VersionRollout) -> None:
    """Print which processes do not use a version yet and how far they lag."""
    _output.print_line(
        f'version {rollout.version}: in force at {rollout.in_force} of '
        f'{rollout.processes} processes'
    )
    rows = [
        (
            process.report.name,
            process.report.kind,
            process.report.data_centre,
            str(process.report.version),
            'long' if process.behind is None else f'{process.behind:.1f} s',
            process.report.trouble,
        )
        for process in rollout.laggards
    ]
    if rows:
        _output.print_table(
            'lagging',
            ('process', 'kind', 'data centre', 'version', 'behind', 'why'),
            rows,
        )
    for report in rollout.differing:
        _output.print_line(f'different configuration digest at {report.name}')
    for name in rollout.unreachable:
        _output.print_line(f'no report from {name}')


def _read_file(file: pathlib.Path) -> typing.Any:
    try:
        text = file.read_text(encoding='utf-8')
        # JSON documents are valid YAML, so one parser reads both.
        return ruamel.yaml.YAML(typ='safe', pure=True).load(text)
    except (OSError, UnicodeDecodeError, yaml_error.YAMLError) as error:
        raise errors.SettingsError(
            'read a file', str(file), str(error)
        ) from error


def _print_decision(decision: operators.Decision, prefix: str) -> None:
    if decision.accepted:
        _output.print_line(
            f'patch {decision.proposal_id}: {prefix}accepted as version '
            f'{decision.version}'
        )
        return
    location = f' at {decision.path}' if decision.path else ''
    _output.print_line(
        f'patch {decision.proposal_id}: {prefix}refused{location}: '
        f'{decision.reason}'
    )
    rows = [
        (str(change.version), change.author, ', '.join(change.paths))
        for change in decision.changed
    ]
    if rows:
        _output.print_table(
            'accepted since the base', ('version', 'by', 'paths'), rows
        )


def _print_impact(impact: operators.Impact) -> None:
    rows = [
        (kind, item)
        for kind, items in (
            ('stopped', impact.stopped),
            ('moved', impact.moved),
            ('impossible', impact.impossible),
        )
        for item in items
    ]
    _output.print_table('would be', ('what', 'which'), rows or [('-', 'none')])


def _print_operations(
    title: str, operations: tuple[operators.Operation, ...]
) -> None:
    rows = [
        (
            operation.op.value,
            operation.path,
            operation.source
            or (
                ''
                if operation.value is msgspec.UNSET
                else _shorten(operation.value)
            ),
        )
        for operation in operations
    ]
    _output.print_table(title, ('what', 'path', 'value'), rows)


def _shorten(value: typing.Any) -> str:
    text = json_module.dumps(value)
    return (
        text
        if len(text) <= MAX_VALUE_CHARACTERS
        else text[:MAX_VALUE_CHARACTERS] + '...'
    )


def _format_time(seconds: float) -> str:
    timestamp = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return timestamp.strftime('%Y-%m-%d %H:%M:%SZ')


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _find_exit_code(decision: operators.Decision) -> int:
    return _exit_codes.DONE if decision.accepted else _exit_codes.REFUSED
