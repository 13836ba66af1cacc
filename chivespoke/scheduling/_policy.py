"""The interfaces between the task life cycle and the policies."""

import abc
import collections.abc
import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import workers


class Priority(enum.IntEnum):
    """Order work; the lower number goes first."""

    URGENT = 0
    NORMAL = 1


class TaskDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task as policies see it."""

    task_id: identifiers.TaskId
    kind: workers.TaskKind
    # The service's name, or the job's family: tasks that behave alike.
    family: str
    team: identifiers.TeamName
    # What is committed: the declaration, corrected by learning.
    size: resources.Resources
    priority: Priority = Priority.NORMAL
    # Empty means everywhere.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Seconds, as declared.
    run_time: float = 0.0
    checkpointing: bool = False


class PlacedTask(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task on a worker."""

    demand: TaskDemand
    attempt: identifiers.Attempt
    # Scheduler's monotonic seconds at which it was placed.
    placed_at: float
    throttled: bool = False
    # Seconds of work that an eviction now would lose.
    unsaved_seconds: float = 0.0


class WorkerView(msgspec.Struct, kw_only=True):
    """Show a worker and what is committed to it; policies only read it."""

    worker_id: identifiers.WorkerId
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    committed: resources.Resources = resources.NOTHING
    tasks: dict[identifiers.TaskId, PlacedTask] = msgspec.field(
        default_factory=dict
    )

    @property
    def free(self) -> resources.Resources:
        """Return what is not committed."""
        return self.capacity - self.committed


class PlacementPolicy(abc.ABC):
    """Choose where a task runs."""

    @abc.abstractmethod
    def choose_worker(
        self,
        demand: TaskDemand,
        candidates: collections.abc.Sequence[WorkerView],
    ) -> WorkerView | None:
        """Return one of the candidates, or None to wait.

        Every candidate is feasible: the task fits, and is allowed there.
        """


class GuardActionKind(enum.Enum):
    """Name what a guard may do to a batch task, mildest first."""

    THROTTLE = 'throttle'
    RELEASE = 'release'
    CHECKPOINT = 'checkpoint'
    EVICT = 'evict'


class GuardAction(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for one action on one task of a worker."""

    worker_id: identifiers.WorkerId
    task_id: identifiers.TaskId
    attempt: identifiers.Attempt
    kind: GuardActionKind
    reason: str


class GuardPolicy(abc.ABC):
    """Protect the services of a worker from its batch tasks."""

    @abc.abstractmethod
    def decide_actions(
        self, now: float, worker: WorkerView
    ) -> tuple[GuardAction, ...]:
        """Return what to do now; the caller carries it out or not."""


class ReportObserver(abc.ABC):
    """Learn from usage reports."""

    @abc.abstractmethod
    def observe_report(
        self, now: float, report: workers.UsageReport, worker: WorkerView
    ) -> None:
        """Take in one report; bad parts are refused and counted."""
