"""Apply records on attempts: placements, checkpoints and ends."""

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state

Refusal = _refusal.Refusal
MILLICORES_PER_PROCESSOR = 1000


def place(
    shard: _state.Shard, record: _records.AttemptPlaced, offset: int
) -> Refusal | None:
    """Commit an attempt to a worker; return the reason if refused."""
    refusal = find_refusal(shard, record)
    if refusal is not None:
        return refusal
    job = shard.jobs[record.job]
    worker = shard.workers[record.worker]
    waiting = _pop_pending(job, record.index)
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
    _add_team_usage(shard, job.spec.team, job.spec.size)
    return None


def find_refusal(
    shard: _state.Shard, record: _records.AttemptPlaced
) -> Refusal | None:
    """Return why a placement must be refused, or None."""
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
    """Return why the worker cannot run a task of the job, or None."""
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
    """Return whether the size fits within the shard's share of the quota."""
    if team not in shard.limited_teams:
        return True
    used = shard.used.get(team, resources.NOTHING)
    return (used + size).fits_within(_state.get_quota_share(shard, team))


def find_pending(job: _state.Job, index: int) -> _state.RequeuedTask | None:
    """Return the state of a pending task, or None if it is not pending."""
    waiting = job.requeued.get(index)
    if waiting is not None:
        return waiting
    for first, stop in job.fresh:
        if first <= index < stop:
            return _state.RequeuedTask(last_attempt=0)
    return None


def _pop_pending(job: _state.Job, index: int) -> _state.RequeuedTask:
    waiting = job.requeued.pop(index, None)
    if waiting is not None:
        return waiting
    remove_fresh(job, index, index + 1)
    return _state.RequeuedTask(last_attempt=0)


def remove_fresh(job: _state.Job, first: int, stop: int) -> None:
    """Remove tasks first to stop - 1 from the fresh range that holds them."""
    for range_index, (range_first, range_stop) in enumerate(job.fresh):
        if range_first <= first and stop <= range_stop:
            remainders = [(range_first, first), (stop, range_stop)]
            job.fresh[range_index : range_index + 1] = [
                (remainder_first, remainder_stop)
                for remainder_first, remainder_stop in remainders
                if remainder_first < remainder_stop
            ]
            return


def end(
    shard: _state.Shard, record: _records.AttemptEnded, offset: int
) -> Refusal | None:
    """End a running attempt and update the counts of job and worker."""
    del offset
    job = shard.jobs.get(record.job)
    attempt = job.running.get(record.index) if job is not None else None
    if job is None or attempt is None or attempt.number != record.attempt:
        return Refusal.NOT_RUNNING
    if record.checkpoint:
        attempt.checkpoint = record.checkpoint
    _add_resource_usage(job, attempt, record)
    _count_result(shard, job, attempt, record)
    release(shard, record.job, record.index)
    _apply_outcome(job, record.index, attempt, record.outcome)
    is_closed = job.phase is _state.JobPhase.FAILED
    if record.index not in job.requeued and not is_closed:
        _crashes.dismiss(shard, record.job, record.index)
    return None


def release(
    shard: _state.Shard, job_number: int, index: int
) -> _state.Attempt:
    """Remove an attempt, free its resources, and return it."""
    job = shard.jobs[job_number]
    attempt = job.running.pop(index)
    worker = shard.workers[attempt.worker]
    del worker.tasks[_state.format_task_key(job_number, index)]
    worker.committed = worker.committed - attempt.size
    _add_team_usage(shard, job.spec.team, resources.NOTHING - attempt.size)
    return attempt


def requeue(job: _state.Job, index: int, attempt: _state.Attempt) -> None:
    """Make the task pending again, or count it as failed or cancelled.

    It is cancelled if its stop was requested or the job is cancelled.
    """
    if job.phase is _state.JobPhase.FAILED:
        job.counts.failed += 1
    elif attempt.stop_requested or job.phase is _state.JobPhase.CANCELLED:
        job.counts.cancelled += 1
    else:
        job.requeued[index] = _state.RequeuedTask(
            attempt.number, attempt.failures, attempt.checkpoint
        )


def _apply_outcome(
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
        is_replica = is_service(job)
        if attempt.failures > job.spec.retries and not is_replica:
            job.counts.failed += 1
            return
    requeue(job, index, attempt)


def is_service(job: _state.Job) -> bool:
    """Return whether the tasks of the job are replicas of a service."""
    return job.spec.kind.value == 'latency-critical'


def _add_resource_usage(
    job: _state.Job, attempt: _state.Attempt, record: _records.AttemptEnded
) -> None:
    counts = job.counts
    counts.ran_ms += record.ran_ms
    counts.lost_ms += record.lost_ms
    counts.processor_ms += (
        record.ran_ms * attempt.size.millicores // MILLICORES_PER_PROCESSOR
    )
    counts.memory_mib_ms += record.ran_ms * attempt.size.memory_mib
    counts.accelerator_ms += record.ran_ms * attempt.size.accelerators


def _count_result(
    shard: _state.Shard,
    job: _state.Job,
    attempt: _state.Attempt,
    record: _records.AttemptEnded,
) -> None:
    worker = shard.workers[attempt.worker]
    if record.outcome is _records.Outcome.FAILED:
        worker.failed += 1
        job.evidence = record.detail or job.evidence
        _increment_bounded(job.failed_on, attempt.worker)
    elif record.outcome is _records.Outcome.COMPLETED:
        worker.completed += 1
        _increment_bounded(job.completed_on, attempt.worker)


def _increment_bounded(counts: dict[int, int], worker: int) -> None:
    if worker in counts or len(counts) < _state.MAX_EVIDENCE_WORKERS:
        counts[worker] = counts.get(worker, 0) + 1


def save_checkpoint(
    shard: _state.Shard, record: _records.CheckpointSaved, offset: int
) -> Refusal | None:
    """Record the latest checkpoint of a running attempt."""
    del offset
    job = shard.jobs.get(record.job)
    attempt = job.running.get(record.index) if job is not None else None
    if attempt is None or attempt.number != record.attempt:
        return Refusal.NOT_RUNNING
    attempt.checkpoint = record.checkpoint
    attempt.checkpointed_ms = record.ran_ms
    return None


def _add_team_usage(
    shard: _state.Shard,
    team: identifiers.TeamName,
    size: resources.Resources,
) -> None:
    shard.used[team] = shard.used.get(team, resources.NOTHING) + size
