"""Announcement of a backend server to all entries, and its departure."""

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
BALANCER_TIMEOUT_SECONDS = 2.0
# Heartbeats from one query for the list of entries to the next.
HEARTBEATS_PER_BALANCER_QUERY = 15
# Interval at which an entry gets a reading of the sidecar's clock.
CLOCK_INTERVAL_SECONDS = 5.0
# Consecutive probes without an answer that make the server unhealthy.
MAX_FAILED_PROBES = 2
# Larger handovers are split into several Farewell messages.
MAX_KEYS_PER_MESSAGE = 10_000
ENTRIES_DECODER = msgspec.json.Decoder(tuple[entries.EntryAddress, ...])


class Announcer(application.Component):
    """Announce the backend server over a connection to each entry."""

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
        '_leave_confirmations',
        '_last_announcements',
        '_handover_confirmations',
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
        self._failed_probes = MAX_FAILED_PROBES
        self._leaving = False
        self._leave_confirmations: set[identifiers.Incarnation] = set()
        self._handover_confirmations: set[identifiers.Incarnation] = set()
        # Announcement that was last sent to each entry, with its reading of
        # the clock.
        self._last_announcements: dict[
            identifiers.Incarnation, _messages.Announcement
        ] = {}
        executor.crash_log.listener = self._announce
        handlers.register(entries.Welcome, self._handle_welcome)
        handlers.register(entries.Pulse, self._handle_pulse)
        handlers.register(_messages.LeavingNoted, self._handle_leaving_noted)
        handlers.register(_messages.FarewellNoted, self._handle_farewell_noted)
        handlers.register(_messages.Goodbye, self._handle_goodbye)

    async def start(self) -> None:
        self._session = aiohttp.ClientSession()
        self._executor.refusal_cause = 'backend server not ready'
        self._tasks.spawn_loop(self._probe)
        self._tasks.spawn_loop(self._send_heartbeats)

    async def drain(self) -> None:
        """Announce the departure; wait until every entry has confirmed it."""
        self._leaving = True
        self._executor.refusal_cause = 'backend server leaving'
        self._announce()
        await self._wait_for_confirmations(self._leave_confirmations)

    async def hand_over_keys(self) -> None:
        """Send the completed keys to every entry.

        No request may run after this.
        """
        keys = self._executor.keys.list_completed(self._clock.read_monotonic())
        for client in self._clients.values():
            for start in range(0, max(1, len(keys)), MAX_KEYS_PER_MESSAGE):
                end = start + MAX_KEYS_PER_MESSAGE
                message = _messages.Farewell(
                    keys[start:end], end >= len(keys), len(keys)
                )
                try:
                    client.peer.send(message)
                except errors.RefusedError:
                    break
        await self._wait_for_confirmations(self._handover_confirmations)

    async def _wait_for_confirmations(
        self, confirmed: set[identifiers.Incarnation]
    ) -> None:
        """Wait for all connected entries, up to the heartbeat limit."""
        deadline = (
            self._clock.read_monotonic() + self._settings.heartbeat_limit
        )
        while self._clock.read_monotonic() < deadline:
            connected = {
                client.peer.incarnation
                for client in self._clients.values()
                if client.is_alive(self._settings.heartbeat_limit)
            }
            if connected <= confirmed:
                break
            await asyncio.sleep(_executor.DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        await self._tasks.cancel()
        for client in self._clients.values():
            await client.stop()
        self._clients.clear()
        if self._session is not None:
            await self._session.close()

    async def _probe(self) -> None:
        while True:
            result = await self._backend_server.probe()
            before = self._is_healthy()
            self._record_probe(result)
            if self._is_healthy() != before:
                LOGGER.info('Health changed.', found=result.value)
                self._announce()
            if not self._leaving:
                self._executor.refusal_cause = (
                    '' if self._is_healthy() else 'backend server unhealthy'
                )
            await self._clock.sleep(self._settings.heartbeat_interval)

    def _record_probe(self, result: _http.ProbeResult) -> None:
        if result is _http.ProbeResult.HEALTHY:
            self._failed_probes = 0
        elif result is _http.ProbeResult.LEAVING:
            self._failed_probes = MAX_FAILED_PROBES
        else:
            self._failed_probes += 1

    async def _send_heartbeats(self) -> None:
        heartbeat_count = 0
        while True:
            if (
                heartbeat_count % HEARTBEATS_PER_BALANCER_QUERY == 0
                or not self._has_live_entry()
            ):
                await self._query_balancer()
            heartbeat_count += 1
            await self._reconcile_clients()
            self._announce()
            # Jitter prevents sidecars from synchronizing their heartbeats.
            jitter = random.uniform(0.9, 1.1)
            await self._clock.sleep(self._settings.heartbeat_interval * jitter)

    def _has_live_entry(self) -> bool:
        limit = self._settings.heartbeat_limit
        return any(client.is_alive(limit) for client in self._clients.values())

    async def _query_balancer(self) -> None:
        if self._session is None:
            return
        url = self._settings.balancer.format_http() + ENTRIES_PATH
        try:
            async with asyncio.timeout(BALANCER_TIMEOUT_SECONDS):
                async with self._session.get(url) as response:
                    addresses = ENTRIES_DECODER.decode(await response.read())
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError):
            LOGGER.warning(
                'Could not get the list of entries from the balancer.'
            )
            return
        for entry in addresses:
            self._directory.add(entry, direct=False)

    async def _reconcile_clients(self) -> None:
        endpoints = {
            entry.endpoint for entry in self._directory.list_entries()
        }
        for endpoint in endpoints - self._clients.keys():
            client = entries.MessageClient(
                endpoint,
                self._identity,
                self._handlers,
                self._telemetry,
                self._clock,
            )
            await client.start()
            self._clients[endpoint] = client
        for endpoint in self._clients.keys() - endpoints:
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
            self._clock.read_monotonic(),
            self._executor.crash_log.list_recent(),
        )
        announced: dict[identifiers.Incarnation, _messages.Announcement] = {}
        for client in self._clients.values():
            peer = client.peer
            last = self._last_announcements.get(peer.incarnation)
            # A leaving server announces itself in full until it stops, so
            # that each entry confirms it.
            send_pulse = is_unchanged(last, announcement) and (
                not self._leaving
            )
            try:
                peer.send(entries.Pulse() if send_pulse else announcement)
            except errors.RefusedError:
                # Not connected; the next heartbeat retries.
                continue
            if last is not None and send_pulse:
                announced[peer.incarnation] = last
            elif peer.incarnation:
                announced[peer.incarnation] = announcement
        self._last_announcements = announced

    def _is_healthy(self) -> bool:
        return self._failed_probes < MAX_FAILED_PROBES

    async def _handle_pulse(
        self, peer: entries.Peer, pulse: entries.Pulse
    ) -> None:
        self._directory.touch(peer.incarnation)

    async def _handle_welcome(
        self, peer: entries.Peer, welcome: entries.Welcome
    ) -> None:
        # The entry may not know this server: the next heartbeat to it is a
        # full announcement.
        self._last_announcements.pop(peer.incarnation, None)
        for entry in welcome.entries:
            direct = entry.incarnation == peer.incarnation
            self._directory.add(entry, direct)

    async def _handle_leaving_noted(
        self, peer: entries.Peer, noted: _messages.LeavingNoted
    ) -> None:
        self._leave_confirmations.add(peer.incarnation)

    async def _handle_farewell_noted(
        self, peer: entries.Peer, noted: _messages.FarewellNoted
    ) -> None:
        self._handover_confirmations.add(peer.incarnation)

    async def _handle_goodbye(
        self, peer: entries.Peer, goodbye: _messages.Goodbye
    ) -> None:
        self._directory.remove(peer.incarnation)
        self._last_announcements.pop(peer.incarnation, None)


def is_unchanged(
    last: _messages.Announcement | None, announcement: _messages.Announcement
) -> bool:
    """Return whether an entry needs no full announcement."""
    if last is None or announcement.clock - last.clock > (
        CLOCK_INTERVAL_SECONDS
    ):
        return False
    return announcement == msgspec.structs.replace(
        last, clock=announcement.clock
    )


class KeyHandover(application.Component):
    """Hand over the keys when draining, after the executor is idle.

    Components drain in reverse order: list this one before the executor.
    """

    __slots__ = ('_announcer',)

    def __init__(self, announcer: Announcer) -> None:
        self._announcer = announcer

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        await self._announcer.hand_over_keys()

    async def stop(self) -> None:
        return None
