"""Work out what the system costs at the size of a fleet."""

import pathlib
import typing

import cyclopts
import msgspec

from chivespoke import capacity
from chivespoke.cli import _output


class CapacityReport(msgspec.Struct, frozen=True):
    """Hold what the command prints as JSON."""

    estimates: list[capacity.Estimate]
    requirements: list[capacity.Requirement]


def show_capacity(
    *,
    settings: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(help='The size of the fleet, YAML.')
    ],
    slopes: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help='Slopes measured by "bench slopes --json"; by default '
            'those that ship with the package.'
        ),
    ] = None,
    plot: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(help='Draw the roles against the budget, PNG.'),
    ] = None,
    json: _output.JsonFlag = False,
) -> None:
    """Work out what each role costs at a fleet's size.

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
                found.line,
                found.carried_by,
                found.measured,
                found.worked_out,
                found.verdict.value,
            )
            for found in requirements
        ],
    )
    for note in measurements.notes:
        _output.print_line(f'note: {note}')
