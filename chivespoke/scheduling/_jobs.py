"""Apply records about jobs, services and transfers between shards.

The handler of a record type changes the shard and returns None, or returns
why the record is refused.
"""

import collections.abc

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

Refusal = _refusal.Refusal


def submit_job(
    shard: _state.Shard, record: _records.JobSubmitted, offset: int
) -> Refusal | None:
    """Add a job; refuse a job id that is taken."""
    del offset
    number = shard.job_numbers.get(record.job_id)
    if number is not None:
        known = shard.jobs[number]
        same = known.spec == record.spec and known.submitted == record.tasks
        return Refusal.DUPLICATE_JOB if same else Refusal.CONFLICTING_JOB
    job = add_job(shard, record.job_id, record.spec)
    job.submitted = record.tasks
    add_fresh(job, 0, record.tasks)
    return None


def add_job(
    shard: _state.Shard,
    job_id: identifiers.JobId,
    spec: _records.JobSpec,
) -> _state.Job:
    """Add a job under the next number and return it."""
    number = shard.next_job
    shard.next_job += 1
    job = _state.Job(job_id=job_id, spec=spec, fresh=[])
    shard.jobs[number] = job
    shard.job_numbers[job.job_id] = number
    return job


def add_fresh(job: _state.Job, first: int, stop: int) -> None:
    """Add tasks that were never placed; in a closed job, end them at once."""
    count = stop - first
    job.counts.tasks_added += count
    job.next_index = max(job.next_index, stop)
    if job.phase is _state.JobPhase.FAILED:
        job.counts.failed += count
    elif job.phase is _state.JobPhase.CANCELLED:
        job.counts.cancelled += count
    elif count:
        job.fresh.append((first, stop))


def cancel_by_number(
    shard: _state.Shard, record: _records.JobCancelled, offset: int
) -> Refusal | None:
    """Cancel a job's pending tasks and request stops of running ones."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.phase is not _state.JobPhase.OPEN:
        return Refusal.JOB_CLOSED
    cancel_job(shard, job)
    return None


def cancel_job(shard: _state.Shard, job: _state.Job) -> None:
    """Cancel a job here and in the shards that received its tasks."""
    job.counts.cancelled += _close(job, _state.JobPhase.CANCELLED)
    shard.suspects.pop(shard.job_numbers[job.job_id], None)
    cancellation = _records.JobCancellation(job.job_id)
    for receiver in job.handed_to:
        queue_transfer(shard, receiver, cancellation)


def fail_job(
    shard: _state.Shard, record: _records.JobFailed, offset: int
) -> Refusal | None:
    """Fail a job's pending tasks and request stops of running ones.

    Replicas of a service that have survived at work stay.
    """
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.phase is not _state.JobPhase.OPEN:
        return Refusal.JOB_CLOSED
    kept: set[int] = set()
    if _task_lifecycle.is_service(job):
        kept = set(job.running) - set(shard.suspects.get(record.job, {}))
    job.counts.failed += _close(job, _state.JobPhase.FAILED, kept)
    job.evidence = record.evidence
    return None


def _close(
    job: _state.Job,
    phase: _state.JobPhase,
    kept: collections.abc.Container[int] = (),
) -> int:
    """Close a job and return how many of its tasks were pending.

    The running tasks that are not kept are to stop.
    """
    count = job.count_fresh() + len(job.requeued)
    job.phase = phase
    job.fresh = []
    job.requeued = {}
    for index, attempt in job.running.items():
        if index not in kept:
            attempt.stop_requested = True
    return count


def set_infeasible_reason(
    shard: _state.Shard, record: _records.JobFeasibilityChanged, offset: int
) -> Refusal | None:
    """Set or clear the reason why a job cannot run."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.infeasible_reason == record.reason:
        return Refusal.NOTHING_CHANGED
    job.infeasible_reason = record.reason
    return None


def add_replicas(
    shard: _state.Shard, record: _records.ReplicasAdded, offset: int
) -> Refusal | None:
    """Add replicas to a service; the first index must be the next one."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if record.first != job.next_index:
        return Refusal.WRONG_INDEX
    add_fresh(job, record.first, record.first + record.count)
    return None


def retire_replica(
    shard: _state.Shard, record: _records.ReplicaRetired, offset: int
) -> Refusal | None:
    """Remove a pending replica, or request the stop of a running one."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    attempt = job.running.get(record.index)
    if attempt is not None and not attempt.stop_requested:
        attempt.stop_requested = True
        return None
    if _task_lifecycle.find_pending(job, record.index) is None:
        return Refusal.NOTHING_CHANGED
    if job.requeued.pop(record.index, None) is None:
        _task_lifecycle.remove_fresh(job, record.index, record.index + 1)
    job.counts.cancelled += 1
    return None


