"""What parts of a process that answer HTTP have in common."""

import abc
import asyncio
import collections.abc

from aiohttp import web

from chivespoke import addresses
from chivespoke import application
from chivespoke import errors

MEBIBYTE = 1024 * 1024
# Largest body that the server itself lets through, in bytes.
BODY_LIMIT = 64 * MEBIBYTE
SHUTDOWN_SECONDS = 5.0


class RouteProvider(abc.ABC):
    """Contribute routes to the HTTP server of a process."""

    @abc.abstractmethod
    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        """Return the routes; called once, before the server starts."""


class HttpServer(application.Component):
    """Serve the routes of every provider on one address."""

    __slots__ = (
        '_configured',
        '_providers',
        '_runner',
        '_bound',
        '_shutdown_seconds',
    )

    def __init__(
        self,
        address: addresses.Address,
        providers: collections.abc.Iterable[RouteProvider],
        shutdown_seconds: float = SHUTDOWN_SECONDS,
    ) -> None:
        self._shutdown_seconds = shutdown_seconds
        self._configured = address
        self._providers = tuple(providers)
        self._runner: web.AppRunner | None = None
        self._bound: addresses.Address | None = None

    @property
    def address(self) -> addresses.Address:
        """Return the address that the server is bound to."""
        if self._bound is None:
            raise errors.UnavailableError(
                'read address', 'HTTP server', 'not started'
            )
        return self._bound

    async def start(self) -> None:
        server = web.Application(client_max_size=BODY_LIMIT)
        for provider in self._providers:
            server.add_routes(provider.list_routes())
        runner = web.AppRunner(
            server, access_log=None, shutdown_timeout=self._shutdown_seconds
        )
        await runner.setup()
        site = web.TCPSite(
            runner, self._configured.host, self._configured.port
        )
        try:
            await site.start()
        except OSError as error:
            await runner.cleanup()
            raise errors.UnavailableError(
                'bind HTTP server',
                self._configured.format_http(),
                str(error),
            ) from error
        host, port = runner.addresses[0][:2]
        self._bound = addresses.Address(host, port)
        self._runner = runner

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()


class Health(application.Component, RouteProvider):
    """Tell the balancer whether to send requests; fail first on drain.

    Listed as the last component, so that it is drained before all others.
    """

    __slots__ = ('_notice', '_leaving', '_started')

    def __init__(self, notice_seconds: float) -> None:
        # Time for the balancer to see the failing check, in seconds.
        self._notice = notice_seconds
        self._leaving = False
        self._started = False

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get('/health', self._answer_health),)

    async def start(self) -> None:
        self._started = True

    async def drain(self) -> None:
        self._leaving = True
        await asyncio.sleep(self._notice)

    async def stop(self) -> None:
        self._started = False

    async def _answer_health(self, request: web.Request) -> web.Response:
        if self._leaving or not self._started:
            return web.Response(status=503, text='leaving\n')
        return web.Response(text='ok\n')
