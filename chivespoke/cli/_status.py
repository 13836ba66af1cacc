"""Commands that show what is and why."""

from chivespoke.cli import _config
from chivespoke.cli import _entries
from chivespoke.cli import _entry_client
from chivespoke.cli import _exit_codes
from chivespoke.cli import _output
from chivespoke import operators


def show_status(
    *,
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> int:
    """Show what calls for a hand first, then versions and streams.

    Exit code 1 means that something calls for a hand.
    """
    status = _entries.ask_entry(entry, lambda client: client.read_status())
    if json:
        _output.print_json(status)
    else:
        _print_status(status)
    return _exit_codes.FAILED if status.troubles else _exit_codes.DONE


def explain(
    kind: str,
    name: str,
    *,
    entry: _entry_client.EntryUrl = _entries.DEFAULT_ADDRESS,
    json: _output.JsonFlag = False,
) -> None:
    """Explain a task, job, service, worker, team or data centre.

    Parameters
    ----------
    kind
        task, job, service, worker, team or data-centre.
    name
        Its name.
    """
    found = _entries.ask_entry(
        entry, lambda client: client.explain(kind, name)
    )
    if json:
        _output.print_json(found)
        return
    _output.print_line(f'{found.kind} {found.name}: {found.what}')
    rows = [('why', reason) for reason in found.why]
    if found.since_version is not None:
        rows.append(('since', f'version {found.since_version}'))
    rows += [('would change it', change) for change in found.would_change]
    rows += list(found.details.items())
    _output.print_table('', ('', ''), rows)


def _print_status(status: operators.Status) -> None:
    state = 'may' if status.may_start_tasks else 'may not'
    _output.print_line(
        f'{status.process}: version {status.version}, {state} start tasks'
    )
    for trouble in status.troubles:
        _output.print_line(f'trouble: {trouble}')
    _config.print_in_force(status.in_force)
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
