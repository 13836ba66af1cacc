"""A shard's stream as one process follows it and appends to it."""

import asyncio

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.scheduling import _fold
from chivespoke.scheduling import _records

STREAM_PREFIX = 'shard-'


class ShardStream(application.Component):
    """Follow one shard; propose records to it or to another."""

    __slots__ = ('name', 'fold', 'replica', 'follower', 'committer', 'clock')

    def __init__(
        self,
        name: str,
        log: replication.Log,
        committer: replication.GroupCommitter,
        clock: clocks.Clock,
        relay: replication.Relay | None = None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.committer = committer
        self.fold = _fold.ShardFold(name)
        self.replica = replication.Replica(STREAM_PREFIX + name, self.fold)
        self.follower = replication.Follower(log, self.replica, clock, relay)
        committer.watch(self.replica)

    async def start(self) -> None:
        await self.follower.start()

    async def stop(self) -> None:
        await self.follower.stop()

    def propose(
        self, record: _records.Record, shard: str = ''
    ) -> asyncio.Future[identifiers.Offset]:
        """Queue a record; raise RefusedError when too much waits."""
        return self.committer.submit(
            STREAM_PREFIX + (shard or self.name),
            _records.encode_record(record),
        )

    async def commit(self, record: _records.Record) -> None:
        """Propose a record and wait until its effect can be read.

        Raise UnavailableError when the fate is unknown, RefusedError when
        nothing was appended.
        """
        offset = await self.propose(record)
        await self.follower.wait_until(
            lambda: True if self.replica.next_offset > offset else None
        )

    def measure_proof_age(self) -> float:
        """Return the seconds since the state was proven; inf if never."""
        if not self.replica.is_ready:
            return float('inf')
        return self.follower.measure_age()
