"""Connections of the leader to the sidecars."""

import abc
import asyncio

import zmq
import zmq.asyncio

from chivespoke import application
from chivespoke.coordination import _messages
from chivespoke import decoding
from chivespoke import errors
from chivespoke import logs

LOGGER = logs.make_logger('links')

# Keep-alive and reconnection of the transport: a silent connection is replaced
# within about 1 s.
KEEP_ALIVE_INTERVAL_MS = 300
KEEP_ALIVE_TIMEOUT_MS = 900
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 400
CONNECT_TIMEOUT_MS = 800
# Maximum interval between directives. They renew the leases; a leader's first
# one makes the sidecar send its reports to that leader.
HEARTBEAT_SECONDS = 0.4
# Maximum number of messages queued for a peer that does not read them. The
# queue is short because outdated directives are useless.
SEND_QUEUE_MESSAGES = 16


def open_socket(context: zmq.asyncio.Context, kind: int) -> zmq.asyncio.Socket:
    """Open a socket that detects and replaces silent connections."""
    opened = context.socket(kind)
    opened.set(zmq.LINGER, 0)
    opened.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    opened.set(zmq.HEARTBEAT_IVL, KEEP_ALIVE_INTERVAL_MS)
    opened.set(zmq.HEARTBEAT_TIMEOUT, KEEP_ALIVE_TIMEOUT_MS)
    opened.set(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    opened.set(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    opened.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    return opened


class LinkOwner(abc.ABC):
    """Handle the reports of sidecars and make directives for them."""

    @abc.abstractmethod
    def handle_report(self, report: _messages.Report) -> None:
        """Handle a sidecar's report."""

    @abc.abstractmethod
    def make_directive(self, sidecar: str) -> _messages.Directive:
        """Return the directive to send to a sidecar now."""


class Link:
    """Exchange directives and reports with one sidecar."""

    __slots__ = ('_sidecar', '_owner', '_socket', '_tasks', '_wake')

    def __init__(
        self,
        context: zmq.asyncio.Context,
        sidecar: str,
        address: str,
        owner: LinkOwner,
    ) -> None:
        self._sidecar = sidecar
        self._owner = owner
        self._socket = open_socket(context, zmq.DEALER)
        self._socket.connect(f'tcp://{address}')
        self._wake = asyncio.Event()
        self._tasks = application.TaskOwner()
        self._tasks.spawn_loop(self._receive)
        self._tasks.spawn_loop(self._send)

    def wake(self) -> None:
        """Send a directive now."""
        self._wake.set()

    async def close(self) -> None:
        """Cancel the tasks of the link and close its socket."""
        await self._tasks.cancel()
        self._socket.close()

    async def _send(self) -> None:
        while True:
            directive = self._owner.make_directive(self._sidecar)
            try:
                await self._socket.send(
                    _messages.ENCODER.encode(directive), zmq.NOBLOCK
                )
            except zmq.Again:
                LOGGER.debug(
                    'Directive dropped; the send queue of a sidecar is full.',
                    sidecar=self._sidecar,
                )
            # Without a wake-up the next directive is a heartbeat.
            await application.wait_for_event(self._wake, HEARTBEAT_SECONDS)
            self._wake.clear()

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            try:
                report = decoding.decode(
                    _messages.REPORT_DECODER,
                    frame,
                    'read report',
                    self._sidecar,
                )
            except errors.RefusedError as error:
                LOGGER.error('A report cannot be decoded.', error=error)
                continue
            self._owner.handle_report(report)
