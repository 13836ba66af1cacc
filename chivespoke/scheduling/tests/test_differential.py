"""Compare the fold and the batch placer with a naive scheduler."""

import random
import unittest

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _index
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke.scheduling.tests import builders
from chivespoke.scheduling.tests import naive

WORKERS = 4
STEPS = 120
SEEDS = range(60)


def build_worker(number: int) -> _records.WorkerRegistered:
    """Return the registration of a worker in one of two data centres."""
    return _records.WorkerRegistered(
        identifiers.WorkerId(f'worker-{number}'),
        identifiers.Incarnation('1'),
        identifiers.DataCentreName(f'dc{number % 2 + 1}'),
        identifiers.RackName('rack-1'),
        resources.Resources(10_000, 61_440, 0),
        'memory://0',
    )


def make_random_record(
    rng: random.Random, fold: scheduling.ShardFold
) -> _records.Record:
    """Return a random record, which may be legal or not."""
    shard = fold.shard
    job, index = rng.randrange(5), rng.randrange(5)
    worker, attempt = rng.randrange(WORKERS + 1), rng.randint(1, 3)
    kind = rng.randrange(32)
    if kind < 16:
        version = shard.version
        if rng.random() < 0.8:
            attempt = predict_next_attempt(shard, job, index)
        if rng.random() < 0.2:
            version += rng.randint(-1, 1)
        return _records.AttemptPlaced(job, index, attempt, worker, version)
    if kind < 24:
        running = [
            (number, task, running_attempt.number)
            for number, existing in shard.jobs.items()
            for task, running_attempt in existing.running.items()
        ]
        if running and rng.random() < 0.8:
            job, index, attempt = rng.choice(running)
        outcome = _records.Outcome(rng.randrange(4))
        return _records.AttemptEnded(job, index, attempt, outcome, 1000)
    if kind == 24:
        return _records.WorkerGivenUp(worker, 1, 'its lease expired')
    if kind < 27:
        return _records.WorkerReadmitted(worker, 1)
    if kind == 27:
        return _records.JobCancelled(job)
    if kind == 28:
        out = (builders.DC1,) if rng.random() < 0.4 else ()
        version = shard.version + rng.randint(-1, 2)
        return _records.ConfigurationObserved(version, out, {})
    return builders.build_submission(
        f'job-{rng.randrange(8)}',
        rng.randint(2, 5),
        size=resources.Resources(1000 * rng.randint(1, 6), 1024, 0),
        retries=1,
    )


def predict_next_attempt(shard: _state.Shard, job: int, index: int) -> int:
    """Return the number of the next attempt of a task."""
    existing = shard.jobs.get(job)
    if existing is None or index not in existing.requeued:
        return 1
    return existing.requeued[index].last_attempt + 1


class DifferentialTest(unittest.TestCase):
    """Compare both implementations on the same random histories."""

    def _build_shards(self) -> tuple[scheduling.ShardFold, naive.NaiveShard]:
        fold, reference = scheduling.ShardFold('default'), naive.NaiveShard()
        records: list[_records.Record] = [
            _records.OwnerClaimed(1, identifiers.Incarnation('entry-1:1')),
            *(build_worker(number) for number in range(WORKERS)),
        ]
        for record in records:
            fold.apply_at(record, fold.shard.offset + 1)
            reference.accept(record)
        return fold, reference

    def test_both_accept_the_same_histories(self) -> None:
        for seed in SEEDS:
            rng = random.Random(seed)
            fold, reference = self._build_shards()
            for step in range(STEPS):
                record = make_random_record(rng, fold)
                with self.subTest(seed=seed, step=step, record=record):
                    refusal = fold.apply_at(record, fold.shard.offset + 1)
                    self.assertEqual(
                        reference.accept(record), refusal is None, refusal
                    )

    def test_batches_are_legal_one_by_one(self) -> None:
        """A batch places all tasks that first fit would place one by one."""
        for seed in SEEDS:
            rng = random.Random(seed)
            fold, reference = self._build_shards()
            index = _index.WorkerIndex()
            placer = _placer.Placer(fold, index, scheduling.FirstFit())
            for _ in range(STEPS // 2):
                record = make_random_record(rng, fold)
                refusal = fold.apply_at(record, fold.shard.offset + 1)
                self.assertEqual(reference.accept(record), refusal is None)
            index.rebuild(fold.shard, 0.0)
            placer.active_jobs = set(fold.shard.jobs)
            for placed in placer.propose_batch(fold.shard.version):
                with self.subTest(seed=seed, placed=placed):
                    self.assertTrue(reference.accept(placed))
                    self.assertIsNone(fold.apply_at(placed, 10_000))
            # The batch left no task pending that fits on a worker.
            self.assertIsNone(reference.place_first_fit(fold.shard.version))
