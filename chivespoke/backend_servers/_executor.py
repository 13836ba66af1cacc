"""A sidecar's execution of dispatches: run, revoke, reply."""

import asyncio

from chivespoke import application
from chivespoke.backend_servers import _http
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
        'refusing',
    )

    def __init__(
        self,
        backend_server: _http.BackendServer,
        slots: _slots.Slots,
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
        self.refusing = ''
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
        try:
            ticket = self._admit(dispatch)
        except _slots.Refusal as refusal:
            self._refuse(peer, dispatch, refusal.cause, refusal.retry_after)
            return
        self._live[peer.incarnation, dispatch.sequence] = ticket
        self._tasks.spawn(self._serve(peer, ticket))

    def _admit(self, dispatch: _messages.Dispatch) -> _slots.Ticket:
        if self.refusing:
            raise _slots.Refusal(self.refusing, 0.0)
        return self._slots.admit(dispatch, self._clock.read_monotonic())

    async def _handle_revoke(
        self, peer: entries.Peer, revoke: _messages.Revoke
    ) -> None:
        if self.note_sequence(peer, revoke.sequence):
            # It never came; should it still come, it is late.
            self._reply(
                peer,
                _messages.Reply(
                    revoke.sequence, _messages.Outcome.NOT_RUN, 'revoked'
                ),
            )
            return
        ticket = self._live.get((peer.incarnation, revoke.sequence))
        if ticket is not None and self._slots.withdraw(ticket, 'revoked'):
            # Its own task replies.
            return
        cause = 'running' if ticket is not None else 'ended'
        self._reply(
            peer,
            _messages.Reply(revoke.sequence, _messages.Outcome.UNKNOWN, cause),
        )

    async def _serve(self, peer: entries.Peer, ticket: _slots.Ticket) -> None:
        dispatch = ticket.dispatch
        timer = asyncio.get_running_loop().call_later(
            dispatch.remaining, self._expire, ticket
        )
        try:
            cause = await ticket.granted
            reply = await self._run(ticket, cause)
        finally:
            timer.cancel()
            del self._live[peer.incarnation, dispatch.sequence]
        self._reply(peer, reply)

    async def _run(self, ticket: _slots.Ticket, cause: str) -> _messages.Reply:
        sequence = ticket.dispatch.sequence
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
        if self._slots.withdraw(ticket, 'deadline passed in queue'):
            self._slots.expired_in_queue += 1

    def _refuse(
        self,
        peer: entries.Peer,
        dispatch: _messages.Dispatch,
        cause: str,
        retry_after: float,
    ) -> None:
        self._telemetry.refusals.add(1, {'cause': cause})
        self._reply(
            peer,
            _messages.Reply(
                dispatch.sequence,
                _messages.Outcome.NOT_RUN,
                cause,
                retry_after=retry_after,
                outstanding=self._slots.outstanding,
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
