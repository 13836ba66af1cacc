"""The client of the advisor, which decides which workers may run a step."""

import msgspec

from chivespoke import decoding
from chivespoke import errors
from chivespoke.platform import _transport

STEP = 'ask for advice'


class _AdviceRequest(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _AdviceResponse(msgspec.Struct):
    # Pairs of a worker's identifier and the ticket that lets it run the step.
    allowed: list[tuple[str, str]]
    valid_ms: decoding.Amount


ADVICE_DECODER = msgspec.json.Decoder(_AdviceResponse)


class Advice(msgspec.Struct, frozen=True):
    """Hold the tickets for a step, by worker identifier."""

    tickets: dict[str, str]
    valid_seconds: float


class AdvisorClient:
    """Ask the advisor which workers may run a step."""

    __slots__ = ('_transport',)

    def __init__(self, transport: _transport.Transport) -> None:
        self._transport = transport

    async def ask(
        self, step: str, workers: tuple[str, ...], timeout_seconds: float
    ) -> Advice:
        """Return the tickets of the workers that may run a step.

        Workers without a ticket may not run it. Raise RefusedError if the
        call was refused, UnavailableError if its outcome is unknown.
        """
        response = await self._transport.call(
            STEP,
            'POST',
            '/advise',
            msgspec.json.encode(_AdviceRequest(step, workers)),
            timeout_seconds,
            _transport.JSON_HEADERS,
        )
        if response.status != 200:
            raise errors.RefusedError(
                STEP, self._transport.peer, f'status {response.status}'
            )
        decoded = _transport.decode_response(
            ADVICE_DECODER, response.body, STEP, self._transport.peer
        )
        return Advice(dict(decoded.allowed), decoded.valid_ms / 1000)
