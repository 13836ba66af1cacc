"""Drain batch tasks from data centres out of service; pace their refill."""

import collections.abc

import msgspec

from chivespoke import identifiers
from chivespoke.scheduling import _attempts
from chivespoke.scheduling import _link
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# Time for which placements in a data centre are limited after its return.
REFILL_SECONDS = 60.0
MILLICORES_PER_PROCESSOR = 1000


class EvictionCandidate(msgspec.Struct, frozen=True):
    """Describe the cost of evicting an attempt."""

    # Number of the worker in the shard.
    worker: int
    key: _attempts.AttemptKey
    checkpointing: bool
    # Unsaved work that the eviction would lose.
    lost_processor_seconds: float
    # Estimated time to completion; None when the run time is unknown.
    remaining_seconds: float | None


class DrainPlanner(_planner.Planner):
    """Evict batch tasks from data centres out of service.

    Tasks with the least unsaved work go first. The number of displaced
    tasks at any time is limited by moves_at_once.
    """

    __slots__ = ('_out_since', '_queued_evictions')

    def __init__(self) -> None:
        self._out_since: dict[identifiers.DataCentreName, float] = {}
        self._queued_evictions: dict[int, set[_attempts.AttemptKey]] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        self._out_since = {
            name: self._out_since.get(name, now)
            for name in shard.out_of_service
        }
        self._cancel_queued_evictions(context)
        if not shard.out_of_service:
            return []
        candidates = sorted(
            self._list_candidates(now, context),
            key=lambda candidate: (
                candidate.lost_processor_seconds,
                candidate.key,
            ),
        )
        budget = context.document.limits.moves_at_once - count_displaced_tasks(
            context
        )
        for candidate in candidates:
            if budget <= 0:
                break
            if self._should_evict(now, context, candidate):
                budget -= 1
                self._evict(context, candidate)
        return []

    def _evict(
        self, context: _planner.PlanContext, candidate: EvictionCandidate
    ) -> None:
        link = context.links.get(candidate.worker)
        if link is not None:
            link.pending_evictions[candidate.key] = candidate.checkpointing
            self._queued_evictions.setdefault(candidate.worker, set()).add(
                candidate.key
            )

    def _cancel_queued_evictions(self, context: _planner.PlanContext) -> None:
        """Drop evictions not yet sent where the data centre has returned."""
        shard = context.shard
        for worker_number in tuple(self._queued_evictions):
            worker = shard.workers.get(worker_number)
            if (
                worker is not None
                and worker.data_centre in shard.out_of_service
            ):
                continue
            link = context.links.get(worker_number)
            for key in self._queued_evictions.pop(worker_number):
                if link is not None:
                    link.pending_evictions.pop(key, None)

    def _should_evict(
        self,
        now: float,
        context: _planner.PlanContext,
        candidate: EvictionCandidate,
    ) -> bool:
        seconds_left = self._compute_seconds_left(
            now, context, candidate.worker
        )
        if seconds_left <= 0:
            return True
        if (
            candidate.remaining_seconds is not None
            and candidate.remaining_seconds <= seconds_left
        ):
            return False
        # Without room elsewhere, let the task run until the time limit.
        return context.has_feasible_worker(candidate.key[0])

    def _compute_seconds_left(
        self, now: float, context: _planner.PlanContext, worker_number: int
    ) -> float:
        name = context.shard.workers[worker_number].data_centre
        data_centre = context.document.data_centres.get(name)
        leave_within = (
            data_centre.leave_within if data_centre is not None else 0.0
        )
        return self._out_since[name] + leave_within - now

    def _list_candidates(
        self, now: float, context: _planner.PlanContext
    ) -> collections.abc.Iterator[EvictionCandidate]:
        shard = context.shard
        for worker_number, worker in shard.workers.items():
            if worker.data_centre not in shard.out_of_service:
                continue
            link = context.links.get(worker_number)
            if link is None or not link.contacted:
                continue
            for key in worker.tasks.values():
                job = shard.jobs[key[0]]
                is_batch = job.spec.kind is workers.TaskKind.BATCH
                if is_batch and key not in link.pending_evictions:
                    yield make_eviction_candidate(
                        now, worker_number, key, job, link
                    )


def make_eviction_candidate(
    now: float,
    worker: int,
    key: _attempts.AttemptKey,
    job: _state.Job,
    link: _link.WorkerLink,
) -> EvictionCandidate:
    """Return the cost of evicting an attempt.

    A task with checkpoints is saved first and loses nothing.
    """
    progress = link.running.get(key)
    ran_seconds, unsaved_seconds = 0.0, 0.0
    if progress is not None:
        elapsed = now - progress.received_at
        ran_seconds = progress.status.ran_seconds + elapsed
        unsaved_seconds = progress.status.lost_seconds + elapsed
    lost_seconds = 0.0 if job.spec.checkpointing else unsaved_seconds
    run_time = job.spec.run_time
    return EvictionCandidate(
        worker=worker,
        key=key,
        checkpointing=job.spec.checkpointing,
        lost_processor_seconds=lost_seconds
        * job.spec.size.millicores
        / MILLICORES_PER_PROCESSOR,
        remaining_seconds=max(run_time - ran_seconds, 0.0)
        if run_time
        else None,
    )


def count_displaced_tasks(context: _planner.PlanContext) -> int:
    """Return how many tasks are being evicted or await a new placement."""
    pending_evictions = sum(
        len(link.pending_evictions) for link in context.links.values()
    )
    waiting = sum(
        len(job.requeued)
        for job in context.shard.jobs.values()
        if not job.infeasible_reason
    )
    return pending_evictions + waiting


class RefillLimiter:
    """Limit the rate of placements in data centres that have just returned.

    Each has a token bucket that holds up to one second of placements.
    """

    __slots__ = ('_previous_out', '_returned_at', '_tokens', '_refilled_at')

    def __init__(self) -> None:
        self._previous_out: tuple[identifiers.DataCentreName, ...] = ()
        self._returned_at: dict[identifiers.DataCentreName, float] = {}
        self._tokens: dict[identifiers.DataCentreName, float] = {}
        self._refilled_at = 0.0

    def compute_allowance(
        self,
        now: float,
        out_of_service: tuple[identifiers.DataCentreName, ...],
        rate: float,
    ) -> dict[identifiers.DataCentreName, int]:
        """Return how many placements each limited data centre may get now.

        The rate is in placements per second for each data centre.
        """
        for name in self._previous_out:
            if name not in out_of_service:
                self._returned_at[name] = now
                self._tokens[name] = rate
        self._previous_out = out_of_service
        elapsed = now - self._refilled_at
        self._refilled_at = now
        for name, returned_at in tuple(self._returned_at.items()):
            if name in out_of_service or now - returned_at > REFILL_SECONDS:
                del self._returned_at[name]
                self._tokens.pop(name, None)
                continue
            refilled = self._tokens[name] + elapsed * rate
            self._tokens[name] = min(refilled, rate)
        return {name: int(tokens) for name, tokens in self._tokens.items()}

    def consume(self, name: identifiers.DataCentreName) -> None:
        """Take a token for one placement."""
        if name in self._tokens:
            self._tokens[name] -= 1
