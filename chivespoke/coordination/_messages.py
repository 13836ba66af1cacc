"""Messages between the leader and the sidecars."""

import msgspec

from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """Describe one life of a worker."""

    # The sidecar of its machine, which has one worker at a time.
    sidecar: str
    identifier: str
    born_ms: int
    service: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: workloads.Room

    @property
    def key(self) -> str:
        """Return the name of this life; an identifier may be used again."""
        return f'{self.sidecar}/{self.identifier}@{self.born_ms}'


def is_earlier_incarnation(key: str, incarnation: WorkerIncarnation) -> bool:
    """Tell whether a name is that of an earlier life on the same machine."""
    sidecar, _, rest = key.partition('/')
    _, _, born = rest.rpartition('@')
    return (
        sidecar == incarnation.sidecar
        and born.isdecimal()
        and int(born) < incarnation.born_ms
    )


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Report what came of an order; no refusal means it was taken."""

    task: str
    run: int
    refusal: platform.Refusal | None = None


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Tell the leader what a worker runs."""

    sidecar: str
    # A sidecar that restarts has forgotten its orders.
    sidecar_incarnation: str
    # The highest epoch of a leader that the sidecar has heard of.
    epoch: int
    incarnation: WorkerIncarnation | None
    draining: bool
    # The worker answered its last look.
    answering: bool
    # The leases of all runs have surely lapsed.
    lapsed: bool
    # The worker's clock at the look, in milliseconds.
    clock_ms: int
    running: tuple[platform.RunningTask, ...]
    ended: tuple[platform.EndedRun, ...]
    outcomes: tuple[OrderOutcome, ...]


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order a run to be started, with what pacing has to know of it."""

    task: str
    run: int
    payload: str
    checkpoint: str
    image: str
    target_latency_ms: int
    filler: bool
    # Sent before; the earlier order may still be carried out.
    repeated: bool
    # The advisor's leave; empty where none is needed.
    ticket: str = ''


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order a run to be stopped."""

    task: str
    run: int


class Directive(msgspec.Struct, frozen=True, array_like=True):
    """Give a sidecar its orders and its lease."""

    epoch: int
    # The worker life that the orders are for; empty before it is known.
    incarnation: str
    # Leases may be renewed up to this reading of the worker's clock.
    lease_until_ms: int
    # Ends up to this number are recorded.
    acknowledged: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    # What fillers on the worker do to the serving tasks beside them.
    interference: tuple[decisions.Pressure, ...] = ()


REPORT_DECODER = msgspec.msgpack.Decoder(Report)
DIRECTIVE_DECODER = msgspec.msgpack.Decoder(Directive)
ENCODER = msgspec.msgpack.Encoder()
