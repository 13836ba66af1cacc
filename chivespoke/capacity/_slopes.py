"""Measured slopes: the cost of a process as a function of its load."""

import collections.abc
import enum
import importlib.resources

import msgspec
import numpy

DEFAULT_MEASUREMENTS = 'slopes.json'


class Role(enum.Enum):
    """Kind of process whose cost is measured."""

    ENTRY = 'entry'
    SHARD_OWNER = 'shard owner'
    SIDECAR = 'sidecar'
    COMMAND_LINE = 'command line'
    LOG = 'log'
    AGENT = 'worker agent'


class Driver(enum.Enum):
    """Load variable that determines the cost of a process."""

    WORKERS = 'workers'
    TASKS = 'tasks'
    STARTS = 'starts a second'
    PEERS = 'peers'
    CHANGES = 'configuration changes a second'
    SIDECARS = 'sidecars'


class Measure(enum.Enum):
    """Measured quantity; the comments give the units."""

    # CPU seconds per second.
    CORE = 'core'
    # Resident bytes.
    MEMORY = 'memory'
    # Bytes per second, sent and received.
    TRAFFIC = 'traffic'
    # Appends to the log per second.
    APPENDS = 'appends'
    # 99th percentile of the seconds from submission to start.
    START_DELAY = 'start delay'
    # Maximum seconds until a change is in force at another entry.
    CHANGE_DELAY = 'change delay'


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Linear fit of a measure against the size of a driver."""

    role: Role
    driver: Driver
    measure: Measure
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    intercept: float
    per_unit: float
    # Root mean square error of the fit, relative to the largest value.
    residual: float
    command: str

    def compute_extrapolation(self, load: float) -> float:
        """Return the ratio of a load to the largest measured size."""
        return load / max(self.sizes)


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes of one benchmark run and the conditions of the run."""

    machine: str
    measured_on: str
    window_seconds: float
    slopes: tuple[Slope, ...]
    # Limits of the measurement and the reasons for them.
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
    errors = values - (intercept + per_unit * sizes)
    scale = float(numpy.max(numpy.abs(values))) or 1.0
    residual = float(numpy.sqrt(numpy.mean(errors**2))) / scale
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
    """Decode measurements from JSON; by default, the packaged ones."""
    if source is None:
        package = importlib.resources.files('chivespoke.capacity')
        source = (package / DEFAULT_MEASUREMENTS).read_bytes()
    return msgspec.json.decode(source, type=Measurements)