def revise_service(
    shard: _state.Shard, record: _records.JobRevised, offset: int
) -> Refusal | None:
    """Change the specification of future replicas of a service.

    A service that was given up for its crashes starts anew.
    """
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.spec == record.spec or job.spec.team != record.spec.team:
        return Refusal.NOTHING_CHANGED
    job.spec = record.spec
    shard.suspects.pop(record.job, None)
    if job.phase is _state.JobPhase.FAILED:
        job.phase = _state.JobPhase.OPEN
        job.evidence = ''
    return None


def queue_transfer(
    shard: _state.Shard, receiver: str, content: _records.TransferContent
) -> None:
    """Queue a transfer to another shard under the next sequence."""
    sequence = shard.sent_sequences.get(receiver, 0) + 1
    shard.sent_sequences[receiver] = sequence
    shard.outbox.setdefault(receiver, []).append(
        _state.Transfer(sequence, content)
    )


def send_transfer(
    shard: _state.Shard, record: _records.TransferSent, offset: int
) -> Refusal | None:
    """Remove quota or tasks from this shard and queue their transfer."""
    del offset
    if record.sequence != shard.sent_sequences.get(record.receiver, 0) + 1:
        return Refusal.WRONG_SEQUENCE
    content = record.content
    match content:
        case _records.QuotaAmount():
            refusal = _deduct_quota(shard, content)
            shard.quota_requests.pop(f'{record.receiver}/{content.team}', None)
        case _records.TaskBatch():
            refusal = _remove_tasks(shard, record.receiver, content)
        case _records.JobCancellation():
            refusal = Refusal.NOTHING_CHANGED
    if refusal is None:
        queue_transfer(shard, record.receiver, content)
    return refusal


def _deduct_quota(
    shard: _state.Shard, content: _records.QuotaAmount
) -> Refusal | None:
    used = shard.used.get(content.team, resources.NOTHING)
    balance = _state.get_quota_share(shard, content.team)
    if not content.amount.is_valid():
        return Refusal.QUOTA_EXCEEDED
    if not (used + content.amount).fits_within(balance):
        return Refusal.QUOTA_EXCEEDED
    transferred = shard.transferred_quotas.get(content.team, resources.NOTHING)
    shard.transferred_quotas[content.team] = transferred - content.amount
    return None


def _remove_tasks(
    shard: _state.Shard, receiver: str, content: _records.TaskBatch
) -> Refusal | None:
    number = shard.job_numbers.get(content.job_id)
    if number is None:
        return Refusal.UNKNOWN_JOB
    job = shard.jobs[number]
    stop = content.first + content.count
    if not any(
        first <= content.first and stop <= end for first, end in job.fresh
    ):
        return Refusal.TASK_NOT_PENDING
    _task_lifecycle.remove_fresh(job, content.first, stop)
    job.counts.tasks_transferred_out += content.count
    if receiver not in job.handed_to:
        job.handed_to = (*job.handed_to, receiver)
    return None


def receive_transfer(
    shard: _state.Shard, record: _records.TransferReceived, offset: int
) -> Refusal | None:
    """Apply a transfer from another shard, once and in sequence."""
    del offset
    if record.sequence != shard.received_sequences.get(record.sender, 0) + 1:
        return Refusal.WRONG_SEQUENCE
    shard.received_sequences[record.sender] = record.sequence
    content = record.content
    match content:
        case _records.QuotaAmount():
            transferred = shard.transferred_quotas.get(
                content.team, resources.NOTHING
            )
            shard.transferred_quotas[content.team] = (
                transferred + content.amount
            )
        case _records.TaskBatch():
            job = _get_or_add_job(shard, content)
            stop = content.first + content.count
            add_fresh(job, content.first, stop)
        case _records.JobCancellation():
            number = shard.job_numbers.get(content.job_id)
            if number is not None:
                _cancel_if_open(shard, shard.jobs[number])
    return None


def _cancel_if_open(shard: _state.Shard, job: _state.Job) -> None:
    if job.phase is _state.JobPhase.OPEN:
        cancel_job(shard, job)


def _get_or_add_job(
    shard: _state.Shard, content: _records.TaskBatch
) -> _state.Job:
    number = shard.job_numbers.get(content.job_id)
    if number is not None:
        return shard.jobs[number]
    return add_job(shard, content.job_id, content.spec)


def acknowledge_transfer(
    shard: _state.Shard, record: _records.TransferAcknowledged, offset: int
) -> Refusal | None:
    """Remove a transfer that the receiver's stream contains."""
    del offset
    queue = shard.outbox.get(record.receiver, [])
    if not queue or queue[0].sequence != record.sequence:
        return Refusal.WRONG_SEQUENCE
    queue.pop(0)
    return None


def store_quota_request(
    shard: _state.Shard, record: _records.QuotaRequested, offset: int
) -> Refusal | None:
    """Store another shard's latest request for quota."""
    del offset
    shard.quota_requests[f'{record.sender}/{record.team}'] = record
    return None
