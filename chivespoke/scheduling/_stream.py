"""Follow a shard's stream and append records to it."""

import asyncio

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.scheduling import _fold
from chivespoke.scheduling import _records

STREAM_PREFIX = 'shard-'


class ShardStream(application.Component):
    """Follow the stream of one shard and propose records to any shard."""

    __slots__ = ('name', 'fold', 'replica', 'follower', 'committer', 'clock')

    def __init__(
        self,
        name: str,
        log: replication.Log,
        committer: replication.GroupCommitter,
        clock: clocks.Clock,
        relay: replication.Relay | None = None,
        seed: int | None = None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.committer = committer
        self.fold = _fold.ShardFold(name)
        self.replica = replication.Replica(STREAM_PREFIX + name, self.fold)
        self.follower = replication.Follower(
            log, self.replica, clock, relay, seed
        )
        committer.watch(self.replica)

    async def start(self) -> None:
        await self.follower.start()

    async def stop(self) -> None:
        await self.follower.stop()

    def propose(
        self, record: _records.Record, shard: str = ''
    ) -> asyncio.Future[identifiers.Offset]:
        """Queue a record for appending, by default to this shard.

        Raise RefusedError if the queue is full.
        """
        return self.committer.submit(
            STREAM_PREFIX + (shard or self.name),
            _records.encode_record(record),
        )

    async def commit(self, record: _records.Record) -> None:
        """Append a record and wait until the local state reflects it.

        Raise UnavailableError if it is unknown whether the record was
        appended, RefusedError if it was not.
        """
        offset = await self.propose(record)
        await self.follower.wait_until(
            lambda: True if self.replica.next_offset > offset else None
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether the stream was once read to its end."""
        return self.follower.is_loaded

    def measure_read_age(self) -> float:
        """Return the age of the state in seconds; infinite if never read."""
        if not self.replica.is_ready:
            return float('inf')
        return self.follower.measure_read_age()
