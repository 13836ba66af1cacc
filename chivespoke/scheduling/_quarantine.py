"""Tell bad workers from bad jobs."""

from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# Failures on a worker, with no completion, that make it suspect.
WORKER_FAILURES = 3
# Workers on which a job must fail, and complete on none, to be bad.
JOB_WORKERS = 3
# Completions on probation that clear a worker.
PROBATION_COMPLETIONS = 3
# Seconds in quarantine before a probation, doubled after each relapse.
QUARANTINE_SECONDS = 300.0
QUARANTINE_MAXIMUM = 4 * 3600.0
CLOSED = 0
PROBATION = 1


class QuarantinePlanner(_planner.Planner):
    """Quarantine bad workers, with probation; fail bad jobs."""

    __slots__ = ('_closed_at', '_terms')

    def __init__(self) -> None:
        self._closed_at: dict[int, float] = {}
        # Seconds of the next quarantine of a worker.
        self._terms: dict[int, float] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        bad_jobs = {
            number
            for number, job in shard.jobs.items()
            if job.failed_on and is_bad_job(shard, job)
        }
        records: list[_records.Record] = [
            _records.JobFailed(number, describe_evidence(shard, number))
            for number in sorted(bad_jobs)
            if shard.jobs[number].phase is _state.JobPhase.OPEN
        ]
        records.extend(self._judge_workers(now, shard, bad_jobs))
        return records

    def _judge_workers(
        self, now: float, shard: _state.Shard, bad_jobs: set[int]
    ) -> list[_records.Record]:
        records: list[_records.Record] = []
        for number, worker in shard.workers.items():
            limit = self._judge(now, shard, number, bad_jobs)
            if limit is not None and limit != worker.task_limit:
                reason = f'{worker.failed} failed, {worker.completed} not'
                records.append(
                    _records.WorkerQuarantined(number, limit, reason)
                )
        return records

    def _judge(
        self,
        now: float,
        shard: _state.Shard,
        number: int,
        bad_jobs: set[int],
    ) -> int | None:
        """Return the worker's new limit of tasks, or None to keep it."""
        worker = shard.workers[number]
        if worker.task_limit == CLOSED:
            term = self._terms.get(number, QUARANTINE_SECONDS)
            since = self._closed_at.setdefault(number, now)
            return PROBATION if now - since >= term else None
        self._closed_at.pop(number, None)
        if worker.task_limit == PROBATION:
            if worker.failed:
                longer = 2 * self._terms.get(number, QUARANTINE_SECONDS)
                self._terms[number] = min(longer, QUARANTINE_MAXIMUM)
                return CLOSED
            if worker.completed >= PROBATION_COMPLETIONS:
                self._terms.pop(number, None)
                return _state.NO_TASK_LIMIT
            return None
        if worker.failed < WORKER_FAILURES or worker.completed:
            return None
        return CLOSED if is_bad_worker(shard, number, bad_jobs) else None


def is_bad_worker(
    shard: _state.Shard, number: int, bad_jobs: set[int]
) -> bool:
    """Tell whether good jobs fail on a worker.

    A job is good when it completed elsewhere; two jobs that fail here and
    are not known to be bad speak against the worker as well.
    """
    jobs = [
        job
        for job_number, job in shard.jobs.items()
        if number in job.failed_on and job_number not in bad_jobs
    ]
    completed_elsewhere = any(
        other != number for job in jobs for other in job.completed_on
    )
    return completed_elsewhere or len(jobs) > 1


def is_bad_job(shard: _state.Shard, job: _state.Job) -> bool:
    """Tell whether a job fails wherever it runs."""
    if job.completed_on or job.spec.kind is not workers.TaskKind.BATCH:
        return False
    healthy = [
        number
        for number in job.failed_on
        if shard.workers[number].task_limit != CLOSED
    ]
    return len(healthy) >= JOB_WORKERS


def describe_evidence(shard: _state.Shard, number: int) -> str:
    """Return where a job failed, how often, and what was said last."""
    job = shard.jobs[number]
    places = ', '.join(
        f'{shard.workers[worker].worker_id} ({count})'
        for worker, count in sorted(job.failed_on.items())
    )
    return f'failed on {places}: {job.evidence}'
