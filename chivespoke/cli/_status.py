"""Commands that show the status and explain the state of an object."""

from chivespoke.cli import _config
from chivespoke.cli import _entry_client
from chivespoke.cli import _exit_codes
from chivespoke.cli import _operator_client
from chivespoke.cli import _output
from chivespoke import operators


def show_status(
    *,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Show what needs attention first, then versions and streams.

    Exit code 1 means that something needs attention.
    """
    status = _operator_client.call_entry(
        entry, lambda client: client.read_status()
    )
    if json:
        _output.print_json(status)
    else:
        _print_status(status)
    return _exit_codes.FAILED if status.troubles else _exit_codes.DONE


def explain(
    kind: str,
    name: str,
    *,
    entry: _entry_client.EntryUrl = _operator_client.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Explain a task, job, service, worker, team or data centre.

    Parameters
    ----------
    kind
        task, job, service, worker, team or data-centre.
    name
        Name of the object.
    """
    explanation = _operator_client.call_entry(
        entry, lambda client: client.explain(kind, name)
    )
    if json:
        _output.print_json(explanation)
        return
    _output.print_line(
        f'{explanation.kind} {explanation.name}: {explanation.what}'
    )
    rows = [('why', reason) for reason in explanation.why]
    if explanation.since_version is not None:
        rows.append(('since', f'version {explanation.since_version}'))
    rows += [
        ('would change it', change) for change in explanation.would_change
    ]
    rows += list(explanation.details.items())
    _output.print_table('', ('', ''), rows)


def _print_status(status: operators.Status) -> None:
    permission = 'may' if status.may_start_tasks else 'may not'
    _output.print_line(
        f'{status.process}: version {status.version}, {permission} start tasks'
    )
    for trouble in status.troubles:
        _output.print_line(f'trouble: {trouble}')
    _config.print_rollout(status.in_force)
    _output.print_table(
        'streams',
        ('stream', 'next offset', 'proven', 'relayed'),
        [
            (
                stream.stream,
                stream.next_offset,
                'never'
                if stream.proof_age is None
                else f'{stream.proof_age:.1f} s ago',
                stream.relayed_records,
            )
            for stream in status.streams
        ],
    )
    for section in status.sections:
        _output.print_table(
            section.title, ('', ''), list(section.lines.items())
        )
