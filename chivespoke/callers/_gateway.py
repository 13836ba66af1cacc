"""HTTP gateway for callers' requests; returns only complete responses."""

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
from chivespoke import logs
from chivespoke import telemetry
from chivespoke import web as chivespoke_web

LOGGER = logs.make_logger('gateway')

DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
# Interval at which drain checks for requests in flight.
DRAIN_POLL_SECONDS = 0.02
SERVICE_PREFIX = '/services/'
OVER_LIMIT_CAUSE = 'over the limit of its tenant and class'
# HTTP statuses of refusals.
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


class Gateway(application.Component, chivespoke_web.RouteProvider):
    """Serve requests to services at an entry."""

    __slots__ = (
        '_dispatcher',
        '_keyed',
        'limits',
        '_crash_history',
        '_clock',
        '_telemetry',
        '_in_flight',
        '_request_id',
        '_draining',
        'max_body_bytes',
    )

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        keyed: _keyed.KeyedDispatcher,
        limits: _limits.RequestLimits,
        crash_history: backend_servers.CrashHistory,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._keyed = keyed
        self.limits = limits
        self._crash_history = crash_history
        self._clock = time
        self._telemetry = instruments
        self._in_flight = 0
        self._request_id = 0
        self._draining = False
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.route('*', '/services/{service}{tail:.*}', self._handle),)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        self._draining = True
        while self._in_flight:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        errors.check_invariant(
            self._in_flight == 0 or not self._draining,
            'nothing in flight is cut',
            'callers',
        )

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        started_at = self._clock.read_monotonic()
        if self._draining:
            return _make_refusal(503, 'entry leaving', 0.0, close=True)
        self._in_flight += 1
        try:
            return await self._process(request, started_at)
        finally:
            self._in_flight -= 1

    async def _process(
        self, request: web.Request, started_at: float
    ) -> web.StreamResponse:
        try:
            caller = _headers.read_headers(request.headers)
        except ValueError as error:
            return _make_refusal(400, str(error), 0.0)
        body = await self._read_body(request)
        if body is None:
            return _make_refusal(413, 'body too large', 0.0, close=True)
        self._request_id += 1
        reply, status = await self._dispatch(
            _attempts.CallerRequest(
                self._request_id,
                identifiers.ServiceName(request.match_info['service']),
                request.method,
                _extract_target(request),
                backend_servers.filter_end_to_end_headers(
                    request.headers.items()
                ),
                body,
                caller,
                started_at + caller.timeout_seconds,
            )
        )
        self._record_metrics(request, caller, reply, started_at)
        return make_response(reply, status)

    async def _dispatch(
        self, request: _attempts.CallerRequest
    ) -> tuple[backend_servers.Reply, int]:
        """Return the reply, and the HTTP status to use if nothing was run."""
        caller = request.caller
        refusal = self._find_refusal(request)
        if caller.key:
            # If the request is refused, the home of the key is still queried,
            # because an earlier request may have run the key.
            reply = await self._keyed.dispatch(
                request, lookup=refusal is not None
            )
            if (
                refusal is not None
                and reply.cause == backend_servers.KEY_NOT_RUN
            ):
                return refusal
            return reply, SERVICE_UNAVAILABLE
        if refusal is not None:
            return refusal
        return await self._dispatcher.dispatch(request), SERVICE_UNAVAILABLE

    def _find_refusal(
        self, request: _attempts.CallerRequest
    ) -> tuple[backend_servers.Reply, int] | None:
        """Return the reply and status of a request that must not run."""
        caller = request.caller
        wait_seconds = self.limits.admit(caller.tenant, caller.request_class)
        if wait_seconds > 0:
            self._telemetry.refusals.add(1, {'cause': OVER_LIMIT_CAUSE})
            return _make_over_limit_reply(wait_seconds), TOO_MANY_REQUESTS
        if self._crash_history.is_empty:
            return None
        fingerprint = request.compute_fingerprint()
        suspicion = self._crash_history.find_hopeless(
            request.service, fingerprint
        )
        if suspicion is None:
            return None
        reply = _make_crash_reply(suspicion, self._clock.read_monotonic())
        LOGGER.warning(
            'A request is refused, as servers went down under it.',
            service=request.service,
            method=request.method,
            target=request.target,
            fingerprint=fingerprint,
            cause=reply.cause,
        )
        self._telemetry.deadly_requests.add(1, {'decision': 'refused'})
        return reply, SERVICE_UNAVAILABLE

    async def _read_body(self, request: web.Request) -> bytes | None:
        length = request.content_length
        if length is not None and length > self.max_body_bytes:
            return None
        if not request.can_read_body:
            return b''
        chunks = bytearray()
        async for chunk in request.content.iter_any():
            chunks += chunk
            if len(chunks) > self.max_body_bytes:
                return None
        return bytes(chunks)

    def _record_metrics(
        self,
        request: web.Request,
        caller: _headers.CallerHeaders,
        reply: backend_servers.Reply,
        started_at: float,
    ) -> None:
        class_name = caller.request_class.value
        self._telemetry.request_latency.record(
            self._clock.read_monotonic() - started_at,
            {'tenant': caller.tenant, 'class': class_name},
        )
        self._telemetry.requests.add(
            1,
            {
                'service': request.match_info['service'],
                'class': class_name,
                'outcome': reply.outcome.value,
            },
        )


