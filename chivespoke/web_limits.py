"""Limits on what the clients of an HTTP server make it hold."""

import asyncio
import collections.abc
import logging
import traceback
import typing

import aiohttp
from aiohttp import http_exceptions
from aiohttp import web
import msgspec

from chivespoke import logs

LOGGER = logs.make_logger('web')

BYTES_PER_MIB = 1024 * 1024
# Most that is read from one connection at a time.
RECEIVE_BYTES = 16_384
# Time without a byte after which a connection gives way to others.
YIELD_SECONDS = 0.5
SWEEP_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1
PLAIN_ENCODINGS = ('', 'identity')

Handler: typing.TypeAlias = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class ServerLimits(msgspec.Struct, frozen=True):
    """Hold the limits of one server."""

    max_connections: int = 2048
    # Of one request, and of all requests that the server holds.
    max_body_bytes: int = 64 * BYTES_PER_MIB
    memory_bytes: int = 256 * BYTES_PER_MIB
    # Of the head of a request, with what precedes it.
    max_head_bytes: int = 131_072
    # Time without a byte of a request that has begun, and time for all of it.
    stall_seconds: float = 10.0
    request_seconds: float = 60.0


class _Connection(asyncio.Protocol):
    """Pass what a client sends on, as long as its server has room."""

    __slots__ = (
        'request',
        'received',
        'reserved',
        'held',
        'next_received',
        'unread',
        'begun_at',
        'received_at',
        '_gate',
        '_inner',
        '_transport',
    )

    def __init__(self, gate: 'Gate', inner: asyncio.Protocol) -> None:
        self._gate = gate
        self._inner = inner
        self._transport: asyncio.Transport | None = None
        # The request that is handled, None before its head is complete.
        self.request: web.Request | None = None
        # Bytes of the request that have come, and size that its head states.
        self.received = 0
        self.reserved = 0
        # What counts of this connection.
        self.held = 0
        # Bytes that have come behind the end of the request.
        self.next_received = 0
        # Body of a request that was answered without reading all of it.
        self.unread: aiohttp.StreamReader | None = None
        # Time of the first and of the last byte of the request.
        self.begun_at: float | None = None
        self.received_at = gate.read_time()

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport, None before the connection is made."""
        return self._transport

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has come in part."""
        if self.request is None:
            return self.received > 0
        return not self.request.content.is_eof()

    @property
    def is_idle(self) -> bool:
        """Return whether the client has sent nothing that is not answered."""
        return self.request is None and self.received == 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if hasattr(transport, 'max_size'):
            # All connections may be readable at the same time.
            transport.max_size = RECEIVE_BYTES
        self._inner.connection_made(transport)
        self._gate.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._gate.remove(self)
        self._inner.connection_lost(error)

    def data_received(self, data: bytes) -> None:
        if self._gate.admit(self, data):
            self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()

    def abort(self) -> None:
        """Close the connection and drop what is held of it."""
        self._gate.forget(self)
        if self._transport is not None:
            self._transport.abort()


