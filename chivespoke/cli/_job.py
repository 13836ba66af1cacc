"""Commands that submit, cancel and show jobs."""

import pathlib
import time
import typing

import cyclopts
import msgspec

from chivespoke.cli import _entry_client
from chivespoke.cli import _exit_codes
from chivespoke.cli import _output
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import scheduling
from chivespoke import yaml_files

JOB = cyclopts.App(name='job', help='Submit, cancel and follow jobs.')
DEFAULT_ENTRY = 'http://127.0.0.1:8080'
READ_STEP = 'read jobs'
POLL_INTERVAL_SECONDS = 0.5
ENDED_STATES = frozenset(('completed', 'failed', 'cancelled'))
Answers = list[scheduling.JobAnswer]


@JOB.command(name='submit')
def submit_jobs(
    file: pathlib.Path,
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> int:
    """Submit the jobs of a YAML or JSON file; repeating it is safe."""
    request = read_jobs(file)
    answers = _entry_client.send_request(
        entry, 'POST', '/v1/jobs', Answers, request
    )
    return _print_answers('Submitted jobs', answers, json)


@JOB.command(name='cancel')
def cancel_jobs(
    *names: str,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> int:
    """Cancel jobs by their ids."""
    answers = _entry_client.send_request(
        entry, 'POST', '/v1/jobs/cancel', Answers, {'jobs': names}
    )
    return _print_answers('Cancelled jobs', answers, json)


@JOB.command(name='show')
def show_job(
    name: str,
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """Show one job and the exact counts of its tasks."""
    report = _fetch_report(entry, name)
    if json:
        _output.print_json(report)
        return
    rows = [
        (field, value)
        for field, value in msgspec.structs.asdict(report).items()
    ]
    _output.print_table(f'Job {name}', ('field', 'value'), rows)


@JOB.command(name='list')
def list_jobs(
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    json: _output.JsonFlag = False,
) -> None:
    """List the jobs."""
    reports = _entry_client.send_request(
        entry, 'GET', '/v1/jobs', list[scheduling.JobReport]
    )
    if json:
        _output.print_json(reports)
        return
    _output.print_table(
        'Jobs',
        ('id', 'team', 'state', 'waiting', 'placed', 'completed', 'reason'),
        [
            (
                report.id,
                report.team,
                report.state,
                report.waiting,
                report.placed,
                report.completed,
                report.reason,
            )
            for report in reports
        ],
    )


@JOB.command(name='wait')
def wait_for_job(
    name: str,
    *,
    entry: _entry_client.EntryUrl = DEFAULT_ENTRY,
    timeout: float = 3600.0,
    json: _output.JsonFlag = False,
) -> int:
    """Wait until a job has ended; exit with 1 unless it completed."""
    deadline = time.monotonic() + timeout
    report = _fetch_report(entry, name)
    while report.state not in ENDED_STATES:
        if time.monotonic() >= deadline:
            raise errors.UnavailableError(
                'wait for a job',
                name,
                f'not ended within {timeout:g} s; the job is {report.state}',
            )
        time.sleep(POLL_INTERVAL_SECONDS)
        report = _fetch_report(entry, name)
    if json:
        _output.print_json(report)
    else:
        _output.print_line(f'{name}: {report.state}')
    completed = report.state == 'completed'
    return _exit_codes.DONE if completed else _exit_codes.FAILED


def read_jobs(file: pathlib.Path) -> scheduling.JobsRequest:
    """Return the jobs of a file that holds one job or a list ``jobs``."""
    if 'jobs' in yaml_files.read_keys(file, READ_STEP):
        return yaml_files.read_yaml(file, scheduling.JobsRequest, READ_STEP)
    job = yaml_files.read_yaml(file, scheduling.JobRequest, READ_STEP)
    return scheduling.JobsRequest((job,))


def _fetch_report(entry: str, name: str) -> scheduling.JobReport:
    return _entry_client.send_request(
        entry,
        'GET',
        f'/v1/jobs/{identifiers.JobId(name)}',
        scheduling.JobReport,
    )


def _print_answers(title: str, answers: Answers, json: bool) -> int:
    if json:
        _output.print_json(answers)
    else:
        rows: list[tuple[typing.Any, ...]] = [
            (
                answer.id,
                'accepted' if answer.accepted else 'refused',
                answer.reason,
            )
            for answer in answers
        ]
        _output.print_table(title, ('id', 'answer', 'reason'), rows)
    accepted = all(answer.accepted for answer in answers)
    return _exit_codes.DONE if accepted else _exit_codes.REFUSED
