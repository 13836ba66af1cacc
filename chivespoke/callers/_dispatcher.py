"""Carry a caller's request to backend servers until its end is known."""

from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke.callers import _retries
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import telemetry

IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)
ATTEMPT_LIMIT = 3
# Seconds after which to come back when no server can be told.
DEFAULT_RETRY_AFTER = 1.0


class Dispatcher:
    """Route, retry and end requests."""

    __slots__ = (
        '_registry',
        '_policy',
        '_budget',
        '_clock',
        '_telemetry',
        '_attempts',
    )

    def __init__(
        self,
        attempts: _attempts.Attempts,
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
        self._attempts = attempts

    async def carry(
        self, request: _attempts.CallerRequest
    ) -> backend_servers.Reply:
        """Return the end of a request, in at most a few attempts."""
        self._budget.note_request()
        tried: set[identifiers.Incarnation] = set()
        last = _refuse('no backend server takes work')
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            server = self._choose(request, tried)
            if server is None or self._is_late(request):
                break
            if attempt > 1 and not self._budget.take():
                break
            tried.add(server.peer.incarnation)
            reply = await self._attempts.run(request, server, attempt)
            last = _join(last, reply)
            if not _may_retry(request, reply):
                break
            self._telemetry.retries.add(1, {'cause': reply.cause})
        return last

    def _is_late(self, request: _attempts.CallerRequest) -> bool:
        left = request.expires_at - self._clock.read_monotonic()
        return left <= backend_servers.REPLY_MARGIN_SECONDS

    def _choose(
        self,
        request: _attempts.CallerRequest,
        tried: set[identifiers.Incarnation],
    ) -> backend_servers.ServerView | None:
        now = self._clock.read_monotonic()
        candidates = [
            server
            for server in self._registry.list_servers(request.service)
            if server.is_available(now)
            and server.peer.incarnation not in tried
        ]
        return self._policy.choose(candidates) if candidates else None


def _refuse(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        cause,
        retry_after_seconds=DEFAULT_RETRY_AFTER,
    )


def _may_retry(
    request: _attempts.CallerRequest, reply: backend_servers.Reply
) -> bool:
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
