"""Apply the records of a shard's stream to its state."""

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

Handler = collections.abc.Callable[
    [_state.Shard, typing.Any, int], _refusal.Refusal | None
]

HANDLERS: dict[type[msgspec.Struct], Handler] = {
    _records.WorkerRegistered: _membership.register_worker,
    _records.WorkerGivenUp: _membership.give_up_worker,
    _records.WorkerReadmitted: _membership.readmit_worker,
    _records.WorkerQuarantined: _membership.quarantine_worker,
    _records.OwnerClaimed: _membership.claim_ownership,
    _records.OwnerFenced: _membership.fence_owner,
    _records.OwnerRenewed: _membership.renew_owner,
    _records.WorkerAddressChanged: _membership.change_worker_address,
    _records.ConfigurationObserved: _membership.observe_configuration,
    _records.JobSubmitted: _jobs.submit_job,
    _records.JobCancelled: _jobs.cancel_by_number,
    _records.JobFailed: _jobs.fail_job,
    _records.JobFeasibilityChanged: _jobs.set_infeasible_reason,
    _records.JobRevised: _jobs.revise_service,
    _records.ReplicasAdded: _jobs.add_replicas,
    _records.ReplicaRetired: _jobs.retire_replica,
    _records.TransferSent: _jobs.send_transfer,
    _records.TransferReceived: _jobs.receive_transfer,
    _records.TransferAcknowledged: _jobs.acknowledge_transfer,
    _records.QuotaRequested: _jobs.store_quota_request,
    _records.AttemptPlaced: _task_lifecycle.place,
    _records.AttemptEnded: _task_lifecycle.end,
    _records.CheckpointSaved: _task_lifecycle.save_checkpoint,
}


Listener = collections.abc.Callable[
    [_records.Record, _refusal.Refusal | None], None
]
DECODE_STEP = 'decode a shard record or snapshot'


class ShardFold(replication.Fold[_records.Record]):
    """Apply records in the order of the stream and count refusals."""

    __slots__ = (
        'shard',
        'applied',
        'refused',
        'restore_count',
        'ended_on',
        '_listeners',
    )

    def __init__(self, name: str) -> None:
        self.shard = _state.Shard(name)
        self.applied = 0
        self.refused: dict[_refusal.Refusal, int] = {}
        # Number of times that a snapshot replaced the state.
        self.restore_count = 0
        # Worker of the attempt that the last accepted record ended, or -1.
        self.ended_on = -1
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call a listener after each record, applied or refused."""
        self._listeners.append(listener)

    def decode(self, record: bytes) -> _records.Record:
        try:
            return _records.decode_record(record)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                DECODE_STEP, self.shard.name, str(error)
            ) from error

    def apply(
        self, record: _records.Record, position: replication.Position
    ) -> None:
        self.apply_at(record, position.offset)

    def apply_at(
        self, record: _records.Record, offset: int
    ) -> _refusal.Refusal | None:
        """Apply a record; return why it was refused, or None."""
        ended = self._find_ended(record)
        refusal = HANDLERS[type(record)](self.shard, record, offset)
        self.shard.offset = offset
        self.applied += 1
        if refusal is not None:
            self.refused[refusal] = self.refused.get(refusal, 0) + 1
        else:
            self.ended_on = ended.worker if ended is not None else -1
            self._check(record, ended)
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
                DECODE_STEP, self.shard.name, str(error)
            ) from error
        _invariants.check_all(shard)
        self.shard = shard
        self.restore_count += 1

    def _find_ended(self, record: _records.Record) -> _state.Attempt | None:
        if not isinstance(record, _records.AttemptEnded):
            return None
        job = self.shard.jobs.get(record.job)
        return job.running.get(record.index) if job is not None else None

    def _check(
        self, record: _records.Record, ended: _state.Attempt | None
    ) -> None:
        """Check the invariants of the state that the record changed."""
        if isinstance(record, _records.AttemptPlaced):
            self._check_placed(record)
        if ended is not None:
            _invariants.check_worker(self.shard, ended.worker)
        if isinstance(record, _records.WorkerGivenUp):
            _invariants.check_worker(self.shard, record.worker)
        number = getattr(record, 'job', None)
        if number is not None:
            _invariants.check_job(self.shard.jobs[number])

    def _check_placed(self, record: _records.AttemptPlaced) -> None:
        _invariants.check_worker(self.shard, record.worker)
        job = self.shard.jobs[record.job]
        errors.check_invariant(
            record.index not in job.requeued
            and job.running[record.index].worker == record.worker,
            'a task on one worker',
            job.job_id,
        )
