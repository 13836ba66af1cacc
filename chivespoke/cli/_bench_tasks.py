"""Commands that measure placement and test tasks under faults."""

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

# Target for the CPU time of a placement decision at this number of workers.
MAX_DECISION_MICROSECONDS = 200.0
TARGET_WORKERS = 250
# Target for the share of the work lost by naive planning that must be saved.
MIN_SAVED_SHARE = 0.25


class PlacementReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the measurements of placement and which targets are met."""

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
    """Measure decision cost, urgent starts and taking out a data centre.

    Parameters
    ----------
    seed
        Seed of the generated work.
    decisions
        Number of decisions measured at each number of workers.
    urgent_seconds
        Seconds for which urgent tasks are submitted at the peak rate.
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
        targets=_check_targets(costs, urgent, leave),
    )
    if json:
        _output.print_json(report)
    else:
        _print_placement(report)
    met = all(report.targets.values())
    return _exit_codes.DONE if met else _exit_codes.FAILED


def _check_targets(
    costs: tuple[_placement.DecisionCost, ...],
    urgent: _urgent.UrgentStarts,
    leave: _data_centre_leave.LeaveComparison,
) -> dict[str, bool]:
    by_count = {cost.workers: cost.microseconds for cost in costs}
    fewest, most = min(by_count), max(by_count)
    cost_growth = by_count[most] / by_count[fewest]
    planned, naive = leave.planned, leave.naive
    return {
        f'at most {MAX_DECISION_MICROSECONDS:.0f} us a decision at '
        f'{TARGET_WORKERS} workers': (
            by_count[TARGET_WORKERS] <= MAX_DECISION_MICROSECONDS
        ),
        'cost grows slower than the workers': cost_growth < most / fewest,
        f'urgent p99 within {_urgent.TARGET_P99} s': urgent.met,
        f'at least {MIN_SAVED_SHARE:.0%} less work lost': (
            leave.saved_share >= MIN_SAVED_SHARE
        ),
        'service short for no longer than naive': (
            planned.short_seconds <= naive.short_seconds
        ),
    }


def _print_placement(report: PlacementReport) -> None:
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
    """Run tasks under random faults and check invariants.

    Parameters
    ----------
    seed
        Seed of the run; it determines the faults and the requests.
    steps
        Number of steps; some inject a fault or a request.
    """
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level='CRITICAL')
    report = _faults.run_faults(seed, steps)
    if json:
        _output.print_json(report)
    else:
        _print_fault_report(report)
    return _exit_codes.BROKEN_INVARIANT if report.failure else 0


def _print_fault_report(report: _faults.FaultReport) -> None:
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
        _output.print_line('No task was lost and none ran twice.')
        return
    _output.print_line(f'FAILED: seed {report.seed}: {report.failure}')
    for line in report.history:
        _output.print_line(f'  {line}')
