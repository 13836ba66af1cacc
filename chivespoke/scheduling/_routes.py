"""The HTTP routes about jobs and workers."""

import collections.abc
import typing

from aiohttp import web
import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.scheduling import _desk
from chivespoke.scheduling import _requests
from chivespoke import web as routes
from chivespoke import workers

JSON = 'application/json'
Message = typing.TypeVar('Message')
Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class SchedulingRoutes(routes.RouteProvider):
    """Answer operators, users and workers about scheduling."""

    __slots__ = ('_desk',)

    def __init__(self, desk: _desk.Desk) -> None:
        self._desk = desk

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/v1/jobs', _answer_errors(self._submit)),
            web.post('/v1/jobs/cancel', _answer_errors(self._cancel)),
            web.get('/v1/jobs', self._list),
            web.get('/v1/jobs/{job}', self._show),
            web.post('/v1/workers', _answer_errors(self._register)),
            web.post('/v1/workers/{group}/{worker}/news', self._poke),
            web.get('/v1/workers', self._list_workers),
        )

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        message = await _read(request, _requests.JobsRequest)
        return _write(await self._desk.submit(message.jobs))

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        message = await _read(request, _requests.CancelRequest)
        return _write(await self._desk.cancel(message.jobs))

    async def _list(self, request: web.Request) -> web.StreamResponse:
        del request
        return _write(self._desk.report_jobs())

    async def _show(self, request: web.Request) -> web.StreamResponse:
        job_id = identifiers.JobId(request.match_info['job'])
        report = self._desk.report_job(job_id)
        if report is None:
            return web.Response(status=404, text='the job is unknown')
        return _write(report)

    async def _register(self, request: web.Request) -> web.StreamResponse:
        message = await _read(request, workers.Registration)
        await self._desk.register(message)
        return _write({})

    async def _poke(self, request: web.Request) -> web.StreamResponse:
        self._desk.request_heartbeat(
            request.match_info['group'],
            identifiers.WorkerId(request.match_info['worker']),
        )
        return _write({})

    async def _list_workers(self, request: web.Request) -> web.StreamResponse:
        del request
        return _write(self._desk.report_workers())


async def _read(request: web.Request, expected: type[Message]) -> Message:
    try:
        return msgspec.json.decode(await request.read(), type=expected)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _write(answer: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(answer), content_type=JSON)


def _answer_errors(handler: Handler) -> Handler:
    """Answer the library's errors by their meaning."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except errors.RefusedError as error:
            return web.Response(status=409, text=str(error))
        except errors.UnavailableError as error:
            return web.Response(status=503, text=str(error))

    return handle
