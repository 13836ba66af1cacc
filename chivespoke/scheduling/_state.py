"""The state of a shard: plain data that a snapshot holds whole."""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records

# Workers that a job failed on, kept as its evidence.
EVIDENCE_LIMIT = 8
UNBOUNDED = -1


class Attempt(msgspec.Struct, array_like=True):
    """Hold a task's attempt that is committed to a worker."""

    number: int
    worker: int
    # The offset of the placement: the fencing token.
    token: int
    size: resources.Resources
    revision: str
    failures: int = 0
    checkpoint: str = ''
    # Milliseconds of this attempt that the checkpoint holds.
    saved: int = 0
    # Cancelled or retired: to be stopped, and not placed again.
    unwanted: bool = False


class Waiting(msgspec.Struct, array_like=True):
    """Hold a task that was placed before and waits to be again."""

    last_attempt: int
    failures: int = 0
    checkpoint: str = ''


class Counts(msgspec.Struct, array_like=True):
    """Count what became of a job's tasks in this shard."""

    # Submitted here, or handed in.
    entered: int = 0
    handed_out: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0
    attempts: int = 0
    evictions: int = 0
    # Attempts whose worker was given up; what they lost is unknown.
    abandoned: int = 0
    # Milliseconds; resource seconds are thousandths as well.
    ran: int = 0
    lost: int = 0
    processor: int = 0
    memory: int = 0
    accelerator: int = 0


class Closing(enum.IntEnum):
    """Say what becomes of the tasks that are left."""

    OPEN = 0
    CANCELLED = 1
    FAILED = 2


class Job(msgspec.Struct, array_like=True):
    """Hold a job's part in this shard."""

    job_id: identifiers.JobId
    spec: _records.JobSpec
    # Ranges [first, beyond) of tasks that were never placed.
    fresh: list[tuple[int, int]]
    # As declared on submission, to know the same one again.
    submitted: int = 0
    next_index: int = 0
    waiting: dict[int, Waiting] = {}
    running: dict[int, Attempt] = {}
    counts: Counts = msgspec.field(default_factory=Counts)
    closing: Closing = Closing.OPEN
    # Shards that hold tasks of this job, moved from here.
    handed_to: tuple[str, ...] = ()
    # Why it cannot run now; empty when it can.
    flag: str = ''
    # Failures by worker, and the last words of one.
    failed_on: dict[int, int] = {}
    completed_on: dict[int, int] = {}
    evidence: str = ''

    def count_fresh(self) -> int:
        """Return how many tasks were never placed."""
        return sum(beyond - first for first, beyond in self.fresh)

    def is_finished(self) -> bool:
        """Tell whether no task is left to run."""
        return not (self.fresh or self.waiting or self.running)


class WorkerState(enum.IntEnum):
    """Say whether a worker may hold tasks."""

    UP = 0
    GIVEN_UP = 1


class Worker(msgspec.Struct, array_like=True):
    """Hold a worker and what is committed to it."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    address: str
    state: WorkerState = WorkerState.UP
    committed: resources.Resources = resources.NOTHING
    # Job, index and attempt of what is committed, by job and index.
    tasks: dict[str, tuple[int, int, int]] = {}
    task_limit: int = UNBOUNDED
    # Attempts that failed and completed here since the last quarantine.
    failed: int = 0
    completed: int = 0

    @property
    def free(self) -> resources.Resources:
        """Return what is not committed."""
        return self.capacity - self.committed


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """Hold a transfer that the receiver may not have yet."""

    sequence: int
    content: _records.Content


class Shard(msgspec.Struct, array_like=True):
    """Hold everything that a shard's stream has decided."""

    name: str
    offset: int = 0
    epoch: int = 0
    owner: identifiers.Incarnation = identifiers.Incarnation('')
    # The offset of the claim.
    claimed_at: int = 0
    # Earlier epochs whose owner may still renew leases.
    unfenced: dict[int, identifiers.Incarnation] = {}
    version: int = 0
    out: tuple[identifiers.DataCentreName, ...] = ()
    bounded: tuple[identifiers.TeamName, ...] = ()
    minted: dict[identifiers.TeamName, resources.Resources] = {}
    # Net of the transfers in and out.
    moved: dict[identifiers.TeamName, resources.Resources] = {}
    used: dict[identifiers.TeamName, resources.Resources] = {}
    requests: dict[str, _records.QuotaRequested] = {}
    jobs: dict[int, Job] = {}
    job_numbers: dict[identifiers.JobId, int] = {}
    next_job: int = 0
    workers: dict[int, Worker] = {}
    worker_numbers: dict[identifiers.WorkerId, int] = {}
    next_worker: int = 0
    # By receiver, in order.
    outbox: dict[str, list[Transfer]] = {}
    sent: dict[str, int] = {}
    received: dict[str, int] = {}


def format_task(job: int, index: int) -> str:
    """Return the key of a task within its shard."""
    return f'{job}/{index}'


def get_balance(
    shard: Shard, team: identifiers.TeamName
) -> resources.Resources:
    """Return the shard's share of a team's quota."""
    return shard.minted.get(team, resources.NOTHING) + shard.moved.get(
        team, resources.NOTHING
    )
