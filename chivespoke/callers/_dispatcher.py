"""Dispatch a request without a key to backend servers, with retries."""

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke.callers import _retries
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import telemetry

LOGGER = logs.make_logger('dispatcher')

IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)
MAX_ATTEMPTS = 3
# Attempts whose outcome is unknown. Such a request may itself be what takes
# the backend servers down.
MAX_UNKNOWN_ATTEMPTS = 2
# Value of Retry-After when no backend server accepts the request.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


class Dispatcher:
    """Route requests to backend servers and retry them where that is safe."""

    __slots__ = (
        '_registry',
        '_policy',
        '_budget',
        '_clock',
        '_telemetry',
        '_attempt_runner',
    )

    def __init__(
        self,
        attempt_runner: _attempts.AttemptRunner,
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
        self._attempt_runner = attempt_runner

    async def dispatch(
        self, request: _attempts.CallerRequest
    ) -> backend_servers.Reply:
        """Return the final reply after at most MAX_ATTEMPTS attempts."""
        self._budget.record_request()
        tried: set[identifiers.Incarnation] = set()
        # Names of the servers that may have run the request.
        unknown_at: list[str] = []
        result = _make_not_run_reply('no backend server takes work')
        for attempt in range(1, MAX_ATTEMPTS + 1):
            server = self._choose(request, tried)
            if server is None or self._is_expired(request):
                break
            if attempt > 1 and not self._budget.try_spend():
                break
            tried.add(server.peer.incarnation)
            reply = await self._attempt_runner.run(request, server, attempt)
            result = _combine(result, reply)
            if not _may_retry(request, reply):
                break
            if reply.outcome is backend_servers.Outcome.UNKNOWN:
                unknown_at.append(server.peer.name)
                if len(unknown_at) >= MAX_UNKNOWN_ATTEMPTS:
                    return self._give_up(request, reply, unknown_at)
            self._telemetry.retries.add(1, {'cause': reply.cause})
        return result

    def _give_up(
        self,
        request: _attempts.CallerRequest,
        reply: backend_servers.Reply,
        servers: list[str],
    ) -> backend_servers.Reply:
        LOGGER.warning(
            'A request is not retried after several unknown outcomes.',
            service=request.service,
            method=request.method,
            target=request.target,
            servers=servers,
            cause=reply.cause,
        )
        self._telemetry.deadly_requests.add(1, {'decision': 'given up'})
        return msgspec.structs.replace(
            reply,
            cause=f'{reply.cause}; may have run at {" and ".join(servers)}',
        )

    def _is_expired(self, request: _attempts.CallerRequest) -> bool:
        remaining_seconds = request.expires_at - self._clock.read_monotonic()
        return remaining_seconds <= backend_servers.REPLY_MARGIN_SECONDS

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


def _make_not_run_reply(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.NOT_RUN,
        cause,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def _may_retry(
    request: _attempts.CallerRequest, reply: backend_servers.Reply
) -> bool:
    if reply.outcome is backend_servers.Outcome.NOT_RUN:
        return True
    if reply.outcome is backend_servers.Outcome.UNKNOWN:
        return request.method in IDEMPOTENT_METHODS
    return False


def _combine(
    previous: backend_servers.Reply, reply: backend_servers.Reply
) -> backend_servers.Reply:
    """Return the combined reply: "not run" only if no attempt ran."""
    if (
        reply.outcome is backend_servers.Outcome.NOT_RUN
        and previous.outcome is backend_servers.Outcome.UNKNOWN
    ):
        return previous
    return reply
