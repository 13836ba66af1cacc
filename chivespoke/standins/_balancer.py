"""A fake of the platform's load balancer that forwards TCP connections."""

import asyncio
import collections.abc
import contextlib

from chivespoke import application
from chivespoke import errors
from chivespoke import settings

CHUNK_BYTES = 65536


class Balancer(application.Component):
    """Forward each connection to the next target that accepts it.

    Targets may be changed at any time. ``cut`` aborts all connections and
    refuses new ones until ``restore`` is called.
    """

    __slots__ = ('targets', '_next', '_server', '_cut', '_tasks')

    def __init__(
        self, targets: collections.abc.Iterable[settings.Address] = ()
    ) -> None:
        self.targets = list(targets)
        self._next = 0
        self._server: asyncio.Server | None = None
        self._cut = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> settings.Address:
        """Return the address it listens on."""
        if self._server is None:
            raise errors.UnavailableError(
                'read address', 'balancer', 'the balancer is not started'
            )
        host, port = self._server.sockets[0].getsockname()[:2]
        return settings.Address(host, port)

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, settings.Address().host, 0
        )

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        await self._abort_connections()

    async def cut(self) -> None:
        """Abort all connections and refuse new ones."""
        self._cut = True
        await self._abort_connections()

    def restore(self) -> None:
        """Accept connections again."""
        self._cut = False

    async def _abort_connections(self) -> None:
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None or self._cut:
            writer.close()
            return
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = await self._connect()
        if connection is None:
            return
        target_reader, target_writer = connection
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy(reader, target_writer))
                group.create_task(_copy(target_reader, writer))
        finally:
            target_writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        for _ in range(len(self.targets)):
            target = self.targets[self._next % len(self.targets)]
            self._next += 1
            with contextlib.suppress(OSError):
                return await asyncio.open_connection(target.host, target.port)
        return None


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy bytes until the reader ends, then end the writer."""
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
