"""Keep the crashes of workers of which tasks are suspected.

The fold counts them from the records alone, so that the counts survive a
change of owner.
"""

import collections.abc

from chivespoke import decisions
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workloads

# Workers of a data centre that are lost at once in an outage, most of them
# without suspects.
MIN_OUTAGE_WORKERS = 3
# Longer than the interval between two renewals of a lease, as the loss of a
# worker may be noticed that late.
OUTAGE_WINDOW_MS = 30_000


def record_crash(
    shard: _state.Shard, number: int, record: _records.WorkerRegistered
) -> None:
    """Blame the young attempts on a worker that came back after a crash.

    Call this before the attempts are requeued. Nothing is blamed for the end
    of a worker that was given up or whose data centre is out of service.
    """
    worker = shard.workers[number]
    if (
        not record.crashed_at_ms
        or worker.state is not _state.WorkerState.UP
        or worker.data_centre in shard.out_of_service
    ):
        return
    suspects = decisions.find_suspects(_list_lost_runs(worker, record))
    _drop_settled(shard)
    _add_worker_crash(shard, number, record.crashed_at_ms, bool(suspects))
    conclusive = decisions.is_conclusive(suspects)
    for run in suspects:
        crash = workloads.Crash(
            worker=str(worker.worker_id),
            place=get_place(worker),
            at_ms=record.crashed_at_ms,
            run=run.run,
            conclusive=conclusive,
        )
        tasks = shard.suspects.setdefault(int(run.job), {})
        index = int(run.task)
        tasks[index] = (*tasks.get(index, ()), crash)
    _dismiss_outage(shard, number, record.crashed_at_ms)


def get_place(worker: _state.Worker) -> str:
    """Return what all incarnations of a worker have in common."""
    return str(worker.worker_id)


def dismiss(shard: _state.Shard, job_number: int, index: int) -> None:
    """Clear a task that has survived at work, or has ended."""
    tasks = shard.suspects.get(job_number, {})
    if tasks.pop(index, None) is not None and not tasks:
        del shard.suspects[job_number]


def dismiss_survivors(
    shard: _state.Shard,
    survivors: collections.abc.Iterable[_records.AttemptName],
) -> None:
    """Clear the tasks whose present attempts have survived at work."""
    for job_number, index, number in survivors:
        job = shard.jobs.get(job_number)
        attempt = job.running.get(index) if job is not None else None
        if attempt is not None and attempt.number == number:
            dismiss(shard, job_number, index)


def find_crashes(
    shard: _state.Shard, job_number: int, index: int
) -> tuple[workloads.Crash, ...]:
    """Return the crashes of which a task is suspected."""
    return shard.suspects.get(job_number, {}).get(index, ())


def find_hopeless(shard: _state.Shard) -> dict[int, int]:
    """Return a task that must not start again for each such open job."""
    return {
        job_number: index
        for job_number, tasks in shard.suspects.items()
        for index, crashes in tasks.items()
        if shard.jobs[job_number].phase is _state.JobPhase.OPEN
        and decisions.is_hopeless(crashes)
    }


def count_crashed_workers(shard: _state.Shard, job_number: int) -> int:
    """Return how many crashes of workers a job is suspected of."""
    return len(
        {
            (crash.worker, crash.at_ms)
            for crashes in shard.suspects.get(job_number, {}).values()
            for crash in crashes
        }
    )


def _list_lost_runs(
    worker: _state.Worker, record: _records.WorkerRegistered
) -> list[decisions.LostRun]:
    placed = set(worker.tasks.values())
    return [
        decisions.LostRun(
            job=str(lost.job),
            task=str(lost.index),
            run=lost.attempt,
            age_seconds=lost.age_ms / _records.MS_PER_SECOND,
        )
        for lost in record.lost
        if (lost.job, lost.index, lost.attempt) in placed
    ]


def _add_worker_crash(
    shard: _state.Shard, number: int, at_ms: int, has_suspects: bool
) -> None:
    shard.recent_crashes = [
        crash
        for crash in shard.recent_crashes
        if abs(at_ms - crash.at_ms) <= OUTAGE_WINDOW_MS
    ]
    shard.recent_crashes.append(
        _state.WorkerCrash(number, at_ms, has_suspects)
    )


def _dismiss_outage(shard: _state.Shard, number: int, at_ms: int) -> None:
    """Blame no task if the worker was lost together with many others."""
    data_centre = shard.workers[number].data_centre
    crashes = [
        crash
        for crash in shard.recent_crashes
        if shard.workers[crash.worker].data_centre == data_centre
    ]
    without_suspects = sum(not crash.has_suspects for crash in crashes)
    if len(
        {crash.worker for crash in crashes}
    ) < MIN_OUTAGE_WORKERS or 2 * without_suspects <= len(crashes):
        return
    lost = {
        (str(shard.workers[crash.worker].worker_id), crash.at_ms)
        for crash in crashes
    }
    for job_number, tasks in tuple(shard.suspects.items()):
        if shard.jobs[job_number].phase is not _state.JobPhase.OPEN:
            continue
        for index, blamed in tuple(tasks.items()):
            tasks[index] = tuple(
                crash
                for crash in blamed
                if (crash.worker, crash.at_ms) not in lost
            )
            if not tasks[index]:
                dismiss(shard, job_number, index)


def _drop_settled(shard: _state.Shard) -> None:
    """Forget tasks that ended otherwise; those of failed jobs are evidence."""
    for job_number, tasks in tuple(shard.suspects.items()):
        job = shard.jobs[job_number]
        if job.phase is _state.JobPhase.FAILED:
            continue
        for index in tuple(tasks):
            if index not in job.requeued and index not in job.running:
                dismiss(shard, job_number, index)
