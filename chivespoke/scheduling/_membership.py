"""Fold what happens to workers, owners and the configuration."""

from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

Refusal = _refusal.Refusal


def register(
    shard: _state.Shard, record: _records.WorkerRegistered, offset: int
) -> Refusal | None:
    """Add a worker, or its next incarnation."""
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
        _free_tasks(shard, number)
    shard.workers[number] = _state.Worker(
        worker_id=record.worker_id,
        incarnation=record.incarnation,
        data_centre=record.data_centre,
        rack=record.rack,
        capacity=record.capacity,
        address=record.address,
    )
    return None


def give_up(
    shard: _state.Shard, record: _records.WorkerGivenUp, offset: int
) -> Refusal | None:
    """Free the tasks of a worker."""
    del offset
    refusal = _check_owner_and_worker(shard, record.worker, record.epoch)
    if refusal is not None:
        return refusal
    worker = shard.workers[record.worker]
    if worker.state is _state.WorkerState.GIVEN_UP:
        return Refusal.WORKER_NOT_UP
    _free_tasks(shard, record.worker)
    worker.state = _state.WorkerState.GIVEN_UP
    return None


def take_back(
    shard: _state.Shard, record: _records.WorkerReturned, offset: int
) -> Refusal | None:
    """Let a worker that was given up take work again."""
    del offset
    refusal = _check_owner_and_worker(shard, record.worker, record.epoch)
    if refusal is not None:
        return refusal
    worker = shard.workers[record.worker]
    if worker.state is _state.WorkerState.UP:
        return Refusal.WORKER_UP
    worker.state = _state.WorkerState.UP
    return None


def quarantine(
    shard: _state.Shard, record: _records.WorkerQuarantined, offset: int
) -> Refusal | None:
    """Set how many tasks a worker may hold, and count anew."""
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


def claim(
    shard: _state.Shard, record: _records.OwnerClaimed, offset: int
) -> Refusal | None:
    """Change the owner; the first claim of an epoch wins."""
    if record.epoch != shard.epoch + 1:
        return Refusal.STALE_EPOCH
    if shard.epoch:
        shard.unfenced[shard.epoch] = shard.owner
    shard.epoch = record.epoch
    shard.owner = record.owner
    shard.claimed_at = offset
    return None


def fence(
    shard: _state.Shard, record: _records.OwnerFenced, offset: int
) -> Refusal | None:
    """Keep that the owner of an epoch has stopped renewing."""
    del offset
    if shard.unfenced.pop(record.epoch, None) is None:
        return Refusal.STALE_EPOCH
    return None


def renew_owner(
    shard: _state.Shard, record: _records.OwnerRenewed, offset: int
) -> Refusal | None:
    """Change nothing: that the record stands in the stream is enough."""
    del offset
    return None if record.epoch == shard.epoch else Refusal.STALE_EPOCH


def move(
    shard: _state.Shard, record: _records.WorkerMoved, offset: int
) -> Refusal | None:
    """Change a worker's address; tasks and leases stay."""
    del offset
    number = shard.worker_numbers.get(record.worker_id)
    if number is None:
        return Refusal.UNKNOWN_WORKER
    if shard.workers[number].address == record.address:
        return Refusal.NOTHING_CHANGED
    shard.workers[number].address = record.address
    return None


def observe(
    shard: _state.Shard, record: _records.ConfigurationObserved, offset: int
) -> Refusal | None:
    """Copy a newer configuration."""
    del offset
    if record.version <= shard.version:
        return Refusal.STALE_CONFIGURATION
    shard.version = record.version
    shard.out = record.out
    shard.bounded = record.bounded
    shard.minted = dict(record.quotas)
    return None


def _check_owner_and_worker(
    shard: _state.Shard, worker: int, epoch: int
) -> Refusal | None:
    if worker not in shard.workers:
        return Refusal.UNKNOWN_WORKER
    if epoch != shard.epoch:
        return Refusal.STALE_EPOCH
    return None


def _free_tasks(shard: _state.Shard, number: int) -> None:
    worker = shard.workers[number]
    for job_number, index, _ in tuple(worker.tasks.values()):
        job = shard.jobs[job_number]
        attempt = _task_lifecycle.release(shard, job_number, index)
        job.counts.abandoned += 1
        _task_lifecycle.requeue(job, index, attempt)
