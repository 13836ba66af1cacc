"""Define the records of a shard's stream.

Records are encoded as arrays: an integer tag, then the fields in order.
"""

import enum
import typing

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import workers


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Specify the tasks of a job or the replicas of a service."""

    kind: workers.TaskKind
    # Groups tasks with similar behaviour; for a service, its name.
    family: str
    team: identifiers.TeamName
    size: resources.Resources
    # 0 is urgent, 1 is normal.
    priority: int = 1
    # Data centres in which the tasks may run; empty means all.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Declared run time of one task in seconds.
    run_time: float = 0.0
    # Seconds since the epoch; 0 means none.
    deadline: float = 0.0
    checkpointing: bool = False
    # Retries of each task after failed attempts.
    retries: int = 2
    payload: str = ''
    revision: str = '1'


MS_PER_SECOND = 1000
# Job number, task index and attempt number.
AttemptName = tuple[int, int, int]


class Outcome(enum.IntEnum):
    """List the ways in which an attempt can end."""

    COMPLETED = 0
    FAILED = 1
    EVICTED = 2
    # Refused by the worker before it ran; does not use up a retry.
    NOT_STARTED = 3


class LostAttempt(msgspec.Struct, frozen=True, array_like=True):
    """Hold an attempt that may have been at work when its worker crashed."""

    job: int
    index: int
    attempt: int
    # Time at work that the worker last confirmed.
    age_ms: int


class WorkerRegistered(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Add a worker, or replace its incarnation and requeue its tasks.

    Any process may add a new worker. Only the shard's owner may replace an
    incarnation, after the worker itself has reported the new one. If it did so
    at another address, the earlier one may still be at work.
    """

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    address: str
    epoch: int = 0
    # The incarnation that is replaced.
    previous: identifiers.Incarnation = identifiers.Incarnation('')
    # Wall-clock time at which the owner lost an earlier incarnation that had
    # answered it, in milliseconds since 1970; 0 if it had not.
    crashed_at_ms: int = 0
    # Attempts that the earlier incarnation may have started.
    lost: tuple[LostAttempt, ...] = ()


class WorkerGivenUp(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requeue the tasks of a worker that can no longer be running them.

    Its leases have expired, or operators declared its data centre dead.
    """

    worker: int
    # Must be the current epoch: only the owner knows when leases expire.
    epoch: int
    reason: str


class WorkerReadmitted(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Allow placements on a worker that was given up."""

    worker: int
    epoch: int


class JobSubmitted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Add a job with its number of tasks; a service starts with none."""

    job_id: identifiers.JobId
    spec: JobSpec
    tasks: int


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Cancel a job and stop its running attempts."""

    job: int


class AttemptPlaced(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Place one attempt of a task on a worker."""

    job: int
    index: int
    attempt: int
    worker: int
    # Version of the configuration that the placement is based on.
    version: int


class AttemptEnded(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """End an attempt with the outcome that its worker reported."""

    job: int
    index: int
    attempt: int
    outcome: Outcome
    # Milliseconds that the attempt ran.
    ran_ms: int = 0
    # The part of ran_ms that no checkpoint covers.
    lost_ms: int = 0
    checkpoint: str = ''
    detail: str = ''


class CheckpointSaved(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Store the latest checkpoint of a running attempt."""

    job: int
    index: int
    attempt: int
    checkpoint: str
    # Milliseconds of this attempt that the checkpoint covers.
    ran_ms: int


class OwnerClaimed(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Claim ownership of the shard; accepted only for the next epoch."""

    epoch: int
    owner: identifiers.Incarnation


class OwnerFenced(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Record that the owner of an epoch no longer renews leases."""

    epoch: int


class ConfigurationObserved(
    msgspec.Struct, frozen=True, array_like=True, tag=11
):
    """Copy the part of a configuration version that the shard needs."""

    version: int
    # Data centres that are out of service.
    out_of_service: tuple[identifiers.DataCentreName, ...]
    # Quotas, in the shard that mints them; empty in all other shards.
    quotas: dict[identifiers.TeamName, resources.Resources]
    # Teams whose use is limited by a quota.
    limited_teams: tuple[identifiers.TeamName, ...] = ()


class WorkerQuarantined(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Set how many tasks a worker may hold; negative means no limit."""

    worker: int
    task_limit: int
    reason: str = ''


class JobFeasibilityChanged(
    msgspec.Struct, frozen=True, array_like=True, tag=13
):
    """Set why a job cannot run now; an empty reason means that it can."""

    job: int
    reason: str


class JobFailed(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Fail the remaining tasks of a job, with the evidence for it."""

    job: int
    evidence: str


class ReplicasAdded(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Add replicas to a service, numbered from the first index."""

    job: int
    first: int
    count: int


class ReplicaRetired(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Retire one replica of a service."""

    job: int
    index: int


class JobRevised(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Change the specification of future replicas of a service."""

    job: int
    spec: JobSpec


class QuotaAmount(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Transfer a part of a team's quota."""

    team: identifiers.TeamName
    amount: resources.Resources


class TaskBatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Transfer tasks that the sending shard has never placed."""

    job_id: identifiers.JobId
    spec: JobSpec
    first: int
    count: int


class JobCancellation(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Cancel the tasks of a job that were transferred earlier."""

    job_id: identifiers.JobId


TransferContent = QuotaAmount | TaskBatch | JobCancellation


class TransferSent(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Remove quota or tasks from this shard to transfer them to another.

    Sequences count the transfers to each receiver from 1.
    """

    receiver: str
    sequence: int
    content: TransferContent


class TransferReceived(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Apply a transfer from another shard, once for each sequence."""

    sender: str
    sequence: int
    content: TransferContent


class TransferAcknowledged(
    msgspec.Struct, frozen=True, array_like=True, tag=20
):
    """Record that the receiver's stream contains the transfer."""

    receiver: str
    sequence: int


class OwnerRenewed(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Show that the owner of an epoch is alive and reads the stream."""

    epoch: int
    # Attempts of suspected tasks that the owner has seen survive at work.
    survived: tuple[AttemptName, ...] = ()


class WorkerAddressChanged(
    msgspec.Struct, frozen=True, array_like=True, tag=23
):
    """Change the address at which a worker is reached.

    The address of another incarnation is kept beside that of the present one.
    """

    worker_id: identifiers.WorkerId
    address: str
    # The incarnation that is reached there; empty for the present one.
    incarnation: identifiers.Incarnation = identifiers.Incarnation('')


class QuotaRequested(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Ask this shard for a part of a team's quota."""

    sender: str
    team: identifiers.TeamName
    amount: resources.Resources


Record = (
    WorkerRegistered
    | WorkerGivenUp
    | WorkerReadmitted
    | JobSubmitted
    | JobCancelled
    | AttemptPlaced
    | AttemptEnded
    | CheckpointSaved
    | OwnerClaimed
    | OwnerFenced
    | ConfigurationObserved
    | WorkerQuarantined
    | JobFeasibilityChanged
    | JobFailed
    | ReplicasAdded
    | ReplicaRetired
    | JobRevised
    | TransferSent
    | TransferReceived
    | TransferAcknowledged
    | QuotaRequested
    | OwnerRenewed
    | WorkerAddressChanged
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(
    typing.cast(type[Record], Record)
)


def encode_record(record: Record) -> bytes:
    """Encode a record as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> Record:
    """Decode a record; raise msgspec.DecodeError if it is malformed."""
    return _DECODER.decode(payload)
