"""Find workers with free resources without scanning all of them."""

import collections.abc
import itertools

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _state
from chivespoke import workers

# Candidates offered to a placement policy. Services get more, because they
# have few replicas and their placement matters more.
SERVICE_CANDIDATES = 16
BATCH_CANDIDATES = 4
# Workers examined in one bucket before the search moves to the next.
PROBES_PER_BUCKET = 32

# Data centre, whether the worker has accelerators, and the bit length of its
# free millicores.
BucketKey = tuple[identifiers.DataCentreName, bool, int]


class WorkerIndex:
    """Index a shard's workers by their free processors."""

    __slots__ = (
        'views',
        '_numbers',
        '_buckets',
        '_levels',
        '_data_centres',
        '_bucket_keys',
        '_reserved',
        '_held',
        '_accepting',
        '_rotation',
    )

    def __init__(self) -> None:
        self.views: dict[int, _policy.WorkerView] = {}
        self._numbers: dict[identifiers.WorkerId, int] = {}
        self._buckets: dict[BucketKey, dict[int, None]] = {}
        # Bit lengths for which there is a bucket, in ascending order.
        self._levels: dict[
            tuple[identifiers.DataCentreName, bool], list[int]
        ] = {}
        self._data_centres: list[identifiers.DataCentreName] = []
        self._rotation = 0
        self._bucket_keys: dict[int, BucketKey] = {}
        self._reserved: set[int] = set()
        self._accepting: set[int] = set()
        # Workers that find_candidates leaves out.
        self._held: frozenset[int] = frozenset()

    def get_number(self, view: _policy.WorkerView) -> int:
        """Return the number of a worker in the shard."""
        return self._numbers[view.worker_id]

    def rebuild(self, shard: _state.Shard, now: float) -> None:
        """Replace the index with the workers of a shard."""
        for state in (self.views, self._numbers, self._bucket_keys):
            state.clear()
        self._buckets.clear()
        self._levels.clear()
        self._data_centres = []
        self._reserved.clear()
        self._accepting.clear()
        self._held = frozenset()
        for worker_number in shard.workers:
            self.refresh(shard, worker_number, now)

    def refresh(
        self, shard: _state.Shard, worker_number: int, now: float
    ) -> None:
        """Update a worker from the shard and drop reservations on it."""
        worker = shard.workers[worker_number]
        previous = self.views.get(worker_number)
        previous_tasks = previous.tasks if previous is not None else {}
        self.views[worker_number] = _policy.WorkerView(
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            data_centre=worker.data_centre,
            rack=worker.rack,
            capacity=worker.capacity,
            committed=worker.committed,
            tasks=_list_tasks(shard, worker, previous_tasks, now),
        )
        self._numbers[worker.worker_id] = worker_number
        self._reserved.discard(worker_number)
        self._accepting.discard(worker_number)
        if _accepts_tasks(shard, worker):
            self._accepting.add(worker_number)
        self._update_bucket(worker_number, self._is_eligible(worker_number))

    def accepts_tasks(self, worker_number: int) -> bool:
        """Return whether tasks may be placed on a worker that has room."""
        return worker_number in self._accepting

    def is_reserved(self, worker_number: int) -> bool:
        """Return whether the present batch places tasks on a worker."""
        return worker_number in self._reserved

    def set_held(self, worker_numbers: collections.abc.Iterable[int]) -> None:
        """Offer all workers but these as candidates."""
        held = frozenset(worker_numbers)
        changed = held ^ self._held
        self._held = held
        for worker_number in changed:
            if worker_number in self.views:
                self._update_bucket(
                    worker_number, self._is_eligible(worker_number)
                )

    def _is_eligible(self, worker_number: int) -> bool:
        return (
            worker_number in self._accepting
            and worker_number not in self._held
        )

    def reserve(self, worker_number: int, size: resources.Resources) -> None:
        """Reserve resources on a worker until its next refresh."""
        view = self.views[worker_number]
        view.committed = view.committed + size
        self._reserved.add(worker_number)
        self._update_bucket(worker_number, worker_number in self._bucket_keys)

    def discard_reservations(self, shard: _state.Shard, now: float) -> None:
        """Drop all reservations."""
        for worker_number in tuple(self._reserved):
            self.refresh(shard, worker_number, now)

    def find_candidates(
        self, demand: _policy.TaskDemand
    ) -> list[_policy.WorkerView]:
        """Return workers with room for a task in its allowed data centres."""
        allowed = [
            name
            for name in self._data_centres
            if not demand.data_centres or name in demand.data_centres
        ]
        if not allowed:
            return []
        is_service = demand.kind is workers.TaskKind.LATENCY_CRITICAL
        limit = SERVICE_CANDIDATES if is_service else BATCH_CANDIDATES
        # Start at the next data centre each time, so that the limit does not
        # favour some of them.
        self._rotation += 1
        offset = self._rotation % len(allowed)
        found: list[_policy.WorkerView] = []
        share = -(-limit // len(allowed))
        for name in allowed[offset:] + allowed[:offset]:
            centre_limit = (
                share if is_service else min(share, limit - len(found))
            )
            if centre_limit > 0:
                found.extend(
                    self._find_in_data_centre(name, demand, centre_limit)
                )
        return found

    def _find_in_data_centre(
        self,
        name: identifiers.DataCentreName,
        demand: _policy.TaskDemand,
        limit: int,
    ) -> list[_policy.WorkerView]:
        found: list[_policy.WorkerView] = []
        for has_accelerators in (False, True):
            if demand.size.accelerators and not has_accelerators:
                continue
            found.extend(
                self._scan_buckets(
                    name, has_accelerators, demand, limit - len(found)
                )
            )
            if len(found) >= limit:
                break
        return found

    def _scan_buckets(
        self,
        name: identifiers.DataCentreName,
        has_accelerators: bool,
        demand: _policy.TaskDemand,
        limit: int,
    ) -> list[_policy.WorkerView]:
        lowest = demand.size.millicores.bit_length()
        levels = [
            level
            for level in self._levels.get((name, has_accelerators), ())
            if level >= lowest
        ]
        found: list[_policy.WorkerView] = []
        # Alternate between the fullest and the emptiest workers, so that a
        # policy can choose best fit or worst fit.
        for level in _alternate_ends(levels):
            bucket = self._buckets[(name, has_accelerators, level)]
            probed = tuple(itertools.islice(bucket, PROBES_PER_BUCKET))
            examined = 0
            for worker_number in probed:
                examined += 1
                view = self.views[worker_number]
                if demand.size.fits_within(view.free):
                    found.append(view)
                if len(found) >= limit:
                    break
            _move_to_end(bucket, probed[:examined])
            if len(found) >= limit:
                break
        return found

    def _update_bucket(self, worker_number: int, eligible: bool) -> None:
        view = self.views[worker_number]
        old = self._bucket_keys.pop(worker_number, None)
        key = (
            view.data_centre,
            view.capacity.accelerators > 0,
            view.free.millicores.bit_length(),
        )
        if old is not None and (old != key or not eligible):
            bucket = self._buckets[old]
            del bucket[worker_number]
            if not bucket:
                del self._buckets[old]
                self._update_levels(old)
        if eligible:
            if key not in self._buckets:
                self._buckets[key] = {}
                self._update_levels(key)
            self._buckets[key][worker_number] = None
            self._bucket_keys[worker_number] = key

    def _update_levels(self, changed: BucketKey) -> None:
        """Update the levels and data centres after a bucket has changed."""
        name, has_accelerators, _ = changed
        self._levels[(name, has_accelerators)] = sorted(
            level
            for bucket_centre, bucket_accelerated, level in self._buckets
            if bucket_centre == name and bucket_accelerated is has_accelerators
        )
        self._data_centres = sorted(
            {bucket_centre for bucket_centre, _, _ in self._buckets}
        )


def _move_to_end(bucket: dict[int, None], probed: tuple[int, ...]) -> None:
    """Move the examined workers to the end of their bucket."""
    for worker_number in probed:
        del bucket[worker_number]
        bucket[worker_number] = None


def _alternate_ends(levels: list[int]) -> collections.abc.Iterator[int]:
    low, high = 0, len(levels) - 1
    while low <= high:
        yield levels[low]
        if low != high:
            yield levels[high]
        low += 1
        high -= 1


def _accepts_tasks(shard: _state.Shard, worker: _state.Worker) -> bool:
    is_full = 0 <= worker.task_limit <= len(worker.tasks)
    return (
        worker.state is _state.WorkerState.UP
        and not is_full
        and worker.data_centre not in shard.out_of_service
    )


def _list_tasks(
    shard: _state.Shard,
    worker: _state.Worker,
    previous_tasks: dict[identifiers.TaskId, _policy.PlacedTask],
    now: float,
) -> dict[identifiers.TaskId, _policy.PlacedTask]:
    tasks: dict[identifiers.TaskId, _policy.PlacedTask] = {}
    for job_number, index, attempt in worker.tasks.values():
        job = shard.jobs[job_number]
        task_id = make_task_id(job, index)
        previous = previous_tasks.get(task_id)
        if previous is None or previous.attempt != attempt:
            previous = _policy.PlacedTask(
                demand=make_demand(job, index),
                attempt=identifiers.Attempt(attempt),
                placed_at=now,
            )
        tasks[task_id] = previous
    return tasks


def make_task_id(job: _state.Job, index: int) -> identifiers.TaskId:
    """Return the id of a task, which is the same in every shard."""
    return identifiers.TaskId(f'{job.job_id}/{index}')


def make_demand(job: _state.Job, index: int) -> _policy.TaskDemand:
    """Return the description of a task for the policies."""
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
