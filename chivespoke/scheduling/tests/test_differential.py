"""Test the fold and the batched placer beside a naive scheduler."""

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
    """Return a worker in one of two data centres."""
    return _records.WorkerRegistered(
        identifiers.WorkerId(f'worker-{number}'),
        identifiers.Incarnation('1'),
        identifiers.DataCentreName(f'dc{number % 2 + 1}'),
        identifiers.RackName('rack-1'),
        resources.Resources(10_000, 61_440, 0),
        'memory://0',
    )


def propose(
    source: random.Random, fold: scheduling.ShardFold
) -> _records.Record:
    """Return a proposal that any process might make, right or wrong."""
    shard = fold.shard
    job, index = source.randrange(5), source.randrange(5)
    worker, attempt = source.randrange(WORKERS + 1), source.randint(1, 3)
    kind = source.randrange(32)
    if kind < 16:
        version = shard.version
        if source.random() < 0.8:
            attempt = guess_attempt(shard, job, index)
        if source.random() < 0.2:
            version += source.randint(-1, 1)
        return _records.AttemptPlaced(job, index, attempt, worker, version)
    if kind < 24:
        running = [
            (number, task, each.number)
            for number, known in shard.jobs.items()
            for task, each in known.running.items()
        ]
        if running and source.random() < 0.8:
            job, index, attempt = source.choice(running)
        outcome = _records.Outcome(source.randrange(4))
        return _records.AttemptEnded(job, index, attempt, outcome, 1000)
    if kind == 24:
        return _records.WorkerGivenUp(worker, 1, 'lapsed')
    if kind < 27:
        return _records.WorkerReadmitted(worker, 1)
    if kind == 27:
        return _records.JobCancelled(job)
    if kind == 28:
        out = (builders.DC1,) if source.random() < 0.4 else ()
        version = shard.version + source.randint(-1, 2)
        return _records.ConfigurationObserved(version, out, {})
    return builders.build_submission(
        f'job-{source.randrange(8)}',
        source.randint(2, 5),
        size=resources.Resources(1000 * source.randint(1, 6), 1024, 0),
        retries=1,
    )


def guess_attempt(shard: _state.Shard, job: int, index: int) -> int:
    """Return the attempt that a process would propose next."""
    known = shard.jobs.get(job)
    if known is None or index not in known.requeued:
        return 1
    return known.requeued[index].last_attempt + 1


class DifferentialTest(unittest.TestCase):
    """Give both the same histories."""

    def _build(self) -> tuple[scheduling.ShardFold, naive.NaiveShard]:
        fold, shard = scheduling.ShardFold('default'), naive.NaiveShard()
        records: list[_records.Record] = [
            _records.OwnerClaimed(1, identifiers.Incarnation('entry-1:1')),
            *(build_worker(number) for number in range(WORKERS)),
        ]
        for record in records:
            fold.apply_at(record, fold.shard.offset + 1)
            shard.accept(record)
        return fold, shard

    def test_both_accept_the_same_histories(self) -> None:
        for seed in SEEDS:
            source = random.Random(seed)
            fold, shard = self._build()
            for step in range(STEPS):
                record = propose(source, fold)
                with self.subTest(seed=seed, step=step, record=record):
                    refusal = fold.apply_at(record, fold.shard.offset + 1)
                    self.assertEqual(
                        shard.accept(record), refusal is None, refusal
                    )

    def test_batches_are_legal_one_by_one(self) -> None:
        """A batch fills what first fit, task by task, would fill."""
        for seed in SEEDS:
            source = random.Random(seed)
            fold, shard = self._build()
            index = _index.WorkerIndex()
            placer = _placer.Placer(fold, index, scheduling.FirstFit())
            for _ in range(STEPS // 2):
                record = propose(source, fold)
                refusal = fold.apply_at(record, fold.shard.offset + 1)
                self.assertEqual(shard.accept(record), refusal is None)
            index.rebuild(fold.shard, 0.0)
            placer.active = set(fold.shard.jobs)
            for placed in placer.decide(fold.shard.version):
                with self.subTest(seed=seed, placed=placed):
                    self.assertTrue(shard.accept(placed))
                    self.assertIsNone(fold.apply_at(placed, 10_000))
            # Nothing that fits was left waiting.
            self.assertIsNone(shard.place_first_fit(fold.shard.version))
