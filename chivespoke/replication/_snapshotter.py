"""Snapshotters: write snapshots before the records of a stream expire."""

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
# Shares of the retention of the log.
MAX_SNAPSHOT_AGE_SHARE = 1 / 4
MAX_DELAY_SHARE = 1 / 16
CHECK_INTERVAL_SHARE = 1 / 64
MAX_CHECK_INTERVAL_SECONDS = 5.0
MAX_DELAY_SECONDS = 30.0
# A replica that may be staler than this writes no snapshot.
MAX_READ_AGE_SECONDS = 10.0


class Snapshotter(application.Component):
    """Append a snapshot before the newest one can expire.

    Every process runs a snapshotter. It waits a random delay and then checks
    again, so that usually only the first process appends a marker. At the
    marker every reader computes the checksum of its state; the author of the
    marker appends its state as the snapshot.
    """

    __slots__ = (
        'snapshots',
        '_follower',
        '_committer',
        '_clock',
        '_retention',
        '_random',
        '_tasks',
        '_last_snapshot',
        '_last_snapshot_at',
        '_last_marker_at',
        '_own_marker_state',
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
        # The newest complete snapshot, and when it was first observed.
        self._last_snapshot: identifiers.Offset | None = None
        self._last_snapshot_at = clock.read_monotonic()
        self._last_marker_at = float('-inf')
        self._own_marker_state: tuple[identifiers.Offset, bytes] | None = None
        follower.replica.add_listener(self._handle_frame)

    @property
    def _max_delay_seconds(self) -> float:
        return min(self._retention * MAX_DELAY_SHARE, MAX_DELAY_SECONDS)

    async def start(self) -> None:
        self._tasks.spawn_loop(self._run)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def is_due(self) -> bool:
        """Return whether a snapshot is needed and nobody is writing one."""
        replica = self._follower.replica
        if (
            not replica.is_ready
            or replica.fault is not None
            or self._follower.measure_read_age() > MAX_READ_AGE_SECONDS
            or replica.end == 0
        ):
            return False
        now = self._clock.read_monotonic()
        if now - self._last_marker_at < 2 * self._max_delay_seconds:
            # Another process is probably writing a snapshot.
            return False
        newest = replica.last_snapshot
        if newest is None or newest < (replica.earliest + replica.end) // 2:
            return True
        return (
            now - self._last_snapshot_at
            >= self._retention * MAX_SNAPSHOT_AGE_SHARE
        )

    async def append_snapshot(self) -> None:
        """Append a marker, then the state at the marker.

        Raise RefusedError or UnavailableError.
        """
        stream = self._follower.replica.stream
        marker_offset = await self._committer.commit(
            stream, b'', _frame.FrameKind.MARKER
        )
        encoded = await self._follower.wait_until(
            lambda: self._pop_own_state(marker_offset)
        )
        if encoded == b'':
            return
        for record in _snapshot.split_snapshot(marker_offset, encoded):
            await self._committer.commit(
                stream, record, _frame.FrameKind.SNAPSHOT
            )
        self.snapshots += 1

    async def _run(self) -> None:
        check_interval = min(
            self._retention * CHECK_INTERVAL_SHARE, MAX_CHECK_INTERVAL_SECONDS
        )
        while True:
            await self._clock.sleep(check_interval)
            if not self.is_due():
                continue
            await self._clock.sleep(
                self._random.uniform(0, self._max_delay_seconds)
            )
            if not self.is_due():
                continue
            try:
                await self.append_snapshot()
            except (errors.RefusedError, errors.UnavailableError) as error:
                LOGGER.warning(
                    'A snapshot could not be appended.', error=error
                )

    def _pop_own_state(
        self, marker_offset: identifiers.Offset
    ) -> bytes | None:
        """Return the state at the marker; None before it is applied.

        Return an empty state if the marker was applied without a state
        being stored for it.
        """
        if (
            self._own_marker_state is not None
            and self._own_marker_state[0] == marker_offset
        ):
            encoded = self._own_marker_state[1]
            self._own_marker_state = None
            return encoded
        is_overtaken = self._follower.replica.next_offset > marker_offset
        return b'' if is_overtaken else None

    def _handle_frame(self, applied: _replica.AppliedFrame) -> None:
        now = self._clock.read_monotonic()
        replica = self._follower.replica
        if applied.kind is _frame.FrameKind.MARKER and not applied.repeated:
            self._last_marker_at = now
            if applied.author == self._committer.author:
                self._own_marker_state = (
                    applied.offset,
                    replica.encode_state(),
                )
        if replica.last_snapshot != self._last_snapshot:
            self._last_snapshot = replica.last_snapshot
            self._last_snapshot_at = now
