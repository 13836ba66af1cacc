"""Streams of home lists: followers, snapshots and proposals."""

import asyncio
import collections.abc
import typing

from chivespoke.backend_servers import _homes
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import replication

# Registers a follower whose records this process serves to its peers.
ServeFollower = collections.abc.Callable[
    [replication.Follower[typing.Any]], None
]


class HomeStreams:
    """Open streams of home lists and submit records to them.

    Snapshots keep the lists longer than the log retains their records.
    """

    __slots__ = (
        '_log',
        '_committer',
        '_clock',
        '_retention_seconds',
        '_relay',
        '_serve_follower',
    )

    def __init__(
        self,
        log: replication.Log,
        committer: replication.GroupCommitter,
        time: clock.Clock,
        retention_seconds: float = float('inf'),
        relay: replication.Relay | None = None,
        serve_follower: ServeFollower | None = None,
    ) -> None:
        self._log = log
        self._committer = committer
        self._clock = time
        # How long the log retains a record.
        self._retention_seconds = retention_seconds
        self._relay = relay
        self._serve_follower = serve_follower

    async def open(
        self, name: identifiers.ServiceName
    ) -> tuple[
        replication.Follower[_homes.HomesFold],
        replication.Snapshotter,
    ]:
        """Start the follower and the snapshotter of a service's stream."""
        replica = replication.Replica(
            _homes.STREAM_PREFIX + name, _homes.HomesFold()
        )
        follower = replication.Follower(
            self._log, replica, self._clock, self._relay
        )
        self._committer.watch(replica)
        if self._serve_follower is not None:
            self._serve_follower(follower)
        snapshotter = replication.Snapshotter(
            follower, self._committer, self._clock, self._retention_seconds
        )
        await follower.start()
        await snapshotter.start()
        return follower, snapshotter

    def submit(
        self, name: identifiers.ServiceName, record: _homes.HomeRecord
    ) -> asyncio.Future[identifiers.Offset]:
        """Propose a record; raise RefusedError if the backlog is full."""
        return self._committer.submit(
            _homes.STREAM_PREFIX + name, _homes.encode_record(record)
        )
