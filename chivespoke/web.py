"""HTTP server, route providers and health check of a process."""

import abc
import asyncio
import collections.abc

from aiohttp import web

from chivespoke import addresses
from chivespoke import application
from chivespoke import errors
from chivespoke import web_limits

SHUTDOWN_TIMEOUT_SECONDS = 5.0
# Time for which what a client still sends is read after it was refused.
LINGERING_SECONDS = 2.0


class RouteProvider(abc.ABC):
    """Provide routes for the HTTP server of a process."""

    @abc.abstractmethod
    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        """Return the routes; called once, before the server starts."""


class HttpServer(application.Component):
    """Serve the routes of all providers at one address."""

    __slots__ = (
        '_configured_address',
        '_providers',
        '_runner',
        '_bound_address',
        '_shutdown_seconds',
        '_limits',
        '_listener',
        '_tasks',
    )

    def __init__(
        self,
        address: addresses.Address,
        providers: collections.abc.Iterable[RouteProvider],
        shutdown_seconds: float = SHUTDOWN_TIMEOUT_SECONDS,
        limits: web_limits.ServerLimits | None = None,
    ) -> None:
        self._limits = limits or web_limits.ServerLimits()
        self._listener: asyncio.Server | None = None
        self._tasks = application.TaskOwner()
        self._shutdown_seconds = shutdown_seconds
        self._configured_address = address
        self._providers = tuple(providers)
        self._runner: web.AppRunner | None = None
        self._bound_address: addresses.Address | None = None

    @property
    def address(self) -> addresses.Address:
        """Return the bound address; raise UnavailableError before start."""
        if self._bound_address is None:
            raise errors.UnavailableError(
                'read address', 'HTTP server', 'the server is not started'
            )
        return self._bound_address

    async def start(self) -> None:
        gate = web_limits.Gate(self._limits)
        server = web.Application(
            client_max_size=self._limits.max_body_bytes,
            middlewares=(gate.middleware,),
        )
        for provider in self._providers:
            server.add_routes(provider.list_routes())
        runner = web.AppRunner(
            server,
            access_log=None,
            shutdown_timeout=self._shutdown_seconds,
            # A small body may unpack to any size.
            auto_decompress=False,
            lingering_time=LINGERING_SECONDS,
            logger=web_limits.ServerLog(gate),
        )
        await runner.setup()
        make_protocol = runner.server
        assert make_protocol is not None
        try:
            self._listener = await asyncio.get_running_loop().create_server(
                lambda: gate.make_protocol(make_protocol()),
                self._configured_address.host,
                self._configured_address.port,
            )
        except OSError as error:
            await runner.cleanup()
            raise errors.UnavailableError(
                'bind HTTP server',
                self._configured_address.format_http(),
                str(error),
            ) from error
        host, port = self._listener.sockets[0].getsockname()[:2]
        self._bound_address = addresses.Address(host, port)
        self._runner = runner
        self._tasks.spawn_loop(gate.sweep_repeatedly)

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._tasks.cancel()


class Health(application.Component, RouteProvider):
    """Answer the health check of the load balancer.

    Must be the last component: it is then drained first, so that the check
    fails before any other component refuses requests.
    """

    __slots__ = ('_notice_seconds', '_is_ready', '_draining', '_started')

    def __init__(
        self,
        notice_seconds: float,
        is_ready: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        # Time for the load balancer to notice the failing check.
        self._notice_seconds = notice_seconds
        self._is_ready = is_ready
        self._draining = False
        self._started = False

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get('/health', self._handle_health),)

    async def start(self) -> None:
        self._started = True

    async def drain(self) -> None:
        self._draining = True
        await asyncio.sleep(self._notice_seconds)

    async def stop(self) -> None:
        self._started = False

    async def _handle_health(self, request: web.Request) -> web.Response:
        if self._draining or not self._started:
            return web.Response(status=503, text='leaving\n')
        if not self._is_ready():
            return web.Response(status=503, text='loading\n')
        return web.Response(text='ok\n')
