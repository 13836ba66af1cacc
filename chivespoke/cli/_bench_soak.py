"""Command that runs real daemons under faults."""

import asyncio
import pathlib
import sys
import tempfile

import loguru

from chivespoke.bench import soak
from chivespoke.cli import _exit_codes
from chivespoke.cli import _output


def show_soak(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    entries: int = 3,
    sidecars: int = 3,
    callers: int = 6,
    version_bytes: int = 250_000,
    folder: pathlib.Path | None = None,
    json: _output.JsonFlag = False,
) -> int:
    """Run real daemons behind loopback proxies under seeded faults.

    Parameters
    ----------
    seed
        Seed of the schedule of faults, which it determines.
    seconds
        Length of the schedule, without the start and the end of all jobs.
    entries
        Number of entries, each a process.
    sidecars
        Number of sidecars, each a process with a worker.
    callers
        Number of callers; each keeps its connection while it is open.
    version_bytes
        Size of each version of the configuration.
    folder
        Folder for logs, schedule and observations; a new one by default.
    """
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level='CRITICAL')
    target = folder or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    target.mkdir(parents=True, exist_ok=True)
    options = soak.SoakOptions(
        seed, seconds, entries, sidecars, callers, version_bytes
    )
    report = asyncio.run(soak.run_soak(options, target))
    if json:
        _output.print_json(report)
    else:
        _print_report(report, target)
    return _exit_codes.BROKEN_INVARIANT if report.violations else 0


def _print_report(report: soak.SoakReport, folder: pathlib.Path) -> None:
    options = report.options
    _output.print_table(
        f'Seed {options.seed}, {options.seconds:.0f} s, '
        f'{options.entries} entries, {options.sidecars} sidecars',
        ('what', 'count'),
        [
            ('faults', report.faults),
            ('versions', report.versions),
            ('accepted jobs', report.accepted_jobs),
            ('longest stall, ms', round(report.longest_stall * 1000)),
            *(
                (f'answers {status}' if status else 'no answer', count)
                for status, count in report.requests.items()
            ),
        ],
    )
    _output.print_table(
        f'Broken promises; the logs are in {folder}',
        ('promise', 'what was seen'),
        [(each.promise.value, each.detail) for each in report.violations],
    )
