"""Test which records a shard's fold accepts, and how its state changes."""

import random
import typing
import unittest

import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _invariants
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling.tests import builders

Refusal = _refusal.Refusal
DC2 = identifiers.DataCentreName('dc2')


def build_fold(*records: _records.Record) -> scheduling.ShardFold:
    """Return a fold with two workers, an owner and a job of four tasks."""
    fold = scheduling.ShardFold('default')
    start: list[_records.Record] = [
        build_worker(0, 'dc1'),
        build_worker(1, 'dc2'),
        _records.OwnerClaimed(1, identifiers.Incarnation('entry-1:1')),
        _records.ConfigurationObserved(3, (), {}),
        builders.build_submission('job-1', 4),
    ]
    apply_all(fold, [*start, *records])
    return fold


def apply_all(
    fold: scheduling.ShardFold,
    records: typing.Iterable[_records.Record],
) -> list[scheduling.Refusal | None]:
    """Apply records in order; return the refusal of each, or None."""
    return [fold.apply_at(record, fold.shard.offset + 1) for record in records]


def build_worker(number: int, data_centre: str) -> _records.WorkerRegistered:
    """Return the registration of a worker that fits two tasks."""
    return _records.WorkerRegistered(
        identifiers.WorkerId(f'worker-{number}'),
        identifiers.Incarnation('1'),
        identifiers.DataCentreName(data_centre),
        identifiers.RackName('rack-1'),
        resources.Resources(9_000, 61_440, 0),
        'memory://0',
    )


def build_replacement(address: str) -> _records.WorkerRegistered:
    """Return the owner's record of another incarnation at an address."""
    return msgspec.structs.replace(
        build_worker(0, 'dc1'),
        incarnation=identifiers.Incarnation('2'),
        address=address,
        epoch=1,
        previous=identifiers.Incarnation('1'),
    )


PLACED = _records.AttemptPlaced(0, 0, 1, 0, 3)
BIG_QUOTA = {builders.TEAM: resources.Resources(5_000, 61_440, 0)}
REFUSALS: tuple[
    tuple[Refusal, tuple[_records.Record, ...], _records.Record], ...
] = (
    (Refusal.UNKNOWN_JOB, (), _records.AttemptPlaced(9, 0, 1, 0, 3)),
    (Refusal.UNKNOWN_WORKER, (), _records.AttemptPlaced(0, 0, 1, 9, 3)),
    (
        Refusal.TASK_NOT_PENDING,
        (PLACED,),
        _records.AttemptPlaced(0, 0, 2, 1, 3),
    ),
    (Refusal.TASK_NOT_PENDING, (), _records.AttemptPlaced(0, 4, 1, 0, 3)),
    (Refusal.WRONG_ATTEMPT, (), _records.AttemptPlaced(0, 0, 2, 0, 3)),
    (Refusal.STALE_CONFIGURATION, (), _records.AttemptPlaced(0, 0, 1, 0, 2)),
    (
        Refusal.DATA_CENTRE_OUT,
        (_records.ConfigurationObserved(4, (builders.DC1,), {}),),
        _records.AttemptPlaced(0, 0, 1, 0, 4),
    ),
    (
        Refusal.DATA_CENTRE_NOT_ALLOWED,
        (builders.build_submission('job-2', 1, data_centres=(DC2,)),),
        _records.AttemptPlaced(1, 0, 1, 0, 3),
    ),
    (
        Refusal.WORKER_FULL,
        (PLACED, _records.AttemptPlaced(0, 1, 1, 0, 3)),
        _records.AttemptPlaced(0, 2, 1, 0, 3),
    ),
    (
        Refusal.QUOTA_EXCEEDED,
        (
            _records.ConfigurationObserved(4, (), BIG_QUOTA, (builders.TEAM,)),
            _records.AttemptPlaced(0, 0, 1, 0, 4),
        ),
        _records.AttemptPlaced(0, 1, 1, 0, 4),
    ),
    (Refusal.WORKER_NOT_UP, (_records.WorkerGivenUp(0, 1, ''),), PLACED),
    (
        Refusal.WORKER_QUARANTINED,
        (_records.WorkerQuarantined(0, 0),),
        PLACED,
    ),
    (Refusal.JOB_CLOSED, (_records.JobCancelled(0),), PLACED),
    (
        Refusal.JOB_FLAGGED,
        (_records.JobFeasibilityChanged(0, 'no room'),),
        PLACED,
    ),
    (
        Refusal.STALE_EPOCH,
        (_records.OwnerClaimed(2, identifiers.Incarnation('entry-2:1')),),
        _records.WorkerGivenUp(0, 1, ''),
    ),
    (
        Refusal.STALE_EPOCH,
        (),
        _records.OwnerClaimed(1, identifiers.Incarnation('entry-2:1')),
    ),
    (
        Refusal.NOT_RUNNING,
        (PLACED, _records.WorkerGivenUp(0, 1, '')),
        _records.AttemptEnded(0, 0, 1, _records.Outcome.COMPLETED),
    ),
    (
        Refusal.WORKER_HAS_TASKS,
        (PLACED,),
        build_replacement('memory://elsewhere'),
    ),
    (
        Refusal.STALE_INCARNATION,
        (build_replacement('memory://0'),),
        msgspec.structs.replace(
            build_replacement('memory://0'),
            incarnation=identifiers.Incarnation('3'),
        ),
    ),
    (
        Refusal.DUPLICATE_JOB,
        (),
        builders.build_submission('job-1', 4),
    ),
    (
        Refusal.CONFLICTING_JOB,
        (),
        builders.build_submission('job-1', 5),
    ),
    (
        Refusal.STALE_CONFIGURATION,
        (),
        _records.ConfigurationObserved(3, (builders.DC1,), {}),
    ),
)


