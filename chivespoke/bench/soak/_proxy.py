"""A TCP proxy on the loopback interface that does harm to its connections."""

import asyncio
import random

from chivespoke import application

CHUNK_BYTES = 16_384
POLL_SECONDS = 0.02
# Time within which connections that were being opened go through, once the
# server is back.
OPENING_SECONDS = 0.8


class LinkProxy(application.Component):
    """Forward connections to one address, and do harm to them on request."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks = application.TaskOwner()
        self._writers: set[asyncio.StreamWriter] = set()
        self._answers_link = asyncio.Lock()
        self._random = random.Random(0)
        # Writers to the server, and those of a server that has ended since.
        self._server_writers: set[asyncio.StreamWriter] = set()
        self._severed: set[asyncio.StreamWriter] = set()
        self._is_dark = False
        # Nothing passes, and connections stay open.
        self.is_cut = False
        # Connections are aborted, as soon as they are opened too.
        self.resets = False
        # Rate of what the server sends, over all connections; 0 for no limit.
        self.bytes_per_second = 0

    @property
    def address(self) -> str:
        """Return the address to connect to."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._forward, '127.0.0.1', 0
        )

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.abort_connections()
        await self._tasks.cancel()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def go_dark(self) -> None:
        """Let the server lose all connections, without a sign to clients.

        New ones are held until the link is not cut any more.
        """
        self.is_cut = True
        self._is_dark = True
        self._severed |= self._server_writers
        for writer in self._server_writers:
            writer.transport.abort()

    def return_from_dark(self) -> None:
        """Let the connections that are being opened reach the server."""
        self.is_cut = False
        self._is_dark = False

    def heal(self) -> None:
        """Do no more harm; what was held up passes."""
        self.is_cut = False
        self.resets = False
        self.bytes_per_second = 0

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        server_writer: asyncio.StreamWriter | None = None
        try:
            was_dark = self._is_dark
            await self._wait_for_link()
            if was_dark:
                await asyncio.sleep(self._random.uniform(0, OPENING_SECONDS))
                await self._wait_for_link()
            if self.resets:
                return
            server_reader, server_writer = await asyncio.open_connection(
                self._host, self._port
            )
            self._writers.add(server_writer)
            self._server_writers.add(server_writer)
            copies = (
                self._tasks.spawn(self._copy(reader, server_writer, False)),
                self._tasks.spawn(self._copy(server_reader, writer, True)),
            )
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            if server_writer in self._severed:
                # The client learns of it by the answer to what it sends.
                await asyncio.wait(copies[:1])
        except OSError:
            # The server is gone; the client sees the abort below.
            pass
        finally:
            for each in (writer, server_writer):
                if each is not None:
                    self._writers.discard(each)
                    self._server_writers.discard(each)
                    self._severed.discard(each)
                    each.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_for_link()
                if is_answer and self.bytes_per_second:
                    async with self._answers_link:
                        await asyncio.sleep(len(chunk) / self.bytes_per_second)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # One side is gone; the end of this copy aborts the other.
            pass

    async def _wait_for_link(self) -> None:
        while self.is_cut:
            await asyncio.sleep(POLL_SECONDS)
