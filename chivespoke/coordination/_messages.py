"""Messages between the leader and the sidecars."""

import msgspec

from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """Identify one process lifetime of a worker and describe the worker."""

    # Name of the sidecar on its machine, which has one worker at a time.
    sidecar: str
    identifier: str
    born_ms: int
    service: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: workloads.Resources

    @property
    def key(self) -> str:
        """Return a unique key; an identifier alone may be reused."""
        return f'{self.sidecar}/{self.identifier}@{self.born_ms}'


def is_worker_of(key: str, sidecar: str) -> bool:
    """Return whether a key names a worker beside a sidecar."""
    return find_sidecar(key) == sidecar


def find_sidecar(key: str) -> str:
    """Return the sidecar beside the worker with a key."""
    return key.partition('/')[0]


def find_identifier(key: str) -> str:
    """Return the identifier of the worker with a key."""
    return key.partition('/')[2].rpartition('@')[0]


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Report the outcome of an order: accepted unless a refusal is given."""

    task: str
    run: int
    refusal: platform.Refusal | None = None


# Maximum number of suspects in the report of a crash.
MAX_SUSPECTS = 32


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """Report a run that had just started when its worker crashed."""

    task: str
    run: int
    # Time between the order to start and the last answer of the worker.
    age_ms: int
    # The worker has answered the order, or listed the run.
    begun: bool = True


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that a worker ended without notice and was replaced.

    The incarnation that replaced it has answered.
    """

    # Key of the incarnation that crashed.
    worker: str
    # Time since its last answer.
    silent_ms: int
    lost_runs: int
    # The youngest runs, up to MAX_SUSPECTS.
    suspects: tuple[SuspectRun, ...]


class UnansweredStart(msgspec.Struct, frozen=True, array_like=True):
    """Report a call to start a run that got no answer so far."""

    task: str
    run: int
    # Time since the last such call began, in milliseconds.
    age_ms: int
    # Further calls may follow.
    in_progress: bool


class RunPace(msgspec.Struct, frozen=True, array_like=True):
    """Report the pace of a run, in percent of full speed."""

    task: str
    run: int
    percent: int


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Report the state of a worker to the leader."""

    sidecar: str
    # Changes when the sidecar restarts and thereby loses its orders.
    sidecar_incarnation: str
    # Highest leader epoch that the sidecar has received.
    epoch: int
    incarnation: WorkerIncarnation | None
    draining: bool
    # The worker answered the sidecar's last poll.
    answering: bool
    # The leases of all runs have certainly expired.
    lapsed: bool
    # Reading of the worker's clock at the poll, in milliseconds.
    clock_ms: int
    running: tuple[platform.RunningTask, ...]
    ended: tuple[platform.EndedRun, ...]
    outcomes: tuple[OrderOutcome, ...]
    # Number of the last directive of this epoch that the session has applied.
    # What the report says of leases and outcomes does not cover later orders.
    applied: int = 0
    # Reading of the worker's clock, in milliseconds, at which the last of its
    # leases ends.
    lease_end_ms: int = 0
    # Identifies the sidecar's process and the worker's incarnation; empty from
    # a sidecar of a version that does not number directives.
    session: str = ''
    # Recent crashes of earlier incarnations of the worker.
    crashes: tuple[CrashReport, ...] = ()
    # Covers all orders up to the applied directive that this process of the
    # sidecar has received.
    unanswered: tuple[UnansweredStart, ...] = ()
    # Those of the listed fillers that are below full speed.
    paces: tuple[RunPace, ...] = ()
    # The worker's machine refused the last poll's connection: no process is
    # there to execute a call, until another incarnation begins.
    refuses_connections: bool = False
    # Fencing token of the session's calls.
    fence: int = 0
    # Clock and leases are those of a later incarnation, which has answered a
    # call but no poll of its own session. No leader has allowed its leases.
    has_successor: bool = False

    @property
    def covered(self) -> int | None:
        """Return the last directive that the report covers, None for all."""
        return self.applied if self.session else None


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order the start of a run, with the details that pacing needs."""

    task: str
    run: int
    payload: str
    checkpoint: str
    image: str
    target_latency_ms: int
    filler: bool
    # The order was sent before and may still take effect.
    repeated: bool
    # The advisor's permission; empty if none is needed.
    ticket: str = ''
    # Requested processor time, in thousandths of a core; 0 from a leader of a
    # version that does not say.
    cpu_millis: int = 0


class AdoptedRun(msgspec.Struct, frozen=True, array_like=True):
    """Describe a run that the worker has already, for pacing."""

    task: str
    run: int
    image: str
    target_latency_ms: int
    filler: bool
    # As in StartOrder.
    cpu_millis: int = 0


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order the stop of a run."""

    task: str
    run: int


class JobStanding(msgspec.Struct, frozen=True, array_like=True):
    """Name a job that is not served in time while there is too little room."""

    job: str
    standing: decisions.Standing


class Directive(msgspec.Struct, frozen=True, array_like=True):
    """Renew the lease of a sidecar's worker and give it orders."""

    epoch: int
    # Key of the worker incarnation; empty before the leader knows it.
    incarnation: str
    # Reading of the worker's clock, in milliseconds, beyond which no lease may
    # extend.
    lease_until_ms: int
    # Run ends up to this number are stored.
    acknowledged: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    # Effect of the fillers on the tail latency of the worker's serving tasks.
    interference: tuple[decisions.InterferenceCoefficient, ...] = ()
    adopted: tuple[AdoptedRun, ...] = ()
    # Counts the directives of an epoch to a worker.
    number: int = 0
    # Session of the sidecar that the fencing token is for.
    session: str = ''
    fence: int = 0
    # What all runs assigned to the worker reserve, the starts included; None
    # from a leader of a version that does not say.
    reserved: workloads.Resources | None = None
    # Jobs of the worker's fillers that are not to be in time.
    standings: tuple[JobStanding, ...] = ()
    # The session may raise its token to any below this one; 0 from a leader of
    # a version that allows none.
    fence_end: int = 0
    # Reading of the worker's clock, in milliseconds, beyond which no leader
    # has allowed a lease so far; 0 if the leader does not know.
    granted_until_ms: int = 0


REPORT_DECODER = msgspec.msgpack.Decoder(Report)
DIRECTIVE_DECODER = msgspec.msgpack.Decoder(Directive)
ENCODER = msgspec.msgpack.Encoder()
