"""Compare the policies on a seeded model of workers."""

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
        cyclopts.Parameter(help='Draw the comparison, PNG.'),
    ] = None,
    json: _output.JsonFlag = False,
) -> None:
    """Compare the policies with their naive twins and an oracle.

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
    for each in outcome.comparisons:
        _output.print_line(
            f'{each.user}: p99 slowdown {each.nearer:.0%} nearer to alone '
            f'than {each.best_naive}; batch work '
            f'{each.throughput_share:.1%} of {each.ignorant}; evictions '
            f'{each.eviction_share:.1%} of evict-at-once; '
            f"{each.oracle_share:.0%} of the oracle's gain; data centre "
            f'work {each.data_centre_share:.1%} of {each.ignorant}'
        )


def _make_row(
    outcome: bench.PolicyOutcome, user: str, name: str
) -> tuple[object, ...]:
    def pick(measure: str) -> list[float]:
        return bench.select_measure(outcome.runs, user, name, measure)

    tails = pick('p99_slowdown')
    return (
        name,
        statistics.median(tails),
        min(tails),
        max(tails),
        statistics.median(pick('batch_work')),
        statistics.median(pick('evictions')),
        statistics.median(pick('data_centre_work')),
    )