class FoldTest(unittest.TestCase):
    """Apply records to a small shard."""

    def test_refusals_have_their_reason_and_no_effect(self) -> None:
        for refusal, before, record in REFUSALS:
            with self.subTest(refusal=refusal, record=record):
                fold = build_fold(*before)
                state = fold.encode_state()
                offset = fold.shard.offset
                self.assertIs(fold.apply_at(record, offset), refusal)
                self.assertEqual(fold.encode_state(), state)

    def test_a_stale_registration_requeues_nothing(self) -> None:
        """A delayed registration must not end a newer incarnation's tasks."""
        fold = build_fold(PLACED)
        for epoch, previous in ((0, '1'), (1, '0')):
            other = msgspec.structs.replace(
                build_worker(0, 'dc1'),
                incarnation=identifiers.Incarnation('2'),
                epoch=epoch,
                previous=identifiers.Incarnation(previous),
            )
            self.assertIsNotNone(fold.apply_at(other, 9))
            self.assertEqual(len(fold.shard.jobs[0].running), 1)

    def test_eviction_resumes_from_the_checkpoint(self) -> None:
        evicted = _records.AttemptEnded(
            0, 0, 1, _records.Outcome.EVICTED, 5000, 1000, '4.0'
        )
        fold = build_fold(PLACED, evicted)
        self.assertIs(fold.apply_at(PLACED, 9), Refusal.WRONG_ATTEMPT)
        second = _records.AttemptPlaced(0, 0, 2, 1, 3)
        self.assertIsNone(fold.apply_at(second, 10))
        job = fold.shard.jobs[0]
        self.assertEqual(job.running[0].checkpoint, '4.0')
        self.assertEqual((job.counts.evictions, job.counts.lost_ms), (1, 1000))

    def test_transfers_take_effect_once_and_in_order(self) -> None:
        batch = _records.TaskBatch(
            identifiers.JobId('job-1'), builders.build_spec(), 2, 2
        )
        sender = build_fold(_records.TransferSent('second', 1, batch))
        receiver = scheduling.ShardFold('second')
        received = _records.TransferReceived('default', 1, batch)
        outcomes = apply_all(receiver, [received, received])
        self.assertEqual(outcomes, [None, Refusal.WRONG_SEQUENCE])
        self.assertEqual(sender.shard.jobs[0].count_fresh(), 2)
        self.assertEqual(receiver.shard.jobs[0].fresh, [(2, 4)])
        apply_all(sender, [_records.JobCancelled(0)])
        cancellation = sender.shard.outbox['second'][1]
        apply_all(
            receiver,
            [_records.TransferReceived('default', 2, cancellation.content)],
        )
        self.assertEqual(receiver.shard.jobs[0].counts.cancelled, 2)

    def test_quota_that_was_sent_cannot_be_used_or_sent_again(self) -> None:
        size = BIG_QUOTA[builders.TEAM]
        observed = _records.ConfigurationObserved(
            4, (), BIG_QUOTA, (builders.TEAM,)
        )
        sent = _records.TransferSent(
            'second', 1, _records.QuotaAmount(builders.TEAM, size)
        )
        fold = build_fold(observed, sent)
        placed = _records.AttemptPlaced(0, 0, 1, 0, 4)
        self.assertIs(fold.apply_at(placed, 9), Refusal.QUOTA_EXCEEDED)
        again = _records.TransferSent(
            'second', 2, _records.QuotaAmount(builders.TEAM, size)
        )
        self.assertIs(fold.apply_at(again, 10), Refusal.QUOTA_EXCEEDED)

    def test_a_restored_snapshot_behaves_like_the_original(self) -> None:
        source = random.Random(7)
        fold = build_fold(PLACED, builders.build_submission('job-2', 9))
        for step in range(60):
            copy = scheduling.ShardFold('default')
            copy.restore_state(fold.encode_state())
            record = _records.AttemptPlaced(
                source.randrange(2),
                source.randrange(9),
                1 + source.randrange(2),
                source.randrange(2),
                3,
            )
            ended = _records.AttemptEnded(
                record.job,
                record.index,
                1,
                _records.Outcome(source.randrange(4)),
                1500,
            )
            for each in (record, ended):
                self.assertIs(
                    fold.apply_at(each, 10 + step),
                    copy.apply_at(each, 10 + step),
                )
            self.assertEqual(fold.encode_state(), copy.encode_state())

    def test_invariants_catch_a_broken_state(self) -> None:
        def over_commit(fold: scheduling.ShardFold) -> None:
            fold.shard.workers[0].committed = resources.Resources(99_000)

        def lose_a_task(fold: scheduling.ShardFold) -> None:
            fold.shard.jobs[0].fresh = [(2, 4)]

        def place_twice(fold: scheduling.ShardFold) -> None:
            job = fold.shard.jobs[0]
            job.requeued[0] = _state.RequeuedTask(1)
            job.counts.tasks_added += 1

        for damage in (over_commit, lose_a_task, place_twice):
            with self.subTest(damage=damage.__name__):
                fold = build_fold(PLACED)
                damage(fold)
                with self.assertRaises(errors.InvariantError):
                    _invariants.check_all(fold.shard)
