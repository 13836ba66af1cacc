"""HTTP routes for jobs and workers."""

import collections.abc
import typing

from aiohttp import web
import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.scheduling import _api
from chivespoke.scheduling import _requests
from chivespoke import web as routes
from chivespoke import workers

JSON = 'application/json'
# Value of the header Retry-After.
RETRY_AFTER_SECONDS = '1'
Message = typing.TypeVar('Message')
Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class SchedulingRoutes(routes.RouteProvider):
    """Serve the scheduling API over HTTP."""

    __slots__ = ('_api',)

    def __init__(self, api: _api.SchedulingApi) -> None:
        self._api = api

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.post('/v1/jobs', _map_errors(self._submit)),
            web.post('/v1/jobs/cancel', _map_errors(self._cancel)),
            web.get('/v1/jobs', _map_errors(self._list)),
            web.get('/v1/jobs/{job}', _map_errors(self._show)),
            web.post('/v1/workers', _map_errors(self._register)),
            web.post(
                '/v1/workers/{group}/{worker}/news', self._request_heartbeat
            ),
            web.get('/v1/workers', _map_errors(self._list_workers)),
        )

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        message = await _decode_body(request, _requests.JobsRequest)
        return _respond(await self._api.submit(message.jobs))

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        message = await _decode_body(request, _requests.CancelRequest)
        return _respond(await self._api.cancel(message.jobs))

    async def _list(self, request: web.Request) -> web.StreamResponse:
        del request
        self._api.check_loaded()
        return _respond(self._api.report_jobs())

    async def _show(self, request: web.Request) -> web.StreamResponse:
        job_id = identifiers.JobId(request.match_info['job'])
        report = self._api.report_job(job_id)
        if report is None:
            return web.Response(status=404, text='the job is unknown')
        return _respond(report)

    async def _register(self, request: web.Request) -> web.StreamResponse:
        message = await _decode_body(request, workers.Registration)
        await self._api.register(message)
        return _respond({})

    async def _request_heartbeat(
        self, request: web.Request
    ) -> web.StreamResponse:
        self._api.request_heartbeat(
            request.match_info['group'],
            identifiers.WorkerId(request.match_info['worker']),
        )
        return _respond({})

    async def _list_workers(self, request: web.Request) -> web.StreamResponse:
        del request
        self._api.check_loaded()
        return _respond(self._api.report_workers())


async def _decode_body(
    request: web.Request, expected: type[Message]
) -> Message:
    try:
        return msgspec.json.decode(await request.read(), type=expected)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _respond(answer: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(answer), content_type=JSON)


def _map_errors(handler: Handler) -> Handler:
    """Respond to refusals with 409 and to unavailability with 503.

    A request that must wait until the state is loaded counts as unavailable.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except errors.NotLoadedError as error:
            headers = {'Retry-After': RETRY_AFTER_SECONDS}
            return web.Response(status=503, headers=headers, text=str(error))
        except errors.RefusedError as error:
            return web.Response(status=409, text=str(error))
        except errors.UnavailableError as error:
            return web.Response(status=503, text=str(error))

    return handle
