"""Charts that compare the policies."""

import pathlib
import statistics

import matplotlib

matplotlib.use('Agg')

from matplotlib import axes as plot_axes  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from chivespoke.bench import _policy_runner  # noqa: E402

MEASURES = (
    ('p99_slowdown', 'Service p99 slowdown (1 = alone)'),
    ('batch_work', 'Batch work (core hours)'),
    ('evictions', 'Evictions (log scale)'),
    ('data_centre_work', 'Work around the outage (core hours)'),
)
NAIVE_COLOUR, LEARNT_COLOUR, ORACLE_COLOUR = '#9aa5b1', '#1f77b4', '#2ca02c'


def draw_policies(outcome: _policy_runner.Outcome, path: pathlib.Path) -> None:
    """Draw the medians as bars and the ranges over the seeds as error bars."""
    users = list(dict.fromkeys(run.user for run in outcome.runs))
    figure, grid = pyplot.subplots(
        len(users),
        len(MEASURES),
        figsize=(4.4 * len(MEASURES), 3.6 * len(users)),
        squeeze=False,
        layout='constrained',
    )
    for row, user in zip(grid, users, strict=True):
        for axes, (measure, title) in zip(row, MEASURES, strict=True):
            _draw_measure(axes, outcome, user, measure)
            axes.set_title(f'{user}\n{title}', fontsize=10)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_measure(
    axes: plot_axes.Axes,
    outcome: _policy_runner.Outcome,
    user: str,
    measure: str,
) -> None:
    names = list(dict.fromkeys(run.policy for run in outcome.runs))
    for position, name in enumerate(reversed(names)):
        values = _policy_runner.select(outcome.runs, user, name, measure)
        median = statistics.median(values)
        error = [[median - min(values)], [max(values) - median]]
        axes.barh(
            position,
            median,
            xerr=error,
            color=_choose_colour(name),
            ecolor='#444444',
            capsize=3,
        )
        axes.annotate(
            f'{median:.3g}',
            (median, position),
            xytext=(3, 7),
            textcoords='offset points',
            fontsize=7,
        )
    axes.set_yticks(range(len(names)), list(reversed(names)), fontsize=8)
    axes.spines[['top', 'right']].set_visible(False)
    if measure == 'evictions':
        axes.set_xscale('symlog', linthresh=10)


def _choose_colour(name: str) -> str:
    if name == 'oracle':
        return ORACLE_COLOUR
    return LEARNT_COLOUR if name == 'learnt' else NAIVE_COLOUR
