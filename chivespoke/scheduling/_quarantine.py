"""Quarantine workers on which good jobs fail; fail jobs that always fail."""

from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# Failed attempts that make a worker suspect, if none completed on it.
SUSPECT_WORKER_FAILURES = 3
# A job is bad once it failed on this many workers and completed on none.
BAD_JOB_WORKERS = 3
# Attempts that must complete on probation to end it.
PROBATION_COMPLETIONS = 3
# Length of the first quarantine, doubled after each failed probation.
QUARANTINE_SECONDS = 300.0
QUARANTINE_MAX_SECONDS = 4 * 3600.0
# Limits on the tasks of a worker at once.
QUARANTINE_TASK_LIMIT = 0
PROBATION_TASK_LIMIT = 1


class QuarantinePlanner(_planner.Planner):
    """Quarantine bad workers, then put them on probation; fail bad jobs."""

    __slots__ = ('_quarantined_at', '_quarantine_seconds')

    def __init__(self) -> None:
        self._quarantined_at: dict[int, float] = {}
        # Length of the next quarantine by worker, if not the first one.
        self._quarantine_seconds: dict[int, float] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        bad_jobs = {
            job_number
            for job_number, job in shard.jobs.items()
            if job.failed_on and is_bad_job(shard, job)
        }
        records: list[_records.Record] = [
            _records.JobFailed(
                job_number, describe_evidence(shard, job_number)
            )
            for job_number in sorted(bad_jobs)
            if shard.jobs[job_number].phase is _state.JobPhase.OPEN
        ]
        records.extend(self._plan_worker_limits(now, shard, bad_jobs))
        return records

    def _plan_worker_limits(
        self, now: float, shard: _state.Shard, bad_jobs: set[int]
    ) -> list[_records.Record]:
        records: list[_records.Record] = []
        for worker_number, worker in shard.workers.items():
            limit = self._choose_task_limit(
                now, shard, worker_number, bad_jobs
            )
            if limit is not None and limit != worker.task_limit:
                reason = f'{worker.failed} failed, {worker.completed} not'
                records.append(
                    _records.WorkerQuarantined(worker_number, limit, reason)
                )
        return records

    def _choose_task_limit(
        self,
        now: float,
        shard: _state.Shard,
        worker_number: int,
        bad_jobs: set[int],
    ) -> int | None:
        """Return the new task limit of a worker, or None to keep it."""
        worker = shard.workers[worker_number]
        if worker.task_limit == QUARANTINE_TASK_LIMIT:
            seconds = self._quarantine_seconds.get(
                worker_number, QUARANTINE_SECONDS
            )
            since = self._quarantined_at.setdefault(worker_number, now)
            return PROBATION_TASK_LIMIT if now - since >= seconds else None
        self._quarantined_at.pop(worker_number, None)
        if worker.task_limit == PROBATION_TASK_LIMIT:
            if worker.failed:
                doubled = 2 * self._quarantine_seconds.get(
                    worker_number, QUARANTINE_SECONDS
                )
                self._quarantine_seconds[worker_number] = min(
                    doubled, QUARANTINE_MAX_SECONDS
                )
                return QUARANTINE_TASK_LIMIT
            if worker.completed >= PROBATION_COMPLETIONS:
                self._quarantine_seconds.pop(worker_number, None)
                return _state.NO_TASK_LIMIT
            return None
        if worker.failed < SUSPECT_WORKER_FAILURES or worker.completed:
            return None
        return (
            QUARANTINE_TASK_LIMIT
            if is_bad_worker(shard, worker_number, bad_jobs)
            else None
        )


def is_bad_worker(
    shard: _state.Shard, worker_number: int, bad_jobs: set[int]
) -> bool:
    """Return whether failures on a worker are the worker's fault.

    They are if a job that failed on it completed on another worker, or if
    two jobs failed on it that are not known to be bad.
    """
    jobs = [
        job
        for job_number, job in shard.jobs.items()
        if worker_number in job.failed_on and job_number not in bad_jobs
    ]
    completed_elsewhere = any(
        other != worker_number for job in jobs for other in job.completed_on
    )
    return completed_elsewhere or len(jobs) > 1


def is_bad_job(shard: _state.Shard, job: _state.Job) -> bool:
    """Return whether a batch job failed on enough workers to be bad.

    Workers in quarantine do not count.
    """
    if job.completed_on or job.spec.kind is not workers.TaskKind.BATCH:
        return False
    healthy = [
        worker_number
        for worker_number in job.failed_on
        if shard.workers[worker_number].task_limit != QUARANTINE_TASK_LIMIT
    ]
    return len(healthy) >= BAD_JOB_WORKERS


def describe_evidence(shard: _state.Shard, job_number: int) -> str:
    """Return where and how often a job failed, with the last error."""
    job = shard.jobs[job_number]
    locations = ', '.join(
        f'{shard.workers[worker].worker_id} ({count})'
        for worker, count in sorted(job.failed_on.items())
    )
    return f'failed on {locations}: {job.evidence}'
