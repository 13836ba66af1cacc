"""Fold what happens to jobs and services."""

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

Refusal = _refusal.Refusal


def submit(
    shard: _state.Shard, record: _records.JobSubmitted, offset: int
) -> Refusal | None:
    """Add a job; the same one again changes nothing."""
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
    """Give a new job its number."""
    number = shard.next_job
    shard.next_job += 1
    job = _state.Job(job_id=job_id, spec=spec, fresh=[])
    shard.jobs[number] = job
    shard.job_numbers[job.job_id] = number
    return job


def add_fresh(job: _state.Job, first: int, beyond: int) -> None:
    """Add tasks that were never placed; a closed job settles them."""
    count = beyond - first
    job.counts.entered += count
    job.next_index = max(job.next_index, beyond)
    if job.closing is _state.Closing.FAILED:
        job.counts.failed += count
    elif job.closing is _state.Closing.CANCELLED:
        job.counts.cancelled += count
    elif count:
        job.fresh.append((first, beyond))


def cancel(
    shard: _state.Shard, record: _records.JobCancelled, offset: int
) -> Refusal | None:
    """Cancel what waits; what runs is to be stopped."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.closing is not _state.Closing.OPEN:
        return Refusal.JOB_CLOSED
    cancel_job(shard, job)
    return None


def cancel_job(shard: _state.Shard, job: _state.Job) -> None:
    """Cancel a job here and in the shards that hold parts of it."""
    job.counts.cancelled += _close(job, _state.Closing.CANCELLED)
    order = _records.CancelOrder(job.job_id)
    for receiver in job.handed_to:
        post(shard, receiver, order)


def fail(
    shard: _state.Shard, record: _records.JobFailed, offset: int
) -> Refusal | None:
    """Fail what waits; what runs is to be stopped."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.closing is not _state.Closing.OPEN:
        return Refusal.JOB_CLOSED
    job.counts.failed += _close(job, _state.Closing.FAILED)
    job.evidence = record.evidence
    return None


def _close(job: _state.Job, closing: _state.Closing) -> int:
    """Close a job and return how many tasks waited."""
    count = job.count_fresh() + len(job.waiting)
    job.closing = closing
    job.fresh = []
    job.waiting = {}
    for attempt in job.running.values():
        attempt.unwanted = True
    return count


def flag(
    shard: _state.Shard, record: _records.JobFlagged, offset: int
) -> Refusal | None:
    """Keep or clear the reason for which a job cannot run."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.flag == record.reason:
        return Refusal.NOTHING_CHANGED
    job.flag = record.reason
    return None


def add_replicas(
    shard: _state.Shard, record: _records.ReplicasAdded, offset: int
) -> Refusal | None:
    """Add replicas to a service."""
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
    """Retire a replica; a running one is to be stopped."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    attempt = job.running.get(record.index)
    if attempt is not None and not attempt.unwanted:
        attempt.unwanted = True
        return None
    if _task_lifecycle.find_pending(job, record.index) is None:
        return Refusal.NOTHING_CHANGED
    if job.waiting.pop(record.index, None) is None:
        _task_lifecycle.remove_fresh(job, record.index, record.index + 1)
    job.counts.cancelled += 1
    return None


def revise(
    shard: _state.Shard, record: _records.JobRevised, offset: int
) -> Refusal | None:
    """Change what the next replicas of a service look like."""
    del offset
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    if job.spec == record.spec or job.spec.team != record.spec.team:
        return Refusal.NOTHING_CHANGED
    job.spec = record.spec
    return None


def post(
    shard: _state.Shard, receiver: str, content: _records.Content
) -> None:
    """Queue a transfer for another shard under the next sequence."""
    sequence = shard.sent.get(receiver, 0) + 1
    shard.sent[receiver] = sequence
    shard.outbox.setdefault(receiver, []).append(
        _state.Transfer(sequence, content)
    )


def send(
    shard: _state.Shard, record: _records.TransferSent, offset: int
) -> Refusal | None:
    """Take quota or tasks out of this shard."""
    del offset
    if record.sequence != shard.sent.get(record.to, 0) + 1:
        return Refusal.WRONG_SEQUENCE
    content = record.content
    match content:
        case _records.QuotaAmount():
            refusal = _take_quota(shard, content)
            shard.requests.pop(f'{record.to}/{content.team}', None)
        case _records.TaskBatch():
            refusal = _take_tasks(shard, record.to, content)
        case _records.CancelOrder():
            refusal = Refusal.NOTHING_CHANGED
    if refusal is None:
        post(shard, record.to, content)
    return refusal


def _take_quota(
    shard: _state.Shard, content: _records.QuotaAmount
) -> Refusal | None:
    used = shard.used.get(content.team, resources.NOTHING)
    balance = _state.get_balance(shard, content.team)
    if not content.amount.is_valid():
        return Refusal.QUOTA_EXCEEDED
    if not (used + content.amount).fits_within(balance):
        return Refusal.QUOTA_EXCEEDED
    moved = shard.moved.get(content.team, resources.NOTHING)
    shard.moved[content.team] = moved - content.amount
    return None


def _take_tasks(
    shard: _state.Shard, receiver: str, content: _records.TaskBatch
) -> Refusal | None:
    number = shard.job_numbers.get(content.job_id)
    if number is None:
        return Refusal.UNKNOWN_JOB
    job = shard.jobs[number]
    beyond = content.first + content.count
    if not any(
        first <= content.first and beyond <= end for first, end in job.fresh
    ):
        return Refusal.TASK_NOT_PENDING
    _task_lifecycle.remove_fresh(job, content.first, beyond)
    job.counts.handed_out += content.count
    if receiver not in job.handed_to:
        job.handed_to = (*job.handed_to, receiver)
    return None


def receive(
    shard: _state.Shard, record: _records.TransferReceived, offset: int
) -> Refusal | None:
    """Put in what another shard has sent, once."""
    del offset
    if record.sequence != shard.received.get(record.sender, 0) + 1:
        return Refusal.WRONG_SEQUENCE
    shard.received[record.sender] = record.sequence
    content = record.content
    match content:
        case _records.QuotaAmount():
            moved = shard.moved.get(content.team, resources.NOTHING)
            shard.moved[content.team] = moved + content.amount
        case _records.TaskBatch():
            job = _find_or_add(shard, content)
            beyond = content.first + content.count
            add_fresh(job, content.first, beyond)
        case _records.CancelOrder():
            number = shard.job_numbers.get(content.job_id)
            if number is not None:
                _cancel_open(shard, shard.jobs[number])
    return None


def _cancel_open(shard: _state.Shard, job: _state.Job) -> None:
    if job.closing is _state.Closing.OPEN:
        cancel_job(shard, job)


def _find_or_add(
    shard: _state.Shard, content: _records.TaskBatch
) -> _state.Job:
    number = shard.job_numbers.get(content.job_id)
    if number is not None:
        return shard.jobs[number]
    return add_job(shard, content.job_id, content.spec)


def settle(
    shard: _state.Shard, record: _records.TransferSettled, offset: int
) -> Refusal | None:
    """Forget a transfer that the receiver's stream holds."""
    del offset
    queue = shard.outbox.get(record.to, [])
    if not queue or queue[0].sequence != record.sequence:
        return Refusal.WRONG_SEQUENCE
    queue.pop(0)
    return None


def request_quota(
    shard: _state.Shard, record: _records.QuotaRequested, offset: int
) -> Refusal | None:
    """Keep another shard's latest wish for quota."""
    del offset
    shard.requests[f'{record.sender}/{record.team}'] = record
    return None
