"""Find workers with room without looking at all of them."""

import collections.abc
import itertools

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _state
from chivespoke import workers

# Candidates that a policy chooses among: replicas of services are few and
# their place matters more.
SERVICE_CANDIDATES = 16
BATCH_CANDIDATES = 4
# Workers looked at in one bucket before the next one's turn.
PROBES = 32

# Data centre, whether there are accelerators, and the power of two of the
# free processors.
BucketKey = tuple[identifiers.DataCentreName, bool, int]


class WorkerIndex:
    """Hold the views of a shard's workers by what is free on them."""

    __slots__ = (
        'views',
        '_numbers',
        '_buckets',
        '_levels',
        '_centres',
        '_places',
        '_reserved',
        '_turn',
    )

    def __init__(self) -> None:
        self.views: dict[int, _policy.WorkerView] = {}
        self._numbers: dict[identifiers.WorkerId, int] = {}
        self._buckets: dict[BucketKey, dict[int, None]] = {}
        # Of the buckets that are not empty.
        self._levels: dict[
            tuple[identifiers.DataCentreName, bool], list[int]
        ] = {}
        self._centres: list[identifiers.DataCentreName] = []
        self._turn = 0
        self._places: dict[int, BucketKey] = {}
        self._reserved: set[int] = set()

    def get_number(self, view: _policy.WorkerView) -> int:
        """Return the shard's number of a worker."""
        return self._numbers[view.worker_id]

    def rebuild(self, shard: _state.Shard, now: float) -> None:
        """Take over every worker of a shard."""
        for state in (self.views, self._numbers, self._places):
            state.clear()
        self._buckets.clear()
        self._levels.clear()
        self._centres = []
        self._reserved.clear()
        for number in shard.workers:
            self.refresh(shard, number, now)

    def refresh(self, shard: _state.Shard, number: int, now: float) -> None:
        """Take over the state of one worker."""
        worker = shard.workers[number]
        known = self.views.get(number)
        before = known.tasks if known is not None else {}
        self.views[number] = _policy.WorkerView(
            worker_id=worker.worker_id,
            data_centre=worker.data_centre,
            rack=worker.rack,
            capacity=worker.capacity,
            committed=worker.committed,
            tasks=_list_tasks(shard, worker, before, now),
        )
        self._numbers[worker.worker_id] = number
        self._reserved.discard(number)
        self._put(number, _may_take_more(shard, worker))

    def reserve(self, number: int, size: resources.Resources) -> None:
        """Count on a placement until the worker is refreshed."""
        view = self.views[number]
        view.committed = view.committed + size
        self._reserved.add(number)
        self._put(number, number in self._places)

    def release_reserved(self, shard: _state.Shard, now: float) -> None:
        """Return to the shard's own state."""
        for number in tuple(self._reserved):
            self.refresh(shard, number, now)

    def find_candidates(
        self, demand: _policy.TaskDemand
    ) -> list[_policy.WorkerView]:
        """Return workers that have room, over the allowed data centres."""
        allowed = [
            name
            for name in self._centres
            if not demand.data_centres or name in demand.data_centres
        ]
        if not allowed:
            return []
        is_service = demand.kind is workers.TaskKind.LATENCY_CRITICAL
        limit = SERVICE_CANDIDATES if is_service else BATCH_CANDIDATES
        # Another one is first each time, so that all get their share.
        self._turn += 1
        turn = self._turn % len(allowed)
        found: list[_policy.WorkerView] = []
        share = -(-limit // len(allowed))
        for name in allowed[turn:] + allowed[:turn]:
            room = share if is_service else min(share, limit - len(found))
            if room > 0:
                found.extend(self._find_in(name, demand, room))
        return found

    def _find_in(
        self,
        name: identifiers.DataCentreName,
        demand: _policy.TaskDemand,
        share: int,
    ) -> list[_policy.WorkerView]:
        found: list[_policy.WorkerView] = []
        for accelerated in (False, True):
            if demand.size.accelerators and not accelerated:
                continue
            found.extend(
                self._walk(name, accelerated, demand, share - len(found))
            )
            if len(found) >= share:
                break
        return found

    def _walk(
        self,
        name: identifiers.DataCentreName,
        accelerated: bool,
        demand: _policy.TaskDemand,
        share: int,
    ) -> list[_policy.WorkerView]:
        lowest = demand.size.millicores.bit_length()
        levels = [
            level
            for level in self._levels.get((name, accelerated), ())
            if level >= lowest
        ]
        found: list[_policy.WorkerView] = []
        # From both ends, so that a policy can choose tight or wide.
        for level in _alternate(levels):
            bucket = self._buckets[(name, accelerated, level)]
            looked = tuple(itertools.islice(bucket, PROBES))
            taken = 0
            for number in looked:
                taken += 1
                view = self.views[number]
                if demand.size.fits_within(view.free):
                    found.append(view)
                if len(found) >= share:
                    break
            _rotate(bucket, looked[:taken])
            if len(found) >= share:
                break
        return found

    def _put(self, number: int, eligible: bool) -> None:
        view = self.views[number]
        old = self._places.pop(number, None)
        key = (
            view.data_centre,
            view.capacity.accelerators > 0,
            view.free.millicores.bit_length(),
        )
        if old is not None and (old != key or not eligible):
            bucket = self._buckets[old]
            del bucket[number]
            if not bucket:
                del self._buckets[old]
                self._list_levels(old)
        if eligible:
            if key not in self._buckets:
                self._buckets[key] = {}
                self._list_levels(key)
            self._buckets[key][number] = None
            self._places[number] = key

    def _list_levels(self, changed: BucketKey) -> None:
        """Keep the levels of one kind of workers, and the data centres."""
        name, accelerated, _ = changed
        self._levels[(name, accelerated)] = sorted(
            level
            for place, kind, level in self._buckets
            if place == name and kind is accelerated
        )
        self._centres = sorted({place for place, _, _ in self._buckets})


def _rotate(bucket: dict[int, None], looked: tuple[int, ...]) -> None:
    """Put what was looked at behind the rest."""
    for number in looked:
        del bucket[number]
        bucket[number] = None


def _alternate(levels: list[int]) -> collections.abc.Iterator[int]:
    low, high = 0, len(levels) - 1
    while low <= high:
        yield levels[low]
        if low != high:
            yield levels[high]
        low += 1
        high -= 1


def _may_take_more(shard: _state.Shard, worker: _state.Worker) -> bool:
    full = 0 <= worker.task_limit <= len(worker.tasks)
    return (
        worker.state is _state.WorkerState.UP
        and not full
        and worker.data_centre not in shard.out_of_service
    )


def _list_tasks(
    shard: _state.Shard,
    worker: _state.Worker,
    before: dict[identifiers.TaskId, _policy.PlacedTask],
    now: float,
) -> dict[identifiers.TaskId, _policy.PlacedTask]:
    tasks: dict[identifiers.TaskId, _policy.PlacedTask] = {}
    for job_number, index, attempt in worker.tasks.values():
        job = shard.jobs[job_number]
        task_id = make_task_id(job, index)
        known = before.get(task_id)
        if known is None or known.attempt != attempt:
            known = _policy.PlacedTask(
                demand=make_demand(job, index),
                attempt=identifiers.Attempt(attempt),
                placed_at=now,
            )
        tasks[task_id] = known
    return tasks


def make_task_id(job: _state.Job, index: int) -> identifiers.TaskId:
    """Return the name of a task, the same in every shard."""
    return identifiers.TaskId(f'{job.job_id}/{index}')


def make_demand(job: _state.Job, index: int) -> _policy.TaskDemand:
    """Return a task as policies see it."""
    spec = job.spec
    return _policy.TaskDemand(
        task_id=make_task_id(job, index),
        kind=spec.kind,
        family=spec.family,
        team=spec.team,
        size=spec.size,
        priority=_policy.Priority(spec.priority),
        data_centres=spec.data_centres,
        run_time=spec.run_time,
        checkpointing=spec.checkpointing,
    )
