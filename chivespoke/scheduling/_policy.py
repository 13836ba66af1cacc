"""The interfaces of placement and guard policies, and their inputs."""

import abc
import collections.abc
import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import workers


class Priority(enum.IntEnum):
    """Rank jobs for placement; lower numbers go first."""

    URGENT = 0
    NORMAL = 1


class TaskDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task to the policies."""

    task_id: identifiers.TaskId
    kind: workers.TaskKind
    # Service name or job family. Tasks of one family are expected to have
    # similar run times and resource usage.
    family: str
    team: identifiers.TeamName
    # Resources to commit: the declared size, or one that learned usage
    # corrected.
    size: resources.Resources
    priority: Priority = Priority.NORMAL
    # Allowed data centres; empty allows all.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Declared run time in seconds; 0 means unknown.
    run_time: float = 0.0
    checkpointing: bool = False


class PlacedTask(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task that is placed on a worker."""

    demand: TaskDemand
    attempt: identifiers.Attempt
    # Time of the placement, in seconds of the scheduler's monotonic clock.
    placed_at: float
    throttled: bool = False
    # Seconds of work since the last checkpoint, which an eviction would
    # lose.
    unsaved_seconds: float = 0.0


class WorkerView(msgspec.Struct, kw_only=True):
    """Describe a worker and its tasks; policies must not change it."""

    worker_id: identifiers.WorkerId
    # The worker's clock and its numbers of reports belong to it.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    committed: resources.Resources = resources.NOTHING
    tasks: dict[identifiers.TaskId, PlacedTask] = msgspec.field(
        default_factory=dict
    )

    @property
    def free(self) -> resources.Resources:
        """Return the resources that are not committed."""
        return self.capacity - self.committed


class PlacementPolicy(abc.ABC):
    """Choose the worker for a task."""

    @abc.abstractmethod
    def choose_worker(
        self,
        demand: TaskDemand,
        candidates: collections.abc.Sequence[WorkerView],
    ) -> WorkerView | None:
        """Return one of the candidates, or None to leave the task pending.

        Every candidate is feasible: the task fits and may run there.
        """


class GuardActionKind(enum.Enum):
    """List the actions of a guard on a batch task.

    From mild to severe: throttle, checkpoint, evict. RELEASE ends a throttle.
    """

    THROTTLE = 'throttle'
    RELEASE = 'release'
    CHECKPOINT = 'checkpoint'
    EVICT = 'evict'


class GuardAction(msgspec.Struct, frozen=True, kw_only=True):
    """Request an action on one task of a worker."""

    worker_id: identifiers.WorkerId
    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    kind: GuardActionKind
    reason: str


class GuardPolicy(abc.ABC):
    """Protect the services on a worker from interference by batch tasks."""

    @abc.abstractmethod
    def decide_actions(
        self, now: float, worker: WorkerView
    ) -> tuple[GuardAction, ...]:
        """Return the actions to take now; the caller may skip some."""


class ReportObserver(abc.ABC):
    """Learn resource usage and interference from usage reports."""

    @abc.abstractmethod
    def observe_report(
        self, now: float, report: workers.UsageReport, worker: WorkerView
    ) -> None:
        """Learn from a report; reject and count its invalid parts."""
