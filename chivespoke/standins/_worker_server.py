"""An HTTP server for the simulated worker agent."""

import asyncio
import collections.abc
import typing

import aiohttp
from aiohttp import web
import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import resources
from chivespoke import settings
from chivespoke.standins import _worker
from chivespoke import web as chivespoke_web
from chivespoke import workers

LOGGER = logs.make_logger('worker')
# Seconds between checks for ended runs, and between registration attempts.
RUN_CHECK_INTERVAL = 0.1
REGISTRATION_INTERVAL = 0.5
# Seconds between registrations of a worker that no scheduler renews.
REPEATED_REGISTRATION_INTERVAL = 2.0
REQUEST_TIMEOUT = 12.0
WORKERS_PER_RACK = 3
MESSAGE_PACK_TYPE = 'application/msgpack'

Command = typing.TypeVar('Command')


class WorkerServer(application.Component, chivespoke_web.RouteProvider):
    """Register a worker with an entry and serve its agent over HTTP."""

    __slots__ = (
        'agent',
        'registered',
        '_registration',
        '_entry',
        '_clock',
        '_http',
        '_session',
        '_tasks',
    )

    def __init__(
        self,
        registration: workers.Registration,
        address: settings.Address,
        entry: settings.Address,
        clock: clocks.Clock,
    ) -> None:
        self.registered = asyncio.Event()
        self._registration = registration
        self._entry = entry.format_http()
        self._clock = clock
        self._http = chivespoke_web.HttpServer(address, (self,))
        self._session: aiohttp.ClientSession | None = None
        self._tasks = application.TaskOwner()
        self.agent = _worker.WorkerAgent(registration, clock)

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        commands: tuple[tuple[str, type, typing.Any], ...] = (
            ('renew', workers.LeaseRenewal, 'renew'),
            ('start', workers.StartCommand, 'start'),
            ('stop', workers.StopCommand, 'stop'),
            ('checkpoint', workers.CheckpointCommand, 'checkpoint'),
            ('throttle', workers.ThrottleCommand, 'throttle'),
        )
        return [
            web.post(f'/v1/{step}', self._make_handler(kind, method))
            for step, kind, method in commands
        ]

    async def start(self) -> None:
        await self._http.start()
        self._registration = msgspec.structs.replace(
            self._registration, address=self._http.address.format_http()
        )
        self.agent = _worker.WorkerAgent(self._registration, self._clock)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
        )
        self._tasks.spawn(self._register())
        self._tasks.spawn(self._report_ended_runs())

    async def stop(self) -> None:
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()
        await self._http.stop()

    def _make_handler(
        self, kind: type[Command], method: str
    ) -> collections.abc.Callable[
        [web.Request], collections.abc.Awaitable[web.StreamResponse]
    ]:
        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                command = msgspec.msgpack.decode(
                    await request.read(), type=kind
                )
                response = getattr(self.agent, method)(command)
            except msgspec.MsgspecError as error:
                return web.Response(status=400, text=str(error))
            except errors.RefusedError as error:
                return web.Response(status=409, text=str(error))
            return web.Response(
                body=msgspec.msgpack.encode(response),
                content_type=MESSAGE_PACK_TYPE,
            )

        return handle

    async def _register(self) -> None:
        """Register until a lease is held, and again when it has lapsed.

        The late registration of an earlier incarnation may have taken the
        place of this one's.
        """
        interval = REGISTRATION_INTERVAL
        while True:
            if not self.agent.holds_lease():
                if await self._post('/v1/workers', self._registration):
                    self.registered.set()
                    interval = REPEATED_REGISTRATION_INTERVAL
            await asyncio.sleep(interval)

    async def _report_ended_runs(self) -> None:
        worker_id = self._registration.worker_id
        group = self._registration.group
        running_before = 0
        while True:
            await asyncio.sleep(RUN_CHECK_INTERVAL)
            self.agent.advance_runs()
            if len(self.agent.runs) < running_before:
                await self._post(f'/v1/workers/{group}/{worker_id}/news', None)
            running_before = len(self.agent.runs)

    async def _post(self, path: str, message: msgspec.Struct | None) -> bool:
        if self._session is None:
            return False
        body = msgspec.json.encode(message) if message is not None else b''
        try:
            async with self._session.post(
                self._entry + path, data=body
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            LOGGER.debug('Request to an entry failed.', error=repr(error))
            return False


def make_worker_registration(
    name: str,
    data_centre: identifiers.DataCentreName,
    rack: str,
    capacity: resources.Resources,
    group: str = 'default',
) -> workers.Registration:
    """Return the registration of a new incarnation of a worker."""
    return workers.Registration(
        worker_id=identifiers.WorkerId(name),
        incarnation=identifiers.make_incarnation(),
        data_centre=data_centre,
        rack=identifiers.RackName(rack),
        capacity=capacity,
        group=group,
    )