def _make_over_limit_reply(
    wait_seconds: float,
) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        OVER_LIMIT_CAUSE,
        retry_after_seconds=wait_seconds,
    )


def _make_crash_reply(
    suspicion: backend_servers.Suspicion, now: float
) -> backend_servers.Reply:
    servers = sorted({crash.worker for crash in suspicion.crashes})
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        f'{len(suspicion.crashes)} crashes of backend servers under equal '
        f'requests, which may have run there: {", ".join(servers)}',
        retry_after_seconds=suspicion.expires_at - now,
    )


def make_response(reply: backend_servers.Reply, status: int) -> web.Response:
    """Return the HTTP response for a reply.

    The status is used only if the outcome is NOT_RUN.
    """
    if reply.outcome is backend_servers.Outcome.NOT_RUN:
        return _make_refusal(status, reply.cause, reply.retry_after_seconds)
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict(reply.headers)
    headers[_headers.OUTCOME_HEADER] = reply.outcome.value
    if reply.outcome is backend_servers.Outcome.UNKNOWN:
        headers[_headers.CAUSE_HEADER] = reply.cause
        if reply.retry_after_seconds:
            headers[_headers.RETRY_AFTER_HEADER] = _format_retry_after(
                reply.retry_after_seconds
            )
        return web.Response(status=504, headers=headers, text='unknown\n')
    return web.Response(status=reply.status, headers=headers, body=reply.body)


def _make_refusal(
    status: int, cause: str, retry_after_seconds: float, *, close: bool = False
) -> web.Response:
    headers = {
        _headers.OUTCOME_HEADER: backend_servers.Outcome.NOT_RUN.value,
        _headers.CAUSE_HEADER: cause,
    }
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        headers[_headers.RETRY_AFTER_HEADER] = _format_retry_after(
            retry_after_seconds
        )
    response = web.Response(
        status=status, headers=headers, text=f'not run: {cause}\n'
    )
    if close:
        response.force_close()
    return response


def _format_retry_after(seconds: float) -> str:
    # Retry-After takes whole seconds only.
    return str(max(1, math.ceil(seconds)))


def _extract_target(request: web.Request) -> str:
    """Return the raw path and query that follow the name of the service."""
    service_path = request.raw_path.removeprefix(SERVICE_PREFIX)
    path_start = min(
        (index for index in map(service_path.find, '/?') if index >= 0),
        default=len(service_path),
    )
    target = service_path[path_start:]
    return target if target.startswith('/') else '/' + target
