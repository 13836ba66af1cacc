"""Commands that take data centres out of service and return them."""

import getpass
import typing

import cyclopts
import msgspec

from chivespoke.cli import _entry_client
from chivespoke.cli import _output
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators

DATA_CENTRE = cyclopts.App(
    name='data-centre',
    help='Take data centres out of service and return them.',
)
DEFAULT_ENTRY = 'http://127.0.0.1:8080'


class _Shown(msgspec.Struct):
    """Hold what is read of an entry's configuration."""

    version: identifiers.Version
    document: dict[str, typing.Any]


@DATA_CENTRE.command(name='take-out')
def take_out(
    name: str,
    *,
    by_deadline: float = 0.0,
    declare_dead: bool = False,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """Take a data centre out; its work leaves within some seconds.

    Declare it dead only when every machine there is: its tasks then run
    elsewhere without waiting for their leases.
    """
    state = operators.ServiceState.OUT_OF_SERVICE
    _patch(entry, name, json, state, by_deadline, declare_dead)


@DATA_CENTRE.command(name='return')
def return_to_service(
    name: str,
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """Return a data centre; it is refilled gradually."""
    state = operators.ServiceState.IN_SERVICE
    _patch(entry, name, json, state, 0.0, False)


@DATA_CENTRE.command(name='list')
def list_data_centres(
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """List the data centres."""
    found = _fetch(entry)[1]
    if json:
        _output.print_json(found)
        return
    _output.print_table(
        'Data centres',
        ('name', 'region', 'state', 'leaves within s', 'declared dead'),
        [
            (
                name,
                each.region,
                each.state.value,
                each.leave_within,
                'yes' if each.declared_dead else '',
            )
            for name, each in sorted(found.items())
        ],
    )


def _patch(
    entry: str,
    name: str,
    json: bool,
    state: operators.ServiceState,
    leave_within: float,
    declared_dead: bool,
) -> None:
    version, known = _fetch(entry)
    if name not in known:
        raise errors.RefusedError(
            'patch the configuration', name, f'known: {", ".join(known)}'
        )
    fields = {
        'state': state.value,
        'leave_within': leave_within,
        'declared_dead': declared_dead,
    }
    operations = [
        {'op': 'add', 'path': f'/data_centres/{name}/{key}', 'value': value}
        for key, value in fields.items()
    ]
    decision = _entry_client.ask(
        entry,
        'PATCH',
        '/configuration?rebase=true',
        operators.Decision,
        operations,
        {
            'If-Match': f'"{version}"',
            'Content-Type': operators.PATCH_TYPE,
            operators.AUTHOR_HEADER: getpass.getuser(),
            operators.PATCH_ID_HEADER: identifiers.make_proposal_id(),
        },
    )
    if json:
        _output.print_json(decision)
    else:
        _output.print_line(
            f'{name} is {state.value} as of version {decision.version}'
        )


def _fetch(
    entry: str,
) -> tuple[
    identifiers.Version, dict[identifiers.DataCentreName, operators.DataCentre]
]:
    shown = _entry_client.ask(entry, 'GET', '/configuration', _Shown)
    section = shown.document.get('data_centres', {})
    return shown.version, {
        name: msgspec.convert(value, operators.DataCentre)
        for name, value in section.items()
    }
