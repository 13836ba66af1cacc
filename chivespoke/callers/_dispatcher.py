"""Carry a caller's request to backend servers until its end is known."""

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _headers
from chivespoke.callers import _retries
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import telemetry

IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)
ATTEMPT_LIMIT = 3
# Seconds before the deadline by which a sidecar must have replied.
REPLY_MARGIN = 0.002
# Seconds after which to come back when no server can be told.
DEFAULT_RETRY_AFTER = 1.0


class CallerRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request as it is carried."""

    request_id: int
    service: identifiers.ServiceName
    method: str
    target: str
    headers: backend_servers.HeaderPairs
    body: bytes
    caller: _headers.CallerHeaders
    # This process's monotonic seconds.
    expires_at: float


class Dispatcher:
    """Route, retry and end requests."""

    __slots__ = ('_registry', '_policy', '_budget', '_clock', '_telemetry')

    def __init__(
        self,
        registry: backend_servers.Registry,
        policy: backend_servers.RoutingPolicy,
        budget: _retries.RetryBudget,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._registry = registry
        self._policy = policy
        self._budget = budget
        self._clock = time
        self._telemetry = instruments

    async def carry(self, request: CallerRequest) -> backend_servers.Reply:
        """Return the end of a request, in at most a few attempts."""
        self._budget.note_request()
        tried: set[identifiers.Incarnation] = set()
        last = _refuse('no backend server takes work')
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            server = self._choose(request, tried)
            remaining = request.expires_at - self._clock.read_monotonic()
            if server is None or remaining <= REPLY_MARGIN:
                break
            if attempt > 1 and not self._budget.take():
                break
            tried.add(server.peer.incarnation)
            reply = await self._attempt(request, server, attempt, remaining)
            last = _join(last, reply)
            if not _may_retry(request, reply):
                break
            self._telemetry.retries.add(1, {'cause': reply.cause})
        return last

    def _choose(
        self,
        request: CallerRequest,
        tried: set[identifiers.Incarnation],
    ) -> backend_servers.ServerView | None:
        candidates = [
            server
            for server in self._registry.list_servers(request.service)
            if server.is_open() and server.peer.incarnation not in tried
        ]
        return self._policy.choose(candidates) if candidates else None

    async def _attempt(
        self,
        request: CallerRequest,
        server: backend_servers.ServerView,
        attempt: int,
        remaining: float,
    ) -> backend_servers.Reply:
        begun = self._clock.read_monotonic()
        reply = await self._registry.call(
            server,
            backend_servers.Dispatch(
                self._registry.make_sequence(),
                request.request_id,
                attempt,
                request.method,
                request.target,
                request.headers,
                request.body,
                remaining - REPLY_MARGIN,
                request.caller.request_class,
                request.caller.tenant,
                request.caller.key,
            ),
        )
        if reply.outcome is backend_servers.Outcome.ANSWERED:
            server.observe_run(self._clock.read_monotonic() - begun)
        return reply


def _refuse(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        cause,
        retry_after=DEFAULT_RETRY_AFTER,
    )


def _may_retry(request: CallerRequest, reply: backend_servers.Reply) -> bool:
    if reply.outcome is backend_servers.Outcome.NOT_RUN:
        return True
    if reply.outcome is backend_servers.Outcome.UNKNOWN:
        return request.method in IDEMPOTENT_METHODS
    return False


def _join(
    before: backend_servers.Reply, reply: backend_servers.Reply
) -> backend_servers.Reply:
    """Return the end of two attempts: "not run" only if neither ran."""
    if (
        reply.outcome is backend_servers.Outcome.NOT_RUN
        and before.outcome is backend_servers.Outcome.UNKNOWN
    ):
        return before
    return reply
