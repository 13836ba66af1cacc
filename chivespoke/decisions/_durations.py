"""Expected durations of tasks, learned from their runs.

Load pattern: submitters' estimates are wrong by factors of 0.05 to 4 and more,
the tasks of a step are alike within some 30%, and a few percent of all tasks
take several times as long. The order of waiting work, lateness and moves rest
on these durations.

The work of the runs of a step tells of the rest of the step. The relation of
typical work to the estimate is learned by queue, as a linear regression of the
log of their ratio on the log of the estimate, and by image as an offset to it.
Both are shrunk towards the estimate as long as there are few samples. Medians
are used throughout, so that a few long tasks do not count for a whole step.
"""

import abc
import collections.abc
import math
import statistics

import ddsketch
import msgspec

from chivespoke import workloads

# Range of learned durations, in seconds.
MIN_SECONDS = 0.05
MAX_SECONDS = 604_800.0
# Number of tasks of one step whose work is kept for its median.
MAX_STEP_TASKS = 32
# Number of steps about which something is kept; those of the oldest job are
# dropped first.
MAX_STEPS = 8192
# Number of images, of all queues together, whose offset is kept.
MAX_IMAGES = 256
# Number of queues of which something is kept.
MAX_QUEUES = 1024
# Weight of the expectation before the first run of a step, in tasks: tasks of
# a step are much more alike than the steps of a queue.
STEP_PRIOR_WEIGHT = 0.25
# Number of tasks of a step that count as samples of its queue. The n-th has
# the weight 1/n: they are alike, so that one step must not count for many.
MAX_COUNTED_TASKS = 8
# Factor applied to the weight of earlier samples per unit of weight added, so
# that the last hundred steps dominate.
DECAY_FACTOR = 0.99
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
# Change of the log of a task's expected work that is recorded.
MIN_LOG_CHANGE = 0.05
# Accuracy of the sketch of the ratios of tasks to their step, the number of
# ends from which on it is used, and after which a new one is begun.
RELATIVE_ACCURACY = 0.05
MIN_SPREAD_ENDS = 12
MAX_SPREAD_ENDS = 1000
HIGH_QUANTILE = 0.9


