"""Correction of declared sizes by quantiles of measured usage."""

import abc
import collections

import ddsketch
import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import workers

RELATIVE_ACCURACY = 0.02
# A declaration is corrected once MIN_WORKERS workers have each reported
# MIN_MEASUREMENTS measurements of the family.
MIN_MEASUREMENTS = 12
MIN_WORKERS = 3
# A declaration between these multiples of the learned usage is not corrected.
MAX_DECLARED_RATIO = 1.25
MIN_DECLARED_RATIO = 0.9
# Processors can be overcommitted for a short time, so the typical usage is
# committed; the guard acts when the sum exceeds the worker. Memory cannot be
# overcommitted, so a high quantile is committed.
TYPICAL_QUANTILE = 0.5
MEMORY_QUANTILE = 0.95
# Factor between the learned usage and the committed size.
COMMIT_MARGIN = 1.05
# Number of workers, those added last, whose sketches of a family are kept.
MAX_WORKERS_PER_FAMILY = 16


class CorrectedSize(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the size to commit and the reason for a correction."""

    size: resources.Resources
    # Empty if the declared size is not corrected.
    note: str = ''


class SizePolicy(abc.ABC):
    """Correct the declared sizes of tasks."""

    @abc.abstractmethod
    def correct_size(
        self, family: str, declared: resources.Resources
    ) -> CorrectedSize:
        """Return the size to commit for a task of a family."""

    @abc.abstractmethod
    def estimate_use(
        self, demand: scheduling.TaskDemand
    ) -> resources.Resources:
        """Return the expected resource usage of a task."""


class DeclaredSizes(SizePolicy):
    """Use all declared sizes without correction."""

    __slots__ = ()

    def correct_size(
        self, family: str, declared: resources.Resources
    ) -> CorrectedSize:
        return CorrectedSize(size=declared)

    def estimate_use(
        self, demand: scheduling.TaskDemand
    ) -> resources.Resources:
        return demand.size


class UsageSketches:
    """Hold quantile sketches of a family's usage on one worker."""

    __slots__ = ('millicores', 'memory_mib', 'count')

    def __init__(self) -> None:
        self.millicores = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self.memory_mib = ddsketch.DDSketch(RELATIVE_ACCURACY)
        self.count = 0


class LearnedSizes(SizePolicy):
    """Correct declared sizes by quantiles of measured usage.

    A quantile is computed for each worker, and the median over the workers is
    used, so that one worker with false reports does not affect the others.
    """

    __slots__ = ('families', '_run_times', '_cache')

    def __init__(self) -> None:
        self.families: dict[
            str, collections.OrderedDict[identifiers.WorkerId, UsageSketches]
        ] = {}
        self._run_times: dict[str, ddsketch.DDSketch] = {}
        self._cache: dict[tuple[str, float], tuple[int, int] | None] = {}

    def observe_usage(
        self,
        worker_id: identifiers.WorkerId,
        demand: scheduling.TaskDemand,
        use: resources.Resources,
    ) -> None:
        """Add a valid measurement of a task that is not throttled."""
        by_worker = self.families.setdefault(
            demand.family, collections.OrderedDict()
        )
        sketches = by_worker.get(worker_id)
        if sketches is None:
            sketches = by_worker[worker_id] = UsageSketches()
            if len(by_worker) > MAX_WORKERS_PER_FAMILY:
                by_worker.popitem(last=False)
        sketches.millicores.add(float(use.millicores))
        sketches.memory_mib.add(float(use.memory_mib))
        sketches.count += 1
        if sketches.count % MIN_MEASUREMENTS == 0:
            for quantile in (MEMORY_QUANTILE, TYPICAL_QUANTILE):
                self._cache.pop((demand.family, quantile), None)

    def restore(
        self,
        family: str,
        worker_id: identifiers.WorkerId,
        sketches: UsageSketches,
    ) -> None:
        """Add a predecessor's sketches of a family on one worker."""
        by_worker = self.families.setdefault(family, collections.OrderedDict())
        by_worker.setdefault(worker_id, sketches)
        self._cache.clear()

    def observe_run_time(self, family: str, seconds: float) -> None:
        """Add the run time of a completed task."""
        sketch = self._run_times.get(family)
        if sketch is None:
            sketch = ddsketch.DDSketch(RELATIVE_ACCURACY)
            self._run_times[family] = sketch
        sketch.add(seconds)

    def estimate_run_time(self, family: str, declared: float) -> float:
        """Return the median run time in seconds.

        Return the declared run time if too few were measured.
        """
        sketch = self._run_times.get(family)
        if sketch is None or sketch.count < MIN_MEASUREMENTS:
            return declared
        return read_quantile(sketch, TYPICAL_QUANTILE)

    def correct_size(
        self, family: str, declared: resources.Resources
    ) -> CorrectedSize:
        typical = self._get_quantile(family, TYPICAL_QUANTILE)
        high = self._get_quantile(family, MEMORY_QUANTILE)
        if typical is None or high is None:
            return CorrectedSize(size=declared)
        millicores = _correct_amount(declared.millicores, typical[0])
        memory = _correct_amount(declared.memory_mib, high[1])
        size = resources.Resources(millicores, memory, declared.accelerators)
        if size == declared:
            return CorrectedSize(size=declared)
        note = (
            f'{family}: declared {declared.millicores} millicores and '
            f'{declared.memory_mib} MiB, committed {millicores} and {memory} '
            f'by measured use'
        )
        return CorrectedSize(size=size, note=note)

    def estimate_use(
        self, demand: scheduling.TaskDemand
    ) -> resources.Resources:
        learned = self._get_quantile(demand.family, TYPICAL_QUANTILE)
        if learned is None:
            return demand.size
        return resources.Resources(
            learned[0], learned[1], demand.size.accelerators
        )

    def _get_quantile(
        self, family: str, quantile: float
    ) -> tuple[int, int] | None:
        key = (family, quantile)
        if key not in self._cache:
            self._cache[key] = self._compute_quantile(family, quantile)
        return self._cache[key]

    def _compute_quantile(
        self, family: str, quantile: float
    ) -> tuple[int, int] | None:
        reliable = [
            sketches
            for sketches in self.families.get(family, {}).values()
            if sketches.count >= MIN_MEASUREMENTS
        ]
        if len(reliable) < MIN_WORKERS:
            return None
        return (
            _take_median(
                [read_quantile(s.millicores, quantile) for s in reliable]
            ),
            _take_median(
                [read_quantile(s.memory_mib, quantile) for s in reliable]
            ),
        )


def observe_task_usage(
    sizes: LearnedSizes,
    worker: scheduling.WorkerView,
    task_id: identifiers.TaskId,
    demand: scheduling.TaskDemand,
    use: resources.Resources,
) -> None:
    """Add the usage of a batch task to its sketch, unless throttled."""
    placed = worker.tasks.get(task_id)
    if demand.kind is not workers.TaskKind.BATCH:
        return
    if placed is not None and not placed.throttled:
        sizes.observe_usage(worker.worker_id, demand, use)


def _correct_amount(declared: int, learned: int) -> int:
    corrected = int(learned * COMMIT_MARGIN)
    if (
        MIN_DECLARED_RATIO * corrected
        <= declared
        <= MAX_DECLARED_RATIO * corrected
    ):
        return declared
    return max(corrected, 1)


def read_quantile(sketch: ddsketch.DDSketch, quantile: float) -> float:
    """Return a quantile of a sketch, 0 if the sketch is empty."""
    return float(sketch.get_quantile_value(quantile) or 0.0)


def _take_median(values: list[float]) -> int:
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return round(ordered[middle])
    return round((ordered[middle - 1] + ordered[middle]) / 2)
