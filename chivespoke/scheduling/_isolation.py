"""Start suspected tasks where no other job can be blamed for a crash."""

import collections.abc
import math

from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _fold
from chivespoke.scheduling import _index
from chivespoke.scheduling import _policy

# Limits on the workers that are held for suspected tasks at once.
MAX_HELD_SHARE = 0.25
MAX_HELD_WORKERS = 8

# Returns whether no attempt of another job on a worker is young. Takes the
# numbers of the worker and of the job.
IsSettled = collections.abc.Callable[[int, int], bool]


class SuspectIsolation:
    """Hold workers for suspected tasks until these survive or crash."""

    __slots__ = (
        'is_settled',
        '_fold',
        '_index',
        '_held',
        '_waiting',
    )

    def __init__(
        self, fold: _fold.ShardFold, index: _index.WorkerIndex
    ) -> None:
        self.is_settled: IsSettled = lambda worker, job: True
        self._fold = fold
        self._index = index
        # Jobs by the worker that is held for one of their tasks.
        self._held: dict[int, int] = {}
        # Worker held for a task that cannot start there yet, by job and index.
        self._waiting: dict[tuple[int, int], int] = {}

    @property
    def held(self) -> collections.abc.Iterable[int]:
        """Return the numbers of the workers that are held."""
        return self._held

    def update(self) -> list[tuple[int, int]]:
        """Hold the workers of suspects; return the suspects that wait.

        Each is a job number with a task index. Call this before each batch.
        """
        shard = self._fold.shard
        hopeless = _crashes.find_hopeless(shard)
        pending: list[tuple[int, int]] = []
        self._held = {}
        for job_number, tasks in shard.suspects.items():
            job = shard.jobs[job_number]
            for index in tasks:
                attempt = job.running.get(index)
                if attempt is not None and not attempt.stop_requested:
                    self._held[attempt.worker] = job_number
                elif (
                    index in job.requeued
                    and job_number not in hopeless
                    and not job.infeasible_reason
                ):
                    pending.append((job_number, index))
        self._waiting = {
            key: worker
            for key, worker in self._waiting.items()
            if key in pending
            and worker not in self._held
            and self._index.accepts_tasks(worker)
        }
        for (job_number, _), worker in self._waiting.items():
            self._held[worker] = job_number
        self._index.set_held(self._held)
        return pending

    def choose_worker(
        self, job_number: int, index: int
    ) -> _policy.WorkerView | None:
        """Return a worker for a suspect and hold it, or None to wait.

        Other places than those that crashed are preferred, then those with the
        least to lose.
        """
        key = (job_number, index)
        if key not in self._waiting and not self._may_hold_more():
            return None
        places = self._list_places(job_number, index)
        size = self._fold.shard.jobs[job_number].spec.size
        ready = [
            worker
            for worker in places
            if self._held.get(worker, job_number) == job_number
            and size.fits_within(self._index.views[worker].free)
            and not self._index.is_reserved(worker)
            and self.is_settled(worker, job_number)
        ]
        if ready:
            self._waiting.pop(key, None)
            worker = min(ready, key=self._measure_loss)
            self._held[worker] = job_number
            self._index.set_held(self._held)
            return self._index.views[worker]
        if key not in self._waiting:
            self._wait(key, places)
        return None

    def _wait(self, key: tuple[int, int], places: list[int]) -> None:
        """Hold the worker on which the task can start soonest."""
        size = self._fold.shard.jobs[key[0]].spec.size
        free_places = [worker for worker in places if worker not in self._held]
        if not free_places:
            return
        worker = min(
            free_places,
            key=lambda worker: (
                not size.fits_within(self._index.views[worker].free),
                self._measure_loss(worker),
            ),
        )
        self._waiting[key] = worker
        self._held[worker] = key[0]
        self._index.set_held(self._held)

    def _may_hold_more(self) -> bool:
        share = math.ceil(MAX_HELD_SHARE * len(self._fold.shard.workers))
        return len(self._held) < min(share, MAX_HELD_WORKERS)

    def _list_places(self, job_number: int, index: int) -> list[int]:
        """Return the workers for a suspect, only others if there are any."""
        shard = self._fold.shard
        spec = shard.jobs[job_number].spec
        places = [
            number
            for number, worker in shard.workers.items()
            if spec.size.fits_within(worker.capacity)
            and (
                not spec.data_centres
                or worker.data_centre in spec.data_centres
            )
            and self._index.accepts_tasks(number)
        ]
        crashes = _crashes.find_crashes(shard, job_number, index)
        crashed = {crash.place for crash in crashes}
        others = [
            number
            for number in places
            if _crashes.get_place(shard.workers[number]) not in crashed
        ]
        return others or places

    def _measure_loss(self, worker: int) -> tuple[int, int, int]:
        view = self._index.views[worker]
        return (len(view.tasks), view.committed.millicores, worker)
