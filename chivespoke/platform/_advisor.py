"""The service that knows which workers may run a step."""

import msgspec

from chivespoke import errors
from chivespoke.platform import _transport

STEP = 'ask for advice'


class _Question(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _Answer(msgspec.Struct):
    # Identifier of a worker, and the ticket to start the step there.
    allowed: list[tuple[str, str]]
    valid_ms: int


class Advice(msgspec.Struct, frozen=True):
    """Hold the tickets for a step, by identifier of the worker."""

    tickets: dict[str, str]
    valid_seconds: float


class AdvisorClient:
    """Ask which workers may run a step."""

    __slots__ = ('_transport',)

    def __init__(self, transport: _transport.Transport) -> None:
        self._transport = transport

    async def ask(
        self, step: str, workers: tuple[str, ...], timeout_seconds: float
    ) -> Advice:
        """Return the tickets; workers without one may not run the step.

        Raise RefusedError or UnavailableError.
        """
        answer = await self._transport.call(
            STEP,
            'POST',
            '/advise',
            msgspec.json.encode(_Question(step, workers)),
            timeout_seconds,
            _transport.JSON_HEADERS,
        )
        if answer.status != 200:
            raise errors.RefusedError(
                STEP, self._transport.peer, f'status {answer.status}'
            )
        try:
            found = msgspec.json.decode(answer.body, type=_Answer)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                STEP, self._transport.peer, f'unreadable: {error}'
            ) from error
        return Advice(dict(found.allowed), found.valid_ms / 1000)
