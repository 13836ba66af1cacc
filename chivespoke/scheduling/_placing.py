"""Fold what happens to attempts: placed, saved, ended."""

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state

Refusal = _refusal.Refusal
MILLISECONDS = 1000


def place(
    shard: _state.Shard, record: _records.AttemptPlaced, offset: int
) -> Refusal | None:
    """Commit an attempt, or say why not."""
    refusal = find_refusal(shard, record)
    if refusal is not None:
        return refusal
    job = shard.jobs[record.job]
    worker = shard.workers[record.worker]
    waiting = _take_pending(job, record.index)
    job.running[record.index] = _state.Attempt(
        number=record.attempt,
        worker=record.worker,
        fencing_token=offset,
        size=job.spec.size,
        revision=job.spec.revision,
        failures=waiting.failures,
        checkpoint=waiting.checkpoint,
    )
    job.counts.attempts += 1
    key = _state.format_task_key(record.job, record.index)
    worker.tasks[key] = (record.job, record.index, record.attempt)
    worker.committed = worker.committed + job.spec.size
    _add_use(shard, job.spec.team, job.spec.size)
    return None


def find_refusal(
    shard: _state.Shard, record: _records.AttemptPlaced
) -> Refusal | None:
    """Return why a placement would be refused, or None."""
    job = shard.jobs.get(record.job)
    if job is None:
        return Refusal.UNKNOWN_JOB
    refusal = find_worker_refusal(shard, record, job)
    if refusal is not None:
        return refusal
    if record.version < shard.version:
        return Refusal.STALE_CONFIGURATION
    if job.phase is not _state.JobPhase.OPEN:
        return Refusal.JOB_CLOSED
    if job.infeasible_reason:
        return Refusal.JOB_FLAGGED
    if not has_quota(shard, job.spec.team, job.spec.size):
        return Refusal.QUOTA_EXCEEDED
    waiting = find_pending(job, record.index)
    if waiting is None:
        return Refusal.TASK_NOT_PENDING
    if record.attempt != waiting.last_attempt + 1:
        return Refusal.WRONG_ATTEMPT
    return None


def find_worker_refusal(
    shard: _state.Shard, record: _records.AttemptPlaced, job: _state.Job
) -> Refusal | None:
    """Return why the worker may not have the task, or None."""
    worker = shard.workers.get(record.worker)
    if worker is None:
        return Refusal.UNKNOWN_WORKER
    if worker.state is not _state.WorkerState.UP:
        return Refusal.WORKER_NOT_UP
    if 0 <= worker.task_limit <= len(worker.tasks):
        return Refusal.WORKER_QUARANTINED
    if worker.data_centre in shard.out_of_service:
        return Refusal.DATA_CENTRE_OUT
    allowed = job.spec.data_centres
    if allowed and worker.data_centre not in allowed:
        return Refusal.DATA_CENTRE_NOT_ALLOWED
    if not job.spec.size.fits_within(worker.free):
        return Refusal.WORKER_FULL
    return None


def has_quota(
    shard: _state.Shard,
    team: identifiers.TeamName,
    size: resources.Resources,
) -> bool:
    """Tell whether the shard's share of the quota takes one more."""
    if team not in shard.limited_teams:
        return True
    used = shard.used.get(team, resources.NOTHING)
    return (used + size).fits_within(_state.get_quota_share(shard, team))


def find_pending(job: _state.Job, index: int) -> _state.RequeuedTask | None:
    """Return a task that waits for a placement, or None."""
    waiting = job.requeued.get(index)
    if waiting is not None:
        return waiting
    for first, beyond in job.fresh:
        if first <= index < beyond:
            return _state.RequeuedTask(last_attempt=0)
    return None


def _take_pending(job: _state.Job, index: int) -> _state.RequeuedTask:
    waiting = job.requeued.pop(index, None)
    if waiting is not None:
        return waiting
    take_fresh(job, index, index + 1)
    return _state.RequeuedTask(last_attempt=0)


def take_fresh(job: _state.Job, first: int, beyond: int) -> None:
    """Remove tasks from the range of fresh ones that holds them."""
    for position, (start, end) in enumerate(job.fresh):
        if start <= first and beyond <= end:
            rest = [(start, first), (beyond, end)]
            job.fresh[position : position + 1] = [
                (low, high) for low, high in rest if low < high
            ]
            return


