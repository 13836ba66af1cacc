"""Dispatch requests with an idempotency key.

A key runs at most once within its retention time. Each key has a home: the
backend server whose sidecar runs it and keeps its reply for that time. The
home list of a service determines the home of each key.
"""

import asyncio

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke import clock
from chivespoke import identifiers

# Rounds per request. A round queries the former homes and runs the key at its
# home; each round uses a newer home list than the one before.
MAX_ROUNDS = 4
# Maximum time that a request waits for the first home list of its service.
FIRST_HOME_LIST_WAIT_SECONDS = 5.0
# Interval at which a request checks for a newer home list.
REFRESH_POLL_SECONDS = 0.02
# Value of Retry-After when the home of the key is unknown or unreachable.
UNCERTAIN_RETRY_AFTER_SECONDS = 1.0
# Causes of replies that do not show whether an earlier attempt ran.
INCONCLUSIVE_CAUSES = frozenset(
    (backend_servers.NOT_CONNECTED, backend_servers.DISPATCH_NOT_RECEIVED)
)


class KeyedDispatcher:
    """Query the former homes of a key, then run it at its current home.

    The outcome is "not run" only if the home confirms that the key has not
    run. If any query fails, the outcome is "unknown".
    """

    __slots__ = ('_attempt_runner', '_home_manager', '_registry', '_clock')

    def __init__(
        self,
        attempt_runner: _attempts.AttemptRunner,
        home_manager: backend_servers.HomeManager,
        registry: backend_servers.Registry,
        time: clock.Clock,
    ) -> None:
        self._attempt_runner = attempt_runner
        self._home_manager = home_manager
        self._registry = registry
        self._clock = time

    async def dispatch(
        self, request: _attempts.CallerRequest, lookup: bool = False
    ) -> backend_servers.Reply:
        """Return the final reply; with lookup, query only and start no run."""
        reply = _make_unknown_reply('home of the key is not certain')
        for round_number in range(1, MAX_ROUNDS + 1):
            resolution = await self._resolve(request)
            if resolution is None:
                return reply
            reply = await self._run_round(
                request, resolution, round_number, lookup
            )
            if reply.cause != backend_servers.STALE_HOME_LIST:
                return reply
            await self._wait_for_home_list(request, reply.homes_version)
            reply = _make_unknown_reply(reply.cause)
        return reply

    async def _resolve(
        self, request: _attempts.CallerRequest
    ) -> backend_servers.Resolution | None:
        """Return the homes of a key, or None if they are uncertain.

        Wait a limited time if the service has no home list yet.
        """
        max_wait_seconds = min(
            FIRST_HOME_LIST_WAIT_SECONDS, request.caller.timeout_seconds / 2
        )
        started_at = request.expires_at - request.caller.timeout_seconds
        while True:
            resolution = self._home_manager.resolve(
                request.service, request.caller.key
            )
            waited = self._clock.read_monotonic() - started_at
            is_first = self._home_manager.read_version(request.service) == 0
            if (
                resolution is not None
                or not is_first
                or waited > max_wait_seconds
            ):
                return resolution
            await asyncio.sleep(REFRESH_POLL_SECONDS)

    async def _run_round(
        self,
        request: _attempts.CallerRequest,
        resolution: backend_servers.Resolution,
        attempt: int,
        lookup: bool,
    ) -> backend_servers.Reply:
        for former in resolution.former:
            reply = await self._look_up_former_home(
                request, resolution, former, attempt
            )
            if reply.cause != backend_servers.KEY_NOT_RUN:
                return reply
        server = self._registry.find(resolution.home)
        if server is None:
            return _make_unknown_reply('home of the key is lost')
        is_available = server.is_available(self._clock.read_monotonic())
        reply = await self._attempt_runner.run(
            request,
            server,
            attempt,
            homes_version=resolution.version,
            lookup=lookup or not is_available,
        )
        return _mark_inconclusive(reply)

    async def _look_up_former_home(
        self,
        request: _attempts.CallerRequest,
        resolution: backend_servers.Resolution,
        former: identifiers.Incarnation,
        attempt: int,
    ) -> backend_servers.Reply:
        has_run = self._home_manager.check_departed_home(
            former, request.caller.key
        )
        if has_run is not None:
            return _make_departed_home_reply(has_run)
        server = self._registry.find(former)
        if server is None:
            return _make_unknown_reply('a former home of the key is lost')
        reply = await self._attempt_runner.run(
            request,
            server,
            attempt,
            homes_version=resolution.version,
            lookup=True,
        )
        return _mark_inconclusive(reply)

    async def _wait_for_home_list(
        self, request: _attempts.CallerRequest, version: int
    ) -> None:
        """Wait until the home list has the version that a sidecar reported."""
        while self._home_manager.read_version(request.service) < version:
            if self._clock.read_monotonic() >= request.expires_at:
                return
            await asyncio.sleep(REFRESH_POLL_SECONDS)


def _make_departed_home_reply(has_run: bool) -> backend_servers.Reply:
    if has_run:
        return _make_unknown_reply('ran at a backend server that has left')
    return backend_servers.Reply(
        0, backend_servers.Outcome.NOT_RUN, backend_servers.KEY_NOT_RUN
    )


def _make_unknown_reply(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.UNKNOWN,
        cause,
        retry_after_seconds=UNCERTAIN_RETRY_AFTER_SECONDS,
    )


def _mark_inconclusive(reply: backend_servers.Reply) -> backend_servers.Reply:
    """Return the reply, with outcome UNKNOWN if it is inconclusive."""
    if reply.cause not in INCONCLUSIVE_CAUSES:
        return reply
    return msgspec.structs.replace(
        reply,
        outcome=backend_servers.Outcome.UNKNOWN,
        retry_after_seconds=UNCERTAIN_RETRY_AFTER_SECONDS,
    )
