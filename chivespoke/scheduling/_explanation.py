"""Explain jobs, tasks and workers; contribute their counts to the status."""

import collections
import collections.abc

from chivespoke import decisions
from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _api
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _requests
from chivespoke.scheduling import _state

KINDS = frozenset(('job', 'task', 'worker'))
TASK_SEPARATOR = '/'


class SchedulingExplainer(operators.Explainer):
    """Explain jobs, tasks and workers of the shards of a process."""

    __slots__ = ('_api',)

    def __init__(self, api: _api.SchedulingApi) -> None:
        self._api = api

    @property
    def kinds(self) -> frozenset[str]:
        return KINDS

    def list_names(self, kind: str) -> collections.abc.Iterable[str]:
        if kind == 'worker':
            return [report.id for report in self._api.report_workers()]
        return [report.id for report in self._api.report_jobs()]

    def explain(self, kind: str, name: str) -> operators.Explanation | None:
        self._api.check_loaded()
        if kind == 'worker':
            return self._explain_worker(name)
        if kind == 'job':
            return self._explain_job(identifiers.JobId(name))
        return self._explain_task(name)

    def _explain_worker(self, name: str) -> operators.Explanation | None:
        for report in self._api.report_workers():
            if report.id == name:
                shard = self._api.streams[report.shard].fold.shard
                return _describe_worker(report, shard)
        return None

    def _explain_job(
        self, job_id: identifiers.JobId
    ) -> operators.Explanation | None:
        report = self._api.report_job(job_id)
        return None if report is None else _describe_job(report)

    def _explain_task(self, name: str) -> operators.Explanation | None:
        job_name, _, index = name.rpartition(TASK_SEPARATOR)
        job_id = identifiers.JobId(job_name)
        if not index.isdecimal():
            return None
        for stream in self._api.streams.values():
            shard = stream.fold.shard
            job_number = shard.job_numbers.get(job_id)
            if job_number is not None:
                explanation = _describe_task(
                    shard, job_number, int(index), name
                )
                if explanation is not None:
                    return explanation
        return None


class SchedulingStatus(operators.StatusContributor):
    """Report counts of workers and tasks, and jobs that cannot run."""

    __slots__ = ('_api',)

    def __init__(self, api: _api.SchedulingApi) -> None:
        self._api = api

    def make_section(self) -> operators.Section:
        states = collections.Counter(
            report.state for report in self._api.report_workers()
        )
        jobs = self._api.report_jobs()
        blocked = [job for job in jobs if job.waiting and job.reason]
        lines = {
            f'workers {state}': str(count)
            for state, count in sorted(states.items())
        }
        crashed_workers = sum(job.crashed_workers for job in jobs)
        if crashed_workers:
            lines['workers crashed'] = str(crashed_workers)
        lines['tasks placed'] = str(sum(job.placed for job in jobs))
        lines['tasks waiting'] = str(sum(job.waiting for job in jobs))
        return operators.Section(
            title='scheduling',
            lines=lines,
            troubles=tuple(
                f'job {job.id} cannot run: {job.reason}' for job in blocked
            )
            + tuple(
                f'job {job.id} is suspected of {job.crashed_workers} crashes '
                'of workers'
                for job in jobs
                if job.crashed_workers and (job.waiting or job.placed)
            ),
        )


def _describe_worker(
    report: _requests.WorkerReport, shard: _state.Shard
) -> operators.Explanation:
    why = []
    would_change = []
    if report.state != 'up':
        why.append('its leases expired, or its data centre is declared dead')
        would_change.append(
            'a heartbeat from it that reports no unknown attempts'
        )
    if report.task_limit >= 0:
        why.append(
            f'it is in quarantine and runs at most {report.task_limit} tasks'
        )
        would_change.append('tasks that complete on it during probation')
    if report.data_centre in shard.out_of_service:
        why.append(f'{report.data_centre} is out of service')
        would_change.append(
            f'chivespoke data-centre return {report.data_centre}'
        )
    if not why:
        why.append('it answers, and its data centre is in service')
    return operators.Explanation(
        kind='worker',
        name=report.id,
        what=(
            f'{report.state}, {report.tasks} tasks, '
            f'in {report.data_centre}/{report.rack}'
        ),
        why=tuple(why),
        since_version=identifiers.Version(shard.version),
        would_change=tuple(would_change),
        details={
            'shard': report.shard,
            'capacity': report.capacity.describe(),
            'committed': report.committed.describe(),
        },
    )


def _describe_job(report: _requests.JobReport) -> operators.Explanation:
    would_change: tuple[str, ...] = ()
    if report.waiting:
        would_change = (
            'enough free resources on a worker that it may use'
            if not report.reason
            else f'a configuration without: {report.reason}',
        )
    return operators.Explanation(
        kind='job',
        name=report.id,
        what=(
            f'{report.state}: {report.completed} of {report.submitted} '
            f'completed, {report.placed} placed, {report.waiting} waiting'
        ),
        why=(report.reason,) if report.reason else (),
        would_change=would_change,
        details={
            'team': report.team,
            'attempts': str(report.attempts),
            'evictions': str(report.evictions),
            'failed': str(report.failed),
            'cancelled': str(report.cancelled),
            'workers crashed': str(report.crashed_workers),
            'lost seconds': f'{report.lost_seconds:.1f}',
        },
    )


def _describe_crashes(
    shard: _state.Shard, job_number: int, index: int, name: str
) -> tuple[str, ...]:
    crashes = _crashes.find_crashes(shard, job_number, index)
    if not crashes:
        return ()
    description = decisions.describe_crashes(name, crashes)
    if shard.jobs[job_number].phase is _state.JobPhase.FAILED:
        return (description,)
    return (f'suspected, as {description}',)


def _describe_task(
    shard: _state.Shard, job_number: int, index: int, name: str
) -> operators.Explanation | None:
    job = shard.jobs[job_number]
    attempt = job.running.get(index)
    suspicions = _describe_crashes(shard, job_number, index, name)
    if attempt is not None:
        worker = shard.workers[attempt.worker]
        return operators.Explanation(
            kind='task',
            name=name,
            what=(
                f'attempt {attempt.number} is placed on {worker.worker_id} '
                f'in {worker.data_centre}'
            ),
            why=(
                f'placed at offset {attempt.fencing_token} '
                f'of shard {shard.name}',
                *suspicions,
            ),
            since_version=identifiers.Version(shard.version),
            would_change=(
                f'chivespoke job cancel {job.job_id}',
                f'chivespoke data-centre take-out {worker.data_centre}',
            ),
            details={'checkpoint': attempt.checkpoint or 'none'},
        )
    waiting = job.requeued.get(index)
    is_fresh = any(first <= index < stop for first, stop in job.fresh)
    if waiting is None and not is_fresh:
        if not suspicions:
            return None
        return operators.Explanation(
            kind='task',
            name=name,
            what='failed',
            why=suspicions,
            since_version=identifiers.Version(shard.version),
        )
    last_attempt = 0 if waiting is None else waiting.last_attempt
    return operators.Explanation(
        kind='task',
        name=name,
        what=f'waits for attempt {last_attempt + 1}',
        why=(
            job.infeasible_reason
            or (
                'no worker is free of young tasks for it yet'
                if suspicions
                else 'no worker has room for it yet'
            ),
            *suspicions,
        ),
        since_version=identifiers.Version(shard.version),
        would_change=('enough free resources on a worker that it may use',),
        details={'last attempt': str(last_attempt)},
    )
