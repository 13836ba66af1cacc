"""Connections to a few other entries, and requests over them."""

import asyncio
import collections.abc
import random

import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke.entries import _handlers
from chivespoke.entries import _membership_messages as messages
from chivespoke.entries import _membership_transfers as transfers
from chivespoke.entries import _messages
from chivespoke.entries import _transport
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import operators
from chivespoke import replication
from chivespoke import telemetry

LOGGER = logs.make_logger('links')

CONNECT_TIMEOUT_SECONDS = 1.0
# Relayed records and parts are of bounded size. A question is repeated when no
# reply arrives in this time; a late reply still counts. The time doubles with
# each repeat, so that repeats do not fill a link that is slower than that.
REPLY_TIMEOUT_SECONDS = 10.0
MAX_REPLY_TIMEOUT_SECONDS = 40.0
# A state that no more parts arrive of is given up after this time.
TRANSFER_IDLE_SECONDS = 60.0
# Neighbours that one relay request tries before it returns nothing.
MAX_RELAY_NEIGHBOURS = 2
MAX_CONCURRENT_REPORT_REQUESTS = 32
CONNECT_POLL_SECONDS = 0.01


class Links(application.Component):
    """Manage the connections to other entries."""

    __slots__ = (
        '_identity',
        '_handlers',
        '_telemetry',
        '_clock',
        '_clients',
        '_temporary_clients',
        '_pending',
        '_questions',
        '_transfers',
        '_reply_timeouts',
        '_last_request_number',
    )

    def __init__(
        self,
        identity: _messages.Identity,
        instruments: telemetry.Telemetry,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._telemetry = instruments
        self._clock = clock
        self._clients: dict[
            identifiers.Incarnation, _transport.MessageClient
        ] = {}
        # Connections that are closed after a single request.
        self._temporary_clients: set[_transport.MessageClient] = set()
        self._pending: dict[int, asyncio.Future[transfers.Reply]] = {}
        # The one question to each neighbour about each stream.
        self._questions: dict[
            tuple[identifiers.Incarnation, str], transfers.OpenQuestion
        ] = {}
        # Keyed by stream.
        self._transfers: dict[str, transfers.StateTransfer] = {}
        # Longer times to wait for neighbours whose replies are slow.
        self._reply_timeouts: dict[identifiers.Incarnation, float] = {}
        self._last_request_number = 0
        self._handlers = _handlers.Handlers()
        self._handlers.register(messages.BeatNoted, self._handle_beat_noted)
        self._handlers.register(messages.RelayReply, self._handle_reply)
        self._handlers.register(messages.RollReply, self._handle_reply)

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        for client in (*self._clients.values(), *self._temporary_clients):
            await client.stop()
        self._clients.clear()
        self._temporary_clients.clear()

    async def set_connections(
        self, wanted: collections.abc.Iterable[_messages.EntryAddress]
    ) -> None:
        """Open and close connections to match the given entries.

        A connection over which a state arrives stays open meanwhile.
        """
        addresses = {address.incarnation: address for address in wanted}
        needed = addresses.keys() | self._list_transferring()
        for incarnation in self._clients.keys() - needed:
            # Deleted only after it has stopped: if this task is cancelled in
            # between, stop() can still close the client. An open socket would
            # block the process later.
            await self._clients[incarnation].stop()
            del self._clients[incarnation]
            self._close_questions(incarnation)
        for incarnation in addresses.keys() - self._clients.keys():
            self._clients[incarnation] = await self._connect(
                addresses[incarnation]
            )

    def send_beats(self, own_address: _messages.EntryAddress) -> None:
        """Send a beat to every neighbour."""
        for client in self._clients.values():
            try:
                client.peer.send(messages.Beat(own_address))
            except errors.RefusedError:
                # Not connected; measure_silence shows it.
                continue

    def measure_silence(self, incarnation: identifiers.Incarnation) -> float:
        """Return the seconds since a neighbour was last heard from."""
        client = self._clients.get(incarnation)
        if client is None:
            return 0.0
        return self._clock.read_monotonic() - client.heard_at

    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> messages.RelayReply | None:
        """Request records from neighbours; return the first with a page.

        A state arrives in parts. Those that have arrived are kept, and the
        next request continues after them.
        """
        started_at = self._clock.read_monotonic()
        for incarnation in self._choose_relay_neighbours(stream):
            reply = await self._request_from(
                incarnation, stream, start, needs_state, started_at
            )
            if reply is not None and reply.page is not None:
                return reply
        return None

    async def request_reports(
        self, address: _messages.EntryAddress, timeout_seconds: float
    ) -> tuple[operators.ProcessReport, ...] | None:
        """Return an entry's reports, or None if it does not reply in time."""
        client = self._clients.get(address.incarnation)
        if client is not None:
            reply = await self._request(
                client, messages.RollQuestion, timeout_seconds
            )
        else:
            client = await self._connect(address)
            self._temporary_clients.add(client)
            try:
                reply = await self._request(
                    client, messages.RollQuestion, timeout_seconds
                )
            finally:
                await client.stop()
                self._temporary_clients.discard(client)
        return reply.reports if isinstance(reply, messages.RollReply) else None

    def _choose_relay_neighbours(
        self, stream: str
    ) -> list[identifiers.Incarnation]:
        """Return the neighbours to ask, in order.

        The source of a state that has arrived in part comes first, unless it
        has stalled: then another one is tried before it.
        """
        chosen = list(self._clients)
        random.shuffle(chosen)
        chosen.sort(
            key=lambda incarnation: (
                self.measure_silence(incarnation) > REPLY_TIMEOUT_SECONDS
            )
        )
        transfer = self._transfers.get(stream)
        if transfer is None or transfer.neighbour not in self._clients:
            return chosen[:MAX_RELAY_NEIGHBOURS]
        chosen.remove(transfer.neighbour)
        chosen = chosen[: MAX_RELAY_NEIGHBOURS - 1]
        chosen.insert(
            len(chosen) if transfer.has_stalled else 0, transfer.neighbour
        )
        return chosen

    async def _request_from(
        self,
        incarnation: identifiers.Incarnation,
        stream: str,
        start: identifiers.Offset,
        needs_state: bool,
        started_at: float,
    ) -> messages.RelayReply | None:
        """Return records, or a state with all its parts, of one neighbour."""
        transfer = self._transfers.get(stream)
        if transfer is None or transfer.neighbour != incarnation:
            transfer = transfers.StateTransfer(incarnation, stream)
        state = transfer.state
        while True:
            next_part = state.next_part
            reply = await self._ask(
                incarnation,
                messages.RelayQuestion(
                    0, stream, start, needs_state, next_part, state.checksum
                ),
                started_at,
            )
            transfer.has_stalled = reply is None
            if reply is None:
                return None
            if not reply.part:
                self._discard_transfer(transfer, stream)
                return reply
            transfer.progress_at = self._clock.read_monotonic()
            self._transfers[stream] = transfer
            try:
                encoded = state.add(reply.part)
            except replication.UnreadableError as error:
                LOGGER.warning('Could not read a part.', error=error)
                self._discard_transfer(transfer, stream)
                return None
            if encoded is not None:
                self._discard_transfer(transfer, stream)
                return msgspec.structs.replace(reply, seed=encoded, part=b'')
            if state.next_part <= next_part:
                # The neighbour has begun again with another state.
                return None

    async def _ask(
        self,
        incarnation: identifiers.Incarnation,
        question: messages.RelayQuestion,
        started_at: float,
    ) -> messages.RelayReply | None:
        """Ask a neighbour; return None without a reply in time.

        A repeated question has the number of the first, so that a late reply
        to that one counts. Its age is relative to started_at.
        """
        client = self._clients.get(incarnation)
        if client is None:
            return None
        key = (incarnation, question.stream)
        opened = self._questions.get(key)
        if opened is None or question != msgspec.structs.replace(
            opened.question, request_number=0
        ):
            opened = self._open_question(key, question)
        if not opened.reply.done():
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await self._send_when_connected(client, opened.question)
            except TimeoutError:
                return None
            await self._wait_for_reply(incarnation, opened)
        if not opened.reply.done() or opened.reply.cancelled():
            return None
        self._close_question(key)
        reply = opened.reply.result()
        if not isinstance(reply, messages.RelayReply):
            return None
        if reply.proof_age is None or opened.asked_at >= started_at:
            return reply
        return msgspec.structs.replace(
            reply, proof_age=reply.proof_age + started_at - opened.asked_at
        )

    async def _wait_for_reply(
        self,
        incarnation: identifiers.Incarnation,
        opened: transfers.OpenQuestion,
    ) -> None:
        timeout = self._reply_timeouts.get(incarnation, REPLY_TIMEOUT_SECONDS)
        await asyncio.wait((opened.reply,), timeout=timeout)
        if not opened.reply.done():
            self._reply_timeouts[incarnation] = min(
                timeout * 2, MAX_REPLY_TIMEOUT_SECONDS
            )
        elif (
            self._clock.read_monotonic() - opened.asked_at
            < REPLY_TIMEOUT_SECONDS
        ):
            self._reply_timeouts.pop(incarnation, None)

    def _open_question(
        self,
        key: tuple[identifiers.Incarnation, str],
        question: messages.RelayQuestion,
    ) -> transfers.OpenQuestion:
        self._close_question(key)
        self._last_request_number += 1
        opened = transfers.OpenQuestion(
            msgspec.structs.replace(
                question, request_number=self._last_request_number
            ),
            self._clock.read_monotonic(),
        )
        self._questions[key] = opened
        self._pending[self._last_request_number] = opened.reply
        return opened

    def _close_question(
        self, key: tuple[identifiers.Incarnation, str]
    ) -> None:
        opened = self._questions.pop(key, None)
        if opened is not None:
            # Without a reply, ends the wait for it.
            opened.reply.cancel()
            del self._pending[opened.question.request_number]

    def _close_questions(self, incarnation: identifiers.Incarnation) -> None:
        self._reply_timeouts.pop(incarnation, None)
        for key in tuple(self._questions):
            if key[0] == incarnation:
                self._close_question(key)

    def _discard_transfer(
        self, transfer: transfers.StateTransfer, stream: str
    ) -> None:
        if self._transfers.get(stream) is transfer:
            del self._transfers[stream]

    def _list_transferring(self) -> set[identifiers.Incarnation]:
        """Return the sources of states; give up those without progress."""
        idle_at = self._clock.read_monotonic() - TRANSFER_IDLE_SECONDS
        for stream, transfer in tuple(self._transfers.items()):
            if transfer.progress_at < idle_at:
                self._discard_transfer(transfer, stream)
        return {transfer.neighbour for transfer in self._transfers.values()}

    async def _connect(
        self, address: _messages.EntryAddress
    ) -> _transport.MessageClient:
        client = _transport.MessageClient(
            address.endpoint,
            self._identity,
            self._handlers,
            self._telemetry,
            self._clock,
        )
        await client.start()
        return client

    async def _request(
        self,
        client: _transport.MessageClient,
        make_message: collections.abc.Callable[[int], _messages.Message],
        timeout_seconds: float,
    ) -> transfers.Reply | None:
        self._last_request_number += 1
        request_number = self._last_request_number
        future: asyncio.Future[transfers.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[request_number] = future
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._send_when_connected(
                    client, make_message(request_number)
                )
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending[request_number]

    async def _send_when_connected(
        self, client: _transport.MessageClient, message: _messages.Message
    ) -> None:
        while True:
            try:
                client.peer.send(message)
                return
            except errors.RefusedError:
                await asyncio.sleep(CONNECT_POLL_SECONDS)

    async def _handle_reply(
        self, peer: _handlers.Peer, reply: transfers.Reply
    ) -> None:
        future = self._pending.get(reply.request_number)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _handle_beat_noted(
        self, peer: _handlers.Peer, noted: messages.BeatNoted
    ) -> None:
        # The client has already recorded the time of the message.
        return None


class NeighbourRelay(replication.Relay):
    """Request records from neighbours when the log cannot be read."""

    __slots__ = ('_links',)

    def __init__(self, links: Links) -> None:
        self._links = links

    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> replication.RelayAnswer | None:
        reply = await self._links.request_records(stream, start, needs_state)
        if reply is None or reply.page is None:
            return None
        return replication.RelayAnswer(reply.page, reply.proof_age, reply.seed)
