"""Tests of committing, following and their faults."""

import asyncio
import unittest

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders
from chivespoke import standins


class CommitTest(unittest.IsolatedAsyncioTestCase):
    """Commit through faults and count the effects."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log()
        self.process = builders.Process(self.log, self.clock)
        self.addAsyncCleanup(self.process.stop)
        await self.process.follower.start()
        await builders.settle()

    async def commit(self, count: int = 1) -> None:
        waiting = [
            self.process.committer.commit(
                builders.STREAM, builders.build_record()
            )
            for _ in range(count)
        ]
        await builders.drive(self.clock, asyncio.gather(*waiting))
        await builders.advance(self.clock, 0.5)

    async def test_records_share_an_append(self) -> None:
        await self.commit(100)
        self.assertEqual({'pages': 100}, self.process.replica.fold.sums)
        self.assertEqual(1, self.log.appends)

    async def test_effect_is_once_through_faults(self) -> None:
        cases = (
            standins.LogFaults(lost_answers=1),
            standins.LogFaults(duplicates=1),
            standins.LogFaults(lost_answers=2, duplicates=1),
            standins.LogFaults(append_delay=5.0),
        )
        for number, faults in enumerate(cases, start=1):
            with self.subTest(faults=faults):
                self.log.faults = faults
                await self.commit()
                self.assertEqual(
                    {'pages': number}, self.process.replica.fold.sums
                )

    async def test_lost_answer_is_learnt_by_reading(self) -> None:
        self.log.faults.lost_answers = 10**6
        await self.commit()
        self.assertEqual({'pages': 1}, self.process.replica.fold.sums)
        self.assertEqual(1, self.process.committer.appends)

    async def test_outage_is_waited_out_or_refused(self) -> None:
        self.log.faults.append_down = True
        waiting = asyncio.ensure_future(self.commit())
        await builders.advance(self.clock, 10)
        self.log.faults.append_down = False
        await builders.drive(self.clock, waiting)
        self.assertEqual({'pages': 1}, self.process.replica.fold.sums)
        self.log.faults.append_down = True
        with self.assertRaises(errors.RefusedError):
            await self.commit()

    async def test_full_backlog_is_refused(self) -> None:
        record = builders.build_record('k' * 1024 * 1024)
        with self.assertRaises(errors.RefusedError):
            for _ in range(5):
                self.process.committer.submit(builders.STREAM, record)

    async def test_wave_does_not_hold_up_another_stream(self) -> None:
        for _ in range(2000):
            self.process.committer.submit('jobs', builders.build_record())
        began = self.clock.read_monotonic()
        await self.commit()
        self.assertLess(self.clock.read_monotonic() - began, 1.5)


class FollowTest(unittest.IsolatedAsyncioTestCase):
    """Follow a stream that misbehaves."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log()
        self.writer = builders.Process(self.log, self.clock, 'writer')
        self.reader = builders.Process(self.log, self.clock, 'reader')
        self.addAsyncCleanup(self.writer.stop)
        self.addAsyncCleanup(self.reader.stop)

    async def write(self) -> None:
        await builders.drive(
            self.clock,
            self.writer.committer.commit(
                builders.STREAM, builders.build_record()
            ),
        )

    async def test_damaged_record_stands_still_with_state_kept(self) -> None:
        await self.write()
        self.log.faults.corruptions = 1
        await self.write()
        await self.write()
        await self.reader.follower.read_once()
        replica = self.reader.replica
        self.assertEqual({'pages': 1}, replica.fold.sums)
        self.assertIsNotNone(replica.fault)
        self.assertIn('counts@1', str(replica.fault))
        self.assertIsNone(self.reader.follower.last_read_at)

    async def test_unknown_version_or_record_stands_still(self) -> None:
        await self.write()
        unknown = bytes((99,)) + replication.encode_frame(
            replication.Frame(
                replication.FrameKind.RECORDS,
                identifiers.Incarnation('newer'),
                1,
                (),
            )
        )
        bad_record = replication.encode_frame(
            replication.Frame(
                replication.FrameKind.RECORDS,
                identifiers.Incarnation('newer'),
                1,
                (builders.build_record(), b'?'),
            )
        )
        for payload in (unknown, bad_record):
            with self.subTest(payload=payload[:8]):
                await self.log.append(builders.STREAM, payload)
                await self.reader.follower.read_once()
                self.assertEqual({'pages': 1}, self.reader.replica.fold.sums)
                self.assertIsNotNone(self.reader.replica.fault)
                self.log.truncate(builders.STREAM, 0)

    async def test_age_counts_from_the_beginning_of_a_read(self) -> None:
        follower = self.reader.follower
        self.assertEqual(float('inf'), follower.measure_read_age())
        await builders.drive(self.clock, follower.read_once(3.0))
        self.assertGreaterEqual(follower.measure_read_age(), 3.0)

    async def test_pause_is_seen_in_the_age(self) -> None:
        self.log.faults.read_delay = 0.5
        reading = asyncio.ensure_future(self.reader.follower.read_once())
        await builders.settle()
        self.clock.advance(60.0)
        await reading
        self.assertGreaterEqual(self.reader.follower.measure_read_age(), 60.0)


if __name__ == '__main__':
    unittest.main()
