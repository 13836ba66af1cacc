"""Execution of dispatched requests in a sidecar."""

import asyncio

import msgspec

from chivespoke import application
from chivespoke.backend_servers import _crashes
from chivespoke.backend_servers import _http
from chivespoke.backend_servers import _keys
from chivespoke.backend_servers import _messages
from chivespoke.backend_servers import _slots
from chivespoke import clock
from chivespoke import decisions
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import telemetry

LOGGER = logs.make_logger('sidecar')

# Interval at which draining checks for requests in flight.
DRAIN_POLL_SECONDS = 0.02
# Limit on the lost entries whose last sequences are kept.
MAX_LOST_ENTRIES = 10_000


class Executor(application.Component):
    """Run dispatched requests in slots and reply with their outcomes."""

    __slots__ = (
        '_backend_server',
        '_clock',
        '_slots',
        '_tickets',
        '_last_sequences',
        '_lost_entries',
        '_tasks',
        '_telemetry',
        'refusal_cause',
        'keys',
        'homes_version',
        'crash_log',
        '_crash_check',
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
        self._tickets: dict[
            tuple[identifiers.Incarnation, int], _slots.Ticket
        ] = {}
        # Highest sequence received from each entry incarnation. Sequences
        # rise on an ordered connection, so a sequence that is not higher is
        # late or a duplicate.
        self._last_sequences: dict[identifiers.Incarnation, int] = {}
        # Entries that another incarnation followed, oldest first. Messages of
        # theirs may still come, also on requests that have run.
        self._lost_entries: dict[identifiers.Incarnation, None] = {}
        # Why new requests are refused; empty if they are accepted.
        self.refusal_cause = ''
        self.keys = keys
        # Newest home list version that this sidecar knows. A key dispatched
        # with an older version is refused: it may have another home by now.
        self.homes_version = 0
        self.crash_log = _crashes.CrashLog(time)
        # Runs that broke off while it is checked whether the server is down.
        self._crash_check: asyncio.Task[None] | None = None
        handlers.register(_messages.HomesVersion, self._handle_homes_version)
        handlers.register(_messages.Dispatch, self._handle_dispatch)
        handlers.register(_messages.Revoke, self._handle_revoke)
        handlers.register_loss(self._handle_peer_loss)

    @property
    def outstanding(self) -> int:
        """Return the number of queued and running requests."""
        return len(self._tickets)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        while self._tickets:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def accept_sequence(self, peer: entries.Peer, sequence: int) -> bool:
        """Record a sequence; return whether it is new."""
        self._lost_entries.pop(peer.incarnation, None)
        if sequence <= self._last_sequences.get(peer.incarnation, 0):
            return False
        self._last_sequences[peer.incarnation] = sequence
        return True

    async def _handle_dispatch(
        self, peer: entries.Peer, dispatch: _messages.Dispatch
    ) -> None:
        if not self.accept_sequence(peer, dispatch.sequence):
            self._telemetry.dropped_messages.add(1, {'cause': 'late'})
            return
        if dispatch.key and self._reply_without_run(peer, dispatch):
            return
        try:
            ticket = self._admit(dispatch)
        except _slots.AdmissionError as refusal:
            self._refuse(
                peer, dispatch, refusal.cause, refusal.retry_after_seconds
            )
            return
        record = None
        if dispatch.key:
            record = self.keys.start_run(dispatch.key, ticket.queued_at)
        self._tickets[peer.incarnation, dispatch.sequence] = ticket
        self._tasks.spawn(self._process(peer, ticket, record))

    def _reply_without_run(
        self, peer: entries.Peer, dispatch: _messages.Dispatch
    ) -> bool:
        """Return whether the dispatch needs no run, and reply to it if so.

        An attempt whose key is already queued or running gets the reply of
        that run.
        """
        now = self._clock.read_monotonic()
        record = self.keys.find(dispatch.key, now)
        stale = dispatch.homes_version < self.homes_version
        self.homes_version = max(self.homes_version, dispatch.homes_version)
        if record is not None and record.reply is None:
            record.waiters.append(_keys.Waiter(peer, dispatch.sequence))
        elif record is not None and record.reply is not None:
            self._reply(peer, _copy_reply(record.reply, dispatch.sequence))
        elif stale:
            self._refuse(peer, dispatch, _messages.STALE_HOME_LIST, 0.0)
        elif dispatch.lookup:
            self._refuse(peer, dispatch, _messages.KEY_NOT_RUN, 0.0)
        elif self.keys.is_full():
            self._refuse(peer, dispatch, 'key memory full', 1.0)
        else:
            return False
        return True

    async def _handle_homes_version(
        self, peer: entries.Peer, message: _messages.HomesVersion
    ) -> None:
        self.homes_version = max(self.homes_version, message.version)

    def _admit(self, dispatch: _messages.Dispatch) -> _slots.Ticket:
        if self.refusal_cause:
            raise _slots.AdmissionError(self.refusal_cause, 0.0)
        now = self._clock.read_monotonic()
        if now > dispatch.start_until:
            raise _slots.AdmissionError('came too late', 0.0)
        return self._slots.admit(dispatch, now)

    async def _handle_revoke(
        self, peer: entries.Peer, revoke: _messages.Revoke
    ) -> None:
        if self.accept_sequence(peer, revoke.sequence):
            # The dispatch has not arrived. Its sequence is recorded now, so
            # it is dropped if it still arrives.
            self._reply(
                peer,
                _messages.Reply(
                    revoke.sequence,
                    _messages.Outcome.NOT_RUN,
                    _messages.DISPATCH_NOT_RECEIVED,
                ),
            )
            return
        ticket = self._tickets.get((peer.incarnation, revoke.sequence))
        if ticket is not None:
            self._slots.withdraw(ticket, 'revoked')
            if ticket.state is not _slots.TicketState.RUNNING:
                # The task that processes the ticket sends the reply.
                return
        cause = 'running' if ticket is not None else 'ended'
        self._reply(
            peer,
            _messages.Reply(revoke.sequence, _messages.Outcome.UNKNOWN, cause),
        )

    async def _process(
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
            del self._tickets[peer.incarnation, dispatch.sequence]
        self._reply(peer, reply)
        if record is None:
            return
        now = self._clock.read_monotonic()
        for waiter in self.keys.end_run(record, reply, now):
            self._reply(waiter.peer, _copy_reply(reply, waiter.sequence))

    async def _run(self, ticket: _slots.Ticket, cause: str) -> _messages.Reply:
        sequence = ticket.dispatch.sequence
        if cause == _slots.EXPIRED_IN_QUEUE:
            self._telemetry.expired_in_queue.add(1)
        if cause:
            return _messages.Reply(sequence, _messages.Outcome.NOT_RUN, cause)
        timeout_seconds = ticket.expires_at - self._clock.read_monotonic()
        wait_seconds = ticket.started_at - ticket.queued_at
        self._telemetry.queue_wait.record(
            wait_seconds, {'class': ticket.dispatch.request_class.value}
        )
        try:
            result = await self._backend_server.run(
                ticket.dispatch, timeout_seconds
            )
            if result.broke_off:
                self._check_for_crash()
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
            wait_seconds=wait_seconds,
            run_seconds=now - ticket.started_at,
            broke_off=result.broke_off,
        )

    def _check_for_crash(self) -> None:
        """Find out whether the server went down, and under which requests.

        A crash breaks off all running requests; the first starts the check.
        """
        if self._crash_check is not None and not self._crash_check.done():
            return
        now = self._clock.read_monotonic()
        lost_runs = [
            decisions.LostRun(
                _crashes.compute_fingerprint(
                    ticket.dispatch.tenant,
                    ticket.dispatch.method,
                    ticket.dispatch.target,
                    ticket.dispatch.body,
                ),
                '',
                ticket.dispatch.sequence,
                now - ticket.started_at,
            )
            for ticket in self._tickets.values()
            if ticket.state is _slots.TicketState.RUNNING
        ]
        self._crash_check = self._tasks.spawn(self._record_crash(lost_runs))

    async def _record_crash(self, lost_runs: list[decisions.LostRun]) -> None:
        result = await self._backend_server.probe()
        if result is _http.ProbeResult.UNRESPONSIVE:
            self.crash_log.record(lost_runs)

    def _expire(self, ticket: _slots.Ticket) -> None:
        self._slots.withdraw(ticket, _slots.EXPIRED_IN_QUEUE)

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
            # The entry is gone and so are its callers' connections.
            LOGGER.warning('Could not send a reply to an entry.', error=error)

    def _handle_peer_loss(self, peer: entries.Peer) -> None:
        self._lost_entries[peer.incarnation] = None
        while len(self._lost_entries) > MAX_LOST_ENTRIES:
            oldest = next(iter(self._lost_entries))
            del self._lost_entries[oldest]
            self._last_sequences.pop(oldest, None)


def _copy_reply(reply: _messages.Reply, sequence: int) -> _messages.Reply:
    """Return the reply with the sequence of another attempt."""
    return msgspec.structs.replace(reply, sequence=sequence)
