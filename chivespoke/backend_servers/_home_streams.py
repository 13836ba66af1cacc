"""The streams of home lists, as one process follows and keeps them."""

import asyncio
import collections.abc
import typing

from chivespoke.backend_servers import _homes
from chivespoke import clock
from chivespoke import identifiers
from chivespoke import replication

# Lets peers be given what a follower has read.
ServeFollower = collections.abc.Callable[
    [replication.Follower[typing.Any]], None
]


class HomeStreams:
    """Open the followed streams of home lists, kept beyond retention."""

    __slots__ = (
        '_log',
        '_committer',
        '_clock',
        '_retention',
        '_relay',
        '_serve',
    )

    def __init__(
        self,
        log: replication.Log,
        committer: replication.GroupCommitter,
        time: clock.Clock,
        retention: float = float('inf'),
        relay: replication.Relay | None = None,
        serve: ServeFollower | None = None,
    ) -> None:
        self._log = log
        self._committer = committer
        self._clock = time
        # Seconds for which the log keeps a record.
        self._retention = retention
        self._relay = relay
        self._serve = serve

    async def open(
        self, name: identifiers.ServiceName
    ) -> tuple[
        replication.Follower[_homes.HomesFold],
        replication.Snapshotter,
    ]:
        """Follow a service's stream, and help to keep a snapshot in it."""
        replica = replication.Replica(
            _homes.STREAM_PREFIX + name, _homes.HomesFold()
        )
        follower = replication.Follower(
            self._log, replica, self._clock, self._relay
        )
        self._committer.watch(replica)
        if self._serve is not None:
            self._serve(follower)
        snapshotter = replication.Snapshotter(
            follower, self._committer, self._clock, self._retention
        )
        await follower.start()
        await snapshotter.start()
        return follower, snapshotter

    def submit(
        self, name: identifiers.ServiceName, record: _homes.HomeRecord
    ) -> asyncio.Future[identifiers.Offset]:
        """Propose a record; raise RefusedError when too much waits."""
        return self._committer.submit(
            _homes.STREAM_PREFIX + name, _homes.encode_record(record)
        )
