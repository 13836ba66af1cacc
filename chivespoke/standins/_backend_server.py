"""A fake backend server that counts the requests it runs."""

import asyncio
import collections
import collections.abc
import weakref

from aiohttp import web

from chivespoke import application
from chivespoke import settings
from chivespoke import web as chivespoke_web

MILLISECONDS = 1000.0


class CountingServer(application.Component, chivespoke_web.RouteProvider):
    """Answer requests after a delay and count the runs of each path.

    The query of a request may set ``ms`` (its run time), ``status``,
    ``size`` (minimum size of the response body in bytes) and ``fault``
    (``hang``: never respond, ``cut``: abort the connection half-way,
    ``crash``: abort all connections and refuse new ones until a restart).
    """

    __slots__ = (
        'runs',
        'running',
        'most_running',
        'slowness',
        'healthy',
        'crashes',
        '_server',
        '_transports',
        '_crash',
    )

    def __init__(self, address: settings.Address) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.most_running = 0
        # Factor applied to every run time.
        self.slowness = 1.0
        self.healthy = True
        self.crashes = 0
        self._server = chivespoke_web.HttpServer(address, (self,), 0.1)
        self._transports: weakref.WeakSet[asyncio.Transport] = (
            weakref.WeakSet()
        )
        self._crash: asyncio.Task[None] | None = None

    @property
    def address(self) -> settings.Address:
        """Return the address it listens on."""
        return self._server.address

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.get('/health', self._answer_health),
            web.put('/slowness', self._set_slowness),
            web.route('*', '/{path:.*}', self._answer),
        )

    async def start(self) -> None:
        await self._server.start()

    async def drain(self) -> None:
        """Fail health checks and wait for running requests."""
        self.healthy = False
        while self.running:
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        if self._crash is not None:
            await self._crash
            return
        await self._server.stop()

    async def restart(self) -> None:
        """Listen again at the same address after a crash."""
        if self._crash is None:
            return
        await self._crash
        self._crash = None
        self._server = chivespoke_web.HttpServer(self.address, (self,), 0.1)
        await self._server.start()

    def crash(self) -> None:
        """Abort all connections and stop listening."""
        if self._crash is not None:
            return
        self.crashes += 1
        for transport in self._transports:
            transport.abort()
        self._crash = asyncio.create_task(self._server.stop())

    def _track(self, request: web.Request) -> None:
        if isinstance(request.transport, asyncio.Transport):
            self._transports.add(request.transport)

    async def _answer_health(self, request: web.Request) -> web.Response:
        self._track(request)
        return web.Response(status=200 if self.healthy else 503)

    async def _set_slowness(self, request: web.Request) -> web.Response:
        self.slowness = float(request.query['factor'])
        return web.Response()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self._track(request)
        self.runs[request.path] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self._run(request)
        finally:
            self.running -= 1

    async def _run(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        body = await request.read()
        seconds = float(query.get('ms', '0')) / MILLISECONDS
        if seconds:
            await asyncio.sleep(seconds * self.slowness)
        if query.get('fault') == 'hang':
            await asyncio.Event().wait()
        if query.get('fault') == 'crash':
            self.crash()
        if query.get('fault') == 'cut':
            return await _abort_response(request)
        text = body or request.method.encode() + b' ' + request.path.encode()
        return web.Response(
            status=int(query.get('status', '200')),
            body=text.ljust(int(query.get('size', '0')), b'.'),
            headers={'X-Runs': str(self.runs[request.path])},
        )


async def _abort_response(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={'Content-Length': '1000'})
    await response.prepare(request)
    await response.write(b'half')
    if request.transport is not None:
        request.transport.abort()
    return response
