"""A small fake of the platform's advisor on steps."""

import asyncio
import collections.abc

from aiohttp import web
import msgspec

from chivespoke import addresses
from chivespoke import web as chivespoke_web

DECISION_SECONDS = 0.02


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


class PlatformAdvisor(chivespoke_web.RouteProvider):
    """Allow steps on some workers, with tickets that run out."""

    __slots__ = ('allowed', 'asked', 'valid_seconds', 'refusals', '_tickets')

    def __init__(self, *allowed: str) -> None:
        # Identifiers of the workers that may run any step.
        self.allowed = frozenset(allowed)
        # The workers that each question named.
        self.asked: list[tuple[str, ...]] = []
        self.valid_seconds = 3.0
        # Questions that are refused as too many.
        self.refusals = 0
        # Time at which a ticket runs out, by ticket.
        self._tickets: dict[str, float] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.post('/advise', self._advise),)

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Tell whether a ticket lets a step start on a worker."""
        now = asyncio.get_running_loop().time()
        return ticket.startswith(
            f'{step}/{worker}/'
        ) and now < self._tickets.get(ticket, 0.0)

    async def _advise(self, request: web.Request) -> web.Response:
        question = msgspec.json.decode(await request.read(), type=_Question)
        if self.refusals:
            self.refusals -= 1
            return web.Response(status=429)
        await asyncio.sleep(DECISION_SECONDS)
        self.asked.append(tuple(question.workers))
        until = asyncio.get_running_loop().time() + self.valid_seconds
        rows = [
            (worker, f'{question.step}/{worker}/{len(self.asked)}')
            for worker in question.workers
            if worker in self.allowed
        ]
        for _, ticket in rows:
            self._tickets[ticket] = until
        return web.Response(
            body=msgspec.json.encode(
                {'allowed': rows, 'valid_ms': int(self.valid_seconds * 1000)}
            ),
            content_type='application/json',
        )