def end(
    shard: _state.Shard, record: _records.AttemptEnded, offset: int
) -> Refusal | None:
    """End an attempt and count it."""
    del offset
    job = shard.jobs.get(record.job)
    attempt = job.running.get(record.index) if job is not None else None
    if job is None or attempt is None or attempt.number != record.attempt:
        return Refusal.NOT_RUNNING
    if record.checkpoint:
        attempt.checkpoint = record.checkpoint
    _count_time(job, attempt, record)
    _count_for_worker(shard, job, attempt, record)
    release(shard, record.job, record.index)
    _settle(job, record.index, attempt, record.outcome)
    return None


def release(shard: _state.Shard, number: int, index: int) -> _state.Attempt:
    """Take an attempt off its worker and return it."""
    job = shard.jobs[number]
    attempt = job.running.pop(index)
    worker = shard.workers[attempt.worker]
    del worker.tasks[_state.format_task_key(number, index)]
    worker.committed = worker.committed - attempt.size
    _add_use(shard, job.spec.team, resources.NOTHING - attempt.size)
    return attempt


def wait_again(job: _state.Job, index: int, attempt: _state.Attempt) -> None:
    """Let the task wait for its next attempt, unless it is unwanted."""
    if job.phase is _state.JobPhase.FAILED:
        job.counts.failed += 1
    elif attempt.stop_requested or job.phase is _state.JobPhase.CANCELLED:
        job.counts.cancelled += 1
    else:
        job.requeued[index] = _state.RequeuedTask(
            attempt.number, attempt.failures, attempt.checkpoint
        )


def _settle(
    job: _state.Job,
    index: int,
    attempt: _state.Attempt,
    outcome: _records.Outcome,
) -> None:
    if outcome is _records.Outcome.COMPLETED:
        job.counts.completed += 1
        return
    if outcome is _records.Outcome.EVICTED and not attempt.stop_requested:
        job.counts.evictions += 1
    if outcome is _records.Outcome.FAILED:
        attempt.failures += 1
        replica = is_service(job)
        if attempt.failures > job.spec.retries and not replica:
            job.counts.failed += 1
            return
    wait_again(job, index, attempt)


def is_service(job: _state.Job) -> bool:
    """Tell whether the job stands for a service."""
    return job.spec.kind.value == 'latency-critical'


def _count_time(
    job: _state.Job, attempt: _state.Attempt, record: _records.AttemptEnded
) -> None:
    counts = job.counts
    counts.ran_ms += record.ran_ms
    counts.lost_ms += record.lost_ms
    counts.processor_ms += (
        record.ran_ms * attempt.size.millicores // MILLISECONDS
    )
    counts.memory_mib_ms += record.ran_ms * attempt.size.memory_mib
    counts.accelerator_ms += record.ran_ms * attempt.size.accelerators


def _count_for_worker(
    shard: _state.Shard,
    job: _state.Job,
    attempt: _state.Attempt,
    record: _records.AttemptEnded,
) -> None:
    worker = shard.workers[attempt.worker]
    if record.outcome is _records.Outcome.FAILED:
        worker.failed += 1
        job.evidence = record.detail or job.evidence
        _count_on(job.failed_on, attempt.worker)
    elif record.outcome is _records.Outcome.COMPLETED:
        worker.completed += 1
        _count_on(job.completed_on, attempt.worker)


def _count_on(counts: dict[int, int], worker: int) -> None:
    if worker in counts or len(counts) < _state.MAX_EVIDENCE_WORKERS:
        counts[worker] = counts.get(worker, 0) + 1


def save_checkpoint(
    shard: _state.Shard, record: _records.CheckpointSaved, offset: int
) -> Refusal | None:
    """Keep the checkpoint of a running attempt."""
    del offset
    job = shard.jobs.get(record.job)
    attempt = job.running.get(record.index) if job is not None else None
    if attempt is None or attempt.number != record.attempt:
        return Refusal.NOT_RUNNING
    attempt.checkpoint = record.checkpoint
    attempt.checkpointed_ms = record.ran_ms
    return None


def _add_use(
    shard: _state.Shard,
    team: identifiers.TeamName,
    size: resources.Resources,
) -> None:
    shard.used[team] = shard.used.get(team, resources.NOTHING) + size
