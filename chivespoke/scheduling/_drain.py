"""Move batch work off data centres that leave; refill those that return."""

import collections.abc

import msgspec

from chivespoke import identifiers
from chivespoke.scheduling import _attempts
from chivespoke.scheduling import _link
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# Seconds after a return in which its refill is paced.
REFILL_SECONDS = 60.0
MILLISECONDS = 1000


class Move(msgspec.Struct, frozen=True):
    """Weigh moving one attempt."""

    worker: int
    key: _attempts.AttemptKey
    checkpointing: bool
    # Processor seconds of progress that the move throws away.
    lost: float
    # Seconds that it still has to run; None when that is not known.
    remaining: float | None


class DrainPlanner(_planner.Planner):
    """Evict what must leave, cheapest first, a bounded number at once."""

    __slots__ = ('_out_since', '_queued')

    def __init__(self) -> None:
        self._out_since: dict[identifiers.DataCentreName, float] = {}
        self._queued: dict[int, set[_attempts.AttemptKey]] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        self._out_since = {
            name: self._out_since.get(name, now)
            for name in shard.out_of_service
        }
        self._drop_returned(owner)
        if not shard.out_of_service:
            return []
        moves = sorted(
            self._list_moves(now, owner),
            key=lambda move: (move.lost, move.key),
        )
        room = owner.document.limits.moves_at_once - count_moving(owner)
        for move in moves:
            if room <= 0:
                break
            if self._should_move(now, owner, move):
                room -= 1
                self._evict(owner, move)
        return []

    def _evict(self, owner: _planner.PlanContext, move: Move) -> None:
        link = owner.links.get(move.worker)
        if link is not None:
            link.pending_evictions[move.key] = move.checkpointing
            self._queued.setdefault(move.worker, set()).add(move.key)

    def _drop_returned(self, owner: _planner.PlanContext) -> None:
        """Leave alone what has not been stopped when its place returns."""
        shard = owner.shard
        for number in tuple(self._queued):
            worker = shard.workers.get(number)
            if (
                worker is not None
                and worker.data_centre in shard.out_of_service
            ):
                continue
            link = owner.links.get(number)
            for key in self._queued.pop(number):
                if link is not None:
                    link.pending_evictions.pop(key, None)

    def _should_move(
        self, now: float, owner: _planner.PlanContext, move: Move
    ) -> bool:
        left = self._measure_time_left(now, owner, move.worker)
        if left <= 0:
            return True
        if move.remaining is not None and move.remaining <= left:
            return False
        # Without room elsewhere it works on here until the time is up.
        return owner.has_room(move.key[0])

    def _measure_time_left(
        self, now: float, owner: _planner.PlanContext, number: int
    ) -> float:
        name = owner.shard.workers[number].data_centre
        data_centre = owner.document.data_centres.get(name)
        within = data_centre.leave_within if data_centre is not None else 0.0
        return self._out_since[name] + within - now

    def _list_moves(
        self, now: float, owner: _planner.PlanContext
    ) -> collections.abc.Iterator[Move]:
        shard = owner.shard
        for number, worker in shard.workers.items():
            if worker.data_centre not in shard.out_of_service:
                continue
            link = owner.links.get(number)
            if link is None or not link.contacted:
                continue
            for key in worker.tasks.values():
                job = shard.jobs[key[0]]
                batch = job.spec.kind is workers.TaskKind.BATCH
                if batch and key not in link.pending_evictions:
                    yield make_move(now, number, key, job, link)


def make_move(
    now: float,
    worker: int,
    key: _attempts.AttemptKey,
    job: _state.Job,
    link: _link.WorkerLink,
) -> Move:
    """Weigh what moving an attempt would throw away."""
    progress = link.running.get(key)
    ran, unsaved = 0.0, 0.0
    if progress is not None:
        since = now - progress.received_at
        ran = progress.status.ran_seconds + since
        unsaved = progress.status.lost_seconds + since
    lost = 0.0 if job.spec.checkpointing else unsaved
    run_time = job.spec.run_time
    return Move(
        worker=worker,
        key=key,
        checkpointing=job.spec.checkpointing,
        lost=lost * job.spec.size.millicores / MILLISECONDS,
        remaining=max(run_time - ran, 0.0) if run_time else None,
    )


def count_moving(owner: _planner.PlanContext) -> int:
    """Return the tasks that were evicted and do not run again yet."""
    pending_evictions = sum(
        len(link.pending_evictions) for link in owner.links.values()
    )
    waiting = sum(
        len(job.requeued)
        for job in owner.shard.jobs.values()
        if not job.infeasible_reason
    )
    return pending_evictions + waiting


class RefillPacer:
    """Bound the placements into data centres that have just returned."""

    __slots__ = ('_out', '_returned_at', '_tokens', '_filled_at')

    def __init__(self) -> None:
        self._out: tuple[identifiers.DataCentreName, ...] = ()
        self._returned_at: dict[identifiers.DataCentreName, float] = {}
        self._tokens: dict[identifiers.DataCentreName, float] = {}
        self._filled_at = 0.0

    def compute_allowance(
        self,
        now: float,
        out: tuple[identifiers.DataCentreName, ...],
        rate: float,
    ) -> dict[identifiers.DataCentreName, int]:
        """Return how many placements each paced data centre may get."""
        for name in self._out:
            if name not in out:
                self._returned_at[name] = now
                self._tokens[name] = rate
        self._out = out
        elapsed = now - self._filled_at
        self._filled_at = now
        for name, since in tuple(self._returned_at.items()):
            if name in out or now - since > REFILL_SECONDS:
                del self._returned_at[name]
                self._tokens.pop(name, None)
                continue
            filled = self._tokens[name] + elapsed * rate
            self._tokens[name] = min(filled, rate)
        return {name: int(tokens) for name, tokens in self._tokens.items()}

    def take(self, name: identifiers.DataCentreName) -> None:
        """Count one placement."""
        if name in self._tokens:
            self._tokens[name] -= 1