class Gate:
    """Keep the connections of a server within its limits.

    What a client sends is counted before it is parsed. If there is no room
    left, clients that have stopped in the middle of a request give way first.
    """

    __slots__ = (
        '_limits',
        '_connections',
        '_by_transport',
        '_held',
        '_closed',
        '_loop',
    )

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        # In the order in which they were made.
        self._connections: dict[_Connection, None] = {}
        self._by_transport: dict[asyncio.BaseTransport, _Connection] = {}
        self._held = 0
        # Connections that were closed since the last line, by reason.
        self._closed: dict[str, int] = {}
        self._loop = asyncio.get_running_loop()

    def read_time(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    def make_protocol(self, inner: asyncio.Protocol) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        return _Connection(self, inner)

    def add(self, connection: _Connection) -> None:
        """Add a connection; close one if there are too many."""
        self._connections[connection] = None
        assert connection.transport is not None
        self._by_transport[connection.transport] = connection
        if len(self._connections) > self._limits.max_connections:
            self._close(
                self._find_stalled() or self._find_idle() or connection,
                'too many connections',
            )

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that is closed."""
        self.forget(connection)
        if connection.transport is not None:
            self._by_transport.pop(connection.transport, None)

    def forget(self, connection: _Connection) -> None:
        """Count nothing of a connection any more."""
        self._connections.pop(connection, None)
        self._held -= connection.held
        connection.held = 0

    def admit(self, connection: _Connection, data: bytes) -> bool:
        """Count what has come; return whether to pass it on."""
        if connection not in self._connections:
            # It is being closed.
            return False
        connection.received_at = self.read_time()
        if connection.unread is not None:
            if not connection.unread.is_eof():
                # The library drops it.
                return True
            connection.unread = None
        if connection.request is not None and not connection.is_receiving:
            connection.next_received += len(data)
        else:
            if connection.begun_at is None:
                connection.begun_at = connection.received_at
            connection.received += len(data)
        if (
            connection.request is None
            and connection.received > self._limits.max_head_bytes
        ):
            self._close(connection, 'no end of a head')
            return False
        # A request of which only a head has come can be refused.
        if not self._make_room(connection) and (
            connection.request is not None
            or connection.received > RECEIVE_BYTES
        ):
            self._close(connection, 'no memory')
            return False
        return True

    def _make_room(self, connection: _Connection) -> bool:
        held = (
            max(connection.received, connection.reserved)
            + connection.next_received
        )
        self._held += held - connection.held
        connection.held = held
        while self._held > self._limits.memory_bytes:
            stalled = self._find_stalled()
            if stalled is None or stalled is connection:
                return False
            self._close(stalled, 'no memory')
        return True

    def _find_stalled(self) -> _Connection | None:
        """Return the connection whose request has stopped the longest."""
        before = self.read_time() - YIELD_SECONDS
        return min(
            (
                each
                for each in self._connections
                if each.is_receiving and each.received_at < before
            ),
            key=lambda each: each.received_at,
            default=None,
        )

    def _find_idle(self) -> _Connection | None:
        before = self.read_time() - YIELD_SECONDS
        return min(
            (
                each
                for each in self._connections
                if each.is_idle and each.received_at < before
            ),
            key=lambda each: each.received_at,
            default=None,
        )

    def _close(self, connection: _Connection, reason: str) -> None:
        self.count(reason)
        connection.abort()

    def count(self, reason: str) -> None:
        """Count a connection that is closed."""
        self._closed[reason] = self._closed.get(reason, 0) + 1

    async def sweep_repeatedly(self) -> None:
        """Close the connections whose requests take too long."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Close the connections whose requests take too long by now."""
        now = self.read_time()
        for connection in tuple(self._connections):
            if not connection.is_receiving or connection.begun_at is None:
                continue
            if now > connection.received_at + self._limits.stall_seconds:
                self._close(connection, 'stalled request')
            elif now > connection.begun_at + self._limits.request_seconds:
                self._close(connection, 'slow request')
        if self._closed:
            LOGGER.warning(
                'Connections of clients were closed.',
                reasons=dict(self._closed),
                connections=len(self._connections),
                held_bytes=self._held,
            )
            self._closed.clear()

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse what cannot be held, and count the request until its end."""
        connection = (
            self._by_transport.get(request.transport)
            if request.transport is not None
            else None
        )
        if connection is None:
            raise ConnectionResetError('the connection was closed')
        connection.request = request
        try:
            response = self._refuse(request, connection)
            if response is not None:
                response.force_close()
                return response
            return await handler(request)
        finally:
            if not request.content.is_eof():
                connection.unread = request.content
            self._end_request(connection)

    def _refuse(
        self, request: web.Request, connection: _Connection
    ) -> web.Response | None:
        encoding = request.headers.get('Content-Encoding', '').lower()
        if encoding not in PLAIN_ENCODINGS:
            return web.Response(status=415)
        size = request.content_length or 0
        if size > self._limits.max_body_bytes:
            return web.Response(status=413)
        connection.reserved = size
        if not self._make_room(connection):
            return web.Response(
                status=503, headers={'Retry-After': str(RETRY_AFTER_SECONDS)}
            )
        return None

    def _end_request(self, connection: _Connection) -> None:
        connection.request = None
        connection.received = connection.next_received
        connection.next_received = connection.reserved = 0
        connection.begun_at = (
            connection.received_at if connection.received else None
        )
        if connection in self._connections:
            self._held += connection.received - connection.held
            connection.held = connection.received


class ServerLog(logging.Logger):
    """Log what the server library reports, without a line for each client."""

    def __init__(self, gate: Gate) -> None:
        super().__init__('aiohttp.server', logging.WARNING)
        self._gate = gate

    def exception(
        self, msg: object, *args: object, **kwargs: typing.Any
    ) -> None:
        """Log an error of ours; count one of a client."""
        error = kwargs.get('exc_info')
        if isinstance(error, http_exceptions.HttpProcessingError):
            self._gate.count('malformed request')
        elif isinstance(error, ConnectionError):
            self._gate.count('lost connection')
        else:
            LOGGER.error(
                'A request failed.',
                error=repr(error),
                trace=''.join(traceback.format_exception(error))
                if isinstance(error, BaseException)
                else str(msg),
            )
