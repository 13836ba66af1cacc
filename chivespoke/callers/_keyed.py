"""Carry requests that have a key: at most one run in the window."""

import asyncio

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke import clock
from chivespoke import identifiers

MAX_ROUNDS = 4
# Seconds for which a request waits for a service's first home list.
FIRST_HOME_LIST_WAIT_SECONDS = 5.0
# Seconds between looks for a newer home list.
REFRESH_POLL_SECONDS = 0.02
# Seconds after which to ask again about a key whose home is not certain.
UNCERTAIN_RETRY_AFTER_SECONDS = 1.0
# What a sidecar says that proves nothing about earlier attempts.
INCONCLUSIVE_CAUSES = frozenset(
    (backend_servers.NOT_CONNECTED, backend_servers.NEVER_CAME)
)


class KeyedDispatcher:
    """Ask the former homes of a key, then run it at its home.

    "Not run" is said only when the home has answered that the key has not
    run; whatever else is lost on the way makes the outcome unknown.
    """

    __slots__ = ('_attempts', '_keeper', '_registry', '_clock')

    def __init__(
        self,
        attempts: _attempts.AttemptRunner,
        keeper: backend_servers.HomeKeeper,
        registry: backend_servers.Registry,
        time: clock.Clock,
    ) -> None:
        self._attempts = attempts
        self._keeper = keeper
        self._registry = registry
        self._clock = time

    async def dispatch(
        self, request: _attempts.CallerRequest, lookup: bool = False
    ) -> backend_servers.Reply:
        """Return the end of a request; with lookup start no run."""
        reply = _make_unknown_reply('home of the key is not certain')
        for round_number in range(1, MAX_ROUNDS + 1):
            resolution = await self._resolve(request)
            if resolution is None:
                return reply
            reply = await self._run_round(
                request, resolution, round_number, lookup
            )
            if reply.cause != backend_servers.STALE_HOMES:
                return reply
            await self._wait_for_home_list(request, reply.homes_version)
            reply = _make_unknown_reply(reply.cause)
        return reply

    async def _resolve(
        self, request: _attempts.CallerRequest
    ) -> backend_servers.Resolution | None:
        """Resolve a key; wait a little for a service's very first list."""
        max_wait_seconds = min(
            FIRST_HOME_LIST_WAIT_SECONDS, request.caller.timeout_seconds / 2
        )
        started_at = request.expires_at - request.caller.timeout_seconds
        while True:
            resolution = self._keeper.resolve(
                request.service, request.caller.key
            )
            waited = self._clock.read_monotonic() - started_at
            is_first = self._keeper.read_version(request.service) == 0
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
            if reply.cause != backend_servers.KEY_FREE:
                return reply
        server = self._registry.find(resolution.home)
        if server is None:
            return _make_unknown_reply('home of the key is lost')
        is_open = server.is_open(self._clock.read_monotonic())
        reply = await self._attempts.run(
            request,
            server,
            attempt,
            homes_version=resolution.version,
            lookup=lookup or not is_open,
        )
        return _mark_inconclusive(reply)

    async def _look_up_former_home(
        self,
        request: _attempts.CallerRequest,
        resolution: backend_servers.Resolution,
        former: identifiers.Incarnation,
        attempt: int,
    ) -> backend_servers.Reply:
        has_run = self._keeper.find_inherited(former, request.caller.key)
        if has_run is not None:
            return _make_inherited_reply(has_run)
        server = self._registry.find(former)
        if server is None:
            return _make_unknown_reply('a former home of the key is lost')
        reply = await self._attempts.run(
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
        """Wait until the list is known that a sidecar has seen."""
        while self._keeper.read_version(request.service) < version:
            if self._clock.read_monotonic() >= request.expires_at:
                return
            await asyncio.sleep(REFRESH_POLL_SECONDS)


def _make_inherited_reply(has_run: bool) -> backend_servers.Reply:
    if has_run:
        return _make_unknown_reply('ran at a backend server that has left')
    return backend_servers.Reply(
        0, backend_servers.Outcome.NOT_RUN, backend_servers.KEY_FREE
    )


def _make_unknown_reply(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.UNKNOWN,
        cause,
        retry_after=UNCERTAIN_RETRY_AFTER_SECONDS,
    )


def _mark_inconclusive(reply: backend_servers.Reply) -> backend_servers.Reply:
    if reply.cause not in INCONCLUSIVE_CAUSES:
        return reply
    return msgspec.structs.replace(
        reply,
        outcome=backend_servers.Outcome.UNKNOWN,
        retry_after=UNCERTAIN_RETRY_AFTER_SECONDS,
    )
