"""Decide a batch of placements."""

import collections.abc
import itertools

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _drain
from chivespoke.scheduling import _fold
from chivespoke.scheduling import _index
from chivespoke.scheduling import _placing
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _records
from chivespoke.scheduling import _spread
from chivespoke.scheduling import _state

# Placements proposed in one frame.
BATCH_LIMIT = 256

# What cannot be placed now stands for all tasks of its shape.
Shape = tuple[resources.Resources, tuple[str, ...], str]


class Placer:
    """Propose placements, most urgent first."""

    __slots__ = (
        'policy',
        'active',
        'caps',
        '_fold',
        '_index',
        '_quota_taken',
        '_pacer',
        '_allowance',
    )

    def __init__(
        self,
        fold: _fold.ShardFold,
        index: _index.WorkerIndex,
        policy: _policy.PlacementPolicy,
    ) -> None:
        self.policy = policy
        # Numbers of the jobs that may have waiting tasks.
        self.active: set[int] = set(fold.shard.jobs)
        # What this shard's tasks of a team may use, short of its share.
        self.caps: dict[identifiers.TeamName, resources.Resources] = {}
        self._fold = fold
        self._index = index
        self._quota_taken: dict[identifiers.TeamName, resources.Resources] = {}
        self._pacer = _drain.RefillPacer()
        self._allowance: dict[identifiers.DataCentreName, int] = {}

    def pace(
        self,
        now: float,
        out: tuple[identifiers.DataCentreName, ...],
        rate: float,
    ) -> None:
        """Bound the next batch in data centres that have just returned."""
        self._allowance = self._pacer.compute_allowance(now, out, rate)

    def decide(
        self,
        version: int,
        blocked: set[int] | None = None,
        limit: int = BATCH_LIMIT,
    ) -> list[_records.AttemptPlaced]:
        """Return a batch; note in blocked which jobs found no room."""
        placed: list[_records.AttemptPlaced] = []
        self._quota_taken = {}
        full: set[Shape] = set()
        for number in self._order_jobs():
            if len(placed) >= limit:
                break
            job = self._fold.shard.jobs[number]
            spec = job.spec
            shape = (spec.size, tuple(spec.data_centres), str(spec.team))
            room = limit - len(placed)
            if shape not in full:
                batch = self._decide_job(number, job, version, room)
                placed.extend(batch)
                if len(batch) < min(room, count_pending(job)):
                    full.add(shape)
            if shape in full and blocked is not None:
                blocked.add(number)
        return placed

    def _order_jobs(self) -> list[int]:
        jobs = self._fold.shard.jobs
        self.active = {
            number for number in self.active if _may_run(jobs[number])
        }
        return sorted(self.active, key=self._rank)

    def _rank(self, number: int) -> tuple[int, int, float, int]:
        spec = self._fold.shard.jobs[number].spec
        kind = 0 if spec.kind.value == 'latency-critical' else 1
        deadline = spec.deadline or float('inf')
        return (spec.priority, kind, deadline, number)

    def _decide_job(
        self, number: int, job: _state.Job, version: int, limit: int
    ) -> list[_records.AttemptPlaced]:
        batch: list[_records.AttemptPlaced] = []
        spread = _spread.Spread(self._fold.shard, job)
        for index in itertools.islice(list_pending(job), limit):
            if not self._may_use_quota(job.spec):
                break
            demand = _index.make_demand(job, index)
            candidates = spread.filter(
                self._drop_paced(self._index.find_candidates(demand))
            )
            if not candidates:
                break
            view = self.policy.choose_worker(demand, candidates)
            if view is None:
                break
            worker = self._index.get_number(view)
            self._index.reserve(worker, job.spec.size)
            spread.add(view)
            self._pacer.take(view.data_centre)
            if view.data_centre in self._allowance:
                self._allowance[view.data_centre] -= 1
            self._take_quota(job.spec)
            waiting = _placing.find_pending(job, index)
            last = waiting.last_attempt if waiting is not None else 0
            batch.append(
                _records.AttemptPlaced(
                    number, index, last + 1, worker, version
                )
            )
        return batch

    def _drop_paced(
        self, candidates: list[_policy.WorkerView]
    ) -> list[_policy.WorkerView]:
        if not self._allowance:
            return candidates
        return [
            view
            for view in candidates
            if self._allowance.get(view.data_centre, 1) > 0
        ]

    def _may_use_quota(self, spec: _records.JobSpec) -> bool:
        taken = self._quota_taken.get(spec.team, resources.NOTHING)
        cap = self.caps.get(spec.team)
        if cap is not None:
            used = self._fold.shard.used.get(spec.team, resources.NOTHING)
            if not (used + taken + spec.size).fits_within(cap):
                return False
        return _placing.has_quota(
            self._fold.shard, spec.team, spec.size + taken
        )

    def _take_quota(self, spec: _records.JobSpec) -> None:
        taken = self._quota_taken.get(spec.team, resources.NOTHING)
        self._quota_taken[spec.team] = taken + spec.size


def _may_run(job: _state.Job) -> bool:
    waits = bool(job.fresh or job.requeued)
    return (
        waits
        and job.phase is _state.JobPhase.OPEN
        and not job.infeasible_reason
    )


def count_pending(job: _state.Job) -> int:
    """Return how many tasks wait for a placement."""
    return job.count_fresh() + len(job.requeued)


def list_pending(job: _state.Job) -> collections.abc.Iterator[int]:
    """Yield the tasks that wait, those that ran before first."""
    yield from tuple(job.requeued)
    for first, beyond in tuple(job.fresh):
        yield from range(first, beyond)
