"""The snapshotter: keeps a base in a stream whose records expire."""

import random
import typing

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.replication import _committer
from chivespoke.replication import _follower
from chivespoke.replication import _frame
from chivespoke.replication import _replica
from chivespoke.replication import _snapshot

LOGGER = logs.make_logger('snapshotter')
# Shares of the retention.
RENEW_SHARE = 1 / 4
SPREAD_SHARE = 1 / 16
CHECK_SHARE = 1 / 64
# Seconds.
CHECK_MAXIMUM = 5.0
SPREAD_MAXIMUM = 30.0
# A proof older than this writes no snapshot, in seconds.
PROOF_LIMIT = 10.0


class Snapshotter(application.Component):
    """Append a snapshot when the newest could expire.

    Every process does so after a random delay and another look, so that
    the first one's mark spares the others the work. A mark asks all readers
    for their checksum at its offset; its author appends that state.
    """

    __slots__ = (
        'snapshots',
        '_follower',
        '_committer',
        '_clock',
        '_retention',
        '_random',
        '_tasks',
        '_seen',
        '_seen_at',
        '_marked_at',
        '_own_mark',
    )

    def __init__(
        self,
        follower: _follower.Follower[typing.Any],
        committer: _committer.GroupCommitter,
        clock: clocks.Clock,
        retention: float,
        seed: int | None = None,
    ) -> None:
        self.snapshots = 0
        self._follower = follower
        self._committer = committer
        self._clock = clock
        self._retention = retention
        self._random = random.Random(seed)
        self._tasks = application.TaskOwner()
        # The newest complete snapshot, and when it was seen.
        self._seen: identifiers.Offset | None = None
        self._seen_at = clock.read_monotonic()
        self._marked_at = float('-inf')
        self._own_mark: tuple[identifiers.Offset, bytes] | None = None
        follower.replica.add_listener(self._note_frame)

    @property
    def _spread(self) -> float:
        return min(self._retention * SPREAD_SHARE, SPREAD_MAXIMUM)

    async def start(self) -> None:
        self._tasks.spawn(self._run())

    async def stop(self) -> None:
        await self._tasks.cancel()

    def is_due(self) -> bool:
        """Tell whether a snapshot should be appended soon."""
        replica = self._follower.replica
        if (
            not replica.is_ready
            or replica.fault is not None
            or self._follower.measure_read_age() > PROOF_LIMIT
            or replica.end == 0
        ):
            return False
        now = self._clock.read_monotonic()
        if now - self._marked_at < 2 * self._spread:
            # Someone is at it.
            return False
        newest = replica.last_snapshot
        if newest is None or newest < (replica.earliest + replica.end) // 2:
            return True
        return now - self._seen_at >= self._retention * RENEW_SHARE

    async def append_snapshot(self) -> None:
        """Append a mark, then the state at the mark.

        Raise RefusedError or UnavailableError.
        """
        stream = self._follower.replica.stream
        marker_offset = await self._committer.commit(
            stream, b'', _frame.FrameKind.MARKER
        )
        encoded = await self._follower.wait_until(
            lambda: self._take_own_state(marker_offset)
        )
        if encoded == b'':
            return
        for record in _snapshot.split_snapshot(marker_offset, encoded):
            await self._committer.commit(
                stream, record, _frame.FrameKind.SNAPSHOT
            )
        self.snapshots += 1

    async def _run(self) -> None:
        check = min(self._retention * CHECK_SHARE, CHECK_MAXIMUM)
        while True:
            await self._clock.sleep(check)
            if not self.is_due():
                continue
            await self._clock.sleep(self._random.uniform(0, self._spread))
            if not self.is_due():
                continue
            try:
                await self.append_snapshot()
            except (errors.RefusedError, errors.UnavailableError) as error:
                LOGGER.warning('A snapshot was not appended.', error=error)

    def _take_own_state(
        self, marker_offset: identifiers.Offset
    ) -> bytes | None:
        """Return the state at the mark, empty if it was overtaken."""
        if self._own_mark is not None and self._own_mark[0] == marker_offset:
            encoded = self._own_mark[1]
            self._own_mark = None
            return encoded
        passed = self._follower.replica.next_offset > marker_offset
        return b'' if passed else None

    def _note_frame(self, applied: _replica.AppliedFrame) -> None:
        now = self._clock.read_monotonic()
        replica = self._follower.replica
        if applied.kind is _frame.FrameKind.MARKER and not applied.repeated:
            self._marked_at = now
            if applied.author == self._committer.author:
                self._own_mark = (applied.offset, replica.encode_state())
        if replica.last_snapshot != self._seen:
            self._seen = replica.last_snapshot
            self._seen_at = now
