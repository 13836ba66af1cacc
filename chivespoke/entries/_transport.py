"""Transport of messages between processes, with pyzmq and msgspec."""

import abc
import asyncio
import typing

import msgspec
import zmq
import zmq.asyncio

from chivespoke import application
from chivespoke import clock
from chivespoke.entries import _handlers
from chivespoke.entries import _inbox
from chivespoke.entries import _messages
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import settings
from chivespoke import telemetry

LOGGER = logs.make_logger('messages')

# High-water mark of a socket, per peer.
MAX_QUEUED_MESSAGES = 4096
MAX_MESSAGE_BYTES = 96 * 1024 * 1024
# How long a closed socket continues to send queued messages.
LINGER_MS = 200
ENVELOPE_DECODER = msgspec.msgpack.Decoder(_messages.Envelope)


class Endpoint(application.Component, abc.ABC):
    """Send and receive messages on one socket."""

    __slots__ = (
        '_identity',
        '_handlers',
        '_telemetry',
        '_encoder',
        '_context',
        '_socket',
        '_tasks',
        '_clock',
    )

    def __init__(
        self,
        identity: _messages.Identity,
        handlers: _handlers.Handlers,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        self._identity = identity
        self._handlers = handlers
        self._telemetry = instruments
        self._clock = time
        self._encoder = msgspec.msgpack.Encoder()
        self._context: zmq.asyncio.Context | None = None
        self._socket: zmq.asyncio.Socket | None = None
        self._tasks = application.TaskOwner()

    def count_dropped(self, cause: str) -> None:
        """Count a dropped message by cause."""
        self._telemetry.dropped_messages.add(1, {'cause': cause})

    def encode(
        self, message: _messages.Message, receiver: identifiers.Incarnation
    ) -> list[bytes]:
        """Encode a message into an envelope frame and a payload frame."""
        envelope = _messages.Envelope(
            _messages.PROTOCOL_VERSION,
            self._identity.name,
            self._identity.incarnation,
            receiver,
        )
        return [self._encoder.encode(envelope), self._encoder.encode(message)]

    def send_frames(self, frames: list[bytes], peer: str) -> None:
        """Queue frames on the socket; raise RefusedError if it refuses."""
        if self._socket is None:
            raise errors.RefusedError('send message', peer, 'socket closed')
        # Not awaited: with NOBLOCK the future is already done.
        sent = typing.cast(
            'asyncio.Future[object]',
            self._socket.send_multipart(frames, flags=zmq.NOBLOCK),
        )
        try:
            sent.result()
        except (zmq.ZMQError, asyncio.InvalidStateError) as error:
            raise errors.RefusedError(
                'send message', peer, str(error)
            ) from error

    def decode_envelope(
        self, frames: list[bytes]
    ) -> _messages.Envelope | None:
        """Decode an envelope; count the message as dropped if invalid.

        Returns None for a malformed message, another protocol version, or
        another receiver.
        """
        try:
            header, _ = frames
            envelope = ENVELOPE_DECODER.decode(header)
        except (msgspec.DecodeError, ValueError):
            self.count_dropped('malformed')
            return None
        if envelope.version != _messages.PROTOCOL_VERSION:
            self.count_dropped('version')
            return None
        if envelope.receiver not in ('', self._identity.incarnation):
            # Addressed to a previous incarnation of this process.
            self.count_dropped('incarnation')
            return None
        return envelope

    async def handle_payload(
        self, peer: _handlers.Peer, payload: bytes
    ) -> None:
        """Decode a payload of a peer and await its handler."""
        try:
            message = self._handlers.decode(payload)
        except msgspec.DecodeError:
            self.count_dropped('malformed')
            return
        try:
            await self._handlers.handle(peer, message)
        except errors.InvariantError:
            raise
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'Could not handle a message.', peer=peer.name, error=error
            )

    def open_socket(self, socket_type: int) -> zmq.asyncio.Socket:
        """Open a socket of the given ZeroMQ type in a new context."""
        self._context = zmq.asyncio.Context()
        zmq_socket = self._context.socket(socket_type)
        zmq_socket.set(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        zmq_socket.set(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        zmq_socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        zmq_socket.set(zmq.LINGER, LINGER_MS)
        self._socket = zmq_socket
        return zmq_socket

    async def stop(self) -> None:
        await self._tasks.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        if self._context is not None:
            self._context.term()
            self._context = None


class ServerPeer(_handlers.Peer):
    """Represent a process that has connected to this server."""

    __slots__ = ('_server', '_routing_id', 'inbox', 'heard_at')

    def __init__(
        self,
        server: 'MessageServer',
        routing_id: bytes,
        envelope: _messages.Envelope,
        heard_at: float,
    ) -> None:
        super().__init__(envelope.sender, envelope.incarnation)
        self._server = server
        self._routing_id = routing_id
        self.inbox = _inbox.Inbox()
        self.heard_at = heard_at

    def send(self, message: _messages.Message) -> None:
        frames = self._server.encode(message, self.incarnation)
        self._server.send_frames([self._routing_id, *frames], self.name)


class MessageServer(Endpoint):
    """Accept connections of many peers; one task serves each peer."""

    __slots__ = ('_address', '_heartbeat_limit', '_peers', '_endpoint')

    def __init__(
        self,
        address: settings.Address,
        heartbeat_limit: float,
        identity: _messages.Identity,
        handlers: _handlers.Handlers,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        super().__init__(identity, handlers, instruments, time)
        self._address = address
        self._heartbeat_limit = heartbeat_limit
        self._peers: dict[identifiers.Incarnation, ServerPeer] = {}
        self._endpoint = ''

    @property
    def endpoint(self) -> str:
        """Return the address that peers connect to; empty before start."""
        return self._endpoint

    def list_peers(self) -> tuple[_handlers.Peer, ...]:
        """Return the peers heard from within the heartbeat limit."""
        return tuple(self._peers.values())

    async def start(self) -> None:
        zmq_socket = self.open_socket(zmq.ROUTER)
        # Sending to a disconnected peer is an error instead of a silent loss.
        zmq_socket.set(zmq.ROUTER_MANDATORY, 1)
        zmq_socket.set(zmq.ROUTER_HANDOVER, 1)
        try:
            zmq_socket.bind(self._address.format_tcp().replace(':0', ':*'))
        except zmq.ZMQError as error:
            await super().stop()
            raise errors.UnavailableError(
                'bind messages', self._address.format_tcp(), str(error)
            ) from error
        self._endpoint = str(zmq_socket.getsockopt_string(zmq.LAST_ENDPOINT))
        self._tasks.spawn_loop(self._receive, zmq_socket)
        self._tasks.spawn_loop(self._remove_silent_peers)

    async def _receive(self, zmq_socket: zmq.asyncio.Socket) -> None:
        while True:
            routing_id, *frames = await zmq_socket.recv_multipart()
            envelope = self.decode_envelope(frames)
            if envelope is None:
                continue
            peer = self._find_peer(routing_id, envelope)
            if not peer.inbox.put(frames[1], len(frames[1])):
                self.count_dropped('inbox full')

    def _find_peer(
        self, routing_id: bytes, envelope: _messages.Envelope
    ) -> ServerPeer:
        now = self._clock.read_monotonic()
        peer = self._peers.get(envelope.incarnation)
        if peer is None:
            peer = ServerPeer(self, routing_id, envelope, now)
            self._peers[peer.incarnation] = peer
            self._tasks.spawn_loop(self._serve_peer, peer)
        peer.heard_at = now
        return peer

    async def _serve_peer(self, peer: ServerPeer) -> None:
        while peer.incarnation in self._peers:
            payload = await peer.inbox.take()
            if payload is not None:
                await self.handle_payload(peer, payload)

    async def _remove_silent_peers(self) -> None:
        while True:
            sleep_started_at = self._clock.read_monotonic()
            await self._clock.sleep(self._heartbeat_limit / 4)
            now = self._clock.read_monotonic()
            if now - sleep_started_at > self._heartbeat_limit / 2:
                # This process was paused: receive first what the peers have
                # sent meanwhile.
                continue
            silent_before = now - self._heartbeat_limit
            for peer in tuple(self._peers.values()):
                if peer.heard_at < silent_before:
                    del self._peers[peer.incarnation]
                    # Wakes the peer's task, which then ends.
                    peer.inbox.put(None, 0)
                    self._handlers.report_loss(peer)


class ClientPeer(_handlers.Peer):
    """Represent the process that a client is connected to."""

    __slots__ = ('_client',)

    def __init__(
        self,
        client: 'MessageClient',
        name: str,
        incarnation: identifiers.Incarnation,
    ) -> None:
        super().__init__(name, incarnation)
        self._client = client

    def send(self, message: _messages.Message) -> None:
        frames = self._client.encode(message, self.incarnation)
        self._client.send_frames(frames, self.name)


class MessageClient(Endpoint):
    """Connect to one peer; one task handles its messages.

    The peer is replaced when another incarnation replies at the endpoint.
    """

    __slots__ = ('endpoint', 'peer', 'heard_at')

    def __init__(
        self,
        endpoint: str,
        identity: _messages.Identity,
        handlers: _handlers.Handlers,
        instruments: telemetry.Telemetry,
        time: clock.Clock,
    ) -> None:
        super().__init__(identity, handlers, instruments, time)
        self.endpoint = endpoint
        self.peer = ClientPeer(self, endpoint, identifiers.Incarnation(''))
        self.heard_at = time.read_monotonic()

    async def start(self) -> None:
        zmq_socket = self.open_socket(zmq.DEALER)
        zmq_socket.set(zmq.IDENTITY, self._identity.incarnation.encode())
        # Refuse to send while not connected.
        zmq_socket.set(zmq.IMMEDIATE, 1)
        zmq_socket.connect(self.endpoint)
        self._tasks.spawn_loop(self._receive, zmq_socket)

    def is_alive(self, max_silence_seconds: float) -> bool:
        """Return whether the peer was heard from within the given time."""
        silence = self._clock.read_monotonic() - self.heard_at
        return bool(self.peer.incarnation) and silence < max_silence_seconds

    async def _receive(self, zmq_socket: zmq.asyncio.Socket) -> None:
        while True:
            frames = await zmq_socket.recv_multipart()
            envelope = self.decode_envelope(frames)
            if envelope is None:
                continue
            self._update_peer(envelope)
            await self.handle_payload(self.peer, frames[1])

    def _update_peer(self, envelope: _messages.Envelope) -> None:
        self.heard_at = self._clock.read_monotonic()
        if envelope.incarnation == self.peer.incarnation:
            return
        if self.peer.incarnation:
            self._handlers.report_loss(self.peer)
        self.peer = ClientPeer(self, envelope.sender, envelope.incarnation)
