"""Make room for services and urgent work by evicting normal batch work."""

import typing

from chivespoke import resources
from chivespoke.scheduling import _drain
from chivespoke.scheduling import _link
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

URGENT = 0


class Room(typing.NamedTuple):
    """Name what to evict on a worker so that a task fits there."""

    lost: float
    worker: int
    victims: tuple[_drain.Move, ...]


class PreemptionPlanner(_planner.Planner):
    """Evict what loses least where it makes room for what matters more."""

    __slots__ = ()

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        budget = owner.document.limits.moves_at_once
        budget -= _drain.count_moving(owner)
        for number in sorted(owner.blocked):
            job = shard.jobs[number]
            if not may_preempt(job) or job.infeasible_reason:
                continue
            wanted = _placer.count_pending(job)
            for room in find_rooms(now, owner, job)[:wanted]:
                budget -= len(room.victims)
                if budget < 0:
                    return []
                link = owner.links[room.worker]
                for victim in room.victims:
                    link.pending_evictions[victim.key] = victim.checkpointing
        return []


def may_preempt(job: _state.Job) -> bool:
    """Tell whether batch work gives way to a job."""
    return job.spec.priority == URGENT


def find_rooms(
    now: float, owner: _planner.PlanContext, job: _state.Job
) -> list[Room]:
    """Return the workers where evictions would make room, cheapest first.

    A worker on which an eviction is under way already makes room.
    """
    rooms: list[Room] = []
    for number, worker in owner.shard.workers.items():
        link = owner.links.get(number)
        if link is None or not _is_usable(owner.shard, worker, job):
            continue
        if link.pending_evictions:
            continue
        victims = choose_victims(now, owner.shard, number, job, link)
        if victims:
            lost = sum(victim.lost for victim in victims)
            rooms.append(Room(lost, number, tuple(victims)))
    return sorted(rooms, key=lambda room: (room.lost, room.worker))


def choose_victims(
    now: float,
    shard: _state.Shard,
    number: int,
    job: _state.Job,
    link: _link.WorkerLink,
) -> list[_drain.Move]:
    """Return the cheapest tasks whose eviction makes room, or none."""
    worker = shard.workers[number]
    free = worker.free
    moves = sorted(
        (
            _drain.make_move(now, number, key, shard.jobs[key[0]], link)
            for key in worker.tasks.values()
            if _may_be_evicted(shard.jobs[key[0]])
        ),
        key=lambda move: (move.lost, move.key),
    )
    victims: list[_drain.Move] = []
    for move in moves:
        if job.spec.size.fits_within(free):
            break
        victims.append(move)
        free = free + _get_size(shard, move)
    return victims if job.spec.size.fits_within(free) else []


def _get_size(shard: _state.Shard, move: _drain.Move) -> resources.Resources:
    return shard.jobs[move.key[0]].running[move.key[1]].size


def _may_be_evicted(job: _state.Job) -> bool:
    batch = job.spec.kind is workers.TaskKind.BATCH
    return batch and job.spec.priority != URGENT


def _is_usable(
    shard: _state.Shard, worker: _state.Worker, job: _state.Job
) -> bool:
    allowed = job.spec.data_centres
    return (
        worker.state is _state.WorkerState.UP
        and worker.task_limit < 0
        and worker.data_centre not in shard.out_of_service
        and (not allowed or worker.data_centre in allowed)
    )
