"""Measured slopes: what a daemon spends against what drives it."""

import collections.abc
import enum
import importlib.resources

import msgspec
import numpy

RESOURCE = 'slopes.json'


class Role(enum.Enum):
    """Name the processes whose cost is measured."""

    ENTRY = 'entry'
    SHARD_OWNER = 'shard owner'
    SIDECAR = 'sidecar'
    COMMAND_LINE = 'command line'
    LOG = 'log'
    AGENT = 'worker agent'


class Driver(enum.Enum):
    """Name the numbers that make a daemon spend more."""

    WORKERS = 'workers'
    TASKS = 'tasks'
    STARTS = 'starts a second'
    PEERS = 'peers'
    CHANGES = 'configuration changes a second'
    SIDECARS = 'sidecars'


class Measure(enum.Enum):
    """Name what is spent, each in the unit given."""

    # Seconds of processor a second.
    CORE = 'core'
    # Bytes resident.
    MEMORY = 'memory'
    # Bytes a second, both ways.
    TRAFFIC = 'traffic'
    # Appends a second to the log.
    APPENDS = 'appends'
    # Seconds from submission to start, 99th percentile.
    START_DELAY = 'start delay'
    # Seconds until a change is in force at another entry, the longest.
    CHANGE_DELAY = 'change delay'


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a straight line through measured points."""

    role: Role
    driver: Driver
    measure: Measure
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    intercept: float
    per_unit: float
    # Root of the mean squared distance to the line, over the largest value.
    residual: float
    command: str

    def find_stretch(self, load: float) -> float:
        """Return how far a load lies beyond the largest measured size."""
        return load / max(self.sizes)


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the slopes of one run, and where they were measured."""

    machine: str
    measured_on: str
    window_seconds: float
    slopes: tuple[Slope, ...]
    # What could not be measured and why.
    notes: tuple[str, ...] = ()


def fit_slope(
    role: Role,
    driver: Driver,
    measure: Measure,
    points: collections.abc.Sequence[tuple[float, float]],
    command: str,
) -> Slope:
    """Fit a line to (size, value) points by least squares."""
    sizes = numpy.array([size for size, _ in points], dtype=float)
    values = numpy.array([value for _, value in points], dtype=float)
    per_unit, intercept = numpy.polyfit(sizes, values, 1)
    distances = values - (intercept + per_unit * sizes)
    scale = float(numpy.max(numpy.abs(values))) or 1.0
    residual = float(numpy.sqrt(numpy.mean(distances**2))) / scale
    return Slope(
        role=role,
        driver=driver,
        measure=measure,
        sizes=tuple(float(size) for size in sizes),
        values=tuple(float(value) for value in values),
        intercept=float(intercept),
        per_unit=float(per_unit),
        residual=residual,
        command=command,
    )


def read_measurements(source: bytes | None = None) -> Measurements:
    """Return the given measurements, or those that ship with the package."""
    if source is None:
        package = importlib.resources.files('chivespoke.capacity')
        source = (package / RESOURCE).read_bytes()
    return msgspec.json.decode(source, type=Measurements)
