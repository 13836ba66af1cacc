"""Messages between a scheduler and the platform's agent on a worker.

Times in messages are readings of the worker's own monotonic clock, in
seconds, so that no two machines' clocks are ever compared. Messages that
recur travel as arrays, without the names of their fields: a daemon has few
bytes a second.
"""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources


class TaskKind(enum.Enum):
    """Tell replicas of services from tasks of batch jobs."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report one task's use over the measured interval."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    use: resources.Resources
    # Share of the work that the task would do alone on the worker, for
    # batch tasks; 1.0 is undisturbed.
    progress: float | None = None
    # For replicas of services: requests a second, and milliseconds.
    request_rate: float | None = None
    latency_p99: float | None = None


class UsageReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report a worker's tasks over an interval; arrives with a lag."""

    worker_id: identifiers.WorkerId
    # Rises by one; a gap is a lost report.
    sequence: int
    measured_from: float
    measured_until: float
    tasks: tuple[TaskUsage, ...]


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """Introduce a worker."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    # The worker group: whose shard schedules the worker.
    group: str = 'default'
    # Base URL of the worker's agent.
    address: str = ''


class StartCommand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask a worker to start one attempt of a task."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    # The log offset of the placement: a lower one is stale.
    fencing_token: identifiers.Offset
    kind: TaskKind
    size: resources.Resources
    payload: str
    # Last reading of the worker's clock at which it may still start.
    permit_until: float
    # The sender's owner epoch of the shard: a lower one is stale.
    epoch: int = 0
    # Whose clock the permit was computed for; another one refuses.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')
    # Resume from this checkpoint; empty starts from the beginning.
    checkpoint: str = ''


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Extend the leases of all tasks of a worker in one message."""

    worker_id: identifiers.WorkerId
    # The sender's owner epoch of the shard: a lower one is stale.
    epoch: int
    # Reading of the worker's clock at which the leases lapse.
    lease_until: float
    # Whose clock the lease was computed for; another one takes no lease.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')
    # Terminal statuses that the log holds: the worker may drop them.
    acknowledged: tuple[
        tuple[identifiers.TaskId, identifiers.Attempt], ...
    ] = ()


class StopCommand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask a worker to stop an attempt, after a checkpoint if wanted."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    # The sender's owner epoch of the shard: a lower one is stale.
    epoch: int
    checkpoint: bool = False


class CheckpointCommand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Ask a worker to save an attempt's progress while it runs on."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    epoch: int


class ThrottleCommand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Ask a worker to slow an attempt down, or to release it."""

    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    epoch: int
    throttled: bool = True


class TaskPhase(enum.Enum):
    """Name the phases of an attempt on a worker."""

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
    # Seconds of work done by this attempt, and of them not in a checkpoint.
    ran_seconds: float = 0.0
    lost_seconds: float = 0.0
    detail: str = ''


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report a worker's clock, and every attempt that it knows of."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    clock: float
    statuses: tuple[TaskStatus, ...] = ()
    # The clock's reading until which the leases run, whoever renewed them.
    lease_until: float = float('-inf')
    # The last usage report, measured some time ago.
    report: UsageReport | None = None
