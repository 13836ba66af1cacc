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

import msgspec

from chivespoke.decisions import _duration_statistics
from chivespoke import workloads

# Range of learned durations, in seconds.
MIN_SECONDS = 0.05
MAX_SECONDS = 604_800.0
# Number of steps about which something is kept; those of the oldest job are
# dropped first.
MAX_STEPS = 8192
# Number of images, of all queues together, whose offset is kept.
MAX_IMAGES = 256
# Number of queues of which something is kept.
MAX_QUEUES = 1024
# Number of tasks of a step that count as samples of its queue. The n-th has
# the weight 1 / (n * (n + 1)), so that no step weighs more than 1: its tasks
# are alike.
MAX_COUNTED_TASKS = 8
# Change of the log of a task's expected work that is recorded.
MIN_LOG_CHANGE = 0.05


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
    # Quantile 0.9.
    high_seconds: float
    # Number of tasks of the step that the estimate rests on.
    samples: int


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
        self._fits: dict[tuple[str, bool], _duration_statistics.Fit] = {}
        # By queue, whether there is an estimate, and image; the latest last.
        self._images: dict[
            tuple[str, bool, str], _duration_statistics.ImageMeans
        ] = {}
        # By job and step id.
        self._steps: dict[str, dict[str, _duration_statistics.StepTasks]] = {}
        self._step_count = 0
        # By queue.
        self._spreads: dict[str, _duration_statistics.Spread] = {}

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
            weight = 1 / (tasks.counted * (tasks.counted + 1))
            self._add_sample(queue, step, tasks.median, weight)

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

    def export(self) -> _duration_statistics.DurationState:
        """Return what is learned, without the spread of tasks."""
        return _duration_statistics.DurationState(
            tuple(
                fit.export(queue, declared)
                for (queue, declared), fit in self._fits.items()
            ),
            tuple(
                _duration_statistics.ImageState(
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
                _duration_statistics.StepState(
                    step_id, tasks.median, tasks.samples
                )
                for steps in self._steps.values()
                for step_id, tasks in steps.items()
                if tasks.samples
            ),
        )

    def restore(
        self,
        state: _duration_statistics.DurationState,
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
                tasks.given_tasks = min(
                    _duration_statistics.MAX_STEP_TASKS, item.tasks
                )
                # Its queue has learned of these tasks before.
                tasks.counted = tasks.given_tasks

    def _is_applied(self, queue: str) -> bool:
        return self.applied_queues is None or queue in self.applied_queues

    def _find_tasks(
        self, step_id: str
    ) -> _duration_statistics.StepTasks | None:
        steps = self._steps.get(step_id.partition('.')[0])
        return steps.get(step_id) if steps else None

    def _add_step(self, step_id: str) -> _duration_statistics.StepTasks:
        if self._step_count >= MAX_STEPS:
            self.forget_job(next(iter(self._steps)))
        steps = self._steps.setdefault(step_id.partition('.')[0], {})
        steps[step_id] = tasks = _duration_statistics.StepTasks()
        self._step_count += 1
        return tasks

    def _find_fit(
        self, queue: str, declared: bool
    ) -> _duration_statistics.Fit:
        fit = self._fits.get((queue, declared))
        if fit is None:
            if len(self._fits) >= MAX_QUEUES:
                del self._fits[next(iter(self._fits))]
            self._fits[queue, declared] = fit = _duration_statistics.Fit()
        return fit

    def _find_spread(self, queue: str) -> _duration_statistics.Spread:
        spread = self._spreads.get(queue)
        if spread is None:
            if len(self._spreads) >= MAX_QUEUES:
                del self._spreads[next(iter(self._spreads))]
            self._spreads[queue] = spread = _duration_statistics.Spread()
        return spread

    def _find_image(
        self, queue: str, declared: bool, image: str
    ) -> _duration_statistics.ImageMeans:
        # Inserted again, so that the latest is the last.
        key = (queue, declared, image)
        means = self._images.pop(key, None)
        if means is None and len(self._images) >= MAX_IMAGES:
            del self._images[next(iter(self._images))]
        self._images[key] = means = means or _duration_statistics.ImageMeans()
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
        self, queue: str, step: workloads.Step, fit: _duration_statistics.Fit
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
