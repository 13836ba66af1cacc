"""Commands that measure the life cycle of tasks."""

import sys

import loguru
import msgspec

from chivespoke.bench import _data_centre_leave
from chivespoke.bench import _faults
from chivespoke.bench import _placement
from chivespoke.bench import _urgent
from chivespoke.cli import _exit_codes
from chivespoke.cli import _output
from chivespoke import clock
from chivespoke import scheduling
from chivespoke.scheduling import policies

# Microseconds of processor a decision at 250 workers.
COST_TARGET = 200.0
COST_WORKERS = 250
# The share of a naive twin's lost work that is to be saved.
SAVED_TARGET = 0.25


class PlacementReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what placement costs and leads to, and which targets hold."""

    seed: int
    decisions: tuple[_placement.DecisionCost, ...]
    urgent: _urgent.UrgentStarts
    data_centre: _data_centre_leave.LeaveComparison
    targets: dict[str, bool]


def show_placement(
    *,
    seed: int = 1,
    decisions: int = 4000,
    urgent_seconds: float = 20.0,
    json: _output.JsonFlag = False,
) -> int:
    """Measure placement decisions and what they lead to.

    Parameters
    ----------
    seed
        The same seed gives the same work.
    decisions
        Decisions measured at each number of workers.
    urgent_seconds
        How long urgent tasks are submitted at the peak rate.
    """
    loguru.logger.remove()
    source = scheduling.FixedConfiguration()
    costs = tuple(
        _placement.measure_decisions(
            count,
            policies.make_owner_policies(
                source, clock.SystemClock()
            ).placement,
            seed,
            decisions,
        )
        for count in _placement.WORKER_COUNTS
    )
    urgent = _urgent.measure_urgent(urgent_seconds)
    leave = _data_centre_leave.compare_leaves(seed)
    report = PlacementReport(
        seed=seed,
        decisions=costs,
        urgent=urgent,
        data_centre=leave,
        targets=_judge(costs, urgent, leave),
    )
    if json:
        _output.print_json(report)
    else:
        _show_placement(report)
    met = all(report.targets.values())
    return _exit_codes.DONE if met else _exit_codes.FAILED


def _judge(
    costs: tuple[_placement.DecisionCost, ...],
    urgent: _urgent.UrgentStarts,
    leave: _data_centre_leave.LeaveComparison,
) -> dict[str, bool]:
    by_count = {cost.workers: cost.microseconds for cost in costs}
    least, most = min(by_count), max(by_count)
    growth = by_count[most] / by_count[least]
    planned, naive = leave.planned, leave.naive
    return {
        f'at most {COST_TARGET:.0f} us a decision at {COST_WORKERS} workers': (
            by_count[COST_WORKERS] <= COST_TARGET
        ),
        'cost grows slower than the workers': growth < most / least,
        f'urgent p99 within {_urgent.TARGET_P99} s': urgent.met,
        f'at least {SAVED_TARGET:.0%} less work lost': (
            leave.saved_share >= SAVED_TARGET
        ),
        'service short for no longer than naive': (
            planned.short_seconds <= naive.short_seconds
        ),
    }


def _show_placement(report: PlacementReport) -> None:
    _output.print_table(
        'Decisions',
        ('workers', 'us each', 'a second', 'bytes/worker', 'bytes/task'),
        [
            (
                cost.workers,
                cost.microseconds,
                cost.decisions_per_second,
                cost.bytes_per_worker,
                cost.bytes_per_task,
            )
            for cost in report.decisions
        ],
    )
    urgent = report.urgent
    _output.print_line(
        f'Urgent: {urgent.started} of {urgent.submitted} started; '
        f'p50 {urgent.p50} s, p99 {urgent.p99} s, longest {urgent.longest} s'
    )
    leave = report.data_centre
    _output.print_table(
        'A data centre leaves and returns within ten minutes',
        ('what', 'planned', 'naive'),
        [
            (name, getattr(leave.planned, name), getattr(leave.naive, name))
            for name in leave.planned.__struct_fields__
        ],
    )
    _output.print_table(
        'Targets',
        ('target', 'met'),
        [
            (name, 'yes' if met else 'NO')
            for name, met in report.targets.items()
        ],
    )


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
