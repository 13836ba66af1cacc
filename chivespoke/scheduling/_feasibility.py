"""Check whether a job can run on any worker; flag jobs that cannot."""

import collections.abc

from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


def find_spec_fault(
    document: operators.Document, spec: _records.JobSpec
) -> str:
    """Return why the configuration rules out a job, or an empty string."""
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


def find_permanent_obstacle(
    document: operators.Document,
    shards: collections.abc.Iterable[_state.Shard],
    spec: _records.JobSpec,
) -> str:
    """Return why a job can never run anywhere, or an empty string."""
    fault = find_spec_fault(document, spec)
    if fault:
        return fault
    allowed_count = 0
    for shard in shards:
        for worker in shard.workers.values():
            if not _is_allowed(spec, worker):
                continue
            allowed_count += 1
            if spec.size.fits_within(worker.capacity):
                return ''
    # Without an allowed worker the job may become feasible: one may still
    # register.
    return 'no worker that it may use is large enough' if allowed_count else ''


def find_current_obstacle(
    document: operators.Document,
    shard: _state.Shard,
    spec: _records.JobSpec,
) -> str:
    """Return why a job cannot run in a shard now, or an empty string."""
    fault = find_spec_fault(document, spec)
    if fault:
        return fault
    allowed = [
        worker
        for worker in shard.workers.values()
        if _is_allowed(spec, worker) and worker.task_limit != 0
    ]
    available = [
        worker
        for worker in allowed
        if worker.data_centre not in shard.out_of_service
    ]
    if allowed and not available:
        return 'every data centre that it may use is out of service'
    any_fits = any(
        spec.size.fits_within(worker.capacity) for worker in available
    )
    if available and not any_fits:
        return 'no worker that it may use is large enough'
    return ''


def _is_allowed(spec: _records.JobSpec, worker: _state.Worker) -> bool:
    return not spec.data_centres or worker.data_centre in spec.data_centres


class FeasibilityPlanner(_planner.Planner):
    """Flag jobs that cannot run; clear the flag once they can."""

    __slots__ = ('_last_inputs',)

    def __init__(self) -> None:
        self._last_inputs: tuple[object, ...] = ()

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        shard = context.shard
        # The result depends on these values only.
        inputs = (
            shard.version,
            shard.next_job,
            shard.next_worker,
            sum(worker.task_limit == 0 for worker in shard.workers.values()),
            context.epoch,
        )
        if inputs == self._last_inputs:
            return []
        self._last_inputs = inputs
        obstacles: dict[_records.JobSpec, str] = {}
        records: list[_records.Record] = []
        for job_number, job in shard.jobs.items():
            if job.is_finished() or job.phase is not _state.JobPhase.OPEN:
                continue
            if job.spec not in obstacles:
                obstacles[job.spec] = find_current_obstacle(
                    context.document, shard, job.spec
                )
            reason = obstacles[job.spec]
            if reason != job.infeasible_reason:
                records.append(
                    _records.JobFeasibilityChanged(job_number, reason)
                )
        return records
