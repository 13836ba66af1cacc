"""Messages between a scheduler and the platform's agent on a worker.

Times in messages are readings of the worker's own monotonic clock, in
seconds, so that clocks of different machines are never compared. Frequent
messages are encoded as arrays, without field names, because a daemon has
only a small network bandwidth budget.
"""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources


class TaskKind(enum.Enum):
    """Distinguish replicas of services from tasks of batch jobs."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report the resource usage of one task over the measured interval."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    use: resources.Resources
    # For batch tasks: work done, as a share of the work that the task would
    # do alone on the worker; 1.0 means no interference.
    progress: float | None = None
    # For replicas of services: requests per second, and milliseconds.
    request_rate: float | None = None
    latency_p99: float | None = None


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report the usage of a worker's tasks over a past interval."""

    worker_id: identifiers.WorkerId
    # Rises by one with each report; a gap means that a report was lost.
    sequence: int
    measured_from: float
    measured_until: float
    tasks: tuple[TaskUsage, ...]


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """Register a worker."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    # Worker group; its shard schedules the worker.
    group: str = 'default'
    # Base URL of the worker's agent.
    address: str = ''


class StartCommand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask a worker to start one attempt of a task."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    # Log offset of the placement; a command with a lower one is stale.
    fencing_token: identifiers.Offset
    kind: TaskKind
    size: resources.Resources
    payload: str
    # Latest reading of the worker's clock at which the task may start.
    permit_until: float
    # Owner epoch of the shard at the sender; a lower one is stale.
    epoch: int = 0
    # Incarnation of the worker for whose clock the permit was computed; any
    # other incarnation refuses the command.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')
    # Checkpoint to resume from; empty to start from the beginning.
    checkpoint: str = ''


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Extend the leases of all tasks of a worker in one message."""

    worker_id: identifiers.WorkerId
    # Owner epoch of the shard at the sender; a lower one is stale.
    epoch: int
    # Reading of the worker's clock at which the leases expire.
    lease_until: float
    # Incarnation of the worker for whose clock the lease was computed; any
    # other incarnation ignores the lease.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')
    # Attempts whose terminal status is in the log; the worker may forget them.
    acknowledged: tuple[
        tuple[identifiers.TaskId, identifiers.Attempt], ...
    ] = ()


class StopCommand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask a worker to stop an attempt, optionally after a checkpoint."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    # Owner epoch of the shard at the sender; a lower one is stale.
    epoch: int
    checkpoint: bool = False
    # Incarnation on which the attempt was placed; any other one refuses the
    # command, as it cannot tell how the attempt ended.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')


class CheckpointCommand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Ask a worker to checkpoint an attempt that continues to run."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    epoch: int
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')


class ThrottleCommand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Ask a worker to throttle an attempt, or to end its throttling."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    epoch: int
    throttled: bool = True
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')


class TaskPhase(enum.Enum):
    """List the phases of an attempt on a worker."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    STOPPED = 'stopped'
    COMPLETED = 'completed'
    FAILED = 'failed'
    NOT_STARTED = 'not-started'


class TaskStatus(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report the phase of one attempt; terminal phases are final."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    phase: TaskPhase
    checkpoint: str = ''
    # Seconds of work that this attempt has done, and how many of them no
    # checkpoint covers.
    ran_seconds: float = 0.0
    lost_seconds: float = 0.0
    detail: str = ''


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report a worker's clock, and the status of every known attempt."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    clock: float
    statuses: tuple[TaskStatus, ...] = ()
    # Reading of the worker's clock at which the leases expire, no matter which
    # scheduler renewed them.
    lease_until: float = float('-inf')
    # The latest usage report; its interval ended some time ago.
    report: UsageReport | None = None
    # Set if the renewal names another incarnation, of which the scheduler
    # knows the place and the capacity instead.
    registration: Registration | None = None
