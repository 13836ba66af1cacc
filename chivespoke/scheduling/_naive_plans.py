"""Naive twins of the plans about data centres, for comparison."""

from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _services
from chivespoke.scheduling import _state
from chivespoke import workers


class StopEverything(_planner.Planner):
    """Stop all batch work where a data centre is out, saving nothing."""

    __slots__ = ()

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        shard = owner.shard
        for number, worker in shard.workers.items():
            link = owner.links.get(number)
            if link is None or worker.data_centre not in shard.out_of_service:
                continue
            for key in worker.tasks.values():
                kind = shard.jobs[key[0]].spec.kind
                if kind is workers.TaskKind.BATCH:
                    link.pending_evictions[key] = False
        return []


class HastyServicePlanner(_services.ServicePlanner):
    """Retire replicas at once where a data centre is out."""

    __slots__ = ()

    def _is_overdue(
        self,
        now: float,
        owner: _planner.PlanContext,
        worker: _state.Worker,
    ) -> bool:
        return True
