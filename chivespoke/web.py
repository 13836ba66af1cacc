"""HTTP server, route providers and health check of a process."""

import abc
import asyncio
import collections.abc

from aiohttp import web

from chivespoke import addresses
from chivespoke import application
from chivespoke import errors

BYTES_PER_MIB = 1024 * 1024
# Largest request body that the server accepts.
MAX_BODY_BYTES = 64 * BYTES_PER_MIB
SHUTDOWN_TIMEOUT_SECONDS = 5.0


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
    )

    def __init__(
        self,
        address: addresses.Address,
        providers: collections.abc.Iterable[RouteProvider],
        shutdown_seconds: float = SHUTDOWN_TIMEOUT_SECONDS,
    ) -> None:
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
        server = web.Application(client_max_size=MAX_BODY_BYTES)
        for provider in self._providers:
            server.add_routes(provider.list_routes())
        runner = web.AppRunner(
            server, access_log=None, shutdown_timeout=self._shutdown_seconds
        )
        await runner.setup()
        site = web.TCPSite(
            runner,
            self._configured_address.host,
            self._configured_address.port,
        )
        try:
            await site.start()
        except OSError as error:
            await runner.cleanup()
            raise errors.UnavailableError(
                'bind HTTP server',
                self._configured_address.format_http(),
                str(error),
            ) from error
        host, port = runner.addresses[0][:2]
        self._bound_address = addresses.Address(host, port)
        self._runner = runner

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()


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
