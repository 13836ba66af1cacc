"""A sidecar's execution of dispatches: run, revoke, reply."""

import asyncio

import msgspec

from chivespoke import application
from chivespoke.backend_servers import _http
from chivespoke.backend_servers import _keys
from chivespoke.backend_servers import _messages
from chivespoke.backend_servers import _slots
from chivespoke import clock
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import telemetry

LOGGER = logs.make_logger('sidecar')

# Seconds between looks at what is still in flight.
DRAIN_POLL = 0.02


class Executor(application.Component):
    """Run dispatches in slots; say truly what ran and what did not."""

    __slots__ = (
        '_backend_server',
        '_clock',
        '_slots',
        '_live',
        '_highest',
        '_tasks',
        '_telemetry',
        'refusal_cause',
        'keys',
        'homes_version',
    )

    def __init__(
        self,
        backend_server: _http.BackendServer,
        slots: _slots.Slots,
        keys: _keys.KeyTable,
        handlers: entries.Handlers,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._backend_server = backend_server
        self._clock = time
        self._slots = slots
        self._telemetry = instruments
        self._tasks = application.TaskOwner()
        self._live: dict[
            tuple[identifiers.Incarnation, int], _slots.Ticket
        ] = {}
        # The highest sequence seen of each entry's life. Sequences rise on
        # an ordered connection: one that is not higher is late or doubled.
        self._highest: dict[identifiers.Incarnation, int] = {}
        # Why new work is refused; empty when it is taken.
        self.refusal_cause = ''
        self.keys = keys
        # The newest home list by which a key was asked for here. What is
        # sent by an older one is refused: the key may belong elsewhere.
        self.homes_version = 0
        handlers.register(_messages.HomesVersion, self._handle_version)
        handlers.register(_messages.Dispatch, self._handle_dispatch)
        handlers.register(_messages.Revoke, self._handle_revoke)
        handlers.register_loss(self._forget_peer)

    @property
    def outstanding(self) -> int:
        """Return the number of requests that the sidecar holds."""
        return len(self._live)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        while self._live:
            await asyncio.sleep(DRAIN_POLL)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def note_sequence(self, peer: entries.Peer, sequence: int) -> bool:
        """Tell whether a sequence is new, and remember it."""
        if sequence <= self._highest.get(peer.incarnation, 0):
            return False
        self._highest[peer.incarnation] = sequence
        return True

    async def _handle_dispatch(
        self, peer: entries.Peer, dispatch: _messages.Dispatch
    ) -> None:
        if not self.note_sequence(peer, dispatch.sequence):
            self._telemetry.dropped_messages.add(1, {'cause': 'late'})
            return
        if dispatch.key and self._settle_key(peer, dispatch):
            return
        try:
            ticket = self._admit(dispatch)
        except _slots.Refusal as refusal:
            self._refuse(
                peer, dispatch, refusal.cause, refusal.retry_after_seconds
            )
            return
        record = None
        if dispatch.key:
            record = self.keys.open(dispatch.key, ticket.queued_at)
        self._live[peer.incarnation, dispatch.sequence] = ticket
        self._tasks.spawn(self._serve(peer, ticket, record))

    def _settle_key(
        self, peer: entries.Peer, dispatch: _messages.Dispatch
    ) -> bool:
        """Answer for a key that needs no run; tell whether that was so."""
        now = self._clock.read_monotonic()
        record = self.keys.find(dispatch.key, now)
        stale = dispatch.homes_version < self.homes_version
        self.homes_version = max(self.homes_version, dispatch.homes_version)
        if record is not None and record.reply is None:
            record.joiners.append(_keys.Joiner(peer, dispatch.sequence))
        elif record is not None and record.reply is not None:
            self._reply(peer, _readdress(record.reply, dispatch.sequence))
        elif stale:
            self._refuse(peer, dispatch, _messages.STALE_HOME_LIST, 0.0)
        elif dispatch.lookup:
            self._refuse(peer, dispatch, _messages.KEY_NOT_RUN, 0.0)
        elif self.keys.is_full():
            self._refuse(peer, dispatch, 'key memory full', 1.0)
        else:
            return False
        return True

    async def _handle_version(
        self, peer: entries.Peer, message: _messages.HomesVersion
    ) -> None:
        self.homes_version = max(self.homes_version, message.version)

    def _admit(self, dispatch: _messages.Dispatch) -> _slots.Ticket:
        if self.refusal_cause:
            raise _slots.Refusal(self.refusal_cause, 0.0)
        return self._slots.admit(dispatch, self._clock.read_monotonic())

    async def _handle_revoke(
        self, peer: entries.Peer, revoke: _messages.Revoke
    ) -> None:
        if self.note_sequence(peer, revoke.sequence):
            # It never came; should it still come, it is late.
            self._reply(
                peer,
                _messages.Reply(
                    revoke.sequence,
                    _messages.Outcome.NOT_RUN,
                    _messages.DISPATCH_NOT_RECEIVED,
                ),
            )
            return
        ticket = self._live.get((peer.incarnation, revoke.sequence))
        if ticket is not None:
            self._slots.withdraw(ticket, 'revoked')
            if ticket.state is not _slots.TicketState.RUNNING:
                # Its own task replies, and knows best.
                return
        cause = 'running' if ticket is not None else 'ended'
        self._reply(
            peer,
            _messages.Reply(revoke.sequence, _messages.Outcome.UNKNOWN, cause),
        )

    async def _serve(
        self,
        peer: entries.Peer,
        ticket: _slots.Ticket,
        record: _keys.KeyRecord | None,
    ) -> None:
        dispatch = ticket.dispatch
        timer = asyncio.get_running_loop().call_later(
            dispatch.remaining_seconds, self._expire, ticket
        )
        try:
            cause = await ticket.granted
            reply = await self._run(ticket, cause)
        finally:
            timer.cancel()
            del self._live[peer.incarnation, dispatch.sequence]
        self._reply(peer, reply)
        if record is None:
            return
        now = self._clock.read_monotonic()
        for joiner in self.keys.close(record, reply, now):
            self._reply(joiner.peer, _readdress(reply, joiner.sequence))

    async def _run(self, ticket: _slots.Ticket, cause: str) -> _messages.Reply:
        sequence = ticket.dispatch.sequence
        if cause == _slots.EXPIRED:
            self._telemetry.expired_in_queue.add(1)
        if cause:
            return _messages.Reply(sequence, _messages.Outcome.NOT_RUN, cause)
        left = ticket.expires_at - self._clock.read_monotonic()
        wait = ticket.started_at - ticket.queued_at
        self._telemetry.queue_wait.record(
            wait, {'class': ticket.dispatch.request_class.value}
        )
        try:
            result = await self._backend_server.run(ticket.dispatch, left)
        finally:
            now = self._clock.read_monotonic()
            self._slots.release(ticket, now)
        return _messages.Reply(
            sequence,
            result.outcome,
            result.cause,
            result.status,
            result.headers,
            result.body,
            outstanding=self._slots.outstanding,
            wait_seconds=wait,
            run_seconds=now - ticket.started_at,
        )

    def _expire(self, ticket: _slots.Ticket) -> None:
        self._slots.withdraw(ticket, _slots.EXPIRED)

    def _refuse(
        self,
        peer: entries.Peer,
        dispatch: _messages.Dispatch,
        cause: str,
        retry_after_seconds: float,
    ) -> None:
        self._telemetry.refusals.add(1, {'cause': cause})
        self._reply(
            peer,
            _messages.Reply(
                dispatch.sequence,
                _messages.Outcome.NOT_RUN,
                cause,
                retry_after_seconds=retry_after_seconds,
                outstanding=self._slots.outstanding,
                homes_version=self.homes_version,
            ),
        )

    def _reply(self, peer: entries.Peer, reply: _messages.Reply) -> None:
        try:
            peer.send(reply)
        except errors.RefusedError as error:
            # The entry is gone; its callers were told by their connection.
            LOGGER.warning('A reply could not be sent.', error=error)

    def _forget_peer(self, peer: entries.Peer) -> None:
        self._highest.pop(peer.incarnation, None)


def _readdress(reply: _messages.Reply, sequence: int) -> _messages.Reply:
    """Return the same end for another attempt."""
    return msgspec.structs.replace(reply, sequence=sequence)
