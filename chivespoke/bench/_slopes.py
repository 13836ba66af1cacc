"""Measure what daemons spend against what drives them, and fit lines."""

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
# Share of the machine's memory that a run may take.
MEMORY_SHARE = 0.5

Values = dict[capacity.Measure, float]


class Scenario(abc.ABC):
    """Drive one daemon at several sizes of one driver."""

    __slots__ = ()

    role: capacity.Role
    driver: capacity.Driver
    sizes: tuple[int, ...]

    @property
    def name(self) -> str:
        """Return what the scenario measures, for people."""
        return f'{self.role.value} against {self.driver.value}'

    @abc.abstractmethod
    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> Values:
        """Return what the daemon spends at a size."""


class Progress(abc.ABC):
    """Hear how far a measurement is."""

    @abc.abstractmethod
    def note(self, name: str, size: int) -> None:
        """Note that a size of a scenario was measured."""


def make_values(usage: _processes.Usage) -> Values:
    """Return a daemon's usage as values to fit."""
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
    """Run every scenario at every size and fit a line to each measure."""
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
            scenario.role, scenario.driver, measure, found, COMMAND
        )
        for measure, found in points.items()
    ]


def _check_memory() -> None:
    used = psutil.virtual_memory().percent / 100
    if used > MEMORY_SHARE:
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
