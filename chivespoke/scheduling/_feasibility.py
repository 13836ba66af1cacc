"""Tell whether a job can run anywhere, and flag it when it cannot."""

import collections.abc

from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


def find_declaration_fault(
    document: operators.Document, spec: _records.JobSpec
) -> str:
    """Return what the configuration says against a job, or nothing."""
    size = spec.size
    if not size.is_valid() or size == resources.NOTHING:
        return 'its size must be positive'
    if document.teams and spec.team not in document.teams:
        return f'team {spec.team} does not exist'
    team = document.teams.get(spec.team)
    if team is not None and team.quota != resources.NOTHING:
        if not size.fits_within(team.quota):
            return f'a task is larger than the quota of team {spec.team}'
    known = document.data_centres
    missing = [name for name in spec.data_centres if name not in known]
    if known and missing and len(missing) == len(spec.data_centres):
        return f'data centre {missing[0]} does not exist'
    return ''


def find_impossibility(
    document: operators.Document,
    shards: collections.abc.Iterable[_state.Shard],
    spec: _records.JobSpec,
) -> str:
    """Return why a job can never run anywhere, or nothing."""
    fault = find_declaration_fault(document, spec)
    if fault:
        return fault
    seen = 0
    for shard in shards:
        for worker in shard.workers.values():
            if not _is_allowed(spec, worker):
                continue
            seen += 1
            if spec.size.fits_within(worker.capacity):
                return ''
    # Workers may not have registered yet; then nothing is known.
    return 'no worker that it may use is large enough' if seen else ''


def find_obstacle(
    document: operators.Document,
    shard: _state.Shard,
    spec: _records.JobSpec,
) -> str:
    """Return why a job cannot run in a shard as things are, or nothing."""
    fault = find_declaration_fault(document, spec)
    if fault:
        return fault
    allowed = [
        worker
        for worker in shard.workers.values()
        if _is_allowed(spec, worker) and worker.task_limit != 0
    ]
    open_workers = [
        worker
        for worker in allowed
        if worker.data_centre not in shard.out_of_service
    ]
    if allowed and not open_workers:
        return 'every data centre that it may use is out of service'
    fits = any(
        spec.size.fits_within(worker.capacity) for worker in open_workers
    )
    if open_workers and not fits:
        return 'no worker that it may use is large enough'
    return ''


def _is_allowed(spec: _records.JobSpec, worker: _state.Worker) -> bool:
    return not spec.data_centres or worker.data_centre in spec.data_centres


class FlagPlanner(_planner.Planner):
    """Flag jobs that cannot run, and take them up again when they can."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        self._seen: tuple[object, ...] = ()

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        shard = owner.shard
        # Nothing else changes what could run.
        seen = (
            shard.version,
            shard.next_job,
            shard.next_worker,
            sum(worker.task_limit == 0 for worker in shard.workers.values()),
            owner.epoch,
        )
        if seen == self._seen:
            return []
        self._seen = seen
        obstacles: dict[_records.JobSpec, str] = {}
        records: list[_records.Record] = []
        for number, job in shard.jobs.items():
            if job.is_finished() or job.phase is not _state.JobPhase.OPEN:
                continue
            if job.spec not in obstacles:
                obstacles[job.spec] = find_obstacle(
                    owner.document, shard, job.spec
                )
            reason = obstacles[job.spec]
            if reason != job.infeasible_reason:
                records.append(_records.JobFeasibilityChanged(number, reason))
        return records
