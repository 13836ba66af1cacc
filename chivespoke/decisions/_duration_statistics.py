"""Statistics of the work of tasks, and the state to restore them from.

All logarithms are natural ones, of seconds or of ratios.
"""

import statistics

import ddsketch
import msgspec

# Number of tasks of one step whose work is kept for its median.
MAX_STEP_TASKS = 32
# Weight of the expectation before the first run of a step, in tasks: tasks of
# a step are much more alike than the steps of a queue.
STEP_PRIOR_WEIGHT = 0.25
# Factor applied to the weight of earlier samples per unit of weight added, so
# that the last hundred steps dominate.
DECAY_FACTOR = 0.98
# Weight of the estimate as declared, in steps, against the mean ratio, the
# image's offset and, multiplied with the variance of the log estimates, the
# slope of the regression.
RATIO_PRIOR_WEIGHT = 2.0
IMAGE_PRIOR_WEIGHT = 4.0
SLOPE_PRIOR_WEIGHT = 4.0
# Range of the slope. At -1 the work does not depend on the estimate.
MIN_SLOPE = -1.0
MAX_SLOPE = 0.5
# A sample counts as no further from the expectation than this multiple of the
# mean distance, once there is a weight of samples.
MAX_DEVIATION = 3.0
MIN_CLIPPED_WEIGHT = 8.0
# Mean distance of the log ratio from the expectation, before any sample and
# at least.
INITIAL_SPREAD = 1.0
MIN_SPREAD = 0.3
# Accuracy of the sketch of the ratios of tasks to their step, the number of
# ends from which on it is used, and after which a new one is begun.
RELATIVE_ACCURACY = 0.05
MIN_SPREAD_ENDS = 12
MAX_SPREAD_ENDS = 1000
HIGH_QUANTILE = 0.9


class FitState(msgspec.Struct, frozen=True):
    """Hold what is learned of the estimates of a queue."""

    queue: str
    # The steps have an estimate.
    declared: bool
    weight: float
    mean_log_declared: float
    mean_log_ratio: float
    variance: float
    slope: float
    spread: float


class ImageState(msgspec.Struct, frozen=True):
    """Hold how the tasks of an image differ from those of their queue."""

    queue: str
    declared: bool
    image: str
    weight: float
    mean_log_declared: float
    mean_log_ratio: float


class StepState(msgspec.Struct, frozen=True):
    """Hold the typical work of the tasks of a step."""

    step_id: str
    log_seconds: float
    tasks: int


class DurationState(msgspec.Struct, frozen=True):
    """Hold what a duration model has learned; the latest items last."""

    fits: tuple[FitState, ...] = ()
    images: tuple[ImageState, ...] = ()
    steps: tuple[StepState, ...] = ()


class Fit:
    """Fit the log ratio of work to estimate by ridge regression."""

    __slots__ = (
        'weight',
        'mean_log_declared',
        'mean_log_ratio',
        'spread',
        'squares',
        'products',
    )

    def __init__(self) -> None:
        self.weight = 0.0
        self.mean_log_declared = 0.0
        self.mean_log_ratio = 0.0
        self.spread = INITIAL_SPREAD
        # Weighted sums of squared deviations of the log estimates, and of
        # their products with those of the log ratios.
        self.squares = 0.0
        self.products = 0.0

    def predict(self, log_declared: float) -> float:
        """Return the expected log ratio of the work to the estimate."""
        mean = (
            self.mean_log_ratio
            * self.weight
            / (self.weight + RATIO_PRIOR_WEIGHT)
        )
        slope = self.products / (self.squares + SLOPE_PRIOR_WEIGHT)
        slope = min(MAX_SLOPE, max(MIN_SLOPE, slope))
        return mean + slope * (log_declared - self.mean_log_declared)

    def clip(self, distance: float) -> float:
        """Return how far a sample counts as away from the expectation."""
        if self.weight < MIN_CLIPPED_WEIGHT:
            return distance
        limit = MAX_DEVIATION * max(MIN_SPREAD, self.spread)
        return min(limit, max(-limit, distance))

    def add(
        self,
        log_declared: float,
        log_ratio: float,
        distance: float,
        weight: float,
    ) -> None:
        """Add a sample, which was at a distance from the expectation."""
        decay = DECAY_FACTOR**weight
        self.squares *= decay
        self.products *= decay
        self._merge(log_declared, log_ratio, weight, decay)
        share = min(1.0, weight / (self.weight + 1.0))
        self.spread += share * (abs(distance) - self.spread)

    def restore(self, state: FitState, share: float) -> None:
        """Add what another fit has learned, with a share of its weight."""
        weight = share * state.weight
        squares = weight * state.variance
        self._merge(state.mean_log_declared, state.mean_log_ratio, weight, 1.0)
        self.squares += squares
        self.products += squares * state.slope
        self.spread += (state.spread - self.spread) * share

    def export(self, queue: str, declared: bool) -> FitState:
        """Return what is learned."""
        return FitState(
            queue,
            declared,
            self.weight,
            self.mean_log_declared,
            self.mean_log_ratio,
            self.squares / self.weight if self.weight else 0.0,
            self.products / self.squares if self.squares else 0.0,
            self.spread,
        )

    def _merge(
        self,
        log_declared: float,
        log_ratio: float,
        weight: float,
        decay: float,
    ) -> None:
        earlier = decay * self.weight
        self.weight = earlier + weight
        if not self.weight:
            return
        share = weight / self.weight
        change = log_declared - self.mean_log_declared
        ratio_change = log_ratio - self.mean_log_ratio
        self.mean_log_declared += share * change
        self.mean_log_ratio += share * ratio_change
        self.squares += earlier * share * change * change
        self.products += earlier * share * change * ratio_change


