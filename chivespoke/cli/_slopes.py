"""The command that measures the resource use of daemons."""

import asyncio
import typing

import cyclopts
import rich.progress

from chivespoke import bench
from chivespoke import capacity
from chivespoke.cli import _output
from chivespoke import logs


class _ProgressBar(bench.Progress):
    """Show the progress of the measurements on standard error."""

    __slots__ = ('_progress', '_task')

    def __init__(self, progress: rich.progress.Progress, total: int) -> None:
        self._progress = progress
        self._task = progress.add_task('measuring', total=total)

    def note(self, name: str, size: int) -> None:
        self._progress.update(
            self._task, advance=1, description=f'{name}: {size}'
        )


def show_slopes(
    *,
    seconds: typing.Annotated[
        float, cyclopts.Parameter(help='Seconds measured at each size.')
    ] = 10.0,
    only: typing.Annotated[
        str,
        cyclopts.Parameter(
            help='Measure only scenarios whose name contains this.'
        ),
    ] = '',
    json: _output.JsonFlag = False,
) -> None:
    """Measure how the resource use of daemons grows with their load.

    Starts daemons on loopback, at most a few hundred processes and half of
    the machine's memory, and fits a line to each measure.

    Example: chivespoke bench slopes --seconds 5 --json > slopes.json
    """
    logs.configure_logs(logs.LogFormat.HUMAN, 'ERROR')
    scenarios = [
        scenario
        for scenario in bench.list_slope_scenarios()
        if only in scenario.name
    ]
    total = sum(len(scenario.sizes) for scenario in scenarios)
    with _output.make_progress() as progress:
        measurements = asyncio.run(
            bench.measure_slopes(
                scenarios, seconds, _ProgressBar(progress, total)
            )
        )
    if json:
        _output.print_json(measurements)
        return
    _print_slopes(measurements)


def _print_slopes(measurements: capacity.Measurements) -> None:
    rows = []
    for slope in measurements.slopes:
        sizes = ', '.join(f'{size:g}' for size in slope.sizes)
        rows.append(
            (
                slope.role.value,
                slope.driver.value,
                slope.measure.value,
                sizes,
                slope.intercept,
                slope.per_unit,
                f'{slope.residual:.1%}',
            )
        )
    _output.print_table(
        f'slopes on {measurements.machine}, '
        f'{measurements.window_seconds:g} s a size',
        ('role', 'driver', 'measure', 'sizes', 'idle', 'each', 'residual'),
        rows,
    )
    for note in measurements.notes:
        _output.print_line(f'note: {note}')
