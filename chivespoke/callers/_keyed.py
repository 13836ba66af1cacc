"""Carry requests that have a key: at most one run in the window."""

import asyncio

import msgspec

from chivespoke import backend_servers
from chivespoke.callers import _attempts
from chivespoke import clock
from chivespoke import identifiers

ROUND_LIMIT = 4
# Seconds for which a request waits for a service's first home list.
FIRST_LIST_SECONDS = 5.0
# Seconds between looks for a newer home list.
REFRESH_POLL = 0.02
# Seconds after which to ask again about a key whose home is not certain.
UNCERTAIN_RETRY_AFTER = 1.0
# What a sidecar says that proves nothing about earlier attempts.
UNPROVEN = frozenset(
    (backend_servers.NOT_CONNECTED, backend_servers.DISPATCH_NOT_RECEIVED)
)


class KeyedDispatcher:
    """Ask the former homes of a key, then run it at its home.

    "Not run" is said only when the home has answered that the key has not
    run; whatever else is lost on the way makes the outcome unknown.
    """

    __slots__ = ('_attempts', '_home_manager', '_registry', '_clock')

    def __init__(
        self,
        attempts: _attempts.Attempts,
        home_manager: backend_servers.HomeManager,
        registry: backend_servers.Registry,
        time: clock.Clock,
    ) -> None:
        self._attempts = attempts
        self._home_manager = home_manager
        self._registry = registry
        self._clock = time

    async def carry(
        self, request: _attempts.CallerRequest, lookup: bool = False
    ) -> backend_servers.Reply:
        """Return the end of a request; with lookup start no run."""
        reply = _doubt('home of the key is not certain')
        for round_number in range(1, ROUND_LIMIT + 1):
            found = await self._resolve(request)
            if found is None:
                return reply
            reply = await self._ask_all(request, found, round_number, lookup)
            if reply.cause != backend_servers.STALE_HOME_LIST:
                return reply
            await self._refresh(request, reply.homes_version)
            reply = _doubt(reply.cause)
        return reply

    async def _resolve(
        self, request: _attempts.CallerRequest
    ) -> backend_servers.Resolution | None:
        """Resolve a key; wait a little for a service's very first list."""
        patience = min(FIRST_LIST_SECONDS, request.caller.deadline / 2)
        begun = request.expires_at - request.caller.deadline
        while True:
            found = self._home_manager.resolve(
                request.service, request.caller.key
            )
            waited = self._clock.read_monotonic() - begun
            is_first = self._home_manager.read_version(request.service) == 0
            if found is not None or not is_first or waited > patience:
                return found
            await asyncio.sleep(REFRESH_POLL)

    async def _ask_all(
        self,
        request: _attempts.CallerRequest,
        found: backend_servers.Resolution,
        attempt: int,
        lookup: bool,
    ) -> backend_servers.Reply:
        for former in found.former:
            reply = await self._ask_former(request, found, former, attempt)
            if reply.cause != backend_servers.KEY_NOT_RUN:
                return reply
        server = self._registry.find(found.home)
        if server is None:
            return _doubt('home of the key is lost')
        is_available = server.is_available(self._clock.read_monotonic())
        reply = await self._attempts.run(
            request,
            server,
            attempt,
            homes_version=found.version,
            lookup=lookup or not is_available,
        )
        return _weigh(reply)

    async def _ask_former(
        self,
        request: _attempts.CallerRequest,
        found: backend_servers.Resolution,
        former: identifiers.Incarnation,
        attempt: int,
    ) -> backend_servers.Reply:
        has_run = self._home_manager.check_departed_home(
            former, request.caller.key
        )
        if has_run is not None:
            return _tell_inherited(has_run)
        server = self._registry.find(former)
        if server is None:
            return _doubt('a former home of the key is lost')
        reply = await self._attempts.run(
            request,
            server,
            attempt,
            homes_version=found.version,
            lookup=True,
        )
        return _weigh(reply)

    async def _refresh(
        self, request: _attempts.CallerRequest, version: int
    ) -> None:
        """Wait until the list is known that a sidecar has seen."""
        while self._home_manager.read_version(request.service) < version:
            if self._clock.read_monotonic() >= request.expires_at:
                return
            await asyncio.sleep(REFRESH_POLL)


def _tell_inherited(has_run: bool) -> backend_servers.Reply:
    if has_run:
        return _doubt('ran at a backend server that has left')
    return backend_servers.Reply(
        0, backend_servers.Outcome.NOT_RUN, backend_servers.KEY_NOT_RUN
    )


def _doubt(cause: str) -> backend_servers.Reply:
    return backend_servers.Reply(
        0,
        backend_servers.Outcome.UNKNOWN,
        cause,
        retry_after_seconds=UNCERTAIN_RETRY_AFTER,
    )


def _weigh(reply: backend_servers.Reply) -> backend_servers.Reply:
    if reply.cause not in UNPROVEN:
        return reply
    return msgspec.structs.replace(
        reply,
        outcome=backend_servers.Outcome.UNKNOWN,
        retry_after_seconds=UNCERTAIN_RETRY_AFTER,
    )
