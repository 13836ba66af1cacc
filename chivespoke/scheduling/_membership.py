"""Apply records about workers, owners and the configuration.

Each function changes the shard and returns None, or returns why the record
is refused and changes nothing.
"""

from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

Refusal = _refusal.Refusal
# An owner notices and records a crash before it has appended as many more
# heartbeats.
KEPT_RENEWALS = 3


def register_worker(
    shard: _state.Shard, record: _records.WorkerRegistered, offset: int
) -> Refusal | None:
    """Add a worker, or replace its incarnation."""
    del offset
    number = shard.worker_numbers.get(record.worker_id)
    if number is None:
        number = shard.next_worker
        shard.next_worker += 1
        shard.worker_numbers[record.worker_id] = number
    else:
        known = shard.workers[number]
        if known.incarnation == record.incarnation:
            return Refusal.NOTHING_CHANGED
        if record.epoch != shard.epoch:
            return Refusal.STALE_EPOCH
        if record.previous != known.incarnation:
            return Refusal.STALE_INCARNATION
        if record.address != known.address and known.tasks:
            return Refusal.WORKER_HAS_TASKS
        _crashes.record_crash(shard, number, record)
        _requeue_tasks(shard, number)
    shard.workers[number] = _state.Worker(
        worker_id=record.worker_id,
        incarnation=record.incarnation,
        data_centre=record.data_centre,
        rack=record.rack,
        capacity=record.capacity,
        address=record.address,
    )
    return None


def give_up_worker(
    shard: _state.Shard, record: _records.WorkerGivenUp, offset: int
) -> Refusal | None:
    """Requeue the tasks of a worker and exclude it from placement."""
    del offset
    refusal = _check_owner_and_worker(shard, record.worker, record.epoch)
    if refusal is not None:
        return refusal
    worker = shard.workers[record.worker]
    if worker.state is _state.WorkerState.GIVEN_UP:
        return Refusal.WORKER_NOT_UP
    _requeue_tasks(shard, record.worker)
    worker.state = _state.WorkerState.GIVEN_UP
    return None


def readmit_worker(
    shard: _state.Shard, record: _records.WorkerReadmitted, offset: int
) -> Refusal | None:
    """Allow placements on a worker that was given up."""
    del offset
    refusal = _check_owner_and_worker(shard, record.worker, record.epoch)
    if refusal is not None:
        return refusal
    worker = shard.workers[record.worker]
    if worker.state is _state.WorkerState.UP:
        return Refusal.WORKER_UP
    worker.state = _state.WorkerState.UP
    return None


def quarantine_worker(
    shard: _state.Shard, record: _records.WorkerQuarantined, offset: int
) -> Refusal | None:
    """Set how many tasks a worker may hold and reset its counts."""
    del offset
    worker = shard.workers.get(record.worker)
    if worker is None:
        return Refusal.UNKNOWN_WORKER
    if worker.task_limit == record.task_limit:
        return Refusal.NOTHING_CHANGED
    worker.task_limit = record.task_limit
    worker.failed = 0
    worker.completed = 0
    return None


def claim_ownership(
    shard: _state.Shard, record: _records.OwnerClaimed, offset: int
) -> Refusal | None:
    """Change the owner; the first claim of an epoch succeeds."""
    if record.epoch != shard.epoch + 1:
        return Refusal.STALE_EPOCH
    if shard.epoch:
        shard.unfenced[shard.epoch] = shard.owner
    shard.epoch = record.epoch
    shard.owner = record.owner
    shard.claim_offset = offset
    if len(shard.renewal_offsets) == KEPT_RENEWALS:
        shard.unsettled_offset = shard.renewal_offsets[0]
    shard.renewal_offsets = ()
    return None


def fence_owner(
    shard: _state.Shard, record: _records.OwnerFenced, offset: int
) -> Refusal | None:
    """Record that the owner of an epoch has stopped renewing leases."""
    del offset
    if shard.unfenced.pop(record.epoch, None) is None:
        return Refusal.STALE_EPOCH
    return None


def renew_owner(
    shard: _state.Shard, record: _records.OwnerRenewed, offset: int
) -> Refusal | None:
    """Accept a heartbeat of the owner; clear the tasks that survived."""
    if record.epoch != shard.epoch:
        return Refusal.STALE_EPOCH
    _crashes.dismiss_survivors(shard, record.survived)
    if not record.survived:
        shard.renewal_offsets = (*shard.renewal_offsets, offset)[
            -KEPT_RENEWALS:
        ]
    return None


def change_worker_address(
    shard: _state.Shard, record: _records.WorkerAddressChanged, offset: int
) -> Refusal | None:
    """Change a worker's address; its tasks and leases stay valid.

    Whether the address of another incarnation is that of a later one, its
    registration does not tell: it may be late itself.
    """
    del offset
    number = shard.worker_numbers.get(record.worker_id)
    if number is None:
        return Refusal.UNKNOWN_WORKER
    worker = shard.workers[number]
    if record.address == worker.address:
        return Refusal.NOTHING_CHANGED
    if record.incarnation in ('', worker.incarnation):
        worker.address = record.address
    elif record.address == worker.other_address:
        return Refusal.NOTHING_CHANGED
    else:
        worker.other_address = record.address
    return None


def observe_configuration(
    shard: _state.Shard, record: _records.ConfigurationObserved, offset: int
) -> Refusal | None:
    """Store the part of a newer configuration that the shard needs."""
    del offset
    if record.version <= shard.version:
        return Refusal.STALE_CONFIGURATION
    shard.version = record.version
    shard.out_of_service = record.out_of_service
    shard.limited_teams = record.limited_teams
    shard.minted_quotas = dict(record.quotas)
    return None


def _check_owner_and_worker(
    shard: _state.Shard, worker: int, epoch: int
) -> Refusal | None:
    if worker not in shard.workers:
        return Refusal.UNKNOWN_WORKER
    if epoch != shard.epoch:
        return Refusal.STALE_EPOCH
    return None


def _requeue_tasks(shard: _state.Shard, number: int) -> None:
    worker = shard.workers[number]
    for job_number, index, _ in tuple(worker.tasks.values()):
        job = shard.jobs[job_number]
        attempt = _task_lifecycle.release(shard, job_number, index)
        job.counts.abandoned += 1
        _task_lifecycle.requeue(job, index, attempt)
