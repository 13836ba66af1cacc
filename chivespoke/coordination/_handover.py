"""Questions of a leader to the processes that led before it."""

import abc

from aiohttp import web
import msgspec

from chivespoke import clock
from chivespoke.coordination import _predecessors
from chivespoke.coordination import _records
from chivespoke import decoding
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import web as chivespoke_web

LOGGER = logs.make_logger('handover')

PATH = '/.chivespoke/handover'
# A request that an entry hands on for a caller never carries it.
HEADER = 'Chivespoke-Handover'
STEP = 'ask an earlier leader'
ASK_TIMEOUT_SECONDS = 0.5
ASK_RETRY_SECONDS = 0.2


class HandoverRequest(msgspec.Struct, frozen=True):
    """Ask what became of an earlier term."""

    # Of the leader that asks; earlier terms of the process end at once.
    epoch: decoding.Amount
    # Of the term in question.
    earlier_epoch: decoding.Amount


class Handover(msgspec.Struct, frozen=True):
    """Tell what became of an earlier term.

    Times are up to the answer, in milliseconds.
    """

    # The process that answers.
    member: str
    # Since it has had its address.
    up_millis: decoding.Amount
    # Since the term has renewed no leases; None if this process does not know
    # of the term.
    ended_millis: decoding.Amount | None = None
    # What was left of the leases then, by sidecar.
    sidecars: dict[str, _records.SilentSidecar] = {}


ENCODER = msgspec.msgpack.Encoder()
REQUEST_DECODER = msgspec.msgpack.Decoder(HandoverRequest)
HANDOVER_DECODER = msgspec.msgpack.Decoder(Handover)


class TermKeeper(abc.ABC):
    """Know the terms of this process."""

    @abc.abstractmethod
    def hand_over(self, request: HandoverRequest) -> Handover | None:
        """Tell what became of a term; None if that is not known yet."""


class HandoverRoutes(chivespoke_web.RouteProvider):
    """Answer the leaders that follow on a term of this process."""

    __slots__ = ('_keeper',)

    def __init__(self, keeper: TermKeeper) -> None:
        self._keeper = keeper

    def list_routes(self) -> list[web.RouteDef]:
        return [web.post(PATH, self._handle)]

    async def _handle(self, request: web.Request) -> web.Response:
        if HEADER not in request.headers:
            return web.Response(status=404)
        try:
            asked = decoding.decode(
                REQUEST_DECODER, await request.read(), STEP, 'leader'
            )
        except errors.RefusedError as error:
            LOGGER.error('A question cannot be decoded.', error=error)
            return web.Response(status=400)
        handover = self._keeper.hand_over(asked)
        if handover is None:
            return web.Response(status=503)
        return web.Response(body=ENCODER.encode(handover))


async def ask_leader(
    epoch: int,
    earlier_epoch: int,
    leader: _records.LeaderRecord,
    time: clock.Clock,
    clock_drift_share: float,
) -> _predecessors.LeaderEnd:
    """Ask an earlier leader until it has ended; return what it leaves."""
    transport = platform.Transport(leader.address, 1)
    await transport.start()
    try:
        while True:
            try:
                handover = await _ask(transport, epoch, earlier_epoch)
            except errors.ChivespokeError as error:
                LOGGER.debug(
                    'An earlier leader does not answer; retrying.',
                    epoch=earlier_epoch,
                    error=error,
                )
            else:
                end = interpret(
                    handover,
                    leader,
                    time.read_monotonic(),
                    clock_drift_share,
                )
                if end is not None:
                    return end
            await time.sleep(ASK_RETRY_SECONDS)
    finally:
        await transport.stop()


async def _ask(
    transport: platform.Transport, epoch: int, earlier_epoch: int
) -> Handover:
    response = await transport.call(
        STEP,
        'POST',
        PATH,
        ENCODER.encode(HandoverRequest(epoch, earlier_epoch)),
        ASK_TIMEOUT_SECONDS,
        {HEADER: str(epoch)},
    )
    if response.status != 200:
        raise errors.UnavailableError(
            STEP, transport.peer, f'status {response.status}'
        )
    return decoding.decode(
        HANDOVER_DECODER, response.body, STEP, transport.peer
    )


def interpret(
    handover: Handover,
    leader: _records.LeaderRecord,
    received_at: float,
    clock_drift_share: float,
) -> _predecessors.LeaderEnd | None:
    """Return what an answer shows of a term; None if it shows nothing.

    A process that has the address of another one shows that the other has
    ended: it stops to lead before it gives its address up.
    """
    if handover.member == leader.member:
        ended_millis = handover.ended_millis
        sidecars = handover.sidecars
    else:
        ended_millis = handover.up_millis
        sidecars = {}
    if ended_millis is None:
        return None
    return _predecessors.LeaderEnd(
        received_at - ended_millis / 1000 * (1 - clock_drift_share), sidecars
    )
