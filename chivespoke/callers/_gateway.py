"""Callers' HTTP requests in, whole answers out."""

import asyncio
import collections.abc
import math

from aiohttp import web
import multidict

from chivespoke import application
from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke.callers import _dispatcher
from chivespoke.callers import _headers
from chivespoke.callers import _keyed
from chivespoke.callers import _limits
from chivespoke import clock
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import telemetry
from chivespoke import web as chivespoke_web

DEFAULT_BODY_LIMIT = 8 * 1024 * 1024
# Seconds between looks at what is still in flight.
DRAIN_POLL = 0.02
SERVICE_PREFIX = '/services/'
OVER_LIMIT = 'over the limit of its tenant and class'
# HTTP statuses of refusals.
TOO_MANY = 429
UNAVAILABLE = 503


class Gateway(application.Component, chivespoke_web.RouteProvider):
    """Take requests to services at an entry."""

    __slots__ = (
        '_dispatcher',
        '_keyed',
        'limits',
        '_clock',
        '_telemetry',
        '_in_flight',
        '_request_id',
        '_leaving',
        'body_limit',
    )

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        keyed: _keyed.KeyedDispatcher,
        limits: _limits.RequestLimits,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._keyed = keyed
        self.limits = limits
        self._clock = time
        self._telemetry = instruments
        self._in_flight = 0
        self._request_id = 0
        self._leaving = False
        # Bytes.
        self.body_limit = DEFAULT_BODY_LIMIT

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.route('*', '/services/{service}{tail:.*}', self._answer),)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        self._leaving = True
        while self._in_flight:
            await asyncio.sleep(DRAIN_POLL)

    async def stop(self) -> None:
        errors.check_invariant(
            self._in_flight == 0 or not self._leaving,
            'nothing in flight is cut',
            'callers',
        )

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        begun = self._clock.read_monotonic()
        if self._leaving:
            return _make_refusal(503, 'entry leaving', 0.0, close=True)
        self._in_flight += 1
        try:
            return await self._carry(request, begun)
        finally:
            self._in_flight -= 1

    async def _carry(
        self, request: web.Request, begun: float
    ) -> web.StreamResponse:
        try:
            caller = _headers.read_headers(request.headers)
        except ValueError as error:
            return _make_refusal(400, str(error), 0.0)
        body = await self._read_body(request)
        if body is None:
            return _make_refusal(413, 'body too large', 0.0, close=True)
        self._request_id += 1
        reply, status = await self._end(
            _attempts.CallerRequest(
                self._request_id,
                identifiers.ServiceName(request.match_info['service']),
                request.method,
                _find_target(request),
                backend_servers.filter_end_to_end_headers(
                    request.headers.items()
                ),
                body,
                caller,
                begun + caller.deadline,
            )
        )
        self._measure(request, caller, reply, begun)
        return make_response(reply, status)

    async def _end(
        self, request: _attempts.CallerRequest
    ) -> tuple[backend_servers.Reply, int]:
        """Return a request's end, and the status if it was not run."""
        caller = request.caller
        wait = self.limits.take(caller.tenant, caller.request_class)
        if wait > 0:
            self._telemetry.refusals.add(1, {'cause': OVER_LIMIT})
        if caller.key:
            # Even over the limit the home is asked: the key may have run.
            reply = await self._keyed.carry(request, lookup=wait > 0)
            if wait > 0 and reply.cause == backend_servers.KEY_NOT_RUN:
                return _refuse(wait), TOO_MANY
            return reply, UNAVAILABLE
        if wait > 0:
            return _refuse(wait), TOO_MANY
        return await self._dispatcher.carry(request), UNAVAILABLE

    async def _read_body(self, request: web.Request) -> bytes | None:
        length = request.content_length
        if length is not None and length > self.body_limit:
            return None
        if not request.can_read_body:
            return b''
        chunks = bytearray()
        async for chunk in request.content.iter_any():
            chunks += chunk
            if len(chunks) > self.body_limit:
                return None
        return bytes(chunks)

    def _measure(
        self,
        request: web.Request,
        caller: _headers.CallerHeaders,
        reply: backend_servers.Reply,
        begun: float,
    ) -> None:
        kind = caller.request_class.value
        self._telemetry.request_latency.record(
            self._clock.read_monotonic() - begun,
            {'tenant': caller.tenant, 'class': kind},
        )
        self._telemetry.requests.add(
            1,
            {
                'service': request.match_info['service'],
                'class': kind,
                'outcome': reply.outcome.value,
            },
        )


def _refuse(wait: float) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        OVER_LIMIT,
        retry_after_seconds=wait,
    )


def make_response(reply: backend_servers.Reply, status: int) -> web.Response:
    """Return the response that tells a caller its request's end."""
    if reply.outcome is backend_servers.Outcome.NOT_RUN:
        return _make_refusal(status, reply.cause, reply.retry_after_seconds)
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict(reply.headers)
    headers[_headers.OUTCOME] = reply.outcome.value
    if reply.outcome is backend_servers.Outcome.UNKNOWN:
        headers[_headers.CAUSE] = reply.cause
        if reply.retry_after_seconds:
            headers[_headers.RETRY_AFTER] = _format_wait(
                reply.retry_after_seconds
            )
        return web.Response(status=504, headers=headers, text='unknown\n')
    return web.Response(status=reply.status, headers=headers, body=reply.body)


def _make_refusal(
    status: int, cause: str, retry_after_seconds: float, *, close: bool = False
) -> web.Response:
    headers = {
        _headers.OUTCOME: backend_servers.Outcome.NOT_RUN.value,
        _headers.CAUSE: cause,
    }
    if status in (TOO_MANY, UNAVAILABLE):
        headers[_headers.RETRY_AFTER] = _format_wait(retry_after_seconds)
    response = web.Response(
        status=status, headers=headers, text=f'not run: {cause}\n'
    )
    if close:
        response.force_close()
    return response


def _format_wait(seconds: float) -> str:
    # Whole seconds; the header knows no fractions.
    return str(max(1, math.ceil(seconds)))


def _find_target(request: web.Request) -> str:
    """Return the path and query after the service, as the caller sent it."""
    rest = request.raw_path.removeprefix(SERVICE_PREFIX)
    cut = min(
        (index for index in map(rest.find, '/?') if index >= 0),
        default=len(rest),
    )
    target = rest[cut:]
    return target if target.startswith('/') else '/' + target
