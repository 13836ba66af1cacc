"""Commands on the versioned configuration."""

import datetime
import getpass
import json as json_module
import pathlib
import typing

import cyclopts
import msgspec
import ruamel.yaml
from ruamel.yaml import error as yaml_error

from chivespoke.cli import _entries
from chivespoke.cli import _entry_client
from chivespoke.cli import _exit_codes
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
    help='Show, patch and follow the numbered configuration.',
    help_epilogue=EPILOGUE,
)
# Characters of a value that a table shows.
VALUE_WIDTH = 50


@CONFIG.command
def show(
    version: int | None = None,
    *,
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Show the newest version, or an older one that is still kept."""
    wanted = None if version is None else identifiers.Version(version)
    answer = _entries.ask_entry(entry, lambda client: client.show(wanted))
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
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """List the newest versions: who made them and what they touched."""
    found = _entries.ask_entry(
        entry, lambda client: client.list_history(limit)
    )
    if json:
        _output.print_json(found)
        return
    rows = [
        (
            str(accepted.version),
            _format_time(accepted.proposed_at),
            accepted.author,
            ', '.join(accepted.describe().paths),
        )
        for accepted in reversed(found)
    ]
    _output.print_table(
        'history, newest first', ('version', 'proposed', 'by', 'paths'), rows
    )


@CONFIG.command
def diff(
    older: int,
    newer: int,
    *,
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Show what changed from version OLDER to version NEWER."""
    found = _entries.ask_entry(
        entry,
        lambda client: client.diff(
            identifiers.Version(older), identifiers.Version(newer)
        ),
    )
    if json:
        _output.print_json(found)
        return
    _print_operations(f'version {older} to {newer}', found.operations)


@CONFIG.command
def patch(
    file: pathlib.Path,
    *,
    base: int,
    dry_run: bool = False,
    rebase: bool = False,
    patch_id: str = '',
    author: str = '',
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Propose a patch; it becomes the next version or is refused.

    Parameters
    ----------
    file
        Operations of RFC 6902, in JSON or YAML.
    base
        The version that the patch was written against.
    dry_run
        Show what would be stopped, moved or become impossible to place.
    rebase
        Apply it to a newer version where no path touches another's.
    patch_id
        Repeat an earlier patch; its first result is shown.
    author
        Who proposes; the user's name if not given.
    """
    operations = read_operations(file)
    version = identifiers.Version(base)
    if dry_run:
        trial = _entries.ask_entry(
            entry, lambda client: client.try_patch(version, operations)
        )
        if json:
            _output.print_json(trial)
        else:
            _print_impact(trial.impact)
            _print_decision(trial.decision, 'would be ')
        return _find_exit_code(trial.decision)
    proposal_id = identifiers.ProposalId(
        patch_id or identifiers.make_proposal_id()
    )
    decision = _entries.ask_entry(
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
    """Check a whole document, in JSON or YAML, without any entry."""
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
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Wait until a version is in force everywhere, or show who lags."""
    found = _entries.ask_entry(
        entry,
        lambda client: client.wait(identifiers.Version(version), seconds),
    )
    if json:
        _output.print_json(found)
    else:
        print_in_force(found)
    return _exit_codes.DONE if found.is_complete() else _exit_codes.FAILED


def read_operations(file: pathlib.Path) -> tuple[operators.Operation, ...]:
    """Read a patch; raise SettingsError."""
    try:
        return operators.decode_operations(
            json_module.dumps(_read_file(file)).encode()
        )
    except (operators.PatchError, TypeError) as error:
        raise errors.SettingsError(
            'read a patch', str(file), str(error)
        ) from error


def print_in_force(found: operators.VersionRollout) -> None:
    """Print how far a version has come and who lags, by how long."""
    _output.print_line(
        f'version {found.version}: in force at {found.in_force} of '
        f'{found.processes} processes'
    )
    rows = [
        (
            laggard.report.name,
            laggard.report.kind,
            laggard.report.data_centre,
            str(laggard.report.version),
            'long' if laggard.behind is None else f'{laggard.behind:.1f} s',
            laggard.report.trouble,
        )
        for laggard in found.laggards
    ]
    if rows:
        _output.print_table(
            'lagging',
            ('process', 'kind', 'data centre', 'version', 'behind', 'why'),
            rows,
        )
    for report in found.differing:
        _output.print_line(f'another history at {report.name}')
    for name in found.unreachable:
        _output.print_line(f'no report from {name}')


def _read_file(file: pathlib.Path) -> typing.Any:
    try:
        text = file.read_text(encoding='utf-8')
        # JSON is read by the same rules.
        return ruamel.yaml.YAML(typ='safe', pure=True).load(text)
    except (OSError, UnicodeDecodeError, yaml_error.YAMLError) as error:
        raise errors.SettingsError(
            'read a file', str(file), str(error)
        ) from error


def _print_decision(decision: operators.Decision, tense: str) -> None:
    if decision.accepted:
        _output.print_line(
            f'patch {decision.proposal_id}: {tense}accepted as version '
            f'{decision.version}'
        )
        return
    where = f' at {decision.path}' if decision.path else ''
    _output.print_line(
        f'patch {decision.proposal_id}: {tense}refused{where}: '
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
        (kind, line)
        for kind, lines in (
            ('stopped', impact.stopped),
            ('moved', impact.moved),
            ('impossible', impact.impossible),
        )
        for line in lines
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
    return text if len(text) <= VALUE_WIDTH else text[:VALUE_WIDTH] + '...'


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _find_exit_code(decision: operators.Decision) -> int:
    return _exit_codes.DONE if decision.accepted else _exit_codes.REFUSED
