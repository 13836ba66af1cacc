"""Tests of commits and followers under faults of the log."""

import asyncio
import unittest
from unittest import mock

from chivespoke import application
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders
from chivespoke import standins


class CommitTest(unittest.IsolatedAsyncioTestCase):
    """Commit records under faults and count how often they apply."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log()
        self.process = builders.Process(self.log, self.clock)
        self.addAsyncCleanup(self.process.stop)
        await self.process.follower.start()
        await builders.run_ready_tasks()

    async def commit(self, count: int = 1) -> None:
        waiting = [
            self.process.committer.commit(
                builders.STREAM, builders.build_record()
            )
            for _ in range(count)
        ]
        await builders.advance_until_done(self.clock, asyncio.gather(*waiting))
        await builders.advance(self.clock, 0.5)

    async def test_records_share_an_append(self) -> None:
        await self.commit(100)
        self.assertEqual({'pages': 100}, self.process.replica.fold.sums)
        self.assertEqual(1, self.log.appends)

    async def test_effect_is_exactly_once_despite_faults(self) -> None:
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

    async def test_lost_answer_is_recovered_by_reading(self) -> None:
        self.log.faults.lost_answers = 10**6
        await self.commit()
        self.assertEqual({'pages': 1}, self.process.replica.fold.sums)
        self.assertEqual(1, self.process.committer.appends)

    async def test_outage_is_retried_then_refused(self) -> None:
        self.log.faults.append_down = True
        waiting = asyncio.ensure_future(self.commit())
        await builders.advance(self.clock, 10)
        self.log.faults.append_down = False
        await builders.advance_until_done(self.clock, waiting)
        self.assertEqual({'pages': 1}, self.process.replica.fold.sums)
        self.log.faults.append_down = True
        with self.assertRaises(errors.RefusedError):
            await self.commit()

    async def test_commits_go_on_after_an_unexpected_error(self) -> None:
        # The task of the stream ended: commits were accepted and never ended.
        append = self.log.append
        with mock.patch.object(
            self.log, 'append', side_effect=[KeyError('unexpected')]
        ):
            with self.assertRaises(errors.UnavailableError):
                await self.commit()
        self.log.append = append  # type: ignore[method-assign]
        await asyncio.sleep(2 * application.LOOP_RESTART_SECONDS)
        await self.commit()
        self.assertEqual({'pages': 1}, self.process.replica.fold.sums)

    async def test_full_backlog_is_refused(self) -> None:
        record = builders.build_record('k' * 1024 * 1024)
        with self.assertRaises(errors.RefusedError):
            for _ in range(5):
                self.process.committer.submit(builders.STREAM, record)

    async def test_large_backlog_does_not_delay_other_stream(self) -> None:
        for _ in range(2000):
            self.process.committer.submit('jobs', builders.build_record())
        began = self.clock.read_monotonic()
        await self.commit()
        self.assertLess(self.clock.read_monotonic() - began, 1.5)


class FollowTest(unittest.IsolatedAsyncioTestCase):
    """Follow a stream with corrupt records and slow reads."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log()
        self.writer = builders.Process(self.log, self.clock, 'writer')
        self.reader = builders.Process(self.log, self.clock, 'reader')
        self.addAsyncCleanup(self.writer.stop)
        self.addAsyncCleanup(self.reader.stop)

    async def write(self) -> None:
        await builders.advance_until_done(
            self.clock,
            self.writer.committer.commit(
                builders.STREAM, builders.build_record()
            ),
        )

    async def test_corrupt_record_stops_replay_and_keeps_state(self) -> None:
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

    async def test_unknown_version_or_record_stops_replay(self) -> None:
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

    async def test_read_age_counts_from_start_of_read(self) -> None:
        follower = self.reader.follower
        self.assertEqual(float('inf'), follower.measure_read_age())
        await builders.advance_until_done(self.clock, follower.read_once(3.0))
        self.assertGreaterEqual(follower.measure_read_age(), 3.0)

    async def test_read_age_includes_process_pause(self) -> None:
        self.log.faults.read_delay = 0.5
        reading = asyncio.ensure_future(self.reader.follower.read_once())
        await builders.run_ready_tasks()
        self.clock.advance(60.0)
        await reading
        self.assertGreaterEqual(self.reader.follower.measure_read_age(), 60.0)


if __name__ == '__main__':
    unittest.main()