class ImageMeans:
    """Hold the mean log estimate and log ratio of an image."""

    __slots__ = ('weight', 'mean_log_declared', 'mean_log_ratio')

    def __init__(self) -> None:
        self.weight = 0.0
        self.mean_log_declared = 0.0
        self.mean_log_ratio = 0.0

    def add(
        self, log_declared: float, log_ratio: float, weight: float
    ) -> None:
        """Add a sample."""
        self.weight = DECAY_FACTOR**weight * self.weight + weight
        share = weight / self.weight
        self.mean_log_declared += share * (
            log_declared - self.mean_log_declared
        )
        self.mean_log_ratio += share * (log_ratio - self.mean_log_ratio)

    def measure_offset(self, fit: Fit) -> float:
        """Return what to add to the log ratio that a queue's fit expects."""
        distance = self.mean_log_ratio - fit.predict(self.mean_log_declared)
        return distance * self.weight / (self.weight + IMAGE_PRIOR_WEIGHT)


class StepTasks:
    """Hold the log work of the latest tasks of a step."""

    __slots__ = ('logs', 'counted', 'given_log', 'given_tasks', '_median')

    def __init__(self) -> None:
        # By task index.
        self.logs: dict[int, float] = {}
        # Number of tasks that were seen.
        self.counted = 0
        # Median that an earlier leader knew, and of how many tasks.
        self.given_log = 0.0
        self.given_tasks = 0
        self._median: float | None = None

    def record(self, index: int, log_seconds: float) -> bool:
        """Record the work of a task; return whether the task is new."""
        is_new = index not in self.logs
        if is_new and len(self.logs) >= MAX_STEP_TASKS:
            del self.logs[next(iter(self.logs))]
        self.logs[index] = log_seconds
        self.counted += is_new
        self._median = None
        return is_new

    @property
    def samples(self) -> int:
        """Return the number of tasks that the median rests on."""
        return len(self.logs) + self.given_tasks

    @property
    def median(self) -> float:
        """Return the log of the typical work; there is a task at least."""
        if self._median is None:
            total = self.given_tasks * self.given_log
            if self.logs:
                total += len(self.logs) * statistics.median(self.logs.values())
            self._median = total / self.samples
        return self._median

    def blend(self, expected: float | None) -> float:
        """Return the median, shrunk towards what was expected before."""
        if expected is None:
            return self.median
        return (STEP_PRIOR_WEIGHT * expected + self.samples * self.median) / (
            STEP_PRIOR_WEIGHT + self.samples
        )


class Spread:
    """Hold the distribution of the work of tasks relative to their step."""

    __slots__ = ('_sketch', '_earlier')

    def __init__(self) -> None:
        self._sketch = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self._earlier: ddsketch.DDSketch | None = None

    def add(self, ratio: float) -> None:
        """Add the ratio of a task that has ended."""
        if self._sketch.count >= MAX_SPREAD_ENDS:
            self._earlier = self._sketch
            self._sketch = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self._sketch.add(ratio)

    def measure(self) -> tuple[float, float]:
        """Return the mean and the high quantile, 1 while little is known."""
        sketch = self._sketch
        if sketch.count < MIN_SPREAD_ENDS and self._earlier is not None:
            sketch = self._earlier
        if sketch.count < MIN_SPREAD_ENDS:
            return 1.0, 1.0
        high = sketch.get_quantile_value(HIGH_QUANTILE)
        return float(sketch.avg), float(high or 1.0)
