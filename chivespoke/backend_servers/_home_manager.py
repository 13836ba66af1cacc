"""Management of home lists, and resolution of idempotency keys to homes.

Every entry follows the home lists in the log and proposes changes to them.
"""

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

# Maximum age of the last confirmed read of the home list at which keys are
# dispatched. An entry that has missed a change stops dispatching keys by
# then, so that a lost home can be fenced.
MAX_LIST_AGE_SECONDS = 600.0
# Time without a connection after which a home is removed from the list.
LOST_TIMEOUT_SECONDS = 10.0
# Time for which the keys of a departed home are kept. By then, no home list
# contains the home any longer.
DEPARTED_RETENTION_SECONDS = 3600.0
# Maximum time by which one entry's clock may run ahead of another's.
CLOCK_MARGIN_SECONDS = 5.0
# Longest time that a request may have until its deadline.
MAX_DEADLINE_SECONDS = 60.0


class HomeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the time limits of home lists, in seconds."""

    key_retention_seconds: float = _keys.KEY_RETENTION_SECONDS
    max_list_age_seconds: float = MAX_LIST_AGE_SECONDS
    lost_timeout_seconds: float = LOST_TIMEOUT_SECONDS
    tick_seconds: float = 0.5
    max_deadline_seconds: float = MAX_DEADLINE_SECONDS
    clock_margin_seconds: float = CLOCK_MARGIN_SECONDS


class _ServiceHomes:
    """Hold what this entry knows about the home lists of one service."""

    __slots__ = (
        'follower',
        'snapshotter',
        'acknowledged',
        'missing_since',
        'fenced_since',
        'removed_since',
        'proposals',
    )

    def __init__(
        self,
        follower: replication.Follower[_homes.HomesFold],
        snapshotter: replication.Snapshotter,
    ) -> None:
        self.follower = follower
        self.snapshotter = snapshotter
        # Time at which this entry first saw a sidecar announce this version
        # or a newer one.
        self.acknowledged: dict[
            tuple[identifiers.Incarnation, int], float
        ] = {}
        # Times since which a home has not been connected, has not been on
        # the newest list, or has been fenced, as seen by this entry.
        self.missing_since: dict[identifiers.Incarnation, float] = {}
        self.removed_since: dict[identifiers.Incarnation, float] = {}
        self.fenced_since: dict[identifiers.Incarnation, float] = {}
        # Proposals without a result yet.
        self.proposals: list[asyncio.Future[identifiers.Offset]] = []


class Resolution(msgspec.Struct, frozen=True):
    """Hold the home of a key and the former homes to query first."""

    version: int
    home: identifiers.Incarnation
    # Sidecars that may have run the key.
    former: tuple[identifiers.Incarnation, ...]


class HomeManager(application.Component):
    """Follow home lists, propose changes to them and resolve keys.

    If several entries propose changes, the order in the log decides.
    """

    __slots__ = (
        '_streams',
        '_registry',
        '_clock',
        '_limits',
        '_services',
        '_handed_over_keys',
        '_departed_at',
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
        self._services: dict[identifiers.ServiceName, _ServiceHomes] = {}
        # Keys that each departed sidecar had run, with their expiry.
        self._handed_over_keys: dict[
            identifiers.Incarnation, dict[str, float]
        ] = {}
        self._departed_at: dict[identifiers.Incarnation, float] = {}
        self._tasks = application.TaskOwner()
        handlers.register(_messages.Farewell, self.handle_farewell)

    async def start(self) -> None:
        self._tasks.spawn_loop(self._run_loop)

    async def stop(self) -> None:
        await self._tasks.cancel()
        for service in self._services.values():
            await service.snapshotter.stop()
            await service.follower.stop()

    def resolve(
        self, service: identifiers.ServiceName, key: str
    ) -> Resolution | None:
        """Return the homes of a key; None if they are not certain."""
        service_homes = self._services.get(service)
        if (
            service_homes is None
            or service_homes.follower.measure_read_age()
            > self._limits.max_list_age_seconds
        ):
            return None
        key_homes = _homes.find_key_homes(
            service_homes.follower.fold.state, key
        )
        if key_homes is None:
            return None
        former = tuple(
            home
            for version, home in key_homes.former
            if not self._are_keys_expired(service_homes, home, version)
        )
        return Resolution(key_homes.version, key_homes.home, former)

    def read_version(self, service: identifiers.ServiceName) -> int:
        """Return the version of the newest known list; 0 if there is none."""
        service_homes = self._services.get(service)
        return (
            0
            if service_homes is None
            else service_homes.follower.fold.current.version
        )

    def count_homes(self, service: identifiers.ServiceName) -> int:
        """Return the number of homes on the newest known list."""
        service_homes = self._services.get(service)
        return (
            0
            if service_homes is None
            else len(service_homes.follower.fold.current.homes)
        )

    def check_departed_home(
        self, home: identifiers.Incarnation, key: str
    ) -> bool | None:
        """Return whether a departed home has run a key.

        None if the home has not handed over its keys.
        """
        if home not in self._departed_at:
            return None
        keys = self._handed_over_keys[home]
        return keys.get(key, 0.0) > self._clock.read_monotonic()

    async def _run_loop(self) -> None:
        while True:
            for server in self._registry.list_all():
                await self._follow_service(server.announcement.service)
            for name, service in self._services.items():
                self._update_observations(name, service)
                self._propose(name, service)
            await self._clock.sleep(self._limits.tick_seconds)

    async def _follow_service(self, name: identifiers.ServiceName) -> None:
        if name in self._services:
            return
        self._services[name] = _ServiceHomes(*await self._streams.open(name))

    def _update_observations(
        self, name: identifiers.ServiceName, service: _ServiceHomes
    ) -> None:
        """Record when changes of the homes were first seen."""
        now = self._clock.read_monotonic()
        state = service.follower.fold.state
        present = set()
        for server in self._registry.list_servers(name):
            home = server.peer.incarnation
            present.add(home)
            known = server.announcement.homes_version
            if known < state.lists[-1].version:
                self._registry.send_message(
                    server, _messages.HomesVersion(state.lists[-1].version)
                )
            for version in range(state.lists[0].version, known + 1):
                service.acknowledged.setdefault((home, version), now)
        for home in state.fenced:
            service.fenced_since.setdefault(home, now)
        listed = {home for item in state.lists for home in item.homes}
        for home in listed:
            if home in state.lists[-1].homes:
                service.removed_since.pop(home, None)
            else:
                service.removed_since.setdefault(home, now)
            if home in present:
                service.missing_since.pop(home, None)
            else:
                service.missing_since.setdefault(home, now)
        self._prune(service, listed, now)

    def _prune(
        self,
        service: _ServiceHomes,
        listed: set[identifiers.Incarnation],
        now: float,
    ) -> None:
        oldest = service.follower.fold.state.lists[0].version
        for pair in tuple(service.acknowledged):
            if pair[0] not in listed or pair[1] < oldest:
                del service.acknowledged[pair]
        for times in (
            service.missing_since,
            service.removed_since,
            service.fenced_since,
        ):
            for home in tuple(times):
                if home not in listed:
                    del times[home]
        oldest_departure = now - DEPARTED_RETENTION_SECONDS
        for home, since in tuple(self._departed_at.items()):
            if since < oldest_departure:
                del self._departed_at[home]
                self._handed_over_keys.pop(home, None)

    def _are_keys_expired(
        self,
        service: _ServiceHomes,
        home: identifiers.Incarnation,
        version: int,
    ) -> bool:
        """Return whether all keys that a home ran up to a version expired."""
        acknowledged = service.acknowledged.get((home, version + 1))
        fenced = service.fenced_since.get(home)
        times = [item for item in (acknowledged, fenced) if item is not None]
        if not times:
            return False
        # The last run may end up to one deadline after the home learned of
        # the next version, or was fenced. Its key is retained from then on.
        limits = self._limits
        expiry_delay_seconds = (
            limits.key_retention_seconds
            + limits.max_deadline_seconds
            + limits.clock_margin_seconds
        )
        return self._clock.read_monotonic() > min(times) + expiry_delay_seconds

    def _propose(
        self, name: identifiers.ServiceName, service: _ServiceHomes
    ) -> None:
        service.proposals = [
            item for item in service.proposals if not item.done()
        ]
        if service.proposals or not service.follower.replica.is_ready:
            return
        state = service.follower.fold.state
        change = self._find_change(name, service)
        if change is not None:
            self._submit(name, service, change)
        for home in self._find_fenceable(name, service):
            if home not in state.fenced:
                self._submit(name, service, _homes.Fence(home))
        for item in state.lists[:-1]:
            expired = all(
                self._are_keys_expired(service, home, item.version)
                for home in item.homes
            )
            if not expired:
                break
            self._submit(name, service, _homes.Forget(item.version))

    def _find_change(
        self, name: identifiers.ServiceName, service: _ServiceHomes
    ) -> _homes.Change | None:
        state = service.follower.fold.state
        current = state.lists[-1]
        now = self._clock.read_monotonic()
        servers = self._registry.list_servers(name)
        available_homes = {
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
            for home, since in service.missing_since.items()
            if now - since > self._limits.lost_timeout_seconds
        }
        # If most homes seem lost, this entry itself is probably cut off. It
        # then ignores the loss of homes that have not handed over their keys.
        if len(lost) * 2 > max(len(current.homes), 2):
            lost &= self._departed_at.keys()
        departed = leaving | lost | self._departed_at.keys()
        departed |= self._registry.list_replaced()
        removed = departed.intersection(current.homes)
        joining = available_homes.difference(current.homes, state.fenced)
        if not removed and not joining:
            return None
        return _homes.Change(
            current.version, tuple(sorted(joining)), tuple(sorted(removed))
        )

    def _find_fenceable(
        self, name: identifiers.ServiceName, service: _ServiceHomes
    ) -> set[identifiers.Incarnation]:
        """Return the removed homes that can run no further request.

        These are homes that departed or have ended, and homes removed so
        long ago that every entry has either read the removal or stopped
        dispatching keys.
        """
        now = self._clock.read_monotonic()
        limits = self._limits
        fence_delay_seconds = (
            limits.max_list_age_seconds
            + limits.max_deadline_seconds
            + limits.clock_margin_seconds
        )
        ended = self._registry.list_ended()
        return {
            home
            for home, since in service.removed_since.items()
            if home in self._departed_at
            or home in ended
            or now - since > fence_delay_seconds
        }

    def _submit(
        self,
        name: identifiers.ServiceName,
        service: _ServiceHomes,
        record: _homes.HomeRecord,
    ) -> None:
        try:
            service.proposals.append(self._streams.submit(name, record))
        except errors.RefusedError as error:
            LOGGER.warning(
                'Could not propose a change of the home list.', error=error
            )

    async def handle_farewell(
        self, peer: entries.Peer, farewell: _messages.Farewell
    ) -> None:
        """Store the keys that a leaving sidecar hands over."""
        now = self._clock.read_monotonic()
        keys = self._handed_over_keys.setdefault(peer.incarnation, {})
        for key, seconds in farewell.keys:
            keys[key] = now + seconds
        # Otherwise it counts as killed: each key may have run there.
        if farewell.final and len(keys) >= farewell.total:
            self._departed_at[peer.incarnation] = now
            peer.send(_messages.FarewellNoted())
