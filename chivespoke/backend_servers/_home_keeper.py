"""Keep the home lists of services in the log, and resolve keys to homes."""

import asyncio

import msgspec

from chivespoke import application
from chivespoke.backend_servers import _home_streams
from chivespoke.backend_servers import _homes
from chivespoke.backend_servers import _keys
from chivespoke.backend_servers import _messages
from chivespoke.backend_servers import _registry
from chivespoke import clock
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import replication

LOGGER = logs.make_logger('homes')

# Seconds without a proof of the list after which no key is dispatched. An
# entry that never saw a change stops by then, which fences a lost home.
BLIND_LIMIT = 600.0
# Seconds of silence after which a home is taken off the list.
LOST_SECONDS = 10.0
# Seconds for which a farewell is kept; by then its home is forgotten.
DEPARTED_SECONDS = 3600.0
# Seconds for which one entry's clock may run ahead of another's.
MARGIN = 5.0
LONGEST_DEADLINE = 60.0


class HomeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the times of the homes, in seconds."""

    window: float = _keys.KEY_WINDOW
    blind: float = BLIND_LIMIT
    lost: float = LOST_SECONDS
    tick: float = 0.5
    longest_deadline: float = LONGEST_DEADLINE
    margin: float = MARGIN


class _Service:
    """Follow the homes of one service."""

    __slots__ = (
        'follower',
        'snapshotter',
        'acknowledged',
        'missing',
        'fenced',
        'left',
        'proposals',
    )

    def __init__(
        self,
        follower: replication.Follower[_homes.HomesFold],
        snapshotter: replication.Snapshotter,
    ) -> None:
        self.follower = follower
        self.snapshotter = snapshotter
        # When a sidecar was first known to know at least a version.
        self.acknowledged: dict[
            tuple[identifiers.Incarnation, int], float
        ] = {}
        # Since when a home is missing, off the list, or fenced, as seen here.
        self.missing: dict[identifiers.Incarnation, float] = {}
        self.left: dict[identifiers.Incarnation, float] = {}
        self.fenced: dict[identifiers.Incarnation, float] = {}
        # Proposals whose fate is not known yet.
        self.proposals: list[asyncio.Future[identifiers.Offset]] = []


class Resolution(msgspec.Struct, frozen=True):
    """Tell where to ask about a key, and where it may run."""

    version: int
    home: identifiers.Incarnation
    # Sidecars that may have run it and must be asked first.
    former: tuple[identifiers.Incarnation, ...]


class HomeKeeper(application.Component):
    """Follow, propose and resolve; the log's order decides."""

    __slots__ = (
        '_streams',
        '_registry',
        '_clock',
        '_limits',
        '_services',
        '_inherited',
        '_departed',
        '_tasks',
    )

    def __init__(
        self,
        streams: _home_streams.HomeStreams,
        registry: _registry.Registry,
        handlers: entries.Handlers,
        time: clock.Clock,
        limits: HomeLimits,
    ) -> None:
        self._streams = streams
        self._registry = registry
        self._clock = time
        self._limits = limits
        self._services: dict[identifiers.ServiceName, _Service] = {}
        # Keys that a sidecar had run when it said farewell, and until when.
        self._inherited: dict[identifiers.Incarnation, dict[str, float]] = {}
        self._departed: dict[identifiers.Incarnation, float] = {}
        self._tasks = application.TaskOwner()
        handlers.register(_messages.Farewell, self._handle_farewell)

    async def start(self) -> None:
        self._tasks.spawn(self._watch())

    async def stop(self) -> None:
        await self._tasks.cancel()
        for service in self._services.values():
            await service.snapshotter.stop()
            await service.follower.stop()

    def resolve(
        self, service: identifiers.ServiceName, key: str
    ) -> Resolution | None:
        """Return where a key belongs; None when that is not certain."""
        held = self._services.get(service)
        if (
            held is None
            or held.follower.measure_read_age() > self._limits.blind
        ):
            return None
        chain = _homes.find_chain(held.follower.fold.state, key)
        if chain is None:
            return None
        former = tuple(
            home
            for version, home in chain.former
            if not self._is_cleared(held, home, version)
        )
        return Resolution(chain.version, chain.home, former)

    def read_version(self, service: identifiers.ServiceName) -> int:
        """Return the version of the newest list that is known here."""
        held = self._services.get(service)
        return 0 if held is None else held.follower.fold.current.version

    def count_homes(self, service: identifiers.ServiceName) -> int:
        """Return the number of homes on the newest list known here."""
        held = self._services.get(service)
        return 0 if held is None else len(held.follower.fold.current.homes)

    def find_inherited(
        self, home: identifiers.Incarnation, key: str
    ) -> bool | None:
        """Tell whether a home that left had run a key.

        None if it has not left, or without handing over what it ran.
        """
        if home not in self._departed:
            return None
        keys = self._inherited[home]
        return keys.get(key, 0.0) > self._clock.read_monotonic()

    async def _watch(self) -> None:
        while True:
            for server in self._registry.list_all():
                await self._open(server.announcement.service)
            for name, service in self._services.items():
                self._note(name, service)
                self._propose(name, service)
            await self._clock.sleep(self._limits.tick)

    async def _open(self, name: identifiers.ServiceName) -> None:
        if name in self._services:
            return
        self._services[name] = _Service(*await self._streams.open(name))

    def _note(self, name: identifiers.ServiceName, service: _Service) -> None:
        """Note when facts about the homes were first seen."""
        now = self._clock.read_monotonic()
        state = service.follower.fold.state
        present = set()
        for server in self._registry.list_servers(name):
            home = server.peer.incarnation
            present.add(home)
            known = server.announcement.homes_version
            if known < state.lists[-1].version:
                self._registry.tell(
                    server, _messages.HomesVersion(state.lists[-1].version)
                )
            for version in range(state.lists[0].version, known + 1):
                service.acknowledged.setdefault((home, version), now)
        for home in state.fenced:
            service.fenced.setdefault(home, now)
        listed = {home for each in state.lists for home in each.homes}
        for home in listed:
            if home in state.lists[-1].homes:
                service.left.pop(home, None)
            else:
                service.left.setdefault(home, now)
            if home in present:
                service.missing.pop(home, None)
            else:
                service.missing.setdefault(home, now)
        self._prune(service, listed, now)

    def _prune(
        self,
        service: _Service,
        listed: set[identifiers.Incarnation],
        now: float,
    ) -> None:
        oldest = service.follower.fold.state.lists[0].version
        for pair in tuple(service.acknowledged):
            if pair[0] not in listed or pair[1] < oldest:
                del service.acknowledged[pair]
        for times in (service.missing, service.left, service.fenced):
            for home in tuple(times):
                if home not in listed:
                    del times[home]
        oldest_departure = now - DEPARTED_SECONDS
        for home, since in tuple(self._departed.items()):
            if since < oldest_departure:
                del self._departed[home]
                self._inherited.pop(home, None)

    def _is_cleared(
        self, service: _Service, home: identifiers.Incarnation, version: int
    ) -> bool:
        """Tell whether no key that it ran by a version is remembered."""
        since = service.acknowledged.get((home, version + 1))
        fenced = service.fenced.get(home)
        times = [each for each in (since, fenced) if each is not None]
        if not times:
            return False
        # The end of a run may come a deadline after the proof.
        limits = self._limits
        wait = limits.window + limits.longest_deadline + limits.margin
        return self._clock.read_monotonic() > min(times) + wait

    def _propose(
        self, name: identifiers.ServiceName, service: _Service
    ) -> None:
        service.proposals = [
            each for each in service.proposals if not each.done()
        ]
        if service.proposals or not service.follower.replica.is_ready:
            return
        state = service.follower.fold.state
        change = self._find_change(name, service)
        if change is not None:
            self._submit(name, service, change)
        for home in self._find_fenced(name, service):
            if home not in state.fenced:
                self._submit(name, service, _homes.Fence(home))
        for each in state.lists[:-1]:
            cleared = all(
                self._is_cleared(service, home, each.version)
                for home in each.homes
            )
            if not cleared:
                break
            self._submit(name, service, _homes.Forget(each.version))

    def _find_change(
        self, name: identifiers.ServiceName, service: _Service
    ) -> _homes.Change | None:
        state = service.follower.fold.state
        current = state.lists[-1]
        now = self._clock.read_monotonic()
        servers = self._registry.list_servers(name)
        open_now = {
            server.peer.incarnation
            for server in servers
            if server.announcement.healthy and not server.announcement.leaving
        }
        leaving = {
            server.peer.incarnation
            for server in servers
            if server.announcement.leaving
        }
        lost = {
            home
            for home, since in service.missing.items()
            if now - since > self._limits.lost
        }
        # Whoever hears of few homes is the one that is cut off.
        if len(lost) * 2 > max(len(current.homes), 2):
            lost &= self._departed.keys()
        gone = leaving | lost | self._departed.keys()
        gone |= self._registry.list_replaced()
        off = gone.intersection(current.homes)
        joining = open_now.difference(current.homes, state.fenced)
        if not off and not joining:
            return None
        return _homes.Change(
            current.version, tuple(sorted(joining)), tuple(sorted(off))
        )

    def _find_fenced(
        self, name: identifiers.ServiceName, service: _Service
    ) -> set[identifiers.Incarnation]:
        now = self._clock.read_monotonic()
        limits = self._limits
        bound = limits.blind + limits.longest_deadline + limits.margin
        replaced = self._registry.list_replaced()
        return {
            home
            for home, since in service.left.items()
            if home in self._departed
            or home in replaced
            or now - since > bound
        }

    def _submit(
        self,
        name: identifiers.ServiceName,
        service: _Service,
        record: _homes.HomeRecord,
    ) -> None:
        try:
            service.proposals.append(self._streams.submit(name, record))
        except errors.RefusedError as error:
            LOGGER.warning('A change of homes must wait.', error=error)

    async def _handle_farewell(
        self, peer: entries.Peer, farewell: _messages.Farewell
    ) -> None:
        now = self._clock.read_monotonic()
        keys = self._inherited.setdefault(peer.incarnation, {})
        for key, seconds in farewell.keys:
            keys[key] = now + seconds
        if farewell.final:
            self._departed[peer.incarnation] = now
            peer.send(_messages.FarewellNoted())
