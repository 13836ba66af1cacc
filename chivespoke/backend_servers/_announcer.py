"""Announce a backend server to every entry, and say goodbye."""

import asyncio
import random

import aiohttp
import msgspec

from chivespoke import application
from chivespoke.backend_servers import _executor
from chivespoke.backend_servers import _http
from chivespoke.backend_servers import _messages
from chivespoke import clock
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import settings
from chivespoke import telemetry

LOGGER = logs.make_logger('announcer')

ENTRIES_PATH = '/entries'
BALANCER_TIMEOUT = 2.0
# Heartbeats between two questions to the balancer.
BALANCER_PERIOD = 15
# Silent probes after which the backend server counts as unhealthy.
PROBE_LIMIT = 2
# Keys in one message of a farewell.
KEYS_IN_MESSAGE = 10_000
ENTRIES_DECODER = msgspec.json.Decoder(tuple[entries.EntryAddress, ...])


class Announcer(application.Component):
    """Keep a connection to each entry and announce over it."""

    __slots__ = (
        '_settings',
        '_identity',
        '_handlers',
        '_telemetry',
        '_clock',
        '_backend_server',
        '_executor',
        '_directory',
        '_clients',
        '_tasks',
        '_session',
        '_failed_probes',
        '_leaving',
        '_noted',
        '_told',
        '_farewelled',
    )

    def __init__(
        self,
        sidecar: settings.SidecarSettings,
        identity: entries.Identity,
        handlers: entries.Handlers,
        backend_server: _http.BackendServer,
        executor: _executor.Executor,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._settings = sidecar
        self._identity = identity
        self._handlers = handlers
        self._telemetry = instruments
        self._clock = time
        self._backend_server = backend_server
        self._executor = executor
        self._directory = entries.EntryDirectory(time)
        self._clients: dict[str, entries.MessageClient] = {}
        self._tasks = application.TaskOwner()
        self._session: aiohttp.ClientSession | None = None
        self._failed_probes = PROBE_LIMIT
        self._leaving = False
        self._noted: set[identifiers.Incarnation] = set()
        self._farewelled: set[identifiers.Incarnation] = set()
        # What each entry was last told of the backend server.
        self._told: dict[identifiers.Incarnation, _messages.Announcement] = {}
        handlers.register(entries.Welcome, self._handle_welcome)
        handlers.register(entries.Pulse, self._handle_pulse)
        handlers.register(_messages.LeavingNoted, self._handle_noted)
        handlers.register(_messages.FarewellNoted, self._handle_farewell_noted)
        handlers.register(_messages.Goodbye, self._handle_goodbye)

    async def start(self) -> None:
        self._session = aiohttp.ClientSession()
        self._executor.refusal_cause = 'backend server not ready'
        self._tasks.spawn(self._probe())
        self._tasks.spawn(self._beat())

    async def drain(self) -> None:
        """Announce the leave and wait until every entry has noted it."""
        self._leaving = True
        self._executor.refusal_cause = 'backend server leaving'
        self._announce()
        await self._wait_for(self._noted)

    async def say_farewell(self) -> None:
        """Hand over what has run to every entry; nothing runs after this."""
        keys = self._executor.keys.list_completed(self._clock.read_monotonic())
        for client in self._clients.values():
            for start in range(0, max(1, len(keys)), KEYS_IN_MESSAGE):
                end = start + KEYS_IN_MESSAGE
                message = _messages.Farewell(keys[start:end], end >= len(keys))
                try:
                    client.peer.send(message)
                except errors.RefusedError:
                    break
        await self._wait_for(self._farewelled)

    async def _wait_for(self, seen: set[identifiers.Incarnation]) -> None:
        """Wait until every connected entry has confirmed, within a limit."""
        give_up_at = (
            self._clock.read_monotonic() + self._settings.heartbeat_limit
        )
        while self._clock.read_monotonic() < give_up_at:
            connected = {
                client.peer.incarnation
                for client in self._clients.values()
                if client.is_alive(self._settings.heartbeat_limit)
            }
            if connected <= seen:
                break
            await asyncio.sleep(_executor.DRAIN_POLL)

    async def stop(self) -> None:
        await self._tasks.cancel()
        for client in self._clients.values():
            await client.stop()
        self._clients.clear()
        if self._session is not None:
            await self._session.close()

    async def _probe(self) -> None:
        while True:
            found = await self._backend_server.probe()
            before = self._is_healthy()
            self._note_probe(found)
            if self._is_healthy() != before:
                LOGGER.info('Health changed.', found=found.value)
                self._announce()
            if not self._leaving:
                self._executor.refusal_cause = (
                    '' if self._is_healthy() else 'backend server unhealthy'
                )
            await self._clock.sleep(self._settings.heartbeat_interval)

    def _note_probe(self, found: _http.ProbeResult) -> None:
        if found is _http.ProbeResult.HEALTHY:
            self._failed_probes = 0
        elif found is _http.ProbeResult.LEAVING:
            self._failed_probes = PROBE_LIMIT
        else:
            self._failed_probes += 1

    async def _beat(self) -> None:
        beats = 0
        while True:
            if beats % BALANCER_PERIOD == 0 or not self._hears_entries():
                await self._ask_balancer()
            beats += 1
            await self._adjust_clients()
            self._announce()
            # Jitter keeps the sidecars of a service out of step.
            share = random.uniform(0.9, 1.1)
            await self._clock.sleep(self._settings.heartbeat_interval * share)

    def _hears_entries(self) -> bool:
        limit = self._settings.heartbeat_limit
        return any(client.is_alive(limit) for client in self._clients.values())

    async def _ask_balancer(self) -> None:
        if self._session is None:
            return
        url = self._settings.balancer.format_http() + ENTRIES_PATH
        try:
            async with asyncio.timeout(BALANCER_TIMEOUT):
                async with self._session.get(url) as response:
                    found = ENTRIES_DECODER.decode(await response.read())
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError):
            LOGGER.warning('The balancer gave no list of entries.')
            return
        for entry in found:
            self._directory.add(entry, direct=False)

    async def _adjust_clients(self) -> None:
        wanted = {entry.endpoint for entry in self._directory.list_entries()}
        for endpoint in wanted - self._clients.keys():
            client = entries.MessageClient(
                endpoint,
                self._identity,
                self._handlers,
                self._telemetry,
                self._clock,
            )
            await client.start()
            self._clients[endpoint] = client
        for endpoint in self._clients.keys() - wanted:
            await self._clients.pop(endpoint).stop()

    def _announce(self) -> None:
        announcement = _messages.Announcement(
            self._settings.service,
            self._settings.data_centre,
            self._settings.slots,
            self._settings.queue_limit,
            self._executor.outstanding,
            self._is_healthy(),
            self._leaving,
            self._executor.homes_version,
        )
        told: dict[identifiers.Incarnation, _messages.Announcement] = {}
        for client in self._clients.values():
            peer = client.peer
            unchanged = self._told.get(peer.incarnation) == announcement
            # A leave is told until everyone has noted it.
            brief = unchanged and not self._leaving
            try:
                peer.send(entries.Pulse() if brief else announcement)
            except errors.RefusedError:
                # Not connected, yet or any more; the next beat tries again.
                continue
            if peer.incarnation:
                told[peer.incarnation] = announcement
        self._told = told

    def _is_healthy(self) -> bool:
        return self._failed_probes < PROBE_LIMIT

    async def _handle_pulse(
        self, peer: entries.Peer, pulse: entries.Pulse
    ) -> None:
        self._directory.touch(peer.incarnation)

    async def _handle_welcome(
        self, peer: entries.Peer, welcome: entries.Welcome
    ) -> None:
        # An entry that welcomes may not know the backend server.
        self._told.pop(peer.incarnation, None)
        for entry in welcome.entries:
            direct = entry.incarnation == peer.incarnation
            self._directory.add(entry, direct)

    async def _handle_noted(
        self, peer: entries.Peer, noted: _messages.LeavingNoted
    ) -> None:
        self._noted.add(peer.incarnation)

    async def _handle_farewell_noted(
        self, peer: entries.Peer, noted: _messages.FarewellNoted
    ) -> None:
        self._farewelled.add(peer.incarnation)

    async def _handle_goodbye(
        self, peer: entries.Peer, goodbye: _messages.Goodbye
    ) -> None:
        self._directory.remove(peer.incarnation)
        self._told.pop(peer.incarnation, None)


class KeyHandover(application.Component):
    """Say farewell once nothing runs; listed before the executor."""

    __slots__ = ('_announcer',)

    def __init__(self, announcer: Announcer) -> None:
        self._announcer = announcer

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        await self._announcer.say_farewell()

    async def stop(self) -> None:
        return None
