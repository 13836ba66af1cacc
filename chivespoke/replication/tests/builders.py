"""Builders of logs, folds and processes for replication tests."""

import asyncio
import json
import typing
import zlib

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import settings
from chivespoke import standins

STREAM = 'counts'
CHUNK_BYTES = 16 * 1024


class SumFold(replication.Fold[tuple[str, int]]):
    """Add up numbers by key."""

    def __init__(self) -> None:
        self.sums: dict[str, int] = {}

    def decode(self, record: bytes) -> tuple[str, int]:
        try:
            key, amount = json.loads(record)
        except ValueError as error:
            raise replication.UnreadableError(
                'decode', STREAM, str(error)
            ) from error
        return key, amount

    def apply(
        self, record: tuple[str, int], position: replication.Position
    ) -> None:
        key, amount = record
        self.sums[key] = self.sums.get(key, 0) + amount

    def encode_state(self) -> bytes:
        return json.dumps(self.sums, sort_keys=True).encode()

    def restore_state(self, state: bytes) -> None:
        self.sums = json.loads(state)


def build_record(key: str = 'pages', amount: int = 1) -> bytes:
    """Return an encoded record of a SumFold."""
    return json.dumps([key, amount]).encode()


class Process:
    """Hold the replication components of one simulated process."""

    def __init__(
        self,
        log: replication.Log,
        clock: clocks.Clock,
        name: str = 'process-1',
        limits: replication.CommitLimits | None = None,
        relay: replication.Relay | None = None,
        retention: float = 600.0,
    ) -> None:
        self.replica = replication.Replica(STREAM, SumFold())
        self.follower = replication.Follower(
            log, self.replica, clock, relay, seed=1
        )
        self.committer = replication.GroupCommitter(
            log, clock, identifiers.Incarnation(name), limits, seed=1
        )
        self.committer.watch(self.replica)
        self.snapshotter = replication.Snapshotter(
            self.follower,
            self.committer,
            clock,
            retention,
            seed=zlib.crc32(name.encode()),
        )

    async def start(self) -> None:
        """Follow the stream and write snapshots when they are due."""
        await self.follower.start()
        await self.snapshotter.start()

    async def stop(self) -> None:
        """Stop all tasks."""
        await self.snapshotter.stop()
        await self.follower.stop()
        await self.committer.stop()


class SlowLink:
    """Forward connections to a server, with slow and limited answers."""

    def __init__(
        self,
        server: settings.Address,
        chunk_seconds: float = 0.0,
        max_answer_bytes: float = float('inf'),
    ) -> None:
        self._server = server
        # Delay of each chunk of CHUNK_BYTES towards the client.
        self._chunk_seconds = chunk_seconds
        # A connection is cut once it has forwarded this many bytes.
        self._max_answer_bytes = max_answer_bytes
        self._listener: asyncio.Server | None = None

    async def start(self) -> settings.Address:
        """Listen on a free port of the loopback and return the address."""
        self._listener = await asyncio.start_server(
            self._forward, '127.0.0.1', 0
        )
        host, port = self._listener.sockets[0].getsockname()
        return settings.Address(host=host, port=port)

    async def stop(self) -> None:
        """Accept no further connections."""
        if self._listener is not None:
            self._listener.close()

    async def _forward(
        self,
        client_reader: asyncio.StreamReader,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            self._server.host, self._server.port
        )
        requests = asyncio.ensure_future(
            self._forward_requests(client_reader, server_writer)
        )
        forwarded = 0
        try:
            while forwarded < self._max_answer_bytes:
                chunk = await server_reader.read(CHUNK_BYTES)
                if not chunk:
                    break
                await asyncio.sleep(self._chunk_seconds)
                client_writer.write(chunk)
                await client_writer.drain()
                forwarded += len(chunk)
        except ConnectionError:
            # The client gave up; the connection to the server ends too.
            pass
        finally:
            requests.cancel()
            client_writer.close()
            server_writer.close()

    async def _forward_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        writer.close()


def build_log(
    retention: float = float('inf'),
) -> tuple[standins.MemoryLog, clocks.ManualClock]:
    """Return a log and its manual clock."""
    clock = clocks.ManualClock()
    return standins.MemoryLog(clock, retention), clock


async def run_ready_tasks(rounds: int = 20) -> None:
    """Yield to the event loop until ready tasks wait again."""
    for _ in range(rounds):
        await asyncio.sleep(0)


async def advance(
    clock: clocks.ManualClock, seconds: float, step: float = 0.05
) -> None:
    """Advance a clock in small steps and run ready tasks after each."""
    remaining = seconds
    while remaining > 1e-9:
        clock.advance(min(step, remaining))
        remaining -= step
        await run_ready_tasks()


async def advance_until_done(
    clock: clocks.ManualClock,
    awaitable: typing.Awaitable[typing.Any],
    limit: float = 120.0,
) -> typing.Any:
    """Advance a clock until an awaitable is done; return its result.

    Raise AssertionError after limit seconds.
    """
    future = asyncio.ensure_future(awaitable)
    await run_ready_tasks()
    moved = 0.0
    while not future.done() and moved < limit:
        await advance(clock, 0.05)
        moved += 0.05
    if not future.done():
        future.cancel()
        raise AssertionError(
            'the awaitable was not done within the time limit'
        )
    return future.result()
