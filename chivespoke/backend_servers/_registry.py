"""Registry of the backend servers that announce themselves to an entry."""

import asyncio

import msgspec

from chivespoke import application
from chivespoke.backend_servers import _crashes
from chivespoke.backend_servers import _ejection
from chivespoke.backend_servers import _keys
from chivespoke.backend_servers import _messages
from chivespoke.backend_servers import _routing
from chivespoke import clock
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import telemetry

LOGGER = logs.make_logger('backend-servers')

# Time after the deadline that an entry waits for the reply to a revoke.
REVOKE_TIMEOUT_SECONDS = 0.05
# Time by which the sidecar's deadline precedes the entry's.
REPLY_MARGIN_SECONDS = 0.002
# Time for which a dispatch may be on its way. A sidecar remembers a key for
# longer, so that no copy of it arrives after that.
DISPATCH_VALIDITY_SECONDS = 60.0
assert (
    DISPATCH_VALIDITY_SECONDS * (1 + clock.MAX_CLOCK_DRIFT_SHARE) ** 2
    < _keys.KEY_RETENTION_SECONDS
)
# Limit on the stored incarnations that restarts have replaced.
MAX_REPLACED_INCARNATIONS = 10_000
# Time for which another incarnation must be heard after the last message of
# an earlier one before that counts as ended.
END_CONFIRMATION_SECONDS = 5.0
NOT_CONNECTED = 'not connected'


class _Replacement:
    """Hold which incarnation was heard after another, and since when."""

    __slots__ = ('successor', 'since', 'confirmed')

    def __init__(
        self, successor: identifiers.Incarnation, since: float
    ) -> None:
        self.successor = successor
        self.since = since
        # Whether the successor was heard long enough.
        self.confirmed = False


