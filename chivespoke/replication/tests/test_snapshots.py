"""Tests of snapshots, expiry, state from peers and divergence."""

import unittest

from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication import _snapshot
from chivespoke.replication.tests import builders

RETENTION_SECONDS = 600.0


class PeerRelay(replication.Relay):
    """Answer from the replica of another process."""

    def __init__(self, peer: builders.Process) -> None:
        self.peer = peer

    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> replication.RelayAnswer | None:
        return replication.make_relay_answer(
            self.peer.follower, start, needs_state
        )


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """Preserve state for longer than the log retains records."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log(RETENTION_SECONDS)

    def build(
        self, name: str, relay: replication.Relay | None = None
    ) -> builders.Process:
        process = builders.Process(
            self.log,
            self.clock,
            name,
            relay=relay,
            retention=RETENTION_SECONDS,
        )
        self.addAsyncCleanup(process.stop)
        return process

    async def write(self, process: builders.Process, count: int = 1) -> None:
        for _ in range(count):
            await builders.advance_until_done(
                self.clock,
                process.committer.commit(
                    builders.STREAM, builders.build_record()
                ),
            )

    async def snapshot(self, process: builders.Process) -> None:
        await builders.advance_until_done(
            self.clock, process.snapshotter.append_snapshot()
        )

    async def read_all(self, process: builders.Process) -> None:
        await process.follower.read_once()
        await process.follower.read_once()

    def count_frames(self, kind: replication.FrameKind) -> int:
        state = self.log._open(builders.STREAM)
        frames = [replication.decode_frame(each, '') for each in state.records]
        return sum(frame.kind is kind for frame in frames)

    async def test_state_survives_retention_with_few_snapshots(self) -> None:
        processes = [self.build(f'process-{i}') for i in range(6)]
        for process in processes:
            await process.start()
        await self.write(processes[0], 3)
        await builders.advance(self.clock, 3 * RETENTION_SECONDS, step=1.0)
        for process in processes:
            self.assertEqual({'pages': 3}, process.replica.fold.sums)
        # One per quarter of the retention, and at most one more for each
        # when the random delays of two processes are close.
        self.assertLessEqual(
            self.count_frames(replication.FrameKind.MARKER), 8
        )
        fresh = self.build('fresh')
        await self.read_all(fresh)
        self.assertGreater(fresh.replica.earliest, 3)
        self.assertEqual({'pages': 3}, fresh.replica.fold.sums)
        self.assertEqual(
            processes[0].replica.encode_state(),
            fresh.replica.encode_state(),
        )

    async def test_snapshot_after_gap_is_not_restored(
        self,
    ) -> None:
        writer = self.build('writer')
        await writer.follower.start()
        await self.write(writer, 2)
        marker_offset = await builders.advance_until_done(
            self.clock,
            writer.committer.commit(
                builders.STREAM, b'', replication.FrameKind.MARKER
            ),
        )
        await builders.advance(self.clock, 2)
        state = writer.replica.encode_state()
        # The record at offset 3 lies between the marker at 2 and its snapshot
        # at 4.
        await self.write(writer, 1)
        (record,) = _snapshot.split_snapshot(marker_offset, state)
        await builders.advance_until_done(
            self.clock,
            writer.committer.commit(
                builders.STREAM, record, replication.FrameKind.SNAPSHOT
            ),
        )
        for earliest, expected in ((3, True), (4, False)):
            with self.subTest(earliest=earliest):
                self.log.truncate(builders.STREAM, earliest)
                fresh = self.build(f'fresh-{earliest}')
                await self.read_all(fresh)
                self.assertEqual(expected, fresh.replica.is_ready)
                sums = {'pages': 3} if expected else {}
                self.assertEqual(sums, fresh.replica.fold.sums)
                self.assertEqual(
                    expected, fresh.follower.last_read_at is not None
                )

    async def test_late_snapshot_of_stale_process_is_ignored(
        self,
    ) -> None:
        stale, recent = self.build('stale'), self.build('recent')
        await stale.follower.start()
        await recent.follower.start()
        await self.write(recent, 2)
        marker_offset = await builders.advance_until_done(
            self.clock,
            stale.committer.commit(
                builders.STREAM, b'', replication.FrameKind.MARKER
            ),
        )
        await builders.advance(self.clock, 2)
        stale_state = stale.replica.encode_state()
        await stale.follower.stop()
        await self.write(recent, 5)
        await self.snapshot(recent)
        # The stale process resumes and appends the state at its marker.
        for record in _snapshot.split_snapshot(marker_offset, stale_state):
            await builders.advance_until_done(
                self.clock,
                stale.committer.commit(
                    builders.STREAM, record, replication.FrameKind.SNAPSHOT
                ),
            )
        await builders.advance(self.clock, 2)
        for earliest in (0, 1, 4):
            self.log.truncate(builders.STREAM, earliest)
            fresh = self.build(f'fresh-{earliest}')
            await self.read_all(fresh)
            self.assertEqual({'pages': 7}, fresh.replica.fold.sums)
        self.assertEqual({'pages': 7}, recent.replica.fold.sums)
        self.assertIsNone(recent.replica.divergence)

    async def test_peer_state_restores_process_after_long_outage(self) -> None:
        old = self.build('old')
        await old.start()
        await self.write(old, 4)
        self.log.faults.append_down = self.log.faults.read_down = True
        await builders.advance(self.clock, 2 * RETENTION_SECONDS, step=5.0)
        # A process started during the outage has only the state of its peer.
        fresh = self.build('fresh', PeerRelay(old))
        await fresh.start()
        await builders.advance(self.clock, 5)
        self.assertEqual({'pages': 4}, fresh.replica.fold.sums)
        self.assertGreater(
            fresh.follower.measure_read_age(), RETENTION_SECONDS
        )
        await old.stop()
        self.log.faults.append_down = self.log.faults.read_down = False
        await builders.advance(self.clock, RETENTION_SECONDS / 2, step=0.5)
        self.assertLess(fresh.follower.measure_read_age(), 5.0)
        await self.write(fresh)
        later = self.build('later')
        await self.read_all(later)
        self.assertEqual({'pages': 5}, later.replica.fold.sums)

    async def test_all_processes_are_replaced_during_outage(self) -> None:
        old = [self.build(f'old-{number}') for number in range(3)]
        for process in old:
            await process.start()
        await self.write(old[0], 3)
        await self.snapshot(old[1])
        await self.write(old[2], 2)
        self.log.faults.append_down = self.log.faults.read_down = True
        for process in old:
            await process.stop()
        self.log.truncate(builders.STREAM, 2)
        fresh = [self.build(f'new-{number}') for number in range(3)]
        for process in fresh:
            await process.start()
        await builders.advance(self.clock, 30, step=0.5)
        for process in fresh:
            self.assertIsNone(process.follower.last_read_at)
        self.log.faults.append_down = self.log.faults.read_down = False
        await builders.advance(self.clock, 3)
        for process in fresh:
            self.assertEqual({'pages': 5}, process.replica.fold.sums)
            self.assertLess(process.follower.measure_read_age(), 3.0)

    async def test_snapshot_with_lost_answers(self) -> None:
        writer, reader = self.build('writer'), self.build('reader')
        await writer.follower.start()
        await reader.follower.start()
        await self.write(writer, 2)
        self.log.faults.lost_answers = 2
        self.log.faults.duplicates = 2
        await self.snapshot(writer)
        await builders.advance(self.clock, 2)
        self.assertIsNone(reader.replica.divergence)
        self.log.truncate(builders.STREAM, 3)
        fresh = self.build('fresh')
        await self.read_all(fresh)
        self.assertEqual({'pages': 2}, fresh.replica.fold.sums)

    async def test_replica_without_base_or_peer_is_not_ready(self) -> None:
        old = self.build('old')
        await old.follower.start()
        await self.write(old, 4)
        self.log.truncate(builders.STREAM, 3)
        fresh = self.build('fresh')
        await self.read_all(fresh)
        self.assertFalse(fresh.replica.is_ready)
        self.assertIsNone(fresh.follower.last_read_at)

    async def test_partitioned_reader_follows_through_peer(self) -> None:
        old = self.build('old')
        await old.start()
        await self.write(old, 2)
        cut_log, _ = builders.build_log()
        cut_log.faults.read_down = True
        cut = builders.Process(
            cut_log, self.clock, 'cut', relay=PeerRelay(old)
        )
        self.addAsyncCleanup(cut.stop)
        await cut.follower.start()
        await builders.advance(self.clock, 2)
        await self.write(old, 2)
        await builders.advance(self.clock, 3)
        self.assertEqual({'pages': 4}, cut.replica.fold.sums)
        # The read age is never less than the peer's.
        self.assertGreaterEqual(
            cut.follower.measure_read_age(), old.follower.measure_read_age()
        )
        self.assertLess(cut.follower.measure_read_age(), 5.0)

    async def test_divergence_is_detected(self) -> None:
        correct, other = self.build('honest'), self.build('other')
        await correct.follower.start()
        await other.follower.start()
        await self.write(correct, 2)
        await builders.advance(self.clock, 2)
        other.replica.fold.sums['pages'] = 99
        await self.snapshot(other)
        await builders.advance(self.clock, 2)
        found = correct.replica.divergence
        assert found is not None
        self.assertEqual('other', found.author)
        self.assertEqual({'pages': 2}, correct.replica.fold.sums)

    async def test_large_state_is_split_into_parts(self) -> None:
        encoded = bytes(
            (number * 7919 + number // 251) % 256 for number in range(10**6)
        )
        records = _snapshot.split_snapshot(identifiers.Offset(5), encoded)
        collector = _snapshot.SnapshotCollector('s')
        results = [
            collector.add('a', _snapshot.decode_part(record, 's'))
            for record in reversed(records)
        ]
        self.assertEqual([None] * (len(records) - 1), results[:-1])
        self.assertEqual(encoded, results[-1])


if __name__ == '__main__':
    unittest.main()
