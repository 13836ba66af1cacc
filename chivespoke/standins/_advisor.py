"""A fake of the platform's advisor on the placement of steps."""

import asyncio
import collections.abc

from aiohttp import web
import msgspec

from chivespoke import addresses
from chivespoke import web as chivespoke_web

DECISION_SECONDS = 0.02


class _AdviceRequest(msgspec.Struct):
    step: str
    workers: list[str]


class PlatformAdvisor(chivespoke_web.RouteProvider):
    """Allow steps on a set of workers, with tickets that expire."""

    __slots__ = ('allowed', 'asked', 'valid_seconds', 'refusals', '_tickets')

    def __init__(self, *allowed: str) -> None:
        # Identifiers of the workers that may run any step.
        self.allowed = frozenset(allowed)
        # Workers named in each answered request.
        self.asked: list[tuple[str, ...]] = []
        self.valid_seconds = 3.0
        # Number of requests that are refused with status 429.
        self.refusals = 0
        # Loop time at which each ticket expires.
        self._tickets: dict[str, float] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.post('/advise', self._advise),)

    def make_server(self) -> chivespoke_web.HttpServer:
        """Return a server on a free port."""
        return chivespoke_web.HttpServer(addresses.Address(), (self,), 0.1)

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket permits a step to start on a worker."""
        now = asyncio.get_running_loop().time()
        return ticket.startswith(
            f'{step}/{worker}/'
        ) and now < self._tickets.get(ticket, 0.0)

    async def _advise(self, request: web.Request) -> web.Response:
        advice_request = msgspec.json.decode(
            await request.read(), type=_AdviceRequest
        )
        if self.refusals:
            self.refusals -= 1
            return web.Response(status=429)
        await asyncio.sleep(DECISION_SECONDS)
        self.asked.append(tuple(advice_request.workers))
        expires_at = asyncio.get_running_loop().time() + self.valid_seconds
        rows = [
            (worker, f'{advice_request.step}/{worker}/{len(self.asked)}')
            for worker in advice_request.workers
            if worker in self.allowed
        ]
        for _, ticket in rows:
            self._tickets[ticket] = expires_at
        return web.Response(
            body=msgspec.json.encode(
                {'allowed': rows, 'valid_ms': int(self.valid_seconds * 1000)}
            ),
            content_type='application/json',
        )