class Registry(application.Component):
    """Track backend servers and match their replies to attempts."""

    __slots__ = (
        '_servers',
        '_pending',
        '_sequence',
        '_directory',
        '_clock',
        '_telemetry',
        '_weights',
        '_sent_entries',
        '_replacements',
        '_outlier_detector',
        'ejection_enabled',
        'crash_history',
    )

    def __init__(
        self,
        handlers: entries.Handlers,
        directory: entries.EntryDirectory,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._servers: dict[identifiers.Incarnation, _routing.ServerView] = {}
        self._pending: dict[
            int, tuple[_routing.ServerView, asyncio.Future[_messages.Reply]]
        ] = {}
        self._sequence = 0
        self._directory = directory
        self._clock = time
        self._telemetry = instruments
        self._weights: dict[str, float] = {}
        # By the incarnation replaced, oldest first.
        self._replacements: dict[identifiers.Incarnation, _Replacement] = {}
        self._outlier_detector = _ejection.OutlierDetector()
        # False for the baseline routing policies.
        self.ejection_enabled = True
        self.crash_history = _crashes.CrashHistory(time)
        # Entries that were last sent to each sidecar.
        self._sent_entries: dict[
            identifiers.Incarnation, tuple[entries.EntryAddress, ...]
        ] = {}
        handlers.register(_messages.Announcement, self._handle_announcement)
        handlers.register(entries.Pulse, self._handle_pulse)
        handlers.register(_messages.Reply, self._handle_reply)
        handlers.register_loss(self._handle_loss)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        for server in self._servers.values():
            _try_send(server.peer, _messages.Goodbye())

    async def stop(self) -> None:
        for server in tuple(self._servers.values()):
            self._remove(server, 'entry stopped')

    def list_servers(
        self, service: identifiers.ServiceName
    ) -> list[_routing.ServerView]:
        """Return the connected backend servers of a service."""
        return [
            server
            for server in self._servers.values()
            if server.announcement.service == service
        ]

    def count_available(self, service: identifiers.ServiceName) -> int:
        """Return the number of available backend servers of a service."""
        now = self._clock.read_monotonic()
        return sum(
            each.is_available(now) for each in self.list_servers(service)
        )

    def list_all(self) -> list[_routing.ServerView]:
        """Return the backend servers of all services."""
        return list(self._servers.values())

    def list_replaced(self) -> frozenset[identifiers.Incarnation]:
        """Return the incarnations after which another one was heard.

        They may still be alive: messages of a dead incarnation that come late
        put it in the place of the living one.
        """
        return frozenset(self._replacements)

    def list_ended(self) -> frozenset[identifiers.Incarnation]:
        """Return the incarnations that have ended.

        A name belongs to one process at a time, so an incarnation has ended
        if it was silent while another one went on speaking.
        """
        for replacement in self._replacements.values():
            if not replacement.confirmed:
                replacement.confirmed = self._is_confirmed(replacement)
        return frozenset(
            incarnation
            for incarnation, replacement in self._replacements.items()
            if replacement.confirmed
        )

    def _is_confirmed(self, replacement: _Replacement) -> bool:
        since = replacement.since
        successor = replacement.successor
        while successor in self._replacements:
            successor = self._replacements[successor].successor
        server = self._servers.get(successor)
        return (
            server is not None
            and server.last_heartbeat_at - since >= END_CONFIRMATION_SECONDS
        )

    def find(
        self, incarnation: identifiers.Incarnation
    ) -> _routing.ServerView | None:
        """Return a backend server, or None if it is not connected."""
        return self._servers.get(incarnation)

    def send_message(
        self, server: _routing.ServerView, message: entries.Message
    ) -> None:
        """Send a message without a reply; drop it if not connected."""
        _try_send(server.peer, message)

    def record_result(
        self, server: _routing.ServerView, seconds: float, failed: bool
    ) -> None:
        """Record an attempt's result; eject the server if it is an outlier."""
        if not failed:
            server.record_latency(seconds)
        server.record_outcome(failed)
        if self.ejection_enabled:
            service_servers = self.list_servers(server.announcement.service)
            now = self._clock.read_monotonic()
            self._outlier_detector.evaluate(server, service_servers, now)

    def set_weight(self, name: str, weight: float) -> None:
        """Set the relative traffic share of a backend server, in [0, 1]."""
        self._weights[name] = min(max(weight, 0.0), 1.0)
        for server in self._servers.values():
            if server.peer.name == name:
                server.weight = self._weights[name]

    def make_sequence(self) -> int:
        """Return the next sequence; call it directly before the dispatch.

        Sequences then rise on every connection, as sidecars require.
        """
        self._sequence += 1
        return self._sequence

    async def call(
        self, server: _routing.ServerView, dispatch: _messages.Dispatch
    ) -> _messages.Reply:
        """Run one attempt at a backend server and return its reply.

        Never raise: if the reply is lost, the outcome is "unknown".
        """
        sequence = dispatch.sequence
        loop = asyncio.get_running_loop()
        future: asyncio.Future[_messages.Reply] = loop.create_future()
        size = len(dispatch.body)
        now = self._clock.read_monotonic()
        start_until = (
            server.clock_reading.compute_lower_bound(now)
            + DISPATCH_VALIDITY_SECONDS
        )
        try:
            server.peer.send(
                msgspec.structs.replace(dispatch, start_until=start_until)
            )
        except errors.RefusedError:
            return _messages.Reply(
                sequence, _messages.Outcome.NOT_RUN, NOT_CONNECTED
            )
        self._pending[sequence] = (server, future)
        server.outstanding += 1
        server.outstanding_bytes += size
        try:
            return await self._wait_for_reply(server, dispatch, future)
        finally:
            del self._pending[sequence]
            server.outstanding -= 1
            server.outstanding_bytes -= size

    async def _wait_for_reply(
        self,
        server: _routing.ServerView,
        dispatch: _messages.Dispatch,
        future: asyncio.Future[_messages.Reply],
    ) -> _messages.Reply:
        timeout_seconds = dispatch.remaining_seconds + REPLY_MARGIN_SECONDS
        done, _ = await asyncio.wait((future,), timeout=timeout_seconds)
        if not done:
            _try_send(server.peer, _messages.Revoke(dispatch.sequence))
            done, _ = await asyncio.wait(
                (future,), timeout=REVOKE_TIMEOUT_SECONDS
            )
        if done:
            return future.result()
        return _messages.Reply(
            dispatch.sequence, _messages.Outcome.UNKNOWN, 'no reply'
        )

    async def _handle_announcement(
        self, peer: entries.Peer, announcement: _messages.Announcement
    ) -> None:
        now = self._clock.read_monotonic()
        server = self._servers.get(peer.incarnation)
        if server is None:
            server = self._add(peer, announcement, now)
        if announcement.healthy and not server.announcement.healthy:
            server.slow_start_at = now
        server.announcement = announcement
        server.last_heartbeat_at = now
        server.observe_clock(announcement.clock, now)
        server.reported_outstanding = announcement.outstanding
        self.crash_history.observe(
            announcement.service,
            peer.name,
            peer.incarnation,
            announcement.crashes,
        )
        if announcement.leaving:
            # The connection keeps the order: all dispatches that may start
            # a run precede this.
            _try_send(peer, _messages.LeavingNoted())
        self._answer_heartbeat(peer)

    async def _handle_pulse(
        self, peer: entries.Peer, pulse: entries.Pulse
    ) -> None:
        server = self._servers.get(peer.incarnation)
        if server is None:
            # The server was removed as lost. A Welcome makes its sidecar
            # announce it again.
            self._sent_entries.pop(peer.incarnation, None)
        else:
            server.last_heartbeat_at = self._clock.read_monotonic()
        self._answer_heartbeat(peer)

    def _answer_heartbeat(self, peer: entries.Peer) -> None:
        """Send the list of entries if it has changed, otherwise a Pulse."""
        known = self._directory.list_entries()
        if self._sent_entries.get(peer.incarnation) == known:
            _try_send(peer, entries.Pulse())
            return
        if _try_send(peer, entries.Welcome(known)):
            self._sent_entries[peer.incarnation] = known

    def _add(
        self,
        peer: entries.Peer,
        announcement: _messages.Announcement,
        now: float,
    ) -> _routing.ServerView:
        for other in tuple(self._servers.values()):
            if other.peer.name == peer.name:
                self._replacements[other.peer.incarnation] = _Replacement(
                    peer.incarnation, now
                )
                self._remove(other, 'restarted')
        # It speaks, so it has not ended.
        self._replacements.pop(peer.incarnation, None)
        while len(self._replacements) > MAX_REPLACED_INCARNATIONS:
            del self._replacements[next(iter(self._replacements))]
        server = _routing.ServerView(peer, announcement, now)
        server.weight = self._weights.get(peer.name, 1.0)
        self._servers[peer.incarnation] = server
        LOGGER.info(
            'A backend server joined.',
            name=peer.name,
            service=announcement.service,
        )
        return server

    async def _handle_reply(
        self, peer: entries.Peer, reply: _messages.Reply
    ) -> None:
        server, future = self._pending.get(reply.sequence, (None, None))
        if server is None or future is None or future.done():
            self._telemetry.dropped_messages.add(1, {'cause': 'late reply'})
            return
        if server.peer.incarnation != peer.incarnation:
            self._telemetry.dropped_messages.add(1, {'cause': 'crossed reply'})
            return
        server.reported_outstanding = reply.outstanding
        future.set_result(reply)

    def _handle_loss(self, peer: entries.Peer) -> None:
        self._sent_entries.pop(peer.incarnation, None)
        server = self._servers.get(peer.incarnation)
        if server is not None:
            self._remove(server, 'silent')

    def _remove(self, server: _routing.ServerView, cause: str) -> None:
        del self._servers[server.peer.incarnation]
        self._sent_entries.pop(server.peer.incarnation, None)
        LOGGER.info(
            'A backend server was removed.', name=server.peer.name, cause=cause
        )
        for sequence, (pending_server, future) in self._pending.items():
            if pending_server is server and not future.done():
                future.set_result(
                    _messages.Reply(
                        sequence,
                        _messages.Outcome.UNKNOWN,
                        f'backend server lost: {cause}',
                    )
                )


def _try_send(peer: entries.Peer, message: entries.Message) -> bool:
    """Send a message; return whether the peer was connected."""
    try:
        peer.send(message)
    except errors.RefusedError:
        LOGGER.debug('Could not send a message.', peer=peer.name)
        return False
    return True
