"""Connections to a few other entries, and requests over them."""

import asyncio
import collections.abc
import random
import typing

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke.entries import _handlers
from chivespoke.entries import _membership_messages as messages
from chivespoke.entries import _messages
from chivespoke.entries import _transport
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication
from chivespoke import telemetry

REPLY_TIMEOUT_SECONDS = 1.0
# Neighbours that one relay request tries before it returns nothing.
MAX_RELAY_NEIGHBOURS = 2
MAX_CONCURRENT_REPORT_REQUESTS = 32
CONNECT_POLL_SECONDS = 0.01

Reply = messages.RelayReply | messages.RollReply


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
        self._pending: dict[int, asyncio.Future[Reply]] = {}
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
        """Open and close connections to match the given entries."""
        addresses = {address.incarnation: address for address in wanted}
        for incarnation in self._clients.keys() - addresses.keys():
            # Deleted only after it has stopped: if this task is cancelled in
            # between, stop() can still close the client. An open socket would
            # block the process later.
            await self._clients[incarnation].stop()
            del self._clients[incarnation]
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
        """Request records from neighbours; return the first with a page."""
        clients = list(self._clients.values())
        random.shuffle(clients)
        for client in clients[:MAX_RELAY_NEIGHBOURS]:
            reply = await self._request(
                client,
                lambda request_number: messages.RelayQuestion(
                    request_number, stream, start, needs_state
                ),
                REPLY_TIMEOUT_SECONDS,
            )
            if isinstance(reply, messages.RelayReply) and reply.page:
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
    ) -> Reply | None:
        self._last_request_number += 1
        request_number = self._last_request_number
        future: asyncio.Future[Reply] = (
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

    async def _handle_reply(self, peer: _handlers.Peer, reply: Reply) -> None:
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


class PeerRequestHandler:
    """Handle requests of other entries for records and reports."""

    __slots__ = ('_followers', '_reporters')

    def __init__(
        self,
        handlers: _handlers.Handlers,
        reporters: collections.abc.Iterable[operators.LocalReporter],
    ) -> None:
        self._followers: dict[str, replication.Follower[typing.Any]] = {}
        self._reporters = tuple(reporters)
        handlers.register(messages.RelayQuestion, self._handle_relay_question)
        handlers.register(messages.RollQuestion, self._handle_roll_question)

    def add_follower(self, follower: replication.Follower[typing.Any]) -> None:
        """Serve the records of a follower's stream to other entries."""
        self._followers[follower.replica.stream] = follower

    def list_reports(self) -> tuple[operators.ProcessReport, ...]:
        """Return the reports of this process and of its sidecars."""
        return tuple(
            report
            for reporter in self._reporters
            for report in reporter.list_reports()
        )

    async def _handle_relay_question(
        self, peer: _handlers.Peer, question: messages.RelayQuestion
    ) -> None:
        follower = self._followers.get(question.stream)
        answer = None
        if follower is not None:
            answer = replication.make_relay_answer(
                follower, question.start, question.needs_state
            )
        if answer is None:
            peer.send(messages.RelayReply(question.request_number))
            return
        peer.send(
            messages.RelayReply(
                question.request_number,
                answer.page,
                answer.read_age_seconds,
                answer.peer_state,
            )
        )

    async def _handle_roll_question(
        self, peer: _handlers.Peer, question: messages.RollQuestion
    ) -> None:
        peer.send(
            messages.RollReply(question.request_number, self.list_reports())
        )
