"""Measure placement decisions: their cost, and what they lead to."""

import gc
import random
import time
import tracemalloc

import msgspec

from chivespoke.bench import _cluster
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _index
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _records
from chivespoke import workers

WORKER_COUNTS = (10, 250, 1000, 4000)
DECISIONS = 4000
# Decisions of one frame.
BATCH = 64
MICROSECONDS = 1e6
# The share of a worker that is filled before decisions are measured.
FILLED = 0.7
TASK_SIZES = (1000, 2000, 3000)


class DecisionCost(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what decisions cost at one number of workers."""

    workers: int
    decisions: int
    # Microseconds of processor a decision: choose, encode, decode, fold.
    microseconds: float
    decisions_per_second: float
    bytes_per_worker: int
    bytes_per_task: int
    # Bytes of the records of one placement and one end, framing aside.
    record_bytes: float


class _Desk:
    """Hold a shard without a log."""

    def __init__(
        self, count: int, policy: scheduling.PlacementPolicy, seed: int
    ) -> None:
        self.fold = scheduling.ShardFold('bench')
        self.index = _index.WorkerIndex()
        self.placer = _placer.Placer(self.fold, self.index, policy)
        self.random = random.Random(seed)
        self.record_bytes = 0
        self._offset = 0
        self._jobs = 0
        for number in range(count):
            self.apply(make_worker(number))
        for number in range(count):
            self.index.refresh(self.fold.shard, number, 0.0)

    def apply(self, record: _records.Record) -> None:
        """Encode, decode and fold a record, as a log would have it."""
        payload = _records.encode_record(record)
        self.record_bytes += len(payload)
        self._offset += 1
        self.fold.apply_at(_records.decode_record(payload), self._offset)

    def submit(self, tasks: int, millicores: int) -> None:
        """Submit a job of some tasks."""
        self._jobs += 1
        self.apply(
            _records.JobSubmitted(
                identifiers.JobId(f'job-{self._jobs}'),
                make_spec(millicores),
                tasks,
            )
        )
        self.placer.active_jobs.add(self.fold.shard.next_job - 1)

    def place(self, limit: int) -> int:
        """Decide and fold one batch; return how many were placed."""
        batch = self.placer.propose_batch(0, None, limit)
        for placed in batch:
            self.apply(placed)
        self.index.discard_reservations(self.fold.shard, 0.0)
        return len(batch)

    def end_some(self, count: int) -> None:
        """Complete some running tasks."""
        running = [
            (number, index, attempt)
            for number, job in self.fold.shard.jobs.items()
            for index, attempt in job.running.items()
        ]
        for number, index, attempt in self.random.sample(running, count):
            self.apply(
                _records.AttemptEnded(
                    number,
                    index,
                    attempt.number,
                    _records.Outcome.COMPLETED,
                    1000,
                )
            )
            self.index.refresh(self.fold.shard, attempt.worker, 0.0)


def make_worker(number: int) -> _records.WorkerRegistered:
    """Return the registration of one worker, in three data centres."""
    place = number % 3
    return _records.WorkerRegistered(
        identifiers.WorkerId(f'worker-{number}'),
        identifiers.Incarnation('1'),
        identifiers.DataCentreName(f'dc{place + 1}'),
        identifiers.RackName(f'rack-{number // 9}'),
        _cluster.CAPACITY,
        f'http://10.0.{number // 250}.{number % 250}:80',
    )


def make_spec(millicores: int) -> _records.JobSpec:
    """Return the spec of a batch job."""
    return _records.JobSpec(
        kind=workers.TaskKind.BATCH,
        family='statements',
        team=identifiers.TeamName('billing'),
        size=resources.Resources(millicores, 2048, 0),
        run_time=60.0,
    )


def measure_decisions(
    count: int,
    policy: scheduling.PlacementPolicy,
    seed: int,
    decisions: int = DECISIONS,
) -> DecisionCost:
    """Measure decisions on workers that are mostly full."""
    gc.collect()
    tracemalloc.start()
    empty = tracemalloc.get_traced_memory()[0]
    desk = _Desk(count, policy, seed)
    with_workers = tracemalloc.get_traced_memory()[0]
    filling = fill(desk, count)
    gc.collect()
    with_tasks = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    desk.record_bytes = 0
    used, placed = 0.0, 0
    while placed < decisions:
        wanted = min(BATCH, max(1, filling // 4))
        desk.end_some(wanted)
        for size in TASK_SIZES:
            desk.submit(1 + wanted // len(TASK_SIZES), size)
        began = time.process_time()
        done = desk.place(wanted)
        used += time.process_time() - began
        placed += done
        if not done:
            break
    return DecisionCost(
        workers=count,
        decisions=placed,
        microseconds=round(used / max(placed, 1) * MICROSECONDS, 1),
        decisions_per_second=round(placed / max(used, 1e-9)),
        bytes_per_worker=(with_workers - empty) // count,
        bytes_per_task=(with_tasks - with_workers) // max(filling, 1),
        record_bytes=round(desk.record_bytes / max(placed, 1), 1),
    )


def fill(desk: _Desk, count: int) -> int:
    """Fill the workers to their share; return how many tasks run."""
    per_worker = int(_cluster.CAPACITY.millicores * FILLED / 2000)
    total = count * per_worker
    for size in TASK_SIZES:
        desk.submit(total // len(TASK_SIZES), size)
    filled = 0
    while True:
        placed = desk.place(_placer.BATCH_LIMIT)
        filled += placed
        if not placed:
            return filled
