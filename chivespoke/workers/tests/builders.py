"""Build a worker that answers each command with a given response."""

import unittest

from aiohttp import web

from chivespoke import identifiers
from chivespoke import settings
from chivespoke import web as chivespoke_web
from chivespoke import workers

RENEWAL = workers.LeaseRenewal(
    worker_id=identifiers.WorkerId('worker-1'),
    epoch=1,
    lease_until=60.0,
    incarnation=identifiers.Incarnation('a'),
)


class AnsweringRoutes(chivespoke_web.RouteProvider):
    """Answer each renewal with one status and body."""

    def __init__(self) -> None:
        self.status = 200
        self.body = b''

    def list_routes(self) -> tuple[web.RouteDef, ...]:
        return (web.post('/v1/renew', self._answer),)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        del request
        return web.Response(status=self.status, body=self.body)


async def build_client(
    case: unittest.IsolatedAsyncioTestCase, routes: AnsweringRoutes
) -> workers.WorkerClient:
    """Return a client of a served worker; the test's end stops both."""
    server = chivespoke_web.HttpServer(settings.Address(), (routes,))
    await server.start()
    case.addAsyncCleanup(server.stop)
    connector = workers.HttpWorkerConnector()
    await connector.start()
    case.addAsyncCleanup(connector.stop)
    return connector.connect(server.address.format_http())
