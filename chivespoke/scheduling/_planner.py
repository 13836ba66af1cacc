"""What plans have in common: each proposes records once a second."""

import abc

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _context
from chivespoke.scheduling import _link
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


class PlanContext(_context.Owner):
    """Show planners what the owner of a shard knows."""

    @property
    @abc.abstractmethod
    def document(self) -> operators.Document:
        """Return the configuration's document."""

    @property
    @abc.abstractmethod
    def links(self) -> dict[int, _link.WorkerLink]:
        """Return the links of the workers by number."""

    @property
    @abc.abstractmethod
    def blocked(self) -> set[int]:
        """Return the jobs that found no room in the last batch."""

    @abc.abstractmethod
    def cap_quotas(
        self, caps: dict[identifiers.TeamName, resources.Resources]
    ) -> None:
        """Keep this shard's own placements within some amounts."""

    @abc.abstractmethod
    def has_room(self, job: int) -> bool:
        """Tell whether a task of a job could be placed now."""


class Planner(abc.ABC):
    """Plan one concern of a shard."""

    @abc.abstractmethod
    def plan(self, now: float, owner: PlanContext) -> list[_records.Record]:
        """Return proposals; command workers through their links."""


def carry_out(
    shard: _state.Shard, link: _link.WorkerLink, action: _policy.GuardAction
) -> None:
    """Queue a guard's action on a worker's link."""
    job_id, _, index = action.task_id.rpartition('/')
    number = shard.job_numbers.get(identifiers.JobId(job_id))
    if number is None:
        return
    key = (number, int(index), int(action.attempt))
    match action.kind:
        case _policy.GuardActionKind.THROTTLE:
            link.pending_throttles[key] = True
        case _policy.GuardActionKind.RELEASE:
            link.pending_throttles[key] = False
        case _policy.GuardActionKind.CHECKPOINT:
            link.pending_checkpoints.add(key)
        case _policy.GuardActionKind.EVICT:
            save = shard.jobs[number].spec.checkpointing
            link.pending_evictions[key] = save
