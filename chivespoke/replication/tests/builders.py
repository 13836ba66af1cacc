"""Builders of logs, folds and processes for replication tests."""

import asyncio
import json
import typing
import zlib

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import standins

STREAM = 'counts'


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
