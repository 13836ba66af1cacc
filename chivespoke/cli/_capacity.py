"""The command that estimates the resource use for a fleet size."""

import pathlib
import typing

import cyclopts
import msgspec

from chivespoke import capacity
from chivespoke.cli import _output


class CapacityReport(msgspec.Struct, frozen=True):
    """Hold the JSON output of the command."""

    estimates: list[capacity.Estimate]
    requirements: list[capacity.Requirement]


def show_capacity(
    *,
    settings: typing.Annotated[
        pathlib.Path,
        cyclopts.Parameter(help='YAML file with the size of the fleet.'),
    ],
    slopes: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help='Slopes measured by "bench slopes --json"; by default '
            'those shipped with the package.'
        ),
    ] = None,
    plot: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help='PNG file for a plot of the roles against the budget.'
        ),
    ] = None,
    json: _output.JsonFlag = False,
) -> None:
    """Estimate the resource use of each role for a fleet size.

    Example: chivespoke capacity --settings examples/size-letter-1.yaml
    """
    size = capacity.read_size(settings)
    measurements = capacity.read_measurements(
        slopes.read_bytes() if slopes is not None else None
    )
    estimates = capacity.estimate_roles(size, measurements)
    requirements = capacity.list_requirements(size, measurements, estimates)
    if plot is not None:
        capacity.draw_estimates(estimates, plot)
    if json:
        _output.print_json(CapacityReport(estimates, requirements))
        return
    _print_requirements(settings, measurements, requirements)


def _print_requirements(
    settings: pathlib.Path,
    measurements: capacity.Measurements,
    requirements: list[capacity.Requirement],
) -> None:
    _output.print_table(
        f'{settings}: from slopes of {measurements.measured_on}, '
        f'{measurements.machine}',
        ('line', 'carried by', 'measured', 'worked out', 'verdict'),
        [
            (
                requirement.line,
                requirement.carried_by,
                requirement.measured,
                requirement.worked_out,
                requirement.verdict.value,
            )
            for requirement in requirements
        ],
    )
    for note in measurements.notes:
        _output.print_line(f'note: {note}')
