"""Simple policies: baselines and references for comparison."""

import collections.abc
import random

from chivespoke import scheduling
from chivespoke import workers

# A service is slow if its latency exceeds its lowest measured latency by this
# factor.
EVICTION_SLOWDOWN_FACTOR = 8.0


class FirstFit(scheduling.PlacementPolicy):
    """Choose the first candidate."""

    __slots__ = ()

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        return candidates[0] if candidates else None


class RandomChoice(scheduling.PlacementPolicy):
    """Choose a random candidate."""

    __slots__ = ('_random',)

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        return self._random.choice(candidates) if candidates else None


class LeastLoaded(scheduling.PlacementPolicy):
    """Choose the candidate with the largest share of free processors."""

    __slots__ = ()

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        return max(candidates, key=_get_free_share, default=None)


class NoGuard(scheduling.GuardPolicy):
    """Take no action."""

    __slots__ = ()

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        return ()


class IgnoreReports(scheduling.ReportObserver):
    """Ignore all reports."""

    __slots__ = ()

    def observe_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> None:
        return None


class EvictAtOnce(scheduling.GuardPolicy, scheduling.ReportObserver):
    """Evict the largest batch task when a report shows a slow service."""

    __slots__ = ('_lowest_latencies', '_slow_workers')

    def __init__(self) -> None:
        self._lowest_latencies: dict[str, float] = {}
        self._slow_workers: set[str] = set()

    def observe_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> None:
        for usage in report.tasks:
            placed = worker.tasks.get(usage.task_id)
            latency = usage.latency_p99
            if placed is None or latency is None or not latency > 0.0:
                continue
            family = placed.demand.family
            lowest = min(self._lowest_latencies.get(family, latency), latency)
            self._lowest_latencies[family] = lowest
            if latency > EVICTION_SLOWDOWN_FACTOR * lowest:
                self._slow_workers.add(report.worker_id)

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        if worker.worker_id not in self._slow_workers:
            return ()
        self._slow_workers.discard(worker.worker_id)
        batch = [
            placed
            for placed in worker.tasks.values()
            if placed.demand.kind is workers.TaskKind.BATCH
        ]
        if not batch:
            return ()
        victim = max(batch, key=lambda placed: placed.demand.size.millicores)
        return (
            scheduling.GuardAction(
                worker_id=worker.worker_id,
                task_id=victim.demand.task_id,
                attempt=victim.attempt,
                kind=scheduling.GuardActionKind.EVICT,
                reason='a service is slow',
            ),
        )


def _get_free_share(worker: scheduling.WorkerView) -> float:
    return worker.free.millicores / max(worker.capacity.millicores, 1)
