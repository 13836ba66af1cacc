"""One attempt of a caller's request at one backend server."""

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _headers
from chivespoke import clock
from chivespoke import identifiers

# A timeout counts as a failure of the server only if the attempt had more
# than this multiple of the server's average latency; shorter deadlines are
# the caller's choice.
SERVER_FAULT_LATENCY_FACTOR = 3.0


class CallerRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request while it is being dispatched."""

    request_id: int
    service: identifiers.ServiceName
    method: str
    target: str
    headers: backend_servers.HeaderPairs
    body: bytes
    caller: _headers.CallerHeaders
    # Deadline: reading of this process's monotonic clock, in seconds.
    expires_at: float

    def compute_fingerprint(self) -> str:
        """Return an identifier that equal requests of a tenant share."""
        return backend_servers.compute_fingerprint(
            self.caller.tenant, self.method, self.target, self.body
        )


class AttemptRunner:
    """Run attempts and record their results in the registry."""

    __slots__ = ('_registry', '_clock')

    def __init__(
        self, registry: backend_servers.Registry, time: clock.Clock
    ) -> None:
        self._registry = registry
        self._clock = time

    async def run(
        self,
        request: CallerRequest,
        server: backend_servers.ServerView,
        attempt: int,
        homes_version: int = 0,
        lookup: bool = False,
    ) -> backend_servers.Reply:
        """Run an attempt and return its reply.

        This ends at the latest one revoke timeout after the deadline.
        With lookup, the server only reports on the key and starts no run.
        """
        started_at = self._clock.read_monotonic()
        remaining_seconds = (
            request.expires_at
            - started_at
            - backend_servers.REPLY_MARGIN_SECONDS
        )
        if remaining_seconds <= 0:
            return backend_servers.Reply(
                0, backend_servers.Outcome.UNKNOWN, 'deadline passed'
            )
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
                remaining_seconds,
                request.caller.request_class,
                request.caller.tenant,
                request.caller.key,
                homes_version,
                lookup,
            ),
        )
        self._record_result(server, reply, remaining_seconds, started_at)
        history = self._registry.crash_history
        if (
            reply.outcome is backend_servers.Outcome.ANSWERED
            and not history.is_empty
        ):
            history.record_answer(
                request.service, request.compute_fingerprint()
            )
        return reply

    def _record_result(
        self,
        server: backend_servers.ServerView,
        reply: backend_servers.Reply,
        remaining_seconds: float,
        started_at: float,
    ) -> None:
        if reply.outcome is backend_servers.Outcome.NOT_RUN:
            return
        now = self._clock.read_monotonic()
        elapsed = now - started_at
        if reply.broke_off and not server.record_break(started_at, now):
            return
        if reply.outcome is backend_servers.Outcome.ANSWERED:
            self._registry.record_result(server, elapsed, reply.status >= 500)
        elif (
            remaining_seconds
            > SERVER_FAULT_LATENCY_FACTOR * server.latency_seconds
        ):
            self._registry.record_result(server, elapsed, failed=True)
