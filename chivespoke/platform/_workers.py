"""The worker beside a sidecar: its registration and orders to it."""

import enum
import typing

import msgspec

from chivespoke import errors
from chivespoke.platform import _transport
from chivespoke import workloads

# Where a worker registers; the last part is its identifier.
REGISTRATION_PATH = '/instances/{identifier}'
INSTANCE_HEADER = 'Chivespoke-Target-Instance'
ORDER_SECONDS = 1.0


class WorkerState(enum.Enum):
    """Say whether a worker takes new runs."""

    READY = 'ready'
    DRAINING = 'draining'


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: WorkerState
    sequence: int
    born: int
    capacity: _Capacity
    clock_ms: int = 0
    remaining_ms: int = 0
    labels: list[str] = []


class _Look(msgspec.Struct):
    clock_ms: int
    # Task, run, checkpoint, percent of the work that is done, a measure.
    running: list[tuple[str, int, str, float, float]] = []
    # Number of the end, task, run, how it ended, checkpoint.
    ended_runs: list[tuple[int, str, int, str, str]] = []
    born: int = 0


class _Refusal(msgspec.Struct):
    reason: str = ''
    clock_ms: int = 0


class Registration(msgspec.Struct, frozen=True):
    """Hold what a worker says of itself."""

    identifier: str
    # Milliseconds since 1970 at which this life of the worker began: the
    # identifier alone may be used again.
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    draining: bool
    remaining_ms: int
    capacity: workloads.Room
    labels: tuple[str, ...]


class EndCause(enum.Enum):
    """Say how a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    # Another member of its gang ended.
    GANG_MEMBER_ENDED = 'broken'
    # The others of its gang did not come in time.
    GANG_TIMEOUT = 'alone'


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """Hold a run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    # Percent of its work that is done; for one that lasts, of its start-up.
    progress: float
    # Tail latency in milliseconds of a task that serves, else the processor
    # time in use, in thousandths of a core; over the last half second.
    measure: float


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """Hold the end of a run, listed until it is acknowledged."""

    number: int
    task: str
    run: int
    cause: EndCause
    checkpoint: str


class WorkerStatus(msgspec.Struct, frozen=True):
    """Hold what a worker lists when its lease is renewed."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class Refusal(enum.Enum):
    """Say why a worker did not take an order; nothing was done."""

    STALE_FENCE = 'fence'
    # A run as high as this one has been stopped or has ended there.
    SUPERSEDED = 'old'
    EXPIRED = 'late'
    NO_CAPACITY = 'room'
    BAD_TICKET = 'ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    # The worker of that life is gone.
    REPLACED = 'replaced'


class OrderRefusedError(errors.RefusedError):
    """Report an order that a worker refused, with its reason."""

    def __init__(self, step: str, peer: str, refusal: Refusal) -> None:
        super().__init__(step, peer, refusal.value)
        self.refusal = refusal


STATUS_REFUSALS = {
    400: Refusal.INVALID,
    421: Refusal.REPLACED,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


def decode_registration(identifier: str, body: bytes) -> Registration:
    """Return what a worker reports; raise RefusedError if unreadable."""
    try:
        found = msgspec.json.decode(body, type=_Registration)
    except msgspec.MsgspecError as error:
        raise errors.RefusedError(
            'read registration', identifier, str(error)
        ) from error
    return Registration(
        identifier=identifier,
        born_ms=found.born,
        sequence=found.sequence,
        service=found.service,
        address=found.address,
        data_centre=found.zone,
        draining=found.state is WorkerState.DRAINING,
        remaining_ms=found.remaining_ms,
        capacity=workloads.Room(
            found.capacity.cpu, found.capacity.mem_mb, found.capacity.gpu
        ),
        labels=tuple(found.labels),
    )


class WorkerClient:
    """Give orders to one life of a worker."""

    __slots__ = ('_transport', '_headers')

    def __init__(
        self, transport: _transport.Transport, identifier: str
    ) -> None:
        self._transport = transport
        self._headers = _transport.JSON_HEADERS | {INSTANCE_HEADER: identifier}

    async def start(
        self,
        task: str,
        run: int,
        payload: str,
        lease_until_ms: int,
        fence: int,
        checkpoint: str,
        ticket: str,
    ) -> None:
        """Start a run, or find it there already."""
        body: dict[str, object] = {
            'task': task,
            'run_id': run,
            'spec': payload,
            'deadline_ms': lease_until_ms,
            'fencing_token': fence,
        }
        if checkpoint:
            body['checkpoint'] = checkpoint
        if ticket:
            body['ticket'] = ticket
        await self._order('start', '/run-start', body, ORDER_SECONDS)

    async def stop(self, task: str, run: int, fence: int) -> None:
        """Stop a run, or bar it from starting if it is not there."""
        body = {'task': task, 'run_id': run, 'fencing_token': fence}
        await self._order('stop', '/run-stop', body, ORDER_SECONDS)

    async def pace(
        self, task: str, run: int, percent: int, fence: int
    ) -> None:
        """Let a run work, and press on others, at a share of full speed."""
        body = {
            'task': task,
            'run_id': run,
            'percent': percent,
            'fencing_token': fence,
        }
        await self._order('pace', '/pace', body, ORDER_SECONDS)

    async def look(
        self,
        fence: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> WorkerStatus:
        """Renew the lease of all runs, and return what the worker lists."""
        body = {
            'fencing_token': fence,
            'ack_cursor': acknowledged,
            'wait_ms': int(wait_seconds * 1000),
        }
        if lease_until_ms is not None:
            body['deadline_ms'] = lease_until_ms
        answer = await self._order(
            'look', '/hold', body, ORDER_SECONDS + wait_seconds
        )
        try:
            found = msgspec.json.decode(answer, type=_Look)
            return WorkerStatus(
                found.clock_ms,
                tuple(RunningTask(*row) for row in found.running),
                tuple(
                    EndedRun(number, task, run, EndCause(how), saved)
                    for number, task, run, how, saved in found.ended_runs
                ),
            )
        except (msgspec.MsgspecError, ValueError) as error:
            raise errors.UnavailableError(
                'look', self._transport.peer, f'unreadable: {error}'
            ) from error

    async def _order(
        self,
        step: str,
        path: str,
        body: typing.Mapping[str, object],
        timeout_seconds: float,
    ) -> bytes:
        answer = await self._transport.call(
            step,
            'POST',
            path,
            msgspec.json.encode(body),
            timeout_seconds,
            self._headers,
        )
        if answer.status == 200:
            return answer.body
        raise OrderRefusedError(
            step, self._transport.peer, _read_refusal(answer)
        )


def _read_refusal(answer: _transport.Answer) -> Refusal:
    if answer.status in STATUS_REFUSALS:
        return STATUS_REFUSALS[answer.status]
    try:
        found = msgspec.json.decode(answer.body, type=_Refusal)
        return Refusal(found.reason)
    except (msgspec.MsgspecError, ValueError):
        return Refusal.INVALID
