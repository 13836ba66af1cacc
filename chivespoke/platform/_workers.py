"""Registrations of workers, and the client that sends orders to a worker."""

import enum
import typing

import msgspec

from chivespoke import decoding
from chivespoke import errors
from chivespoke import logs
from chivespoke.platform import _transport
from chivespoke import workloads

LOGGER = logs.make_logger('worker')

# Path at which a worker registers; the last part is its identifier.
REGISTRATION_PATH = '/instances/{identifier}'
INSTANCE_HEADER = 'Chivespoke-Target-Instance'
ORDER_TIMEOUT_SECONDS = 1.0


class WorkerState(enum.Enum):
    """Name the states of a worker; a draining one accepts no new runs."""

    READY = 'ready'
    DRAINING = 'draining'


class EndCause(enum.Enum):
    """Name the cause of a run's end."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    # Another member of its gang ended.
    GANG_MEMBER_ENDED = 'broken'
    # The other members of its gang did not start in time.
    GANG_TIMEOUT = 'alone'


class _Capacity(msgspec.Struct):
    cpu: decoding.Amount = 0
    mem_mb: decoding.Amount = 0
    gpu: decoding.Amount = 0


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: WorkerState
    sequence: decoding.Number
    born: decoding.Number
    capacity: _Capacity
    clock_ms: decoding.Number = 0
    remaining_ms: decoding.Number = 0
    labels: list[str] = []


class _PollResponse(msgspec.Struct):
    clock_ms: decoding.Number
    # Task, run, checkpoint, progress and measure, as in RunningTask.
    running: list[tuple[str, decoding.Number, str, float, float]] = []
    # Number of the end, task, run, cause and checkpoint, as in EndedRun.
    ended_runs: list[
        tuple[decoding.Number, str, decoding.Number, EndCause, str]
    ] = []
    born: decoding.Number = 0


class _Answer(msgspec.Struct):
    clock_ms: decoding.Number = 0


class _RefusalBody(msgspec.Struct):
    reason: str = ''
    clock_ms: decoding.Number = 0


REGISTRATION_DECODER = msgspec.json.Decoder(_Registration)
STATUS_DECODER = msgspec.json.Decoder(_PollResponse)
ANSWER_DECODER = msgspec.json.Decoder(_Answer)
REFUSAL_DECODER = msgspec.json.Decoder(_RefusalBody)


class Registration(msgspec.Struct, frozen=True):
    """Hold what a worker reports about itself."""

    identifier: str
    # Start of this incarnation of the worker, in milliseconds since 1970. A
    # later incarnation may have the same identifier.
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    draining: bool
    remaining_ms: int
    capacity: workloads.Resources
    labels: tuple[str, ...]


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """Hold a run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    # Completed percentage of the work, or of the start-up of a long-running
    # task.
    progress: float
    # For a serving task its tail latency in milliseconds, for others the
    # processor time used in thousandths of a core; over the last 500 ms.
    measure: float


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """Hold the end of a run, which a worker lists until acknowledged."""

    number: int
    task: str
    run: int
    cause: EndCause
    checkpoint: str


class WorkerStatus(msgspec.Struct, frozen=True):
    """Hold the state of a worker, as returned by a poll."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    # Start of the incarnation that answered, in milliseconds since 1970; 0 if
    # the answer does not say.
    born_ms: int = 0


class Refusal(enum.Enum):
    """Name the reason why a worker refused an order, which had no effect."""

    STALE_FENCE = 'fence'
    # The worker has stopped or ended this run or a later run of the task.
    SUPERSEDED = 'old'
    # The lease end in the order has passed.
    EXPIRED = 'late'
    NO_CAPACITY = 'room'
    BAD_TICKET = 'ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    # The worker that the order was addressed to is gone.
    REPLACED = 'replaced'


class OrderRefusedError(errors.RefusedError):
    """Report an order that a worker refused, and the reason."""

    def __init__(
        self, step: str, peer: str, refusal: Refusal, clock_ms: int = 0
    ) -> None:
        super().__init__(step, peer, refusal.value)
        self.refusal = refusal
        # Reading of the worker's clock, in milliseconds; 0 if the answer does
        # not say.
        self.clock_ms = clock_ms


STATUS_REFUSALS = {
    400: Refusal.INVALID,
    421: Refusal.REPLACED,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


def decode_registration(identifier: str, body: bytes) -> Registration:
    """Decode a registration; raise RefusedError if it is unreadable."""
    step = 'read registration'
    decoded = decoding.decode(REGISTRATION_DECODER, body, step, identifier)
    return Registration(
        identifier=identifier,
        born_ms=decoded.born,
        sequence=decoded.sequence,
        service=decoded.service,
        address=decoding.check_address(decoded.address, step, identifier),
        data_centre=decoded.zone,
        draining=decoded.state is WorkerState.DRAINING,
        remaining_ms=decoded.remaining_ms,
        capacity=workloads.Resources(
            decoded.capacity.cpu, decoded.capacity.mem_mb, decoded.capacity.gpu
        ),
        labels=tuple(decoded.labels),
    )


def decode_status(body: bytes, peer: str) -> WorkerStatus:
    """Decode a worker's state; raise UnavailableError if unreadable."""
    decoded = _transport.decode_response(STATUS_DECODER, body, 'look', peer)
    return WorkerStatus(
        decoded.clock_ms,
        tuple(RunningTask(*row) for row in decoded.running),
        tuple(EndedRun(*row) for row in decoded.ended_runs),
        decoded.born,
    )


