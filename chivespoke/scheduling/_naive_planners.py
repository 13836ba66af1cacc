"""Baseline planners for data centres out of service, for benchmarks."""

from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _services
from chivespoke.scheduling import _state
from chivespoke import workers


class ImmediateEvictionPlanner(_planner.Planner):
    """Evict all batch tasks at once where a data centre is out of service.

    No checkpoints are saved.
    """

    __slots__ = ()

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        shard = context.shard
        for worker_number, worker in shard.workers.items():
            link = context.links.get(worker_number)
            if link is None or worker.data_centre not in shard.out_of_service:
                continue
            for key in worker.tasks.values():
                kind = shard.jobs[key[0]].spec.kind
                if kind is workers.TaskKind.BATCH:
                    link.pending_evictions[key] = False
        return []


class ImmediateRetirementPlanner(_services.ServicePlanner):
    """Retire all replicas at once in data centres out of service."""

    __slots__ = ()

    def _is_overdue(
        self,
        now: float,
        context: _planner.PlanContext,
        worker: _state.Worker,
    ) -> bool:
        return True
