"""Choose workers for the pending tasks of a shard, a batch at a time."""

import collections.abc
import itertools

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _drain
from chivespoke.scheduling import _fold
from chivespoke.scheduling import _index
from chivespoke.scheduling import _isolation
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _records
from chivespoke.scheduling import _spread
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

# Placements in one batch. A batch is proposed in one frame of the log.
BATCH_LIMIT = 256

# Size, allowed data centres and team. Once a task of a class cannot be
# placed, the batch skips all other tasks of the class.
EquivalenceClass = tuple[resources.Resources, tuple[str, ...], str]


class Placer:
    """Propose placements, the most urgent jobs first."""

    __slots__ = (
        'policy',
        'active_jobs',
        'usage_caps',
        '_fold',
        '_index',
        '_quota_reserved',
        'isolation',
        '_refill_limiter',
        '_refill_allowance',
    )

    def __init__(
        self,
        fold: _fold.ShardFold,
        index: _index.WorkerIndex,
        policy: _policy.PlacementPolicy,
    ) -> None:
        self.policy = policy
        # Numbers of the jobs that may have pending tasks.
        self.active_jobs: set[int] = set(fold.shard.jobs)
        # Upper bound on what the tasks of a team use in this shard; it may
        # be lower than the shard's share of the quota.
        self.usage_caps: dict[identifiers.TeamName, resources.Resources] = {}
        self._fold = fold
        self._index = index
        self._quota_reserved: dict[
            identifiers.TeamName, resources.Resources
        ] = {}
        self.isolation = _isolation.SuspectIsolation(fold, index)
        self._refill_limiter = _drain.RefillLimiter()
        self._refill_allowance: dict[identifiers.DataCentreName, int] = {}

    def limit_refill(
        self,
        now: float,
        out_of_service: tuple[identifiers.DataCentreName, ...],
        rate: float,
    ) -> None:
        """Limit the next batch in data centres that returned to service.

        The rate is in placements per second for each data centre.
        """
        self._refill_allowance = self._refill_limiter.compute_allowance(
            now, out_of_service, rate
        )

    def propose_batch(
        self,
        version: int,
        blocked_jobs: set[int] | None = None,
        limit: int = BATCH_LIMIT,
    ) -> list[_records.AttemptPlaced]:
        """Return at most limit placements and reserve their resources.

        Add the numbers of jobs that could not be placed to blocked_jobs.
        Suspected tasks come first, as workers are held for them.
        """
        self._quota_reserved = {}
        placed = self._place_suspects(version, limit)
        hopeless = _crashes.find_hopeless(self._fold.shard)
        unplaceable: set[EquivalenceClass] = set()
        for job_number in self._sort_active_jobs():
            if len(placed) >= limit:
                break
            if job_number in hopeless:
                continue
            job = self._fold.shard.jobs[job_number]
            spec = job.spec
            equivalence_class = (
                spec.size,
                tuple(spec.data_centres),
                str(spec.team),
            )
            remaining = limit - len(placed)
            if equivalence_class not in unplaceable:
                batch = self._place_job(job_number, job, version, remaining)
                placed.extend(batch)
                pending = count_pending(job) - self._count_suspects(job_number)
                if len(batch) < min(remaining, pending):
                    unplaceable.add(equivalence_class)
            if equivalence_class in unplaceable and blocked_jobs is not None:
                blocked_jobs.add(job_number)
        return placed

    def _sort_active_jobs(self) -> list[int]:
        jobs = self._fold.shard.jobs
        self.active_jobs = {
            job_number
            for job_number in self.active_jobs
            if _is_schedulable(jobs[job_number])
        }
        return sorted(self.active_jobs, key=self._compute_sort_key)

    def _compute_sort_key(
        self, job_number: int
    ) -> tuple[int, int, float, int]:
        spec = self._fold.shard.jobs[job_number].spec
        kind_rank = 0 if spec.kind.value == 'latency-critical' else 1
        deadline = spec.deadline or float('inf')
        return (spec.priority, kind_rank, deadline, job_number)

    def _place_job(
        self, job_number: int, job: _state.Job, version: int, limit: int
    ) -> list[_records.AttemptPlaced]:
        batch: list[_records.AttemptPlaced] = []
        suspects = self._fold.shard.suspects.get(job_number, {})
        pending = (
            index for index in list_pending(job) if index not in suspects
        )
        spread = _spread.ReplicaSpread(self._fold.shard, job)
        for index in itertools.islice(pending, limit):
            if not self._fits_quota(job.spec):
                break
            demand = _index.make_demand(job, index)
            candidates = spread.filter(
                self._filter_by_allowance(self._index.find_candidates(demand))
            )
            if not candidates:
                break
            view = self.policy.choose_worker(demand, candidates)
            if view is None:
                break
            spread.add(view)
            batch.append(self._place(job_number, index, view, version))
        return batch

    def _place_suspects(
        self, version: int, limit: int
    ) -> list[_records.AttemptPlaced]:
        """Place suspected tasks, each apart from other jobs."""
        placed: list[_records.AttemptPlaced] = []
        for job_number, index in self.isolation.update()[:limit]:
            job = self._fold.shard.jobs[job_number]
            if not self._fits_quota(job.spec):
                continue
            view = self.isolation.choose_worker(job_number, index)
            if view is not None:
                placed.append(self._place(job_number, index, view, version))
        return placed

    def _place(
        self,
        job_number: int,
        index: int,
        view: _policy.WorkerView,
        version: int,
    ) -> _records.AttemptPlaced:
        """Return the placement and reserve what it needs."""
        job = self._fold.shard.jobs[job_number]
        worker = self._index.get_number(view)
        self._index.reserve(worker, job.spec.size)
        self._refill_limiter.consume(view.data_centre)
        if view.data_centre in self._refill_allowance:
            self._refill_allowance[view.data_centre] -= 1
        self._reserve_quota(job.spec)
        waiting = _task_lifecycle.find_pending(job, index)
        last_attempt = waiting.last_attempt if waiting is not None else 0
        return _records.AttemptPlaced(
            job_number, index, last_attempt + 1, worker, version
        )

    def _count_suspects(self, job_number: int) -> int:
        """Return how many pending tasks of a job are suspected."""
        job = self._fold.shard.jobs[job_number]
        suspects = self._fold.shard.suspects.get(job_number, {})
        return sum(index in job.requeued for index in suspects)

    def _filter_by_allowance(
        self, candidates: list[_policy.WorkerView]
    ) -> list[_policy.WorkerView]:
        if not self._refill_allowance:
            return candidates
        return [
            view
            for view in candidates
            if self._refill_allowance.get(view.data_centre, 1) > 0
        ]

    def _fits_quota(self, spec: _records.JobSpec) -> bool:
        reserved = self._quota_reserved.get(spec.team, resources.NOTHING)
        usage_cap = self.usage_caps.get(spec.team)
        if usage_cap is not None:
            used = self._fold.shard.used.get(spec.team, resources.NOTHING)
            if not (used + reserved + spec.size).fits_within(usage_cap):
                return False
        return _task_lifecycle.has_quota(
            self._fold.shard, spec.team, spec.size + reserved
        )

    def _reserve_quota(self, spec: _records.JobSpec) -> None:
        reserved = self._quota_reserved.get(spec.team, resources.NOTHING)
        self._quota_reserved[spec.team] = reserved + spec.size


def _is_schedulable(job: _state.Job) -> bool:
    has_pending = bool(job.fresh or job.requeued)
    return (
        has_pending
        and job.phase is _state.JobPhase.OPEN
        and not job.infeasible_reason
    )


def count_pending(job: _state.Job) -> int:
    """Return the number of tasks that wait for a placement."""
    return job.count_fresh() + len(job.requeued)


def list_pending(job: _state.Job) -> collections.abc.Iterator[int]:
    """Yield the indexes of pending tasks.

    Tasks that were placed before precede those that never were.
    """
    yield from tuple(job.requeued)
    for first, stop in tuple(job.fresh):
        yield from range(first, stop)
