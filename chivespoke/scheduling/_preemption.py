"""Preempt normal batch tasks for services and other urgent jobs."""

import typing

from chivespoke import resources
from chivespoke.scheduling import _drain
from chivespoke.scheduling import _link
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

URGENT_PRIORITY = 0


class Preemption(typing.NamedTuple):
    """List the tasks to evict from a worker so that another task fits."""

    lost_processor_seconds: float
    worker: int
    victims: tuple[_drain.EvictionCandidate, ...]


class PreemptionPlanner(_planner.Planner):
    """Evict normal batch tasks to place urgent ones, with the least loss."""

    __slots__ = ()

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        budget = context.document.limits.moves_at_once
        budget -= _drain.count_displaced_tasks(context)
        for job_number in sorted(context.blocked_jobs):
            job = shard.jobs[job_number]
            if not may_preempt(job) or job.infeasible_reason:
                continue
            wanted = _placer.count_pending(job)
            for preemption in find_preemptions(now, context, job)[:wanted]:
                budget -= len(preemption.victims)
                if budget < 0:
                    return []
                link = context.links[preemption.worker]
                for victim in preemption.victims:
                    link.pending_evictions[victim.key] = victim.checkpointing
        return []


def may_preempt(job: _state.Job) -> bool:
    """Return whether a job may preempt normal batch tasks."""
    return job.spec.priority == URGENT_PRIORITY


def find_preemptions(
    now: float, context: _planner.PlanContext, job: _state.Job
) -> list[Preemption]:
    """Return a preemption for each suitable worker, the least loss first.

    Skip workers with pending evictions: these will free resources soon.
    """
    preemptions: list[Preemption] = []
    for worker_number, worker in context.shard.workers.items():
        link = context.links.get(worker_number)
        if link is None or not _is_allowed(context.shard, worker, job):
            continue
        if link.pending_evictions:
            continue
        victims = choose_victims(now, context.shard, worker_number, job, link)
        if victims:
            lost_processor_seconds = sum(
                victim.lost_processor_seconds for victim in victims
            )
            preemptions.append(
                Preemption(
                    lost_processor_seconds, worker_number, tuple(victims)
                )
            )
    return sorted(
        preemptions,
        key=lambda preemption: (
            preemption.lost_processor_seconds,
            preemption.worker,
        ),
    )


def choose_victims(
    now: float,
    shard: _state.Shard,
    worker_number: int,
    job: _state.Job,
    link: _link.WorkerLink,
) -> list[_drain.EvictionCandidate]:
    """Return the tasks with the least loss whose eviction makes room.

    Return an empty list when room cannot or need not be made.
    """
    worker = shard.workers[worker_number]
    free = worker.free
    candidates = sorted(
        (
            _drain.make_eviction_candidate(
                now, worker_number, key, shard.jobs[key[0]], link
            )
            for key in worker.tasks.values()
            if _is_evictable(shard.jobs[key[0]])
        ),
        key=lambda candidate: (
            candidate.lost_processor_seconds,
            candidate.key,
        ),
    )
    victims: list[_drain.EvictionCandidate] = []
    for candidate in candidates:
        if job.spec.size.fits_within(free):
            break
        victims.append(candidate)
        free = free + _get_attempt_size(shard, candidate)
    return victims if job.spec.size.fits_within(free) else []


def _get_attempt_size(
    shard: _state.Shard, candidate: _drain.EvictionCandidate
) -> resources.Resources:
    return shard.jobs[candidate.key[0]].running[candidate.key[1]].size


def _is_evictable(job: _state.Job) -> bool:
    is_batch = job.spec.kind is workers.TaskKind.BATCH
    return is_batch and job.spec.priority != URGENT_PRIORITY


def _is_allowed(
    shard: _state.Shard, worker: _state.Worker, job: _state.Job
) -> bool:
    allowed = job.spec.data_centres
    return (
        worker.state is _state.WorkerState.UP
        and worker.task_limit < 0
        and worker.data_centre not in shard.out_of_service
        and (not allowed or worker.data_centre in allowed)
    )
