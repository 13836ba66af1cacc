"""The leader's connections to the sidecars."""

import abc
import asyncio

import msgspec
import zmq
import zmq.asyncio

from chivespoke import application
from chivespoke.coordination import _messages
from chivespoke import logs

LOGGER = logs.make_logger('links')

# The transport's own keep-alive, in milliseconds: a connection that went
# silent is replaced by a new one within about a second.
KEEP_ALIVE = 300
KEEP_ALIVE_LIMIT = 900
RECONNECT = 50
RECONNECT_LIMIT = 400
CONNECT_LIMIT = 800
# A directive goes out at least so often, in seconds; it asks for a report.
PULSE_SECONDS = 0.4
# Directives that wait for a peer that does not read; older ones are useless.
QUEUE_LIMIT = 16


def open_socket(context: zmq.asyncio.Context, kind: int) -> zmq.asyncio.Socket:
    """Open a socket that finds out about silent connections."""
    opened = context.socket(kind)
    opened.set(zmq.LINGER, 0)
    opened.set(zmq.SNDHWM, QUEUE_LIMIT)
    opened.set(zmq.HEARTBEAT_IVL, KEEP_ALIVE)
    opened.set(zmq.HEARTBEAT_TIMEOUT, KEEP_ALIVE_LIMIT)
    opened.set(zmq.RECONNECT_IVL, RECONNECT)
    opened.set(zmq.RECONNECT_IVL_MAX, RECONNECT_LIMIT)
    opened.set(zmq.CONNECT_TIMEOUT, CONNECT_LIMIT)
    return opened


class LinkOwner(abc.ABC):
    """Take in reports and give directives."""

    @abc.abstractmethod
    def take_report(self, report: _messages.Report) -> None:
        """Take in what a sidecar reports."""

    @abc.abstractmethod
    def make_directive(self, sidecar: str) -> _messages.Directive:
        """Return what a sidecar has to be told now."""


class Link:
    """Talk to one sidecar until it is closed."""

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
        self._tasks.spawn(self._receive())
        self._tasks.spawn(self._send())

    def wake(self) -> None:
        """Send a directive now."""
        self._wake.set()

    async def close(self) -> None:
        """End the tasks of the link and close its socket."""
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
                LOGGER.debug('A sidecar does not read.', sidecar=self._sidecar)
            # With nothing to tell, the pulse is due.
            await application.wait_for_event(self._wake, PULSE_SECONDS)
            self._wake.clear()

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            try:
                report = _messages.REPORT_DECODER.decode(frame)
            except msgspec.MsgspecError as error:
                LOGGER.error(
                    'A report cannot be read.',
                    sidecar=self._sidecar,
                    error=str(error),
                )
                continue
            self._owner.take_report(report)
