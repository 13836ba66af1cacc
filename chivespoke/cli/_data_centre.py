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


class _Configuration(msgspec.Struct):
    """Decode the used fields of the response to GET /configuration."""

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
    """Take a data centre out; its work leaves within BY_DEADLINE seconds.

    Declare it dead only if every machine in it has failed: its tasks then
    run elsewhere without waiting for their leases to expire.
    """
    state = operators.ServiceState.OUT_OF_SERVICE
    _set_state(entry, name, json, state, by_deadline, declare_dead)


@DATA_CENTRE.command(name='return')
def return_to_service(
    name: str,
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """Return a data centre to service; its load grows gradually."""
    state = operators.ServiceState.IN_SERVICE
    _set_state(entry, name, json, state, 0.0, False)


@DATA_CENTRE.command(name='list')
def list_data_centres(
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """List the data centres."""
    data_centres = _fetch_data_centres(entry)[1]
    if json:
        _output.print_json(data_centres)
        return
    _output.print_table(
        'Data centres',
        ('name', 'region', 'state', 'leaves within s', 'declared dead'),
        [
            (
                name,
                data_centre.region,
                data_centre.state.value,
                data_centre.leave_within,
                'yes' if data_centre.declared_dead else '',
            )
            for name, data_centre in sorted(data_centres.items())
        ],
    )


def _set_state(
    entry: str,
    name: str,
    json: bool,
    state: operators.ServiceState,
    leave_within: float,
    declared_dead: bool,
) -> None:
    version, known = _fetch_data_centres(entry)
    if name not in known:
        raise errors.RefusedError(
            'patch the configuration',
            name,
            f'unknown data centre; known: {", ".join(known)}',
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
    decision = _entry_client.send_request(
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


def _fetch_data_centres(
    entry: str,
) -> tuple[
    identifiers.Version, dict[identifiers.DataCentreName, operators.DataCentre]
]:
    configuration = _entry_client.send_request(
        entry, 'GET', '/configuration', _Configuration
    )
    section = configuration.document.get('data_centres', {})
    return configuration.version, {
        name: msgspec.convert(value, operators.DataCentre)
        for name, value in section.items()
    }
