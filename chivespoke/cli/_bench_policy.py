"""The command that compares policies on a seeded model of workers."""

import pathlib
import statistics
import typing

import cyclopts

from chivespoke import bench
from chivespoke.cli import _output

COLUMNS = (
    'policy',
    'p99 slowdown',
    'least',
    'most',
    'core hours',
    'evictions',
    'core hours, data centre',
)


def show_policy(
    *,
    seed: typing.Annotated[
        int, cyclopts.Parameter(help='The first seed.')
    ] = 1,
    seeds: typing.Annotated[
        int, cyclopts.Parameter(help='How many seeds to run.')
    ] = 10,
    only: typing.Annotated[
        tuple[str, ...], cyclopts.Parameter(help='Run only these policies.')
    ] = (),
    plot: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(help='PNG file for a plot of the comparison.'),
    ] = None,
    json: _output.JsonFlag = False,
) -> None:
    """Compare the policies with naive baselines and an oracle.

    Example: chivespoke bench policy --seed 1 --json --plot policy.png
    """
    outcome = bench.run_policies(
        range(seed, seed + seeds), only or bench.POLICY_NAMES
    )
    if plot is not None:
        bench.draw_policies(outcome, plot)
    if json:
        _output.print_json(outcome)
        return
    _print_outcome(outcome)


def _print_outcome(outcome: bench.PolicyOutcome) -> None:
    names = dict.fromkeys(run.policy for run in outcome.runs)
    for user in dict.fromkeys(run.user for run in outcome.runs):
        rows = [_make_row(outcome, user, name) for name in names]
        _output.print_table(f'{user}: medians', COLUMNS, rows)
    for comparison in outcome.comparisons:
        _output.print_line(
            f'{comparison.user}: p99 slowdown {comparison.nearer:.0%} closer '
            f'to running alone than {comparison.best_naive}; batch work '
            f'{comparison.throughput_share:.1%} of {comparison.ignorant}; '
            f'evictions {comparison.eviction_share:.1%} of evict-at-once; '
            f"{comparison.oracle_share:.0%} of the oracle's gain; data centre "
            f'work {comparison.data_centre_share:.1%} of {comparison.ignorant}'
        )


def _make_row(
    outcome: bench.PolicyOutcome, user: str, name: str
) -> tuple[object, ...]:
    def select(measure: str) -> list[float]:
        return bench.select_measure(outcome.runs, user, name, measure)

    slowdowns = select('p99_slowdown')
    return (
        name,
        statistics.median(slowdowns),
        min(slowdowns),
        max(slowdowns),
        statistics.median(select('batch_work')),
        statistics.median(select('evictions')),
        statistics.median(select('data_centre_work')),
    )
