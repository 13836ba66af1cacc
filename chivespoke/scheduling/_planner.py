"""The interface of planners.

Each planner of a shard runs about once a second and proposes records.
"""

import abc

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _context
from chivespoke.scheduling import _link
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


class PlanContext(_context.LinkContext):
    """Provide the shard, its configuration and its worker links."""

    @property
    @abc.abstractmethod
    def document(self) -> operators.Document:
        """Return the configuration in force."""

    @property
    @abc.abstractmethod
    def links(self) -> dict[int, _link.WorkerLink]:
        """Return the links to workers, by worker number."""

    @property
    @abc.abstractmethod
    def blocked_jobs(self) -> set[int]:
        """Return the numbers of jobs that the last batch could not place."""

    @abc.abstractmethod
    def set_usage_caps(
        self, usage_caps: dict[identifiers.TeamName, resources.Resources]
    ) -> None:
        """Limit what the tasks of each team use in this shard."""

    @abc.abstractmethod
    def has_feasible_worker(self, job: int) -> bool:
        """Return whether a worker now has room for a task of the job."""


class Planner(abc.ABC):
    """Reconcile one aspect of a shard with its desired state."""

    @abc.abstractmethod
    def plan(self, now: float, context: PlanContext) -> list[_records.Record]:
        """Return records to propose; queue commands on worker links."""


def queue_guard_action(
    shard: _state.Shard, link: _link.WorkerLink, action: _policy.GuardAction
) -> None:
    """Queue an action of a guard policy as a command on a link.

    Ignore it when the shard does not know the job.
    """
    job_id, _, index = action.task_id.rpartition('/')
    job_number = shard.job_numbers.get(identifiers.JobId(job_id))
    if job_number is None:
        return
    key = (job_number, int(index), int(action.attempt))
    match action.kind:
        case _policy.GuardActionKind.THROTTLE:
            link.pending_throttles[key] = True
        case _policy.GuardActionKind.RELEASE:
            link.pending_throttles[key] = False
        case _policy.GuardActionKind.CHECKPOINT:
            link.pending_checkpoints.add(key)
        case _policy.GuardActionKind.EVICT:
            save = shard.jobs[job_number].spec.checkpointing
            link.pending_evictions[key] = save