class DurationModel(abc.ABC):
    """Estimate how long tasks take at full speed."""

    @abc.abstractmethod
    def estimate_seconds(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> float:
        """Return the expected duration of a task at full speed in seconds.

        `step_id` names the step and its occurrence: `job.occurrence.step`.
        """


class DeclaredDurations(DurationModel):
    """Use the estimates of the submitters."""

    __slots__ = ()

    def estimate_seconds(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> float:
        return step.estimated_ms / 1000


class DurationEstimate(msgspec.Struct, frozen=True):
    """Hold the expected duration of a task at full speed."""

    # Median, for the order of steps and the forecast of one task.
    seconds: float
    # Mean, which counts the long tail; for the work left of many tasks.
    mean_seconds: float
    # Quantile HIGH_QUANTILE.
    high_seconds: float
    # Number of tasks of the step that the estimate rests on.
    samples: int


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


class _Fit:
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


class _ImageMeans:
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

    def measure_offset(self, fit: _Fit) -> float:
        """Return what to add to the log ratio that a queue's fit expects."""
        distance = self.mean_log_ratio - fit.predict(self.mean_log_declared)
        return distance * self.weight / (self.weight + IMAGE_PRIOR_WEIGHT)


class _StepTasks:
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


class _Spread:
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


class LearnedDurations(DurationModel):
    """Learn the work of tasks, and how much their estimates are worth."""

    __slots__ = (
        'applied_queues',
        'samples',
        '_fits',
        '_images',
        '_steps',
        '_step_count',
        '_spreads',
    )

    def __init__(
        self, applied_queues: collections.abc.Set[str] | None = None
    ) -> None:
        # Queues for which estimates are corrected; None for all.
        self.applied_queues = applied_queues
        # Number of tasks whose work was learned.
        self.samples = 0
        # By queue and whether the steps have an estimate.
        self._fits: dict[tuple[str, bool], _Fit] = {}
        # By queue, whether there is an estimate, and image; the latest last.
        self._images: dict[tuple[str, bool, str], _ImageMeans] = {}
        # By job and step id.
        self._steps: dict[str, dict[str, _StepTasks]] = {}
        self._step_count = 0
        # By queue.
        self._spreads: dict[str, _Spread] = {}

    def estimate_seconds(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> float:
        if not self._is_applied(queue):
            return step.estimated_ms / 1000
        tasks = self._find_tasks(step_id)
        expected = self._predict_log(queue, step)
        if tasks is not None:
            expected = tasks.blend(expected)
        elif (queue, step.estimated_ms > 0) not in self._fits:
            expected = None
        if expected is None:
            return step.estimated_ms / 1000
        return restrict_seconds(math.exp(min(expected, 50.0)))

    def estimate(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> DurationEstimate:
        """Return the expected duration of a task with its uncertainty."""
        seconds = self.estimate_seconds(queue, step_id, step)
        spread = self._spreads.get(queue)
        mean, high = 1.0, 1.0
        if spread is not None and self._is_applied(queue):
            mean, high = spread.measure()
        tasks = self._find_tasks(step_id)
        return DurationEstimate(
            seconds,
            seconds * mean,
            seconds * max(1.0, high),
            tasks.samples if tasks else 0,
        )

    def observe_run(
        self,
        queue: str,
        step_id: str,
        step: workloads.Step,
        index: int,
        work_seconds: float,
    ) -> None:
        """Learn the expected work of a task at full speed from its run."""
        if not math.isfinite(work_seconds) or work_seconds <= 0.0:
            return
        log_seconds = math.log(restrict_seconds(work_seconds))
        tasks = self._find_tasks(step_id) or self._add_step(step_id)
        earlier = tasks.logs.get(index)
        if earlier is not None and abs(log_seconds - earlier) < MIN_LOG_CHANGE:
            return
        if not tasks.record(index, log_seconds):
            return
        self.samples += 1
        if tasks.counted <= MAX_COUNTED_TASKS:
            self._add_sample(queue, step, tasks.median, 1 / tasks.counted)

    def observe_end(
        self,
        queue: str,
        step_id: str,
        step: workloads.Step,
        index: int,
        work_seconds: float,
    ) -> None:
        """Learn the work of a task that is done."""
        tasks = self._find_tasks(step_id)
        if (
            tasks is not None
            and tasks.logs.keys() - {index}
            and math.isfinite(work_seconds)
            and work_seconds > 0.0
        ):
            log_seconds = math.log(restrict_seconds(work_seconds))
            self._find_spread(queue).add(math.exp(log_seconds - tasks.median))
        self.observe_run(queue, step_id, step, index, work_seconds)

    def forget_job(self, job: str) -> None:
        """Forget the steps of a job."""
        self._step_count -= len(self._steps.pop(job, ()))

    def export(self) -> DurationState:
        """Return what is learned, without the spread of tasks."""
        return DurationState(
            tuple(
                fit.export(queue, declared)
                for (queue, declared), fit in self._fits.items()
            ),
            tuple(
                ImageState(
                    queue,
                    declared,
                    image,
                    means.weight,
                    means.mean_log_declared,
                    means.mean_log_ratio,
                )
                for (queue, declared, image), means in self._images.items()
            ),
            tuple(
                StepState(step_id, tasks.median, tasks.samples)
                for steps in self._steps.values()
                for step_id, tasks in steps.items()
                if tasks.samples
            ),
        )

    def restore(
        self,
        state: DurationState,
        share: float,
        jobs: collections.abc.Container[str],
    ) -> None:
        """Add what another model has learned, with a share of its weight.

        Steps are taken over only if they belong to one of the jobs.
        """
        for fit in state.fits:
            if share * fit.weight <= 0.0:
                continue
            self._find_fit(fit.queue, fit.declared).restore(fit, share)
        for image in state.images:
            if share * image.weight <= 0.0:
                continue
            self._find_image(image.queue, image.declared, image.image).add(
                image.mean_log_declared,
                image.mean_log_ratio,
                share * image.weight,
            )
        for item in state.steps:
            if item.step_id.partition('.')[0] not in jobs:
                continue
            tasks = self._find_tasks(item.step_id)
            if tasks is None:
                tasks = self._add_step(item.step_id)
                tasks.given_log = item.log_seconds
                tasks.given_tasks = min(MAX_STEP_TASKS, item.tasks)
                # Its queue has learned of these tasks before.
                tasks.counted = tasks.given_tasks

    def _is_applied(self, queue: str) -> bool:
        return self.applied_queues is None or queue in self.applied_queues

    def _find_tasks(self, step_id: str) -> _StepTasks | None:
        steps = self._steps.get(step_id.partition('.')[0])
        return steps.get(step_id) if steps else None

    def _add_step(self, step_id: str) -> _StepTasks:
        if self._step_count >= MAX_STEPS:
            self.forget_job(next(iter(self._steps)))
        steps = self._steps.setdefault(step_id.partition('.')[0], {})
        steps[step_id] = tasks = _StepTasks()
        self._step_count += 1
        return tasks

    def _find_fit(self, queue: str, declared: bool) -> _Fit:
        fit = self._fits.get((queue, declared))
        if fit is None:
            if len(self._fits) >= MAX_QUEUES:
                del self._fits[next(iter(self._fits))]
            self._fits[queue, declared] = fit = _Fit()
        return fit

    def _find_spread(self, queue: str) -> _Spread:
        spread = self._spreads.get(queue)
        if spread is None:
            if len(self._spreads) >= MAX_QUEUES:
                del self._spreads[next(iter(self._spreads))]
            self._spreads[queue] = spread = _Spread()
        return spread

    def _find_image(
        self, queue: str, declared: bool, image: str
    ) -> _ImageMeans:
        # Inserted again, so that the latest is the last.
        key = (queue, declared, image)
        means = self._images.pop(key, None)
        if means is None and len(self._images) >= MAX_IMAGES:
            del self._images[next(iter(self._images))]
        self._images[key] = means = means or _ImageMeans()
        return means

    def _add_sample(
        self, queue: str, step: workloads.Step, log_work: float, weight: float
    ) -> None:
        log_declared = measure_log_declared(step)
        declared = step.estimated_ms > 0
        fit = self._find_fit(queue, declared)
        expected = self._predict_ratio(queue, step, fit)
        distance = fit.clip(log_work - log_declared - expected)
        log_ratio = expected + distance
        fit.add(log_declared, log_ratio, distance, weight)
        if step.image:
            self._find_image(queue, declared, step.image).add(
                log_declared, log_ratio, weight
            )

    def _predict_log(self, queue: str, step: workloads.Step) -> float | None:
        """Return the log of the work before the step's first run."""
        fit = self._fits.get((queue, step.estimated_ms > 0))
        if fit is not None:
            return measure_log_declared(step) + self._predict_ratio(
                queue, step, fit
            )
        return measure_log_declared(step) if step.estimated_ms > 0 else None

    def _predict_ratio(
        self, queue: str, step: workloads.Step, fit: _Fit
    ) -> float:
        """Return the expected log ratio of the work to the estimate."""
        expected = fit.predict(measure_log_declared(step))
        means = self._images.get((queue, step.estimated_ms > 0, step.image))
        return expected + means.measure_offset(fit) if means else expected


def measure_log_declared(step: workloads.Step) -> float:
    """Return the log of the estimate, or of 1 s if there is none."""
    if step.estimated_ms <= 0:
        return 0.0
    return math.log(restrict_seconds(step.estimated_ms / 1000))


def restrict_seconds(seconds: float) -> float:
    """Return a duration within the range of learned durations."""
    return min(MAX_SECONDS, max(MIN_SECONDS, seconds))
