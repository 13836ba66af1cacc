"""Measures the cost of daemons at several loads and fits lines to it."""

import abc
import collections.abc
import pathlib
import platform as machine_platform
import tempfile
import time

import psutil

from chivespoke.bench import _processes
from chivespoke import capacity
from chivespoke import errors

COMMAND = 'chivespoke bench slopes --json'
# Fraction of the machine's memory in use above which no measurement starts.
MAX_MEMORY_USE = 0.5

Values = dict[capacity.Measure, float]


class Scenario(abc.ABC):
    """Measures the cost of one daemon at several sizes of one driver."""

    __slots__ = ()

    role: capacity.Role
    driver: capacity.Driver
    sizes: tuple[int, ...]

    @property
    def name(self) -> str:
        """Return a description of the scenario for display."""
        return f'{self.role.value} against {self.driver.value}'

    @abc.abstractmethod
    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> Values:
        """Return the cost of the daemon at a size of the driver.

        The usage is measured for at least the given number of seconds.
        """


class Progress(abc.ABC):
    """Receives progress notifications of a measurement."""

    @abc.abstractmethod
    def note(self, name: str, size: int) -> None:
        """Report that a scenario has been measured at a size."""


def make_values(usage: _processes.Usage) -> Values:
    """Convert the resource usage of a daemon to values by measure."""
    return {
        capacity.Measure.CORE: usage.core,
        capacity.Measure.MEMORY: usage.memory,
        capacity.Measure.TRAFFIC: usage.traffic,
    }


async def measure_slopes(
    scenarios: collections.abc.Sequence[Scenario],
    seconds: float,
    progress: Progress,
) -> capacity.Measurements:
    """Run each scenario at each of its sizes and fit a line per measure."""
    slopes: list[capacity.Slope] = []
    for scenario in scenarios:
        slopes.extend(await _measure_scenario(scenario, seconds, progress))
    return capacity.Measurements(
        machine=_describe_machine(),
        measured_on=time.strftime('%Y-%m-%d', time.gmtime()),
        window_seconds=seconds,
        slopes=tuple(slopes),
        notes=NOTES,
    )


NOTES = (
    'bytes are the kernel counts of TCP payload on connections that stayed '
    'open over the window; headers of IP and TCP come on top',
    'one machine, loopback; other work may have run beside it',
)


async def _measure_scenario(
    scenario: Scenario, seconds: float, progress: Progress
) -> list[capacity.Slope]:
    points: dict[capacity.Measure, list[tuple[float, float]]] = {}
    for size in scenario.sizes:
        _check_memory()
        with tempfile.TemporaryDirectory() as folder:
            values = await scenario.run(size, pathlib.Path(folder), seconds)
        for measure, value in values.items():
            points.setdefault(measure, []).append((float(size), value))
        progress.note(scenario.name, size)
    return [
        capacity.fit_slope(
            scenario.role, scenario.driver, measure, measured, COMMAND
        )
        for measure, measured in points.items()
    ]


def _check_memory() -> None:
    used = psutil.virtual_memory().percent / 100
    if used > MAX_MEMORY_USE:
        raise errors.RefusedError(
            'measure slopes', 'this machine', f'{used:.0%} of memory is used'
        )


def _describe_machine() -> str:
    cores = psutil.cpu_count() or 0
    memory = psutil.virtual_memory().total / 1e9
    return (
        f'{cores} processors, {memory:.0f} GB, '
        f'{machine_platform.system()} {machine_platform.machine()}, '
        f'Python {machine_platform.python_version()}'
    )
