"""Define the state of a shard: plain data that snapshots contain."""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke import workloads

# A job counts its failed attempts on at most this many workers, and likewise
# its completed ones.
MAX_EVIDENCE_WORKERS = 8
NO_TASK_LIMIT = -1


class Attempt(msgspec.Struct, array_like=True):
    """Hold an attempt of a task that is placed on a worker."""

    number: int
    worker: int
    # Offset of the placement record in the stream.
    fencing_token: int
    size: resources.Resources
    revision: str
    failures: int = 0
    checkpoint: str = ''
    # Milliseconds of this attempt that the checkpoint covers.
    checkpointed_ms: int = 0
    # Cancelled, failed or retired: stop the attempt, do not requeue it.
    stop_requested: bool = False


class RequeuedTask(msgspec.Struct, array_like=True):
    """Hold a task that was placed before and waits for its next attempt."""

    last_attempt: int
    failures: int = 0
    checkpoint: str = ''


class Counts(msgspec.Struct, array_like=True):
    """Count a job's tasks and their resource use in this shard."""

    # Submitted here or transferred from another shard.
    tasks_added: int = 0
    tasks_transferred_out: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0
    attempts: int = 0
    evictions: int = 0
    # Attempts whose worker was given up or restarted; the run time they
    # lost is unknown.
    abandoned: int = 0
    # Milliseconds that ended attempts ran.
    ran_ms: int = 0
    # The part of ran_ms that no checkpoint covers.
    lost_ms: int = 0
    # Use of whole processors, MiB and accelerators times milliseconds.
    processor_ms: int = 0
    memory_mib_ms: int = 0
    accelerator_ms: int = 0


class JobPhase(enum.IntEnum):
    """List the phases of a job: open, or how its remaining tasks end."""

    OPEN = 0
    CANCELLED = 1
    FAILED = 2


class Job(msgspec.Struct, array_like=True):
    """Hold the part of a job that is in this shard."""

    job_id: identifiers.JobId
    spec: _records.JobSpec
    # Ranges [first, stop) of task indices that were never placed.
    fresh: list[tuple[int, int]]
    # Number of tasks at submission, to recognise a repeated submission.
    submitted: int = 0
    next_index: int = 0
    # By task index.
    requeued: dict[int, RequeuedTask] = {}
    running: dict[int, Attempt] = {}
    counts: Counts = msgspec.field(default_factory=Counts)
    phase: JobPhase = JobPhase.OPEN
    # Shards to which tasks of this job were transferred.
    handed_to: tuple[str, ...] = ()
    # Why the job cannot run now; empty if it can.
    infeasible_reason: str = ''
    # Failed and completed attempts by worker number.
    failed_on: dict[int, int] = {}
    completed_on: dict[int, int] = {}
    # Detail of a failed attempt, or why the whole job was failed.
    evidence: str = ''

    def count_fresh(self) -> int:
        """Return the number of tasks that were never placed."""
        return sum(stop - first for first, stop in self.fresh)

    def is_finished(self) -> bool:
        """Return whether no task is left to run."""
        return not (self.fresh or self.requeued or self.running)


class WorkerState(enum.IntEnum):
    """List the states of a worker; tasks are placed only on an UP one.

    Reports to operators contain the names of the members.
    """

    UP = 0
    GIVEN_UP = 1


class Worker(msgspec.Struct, array_like=True):
    """Hold a worker and the resources committed on it."""

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    address: str
    state: WorkerState = WorkerState.UP
    committed: resources.Resources = resources.NOTHING
    # Job, index and attempt number by task key.
    tasks: dict[str, tuple[int, int, int]] = {}
    task_limit: int = NO_TASK_LIMIT
    # Attempts that ended here since the task limit last changed.
    failed: int = 0
    completed: int = 0
    # Address at which another incarnation registered; empty for none.
    other_address: str = ''

    @property
    def free(self) -> resources.Resources:
        """Return the resources that are not committed."""
        return self.capacity - self.committed


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """Hold a transfer that the receiver may not have applied yet."""

    sequence: int
    content: _records.TransferContent


class WorkerCrash(msgspec.Struct, frozen=True, array_like=True):
    """Hold a recent crash of a worker."""

    # Number of the worker in the shard.
    worker: int
    # Wall-clock time, in milliseconds since 1970.
    at_ms: int
    # Whether young attempts were lost with it.
    has_suspects: bool


class Shard(msgspec.Struct, array_like=True):
    """Hold the state that results from a shard's stream."""

    name: str
    offset: int = 0
    epoch: int = 0
    owner: identifiers.Incarnation = identifiers.Incarnation('')
    # Offset of the current owner's claim.
    claim_offset: int = 0
    # Earlier epochs whose owners may still renew leases.
    unfenced: dict[int, identifiers.Incarnation] = {}
    # Version of the last configuration observed.
    version: int = 0
    out_of_service: tuple[identifiers.DataCentreName, ...] = ()
    limited_teams: tuple[identifiers.TeamName, ...] = ()
    minted_quotas: dict[identifiers.TeamName, resources.Resources] = {}
    # Quota received minus quota sent.
    transferred_quotas: dict[identifiers.TeamName, resources.Resources] = {}
    # Resources of running attempts.
    used: dict[identifiers.TeamName, resources.Resources] = {}
    # Latest request by sender and team.
    quota_requests: dict[str, _records.QuotaRequested] = {}
    jobs: dict[int, Job] = {}
    job_numbers: dict[identifiers.JobId, int] = {}
    next_job: int = 0
    workers: dict[int, Worker] = {}
    worker_numbers: dict[identifiers.WorkerId, int] = {}
    next_worker: int = 0
    # Unacknowledged transfers by receiver, in order of sequence.
    outbox: dict[str, list[Transfer]] = {}
    # Last sequence sent, by receiver, and received, by sender.
    sent_sequences: dict[str, int] = {}
    received_sequences: dict[str, int] = {}
    # Crashes of workers of which a task is suspected, by job and task index.
    suspects: dict[int, dict[int, tuple[workloads.Crash, ...]]] = {}
    recent_crashes: list[WorkerCrash] = []
    # Offsets of the last heartbeats of the owner.
    renewal_offsets: tuple[int, ...] = ()
    # The previous owner may not have recorded the crashes of attempts that it
    # placed from this offset on.
    unsettled_offset: int = 0


def format_task_key(job: int, index: int) -> str:
    """Return the key that identifies a task within its shard."""
    return f'{job}/{index}'


def get_quota_share(
    shard: Shard, team: identifiers.TeamName
) -> resources.Resources:
    """Return the part of a team's quota that the shard holds."""
    return shard.minted_quotas.get(
        team, resources.NOTHING
    ) + shard.transferred_quotas.get(team, resources.NOTHING)
