"""Records of a shard's stream: compact tagged arrays."""

import enum
import typing

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import workers


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Declare the tasks of a job, or the replicas of a service."""

    kind: workers.TaskKind
    # Tasks of one family behave alike; of a service, its name.
    family: str
    team: identifiers.TeamName
    size: resources.Resources
    # 0 is urgent, 1 is normal.
    priority: int = 1
    # Empty means everywhere.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Seconds, as declared.
    run_time: float = 0.0
    # Seconds since the epoch; 0 means none.
    deadline: float = 0.0
    checkpointing: bool = False
    # Failed attempts that are tried again, for each task.
    retries: int = 2
    payload: str = ''
    revision: str = '1'


class Outcome(enum.IntEnum):
    """Name the ways in which an attempt ends."""

    COMPLETED = 0
    FAILED = 1
    EVICTED = 2
    # Refused by the worker before it ran; costs no retry.
    NOT_STARTED = 3


class WorkerRegistered(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Add a worker, or its next incarnation, which ends the last's tasks.

    Anyone may add a new worker. Only the owner, who has heard the worker
    itself say so, may replace an incarnation.
    """

    worker_id: identifiers.WorkerId
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    rack: identifiers.RackName
    capacity: resources.Resources
    address: str
    epoch: int = 0
    # The incarnation that has ended.
    previous: identifiers.Incarnation = identifiers.Incarnation('')


class WorkerGivenUp(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Free the tasks of a worker whose leases have provably lapsed."""

    worker: int
    # The owner's epoch: only the owner knows when leases lapsed.
    epoch: int
    reason: str


class WorkerReturned(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Let a worker that was given up take work again."""

    worker: int
    epoch: int


class JobSubmitted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Add a job of many tasks; a service starts with none."""

    job_id: identifiers.JobId
    spec: JobSpec
    tasks: int


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Cancel a job; running attempts are stopped."""

    job: int


class Placed(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Commit one attempt of a task to a worker."""

    job: int
    index: int
    attempt: int
    worker: int
    # The configuration that the proposer had proven.
    version: int


class AttemptEnded(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """End an attempt, as its worker confirmed."""

    job: int
    index: int
    attempt: int
    outcome: Outcome
    # Milliseconds that the attempt ran, and of them not in a checkpoint.
    ran: int = 0
    lost: int = 0
    checkpoint: str = ''
    detail: str = ''


class CheckpointSaved(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Keep the last checkpoint of a running attempt."""

    job: int
    index: int
    attempt: int
    checkpoint: str
    # Milliseconds of this attempt that the checkpoint holds.
    ran: int


class OwnerClaimed(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Take the shard over; admitted for the next epoch only."""

    epoch: int
    owner: identifiers.Incarnation


class OwnerFenced(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Say that the owner of an epoch renews no lease any more."""

    epoch: int


class ConfigurationObserved(
    msgspec.Struct, frozen=True, array_like=True, tag=11
):
    """Copy what the shard needs of a configuration's version."""

    version: int
    out: tuple[identifiers.DataCentreName, ...]
    # The quotas that this shard mints; empty but in the quota's home.
    quotas: dict[identifiers.TeamName, resources.Resources]
    # Whether teams are bound by quotas at all.
    bounded: tuple[identifiers.TeamName, ...] = ()


class WorkerQuarantined(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Set how many tasks a worker may hold; negative means no bound."""

    worker: int
    task_limit: int
    reason: str = ''


class JobFlagged(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Say why a job cannot run now; an empty reason takes it up again."""

    job: int
    reason: str


class JobFailed(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Fail the rest of a job on its evidence."""

    job: int
    evidence: str


class ReplicasAdded(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Add replicas to a service, from a first index on."""

    job: int
    first: int
    count: int


class ReplicaRetired(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Retire one replica of a service."""

    job: int
    index: int


class JobRevised(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Change what the next replicas of a service look like."""

    job: int
    spec: JobSpec


class QuotaAmount(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Move a share of a team's quota."""

    team: identifiers.TeamName
    amount: resources.Resources


class TaskBatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Move tasks that were never placed in the giving shard."""

    job_id: identifiers.JobId
    spec: JobSpec
    first: int
    count: int


class CancelOrder(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Cancel the tasks of a job that were moved before."""

    job_id: identifiers.JobId


Content = QuotaAmount | TaskBatch | CancelOrder


class TransferSent(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Take something out of this shard for another."""

    to: str
    sequence: int
    content: Content


class TransferReceived(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Put in what another shard has sent, once for each sequence."""

    sender: str
    sequence: int
    content: Content


class TransferSettled(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Say that the receiver's stream holds the transfer."""

    to: str
    sequence: int


class OwnerRenewed(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Show that the owner of an epoch lives and reads the stream."""

    epoch: int


class WorkerMoved(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Change the address at which a worker is asked."""

    worker_id: identifiers.WorkerId
    address: str


class QuotaRequested(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Ask this shard for a share of a team's quota."""

    sender: str
    team: identifiers.TeamName
    amount: resources.Resources


Record = (
    WorkerRegistered
    | WorkerGivenUp
    | WorkerReturned
    | JobSubmitted
    | JobCancelled
    | Placed
    | AttemptEnded
    | CheckpointSaved
    | OwnerClaimed
    | OwnerFenced
    | ConfigurationObserved
    | WorkerQuarantined
    | JobFlagged
    | JobFailed
    | ReplicasAdded
    | ReplicaRetired
    | JobRevised
    | TransferSent
    | TransferReceived
    | TransferSettled
    | QuotaRequested
    | OwnerRenewed
    | WorkerMoved
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(
    typing.cast(type[Record], Record)
)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> Record:
    """Return the record of its bytes; raise msgspec.DecodeError."""
    return _DECODER.decode(payload)
