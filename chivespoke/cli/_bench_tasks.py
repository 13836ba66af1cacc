"""Commands that measure the life cycle of tasks."""

import sys

import loguru

from chivespoke.bench import _faults
from chivespoke.cli import _exit_codes
from chivespoke.cli import _output


def show_faults(
    *, seed: int = 1, steps: int = 2000, json: _output.JsonFlag = False
) -> int:
    """Run tasks under random faults and check what must always hold.

    Parameters
    ----------
    seed
        The same seed gives the same run.
    steps
        Steps of the run; some inject a fault or a request.
    """
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level='CRITICAL')
    report = _faults.run_faults(seed, steps)
    if json:
        _output.print_json(report)
    else:
        _show_report(report)
    return _exit_codes.BROKEN_INVARIANT if report.failure else 0


def _show_report(report: _faults.FaultReport) -> None:
    _output.print_table(
        f'Seed {report.seed}, {report.steps} steps, '
        f'{report.simulated_seconds:.0f} s of simulated time: injected',
        ('what', 'times'),
        report.injected.items(),
    )
    _output.print_table('Checked', ('what', 'times'), report.checked.items())
    _output.print_table(
        'Tasks',
        ('what', 'count'),
        [
            (name, getattr(report, name))
            for name in (
                'jobs',
                'tasks',
                'completed',
                'failed',
                'cancelled',
                'attempts',
                'evictions',
                'abandoned',
                'lost_seconds',
            )
        ],
    )
    if not report.failure:
        _output.print_line('Nothing was lost, nothing ran twice.')
        return
    _output.print_line(f'FAILED: seed {report.seed}: {report.failure}')
    for line in report.history:
        _output.print_line(f'  {line}')
