"""What operators and users send and get about jobs and workers."""

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
TASKS_LIMIT = 1_000_000


class JobRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Declare one job."""

    id: Name
    tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=TASKS_LIMIT)] = 1
    team: Name
    # Jobs of one family behave alike; the team's jobs if not given.
    family: str = ''
    # Thousandths of a processor, mebibytes and accelerators of one task.
    size: resources.Resources = resources.Resources(1000, 1024, 0)
    priority: typing.Literal['urgent', 'normal'] = 'normal'
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Seconds that a task runs undisturbed.
    run_time: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Seconds since the epoch by which it should be done; 0 means none.
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
    """Tell what became of one submission or cancellation."""

    id: identifiers.JobId
    accepted: bool
    reason: str = ''


class JobReport(msgspec.Struct, frozen=True, kw_only=True):
    """Show a job and its exact counts, over all shards."""

    id: identifiers.JobId
    team: identifiers.TeamName
    state: str
    reason: str
    waiting: int
    running: int
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


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Show a worker and what is committed to it."""

    id: identifiers.WorkerId
    shard: str
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    state: str
    capacity: resources.Resources
    committed: resources.Resources
    tasks: int
    task_limit: int


MILLISECONDS = 1000


def make_spec(request: JobRequest) -> _records.JobSpec:
    """Return the spec that a request declares."""
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


def make_report(parts: list[_state.Job]) -> JobReport:
    """Sum a job's parts over the shards that hold some of it."""
    first = parts[0]
    counts = [part.counts for part in parts]
    waiting = sum(part.count_fresh() + len(part.requeued) for part in parts)
    running = sum(len(part.running) for part in parts)
    return JobReport(
        id=first.job_id,
        team=first.spec.team,
        state=_name_state(parts, waiting, running),
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
        running=running,
        completed=sum(count.completed for count in counts),
        failed=sum(count.failed for count in counts),
        cancelled=sum(count.cancelled for count in counts),
        submitted=sum(
            count.tasks_added - count.tasks_transferred_out for count in counts
        ),
        attempts=sum(count.attempts for count in counts),
        evictions=sum(count.evictions for count in counts),
        abandoned=sum(count.abandoned for count in counts),
        lost_seconds=sum(count.lost_ms for count in counts) / MILLISECONDS,
        run_seconds=sum(count.ran_ms for count in counts) / MILLISECONDS,
        processor_seconds=sum(count.processor_ms for count in counts)
        / MILLISECONDS,
        memory_mib_seconds=sum(count.memory_mib_ms for count in counts)
        / MILLISECONDS,
        accelerator_seconds=sum(count.accelerator_ms for count in counts)
        / MILLISECONDS,
    )


def _name_state(parts: list[_state.Job], waiting: int, running: int) -> str:
    phase = max(part.phase for part in parts)
    if waiting or running:
        if phase is not _state.JobPhase.OPEN:
            return 'stopping'
        if not running and any(part.infeasible_reason for part in parts):
            return 'impossible'
        return 'running' if running else 'waiting'
    if phase is _state.JobPhase.CANCELLED:
        return 'cancelled'
    if any(part.counts.failed for part in parts):
        return 'failed'
    return 'completed'
