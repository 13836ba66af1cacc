"""Fold the records of a shard's stream into its state."""

import collections.abc
import typing

import msgspec

from chivespoke import errors
from chivespoke import replication
from chivespoke.scheduling import _invariants
from chivespoke.scheduling import _jobs
from chivespoke.scheduling import _membership
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

Apply = collections.abc.Callable[
    [_state.Shard, typing.Any, int], _refusal.Refusal | None
]

APPLY: dict[type[msgspec.Struct], Apply] = {
    _records.WorkerRegistered: _membership.register,
    _records.WorkerGivenUp: _membership.give_up,
    _records.WorkerReturned: _membership.take_back,
    _records.WorkerQuarantined: _membership.quarantine,
    _records.OwnerClaimed: _membership.claim,
    _records.OwnerFenced: _membership.fence,
    _records.OwnerRenewed: _membership.renew_owner,
    _records.WorkerMoved: _membership.move,
    _records.ConfigurationObserved: _membership.observe,
    _records.JobSubmitted: _jobs.submit,
    _records.JobCancelled: _jobs.cancel,
    _records.JobFailed: _jobs.fail,
    _records.JobFlagged: _jobs.flag,
    _records.JobRevised: _jobs.revise,
    _records.ReplicasAdded: _jobs.add_replicas,
    _records.ReplicaRetired: _jobs.retire_replica,
    _records.TransferSent: _jobs.send,
    _records.TransferReceived: _jobs.receive,
    _records.TransferSettled: _jobs.settle,
    _records.QuotaRequested: _jobs.request_quota,
    _records.Placed: _task_lifecycle.place,
    _records.Ended: _task_lifecycle.end,
    _records.CheckpointSaved: _task_lifecycle.save_checkpoint,
}


Listener = collections.abc.Callable[
    [_records.Record, _refusal.Refusal | None], None
]
STEP = 'read a shard record'


class ShardFold(replication.Fold[_records.Record]):
    """Apply records in the order of the stream."""

    __slots__ = (
        'shard',
        'applied',
        'refused',
        'restored',
        'touched',
        '_listeners',
    )

    def __init__(self, name: str) -> None:
        self.shard = _state.Shard(name)
        self.applied = 0
        self.refused: dict[_refusal.Refusal, int] = {}
        # Times that the whole state was replaced.
        self.restored = 0
        # The worker whose attempt the last record ended.
        self.touched = -1
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call the listener after each record."""
        self._listeners.append(listener)

    def decode(self, record: bytes) -> _records.Record:
        try:
            return _records.decode_record(record)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                STEP, self.shard.name, str(error)
            ) from error

    def apply(
        self, record: _records.Record, position: replication.Position
    ) -> None:
        self.apply_at(record, position.offset)

    def apply_at(
        self, record: _records.Record, offset: int
    ) -> _refusal.Refusal | None:
        """Apply one record; return why it took no effect, or None."""
        touched = self._find_touched(record)
        refusal = APPLY[type(record)](self.shard, record, offset)
        self.shard.offset = offset
        self.applied += 1
        if refusal is not None:
            self.refused[refusal] = self.refused.get(refusal, 0) + 1
        else:
            self.touched = touched.worker if touched is not None else -1
            self._check(record, touched)
        for listener in self._listeners:
            listener(record, refusal)
        return refusal

    def encode_state(self) -> bytes:
        _invariants.check_all(self.shard)
        return msgspec.msgpack.encode(self.shard)

    def restore_state(self, state: bytes) -> None:
        try:
            shard = msgspec.msgpack.decode(state, type=_state.Shard)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                STEP, self.shard.name, str(error)
            ) from error
        _invariants.check_all(shard)
        self.shard = shard
        self.restored += 1

    def _find_touched(self, record: _records.Record) -> _state.Attempt | None:
        if not isinstance(record, _records.Ended):
            return None
        job = self.shard.jobs.get(record.job)
        return job.running.get(record.index) if job is not None else None

    def _check(
        self, record: _records.Record, ended: _state.Attempt | None
    ) -> None:
        """Check what the record touched."""
        if isinstance(record, _records.Placed):
            self._check_placed(record)
        if ended is not None:
            _invariants.check_worker(self.shard, ended.worker)
        if isinstance(record, _records.WorkerGivenUp):
            _invariants.check_worker(self.shard, record.worker)
        number = getattr(record, 'job', None)
        if number is not None:
            _invariants.check_job(self.shard.jobs[number])

    def _check_placed(self, record: _records.Placed) -> None:
        _invariants.check_worker(self.shard, record.worker)
        job = self.shard.jobs[record.job]
        errors.check_invariant(
            record.index not in job.waiting
            and job.running[record.index].worker == record.worker,
            'a task on one worker',
            job.job_id,
        )