class WorkerClient:
    """Send orders to a worker and poll its state.

    Orders return the reading of the worker's clock in milliseconds, 0 if the
    answer does not say.

    Calls raise OrderRefusedError if the worker refused, another RefusedError
    if the call was not sent, and UnavailableError if its outcome is unknown.
    """

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
        fencing_token: int,
        checkpoint: str,
        ticket: str,
    ) -> int:
        """Start a run; do nothing if it is running already."""
        body: dict[str, object] = {
            'task': task,
            'run_id': run,
            'spec': payload,
            'deadline_ms': lease_until_ms,
            'fencing_token': fencing_token,
        }
        if checkpoint:
            body['checkpoint'] = checkpoint
        if ticket:
            body['ticket'] = ticket
        return _read_clock(
            await self._send_order(
                'start', '/run-start', body, ORDER_TIMEOUT_SECONDS
            )
        )

    async def stop(self, task: str, run: int, fencing_token: int) -> int:
        """Stop a run, and prevent it from starting later."""
        body = {'task': task, 'run_id': run, 'fencing_token': fencing_token}
        return _read_clock(
            await self._send_order(
                'stop', '/run-stop', body, ORDER_TIMEOUT_SECONDS
            )
        )

    async def pace(
        self, task: str, run: int, percent: int, fencing_token: int
    ) -> int:
        """Limit a run and its load on others to a share of full speed."""
        body = {
            'task': task,
            'run_id': run,
            'percent': percent,
            'fencing_token': fencing_token,
        }
        return _read_clock(
            await self._send_order(
                'pace', '/pace', body, ORDER_TIMEOUT_SECONDS
            )
        )

    async def poll(
        self,
        fencing_token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> WorkerStatus:
        """Renew the leases of all runs and return the worker's state.

        Ends of runs up to the number acknowledged are no longer listed. The
        worker answers at once if other runs have ended, else after up to
        wait_seconds. If lease_until_ms is None, leases are not renewed.
        """
        body = {
            'fencing_token': fencing_token,
            'ack_cursor': acknowledged,
            'wait_ms': int(wait_seconds * 1000),
        }
        if lease_until_ms is not None:
            body['deadline_ms'] = lease_until_ms
        response = await self._send_order(
            'look', '/hold', body, ORDER_TIMEOUT_SECONDS + wait_seconds
        )
        return decode_status(response, self._transport.peer)

    async def _send_order(
        self,
        step: str,
        path: str,
        body: typing.Mapping[str, object],
        timeout_seconds: float,
    ) -> bytes:
        response = await self._transport.call(
            step,
            'POST',
            path,
            msgspec.json.encode(body),
            timeout_seconds,
            self._headers,
        )
        if response.status == 200:
            return response.body
        refusal, clock_ms = _read_refusal(response)
        raise OrderRefusedError(step, self._transport.peer, refusal, clock_ms)


def _read_clock(body: bytes) -> int:
    try:
        return decoding.decode(
            ANSWER_DECODER, body, 'read answer', 'worker'
        ).clock_ms
    except errors.RefusedError as error:
        LOGGER.warning('The clock of an answer cannot be read.', error=error)
        return 0


def _read_refusal(response: _transport.Response) -> tuple[Refusal, int]:
    """Return the reason and the reading of the clock, 0 if not given."""
    if response.status in STATUS_REFUSALS:
        return STATUS_REFUSALS[response.status], 0
    try:
        decoded = decoding.decode(
            REFUSAL_DECODER, response.body, 'read refusal', 'worker'
        )
        return Refusal(decoded.reason), decoded.clock_ms
    except (errors.RefusedError, ValueError):
        return Refusal.INVALID, 0
