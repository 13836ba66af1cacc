"""The HTTP requests and responses about jobs and workers."""

import typing

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

Name = typing.Annotated[
    str, msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$')
]
MAX_TASKS_PER_JOB = 1_000_000


class JobRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Declare one job."""

    id: Name
    tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)] = 1
    team: Name
    # Jobs of one family have similar run times and resource usage. The
    # default is the name of the team.
    family: str = ''
    # Millicores, memory in MiB and accelerators for each task.
    size: resources.Resources = resources.Resources(1000, 1024, 0)
    priority: typing.Literal['urgent', 'normal'] = 'normal'
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Expected run time of a task in seconds, without interference; 0 means
    # unknown.
    run_time: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Time by which the job should complete, in seconds since the epoch; 0
    # means none.
    deadline: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    checkpointing: bool = False
    retries: typing.Annotated[int, msgspec.Meta(ge=0, le=100)] = 2
    payload: str = ''


class JobsRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare many jobs in one submission."""

    jobs: tuple[JobRequest, ...]


class CancelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cancel many jobs at once."""

    jobs: tuple[identifiers.JobId, ...]


class JobAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether a submission or cancellation was accepted."""

    id: identifiers.JobId
    accepted: bool
    reason: str = ''


class JobReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the state and counts of a job over all shards.

    Submitted, completed, failed and cancelled count tasks; attempts,
    evictions and abandoned count attempts.
    """

    id: identifiers.JobId
    team: identifiers.TeamName
    state: str
    reason: str
    waiting: int
    # Tasks that a worker holds or has yet to start; shards store no starts.
    placed: int
    completed: int
    failed: int
    cancelled: int
    submitted: int
    attempts: int
    evictions: int
    abandoned: int
    lost_seconds: float
    run_seconds: float
    processor_seconds: float
    memory_mib_seconds: float
    accelerator_seconds: float
    # Crashes of workers of which tasks of the job are suspected now, or for
    # which it was given up.
    crashed_workers: int = 0


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the state of a worker and its committed resources."""

    id: identifiers.WorkerId
    shard: str
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    state: str
    capacity: resources.Resources
    committed: resources.Resources
    tasks: int
    task_limit: int


MS_PER_SECOND = 1000


def make_spec(request: JobRequest) -> _records.JobSpec:
    """Return the job spec of a request."""
    return _records.JobSpec(
        kind=workers.TaskKind.BATCH,
        family=request.family or request.team,
        team=identifiers.TeamName(request.team),
        size=request.size,
        priority=0 if request.priority == 'urgent' else 1,
        data_centres=request.data_centres,
        run_time=request.run_time,
        deadline=request.deadline,
        checkpointing=request.checkpointing,
        retries=request.retries,
        payload=request.payload,
    )


def make_report(
    parts: list[_state.Job], crashed_workers: int = 0
) -> JobReport:
    """Return the report of a job from its parts in the shards."""
    first_part = parts[0]
    counts = [part.counts for part in parts]
    waiting = sum(part.count_fresh() + len(part.requeued) for part in parts)
    placed = sum(len(part.running) for part in parts)
    return JobReport(
        id=first_part.job_id,
        team=first_part.spec.team,
        state=_describe_state(parts, waiting, placed),
        reason=next(
            (
                part.infeasible_reason or part.evidence
                for part in parts
                if part.infeasible_reason
            ),
            '',
        )
        or next((part.evidence for part in parts if part.evidence), ''),
        waiting=waiting,
        placed=placed,
        completed=sum(count.completed for count in counts),
        failed=sum(count.failed for count in counts),
        cancelled=sum(count.cancelled for count in counts),
        submitted=sum(
            count.tasks_added - count.tasks_transferred_out for count in counts
        ),
        attempts=sum(count.attempts for count in counts),
        evictions=sum(count.evictions for count in counts),
        abandoned=sum(count.abandoned for count in counts),
        lost_seconds=sum(count.lost_ms for count in counts) / MS_PER_SECOND,
        run_seconds=sum(count.ran_ms for count in counts) / MS_PER_SECOND,
        processor_seconds=sum(count.processor_ms for count in counts)
        / MS_PER_SECOND,
        memory_mib_seconds=sum(count.memory_mib_ms for count in counts)
        / MS_PER_SECOND,
        accelerator_seconds=sum(count.accelerator_ms for count in counts)
        / MS_PER_SECOND,
        crashed_workers=crashed_workers,
    )


def _describe_state(parts: list[_state.Job], waiting: int, placed: int) -> str:
    phase = max(part.phase for part in parts)
    if waiting or placed:
        if phase is not _state.JobPhase.OPEN:
            return 'stopping'
        if not placed and any(part.infeasible_reason for part in parts):
            return 'impossible'
        return 'placed' if placed else 'waiting'
    if phase is _state.JobPhase.CANCELLED:
        return 'cancelled'
    if any(part.counts.failed for part in parts):
        return 'failed'
    return 'completed'
