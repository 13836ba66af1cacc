"""Tests of reading topics of the store continuously."""

import asyncio
import unittest

from chivespoke import clock
from chivespoke.coordination import _followers
from chivespoke.coordination import _newest_follower
from chivespoke import errors
from chivespoke import platform
from chivespoke import standins

TOPIC = 'keyed.test'
LINK_BYTES_PER_SECOND = 4_000_000
# Two values do not fit into one page of the store.
LARGE_VALUE = b'v' * 600_000
LARGE_VALUES = 4
# Fewer records than are written during a full read of the values below, and
# more than during one page.
KEPT_RECORDS = 16
FORGOTTEN_VALUES = 8
WRITE_INTERVAL_SECONDS = 0.05
MAX_RECORD_BYTES = 262_144
SUPERSEDED_RECORDS = 40
RECORD_DIGITS = 30_000
TIMEOUT_SECONDS = 20.0
READ_SECONDS = 10.0


class RecordingFold(_followers.TopicFold):
    """Record the keys of a topic and the age at which each was applied."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self.ages: list[float] = []
        self.values: dict[str, bytes] = {}
        self.offsets: dict[str, list[int]] = {}
        self.follower: _followers.TopicFollower | None = None
        # Number of records that cannot be applied.
        self.failures = 0
        self.unreadable_keys: frozenset[str] = frozenset()

    def apply(self, record: platform.Record) -> None:
        if self.failures:
            self.failures -= 1
            raise ValueError('a fault of the fold')
        if record.key in self.unreadable_keys:
            raise errors.RefusedError('read record', record.key, 'odd')
        assert self.follower is not None
        self.keys.append(record.key)
        self.ages.append(self.follower.measure_age())
        self.values[record.key] = record.value
        self.offsets.setdefault(record.key, []).append(record.offset)

    def retain(self, keys: frozenset[str]) -> None:
        return None


class TimedStore(platform.Store):
    """Let a manual clock advance with each read."""

    __slots__ = ('clock',)

    def __init__(self, transport: platform.Transport) -> None:
        super().__init__(transport, transport)
        self.clock = clock.ManualClock()

    async def read(
        self,
        topic: str,
        start: int,
        wait_seconds: float,
        partition: int = 0,
        max_bytes: int = 1_048_576,
    ) -> platform.Page:
        page = await super().read(
            topic, start, wait_seconds, partition, max_bytes
        )
        self.clock.advance(READ_SECONDS)
        return page


class FollowerCase(unittest.IsolatedAsyncioTestCase):
    """Run a follower against the stand-in of the store."""

    async def asyncSetUp(self) -> None:
        self.standin = standins.PlatformStore()
        server = self.standin.make_server()
        await server.start()
        self.addAsyncCleanup(server.stop)
        transport = platform.Transport(
            f'{server.address.host}:{server.address.port}', 4
        )
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        self.store = TimedStore(transport)
        self.fold = RecordingFold()

    def make_follower(self, time: clock.Clock) -> _followers.TopicFollower:
        """Return the follower to test."""
        return _followers.TopicFollower(
            self.store, TOPIC, self.fold, time, 0.0
        )

    async def start_follower(self, time: clock.Clock) -> None:
        """Start the follower, and stop it after the test."""
        follower = self.make_follower(time)
        self.fold.follower = follower
        await follower.start()
        self.addAsyncCleanup(follower.stop)

    async def put_large_values(self, count: int = LARGE_VALUES) -> None:
        for number in range(count):
            await self.standin.put(TOPIC, f'k{number}', LARGE_VALUE)

    async def wait_for_keys(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.fold.keys) < count:
                await asyncio.sleep(0.01)


class TopicFollowerTest(FollowerCase):
    """Read a topic that fills several pages of the store."""

    async def test_interrupted_full_read_continues_where_it_broke_off(
        self,
    ) -> None:
        # Regression: each try began with the first page again, so that a
        # large topic was never read over a link that broke now and then.
        await self.put_large_values()
        self.standin.faults.link_bytes_per_second = LINK_BYTES_PER_SECOND
        self.standin.faults.broken_answers = frozenset((1, 3))
        await self.start_follower(clock.SystemClock())
        await self.wait_for_keys(LARGE_VALUES)
        self.assertEqual(['k0', 'k1', 'k2', 'k3'], self.fold.keys)
        self.assertEqual(
            ['', 'k0', 'k0', 'k1', 'k1', 'k2'], self.standin.asked_after
        )

    async def test_full_read_ends_while_the_store_forgets_its_history(
        self,
    ) -> None:
        # Regression: a full read that took longer than the store kept its
        # history had to begin again.
        await self.put_large_values(FORGOTTEN_VALUES)
        self.standin.faults.link_bytes_per_second = LINK_BYTES_PER_SECOND
        self.standin.faults.kept_records = KEPT_RECORDS
        await self.start_follower(clock.SystemClock())
        assert self.fold.follower is not None
        written = 0
        last_write = None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while last_write is None or last_write not in self.fold.keys:
                key = f'w{written}'
                await self.standin.put(TOPIC, key, b'v')
                written += 1
                if last_write is None and self.fold.follower.loaded:
                    last_write = key
                await asyncio.sleep(WRITE_INTERVAL_SECONDS)
        values = [f'k{number}' for number in range(FORGOTTEN_VALUES)]
        self.assertEqual([], sorted(set(values) - set(self.fold.keys)))
        self.assertEqual(1, self.standin.asked_after.count(''))

    async def test_later_page_is_not_replaced_by_an_earlier_record(
        self,
    ) -> None:
        # The log is read again from the end of the first page on, so it
        # repeats records that a later page has already replaced.
        await self.put_large_values()
        self.standin.faults.link_bytes_per_second = LINK_BYTES_PER_SECOND
        await self.start_follower(clock.SystemClock())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.standin.asked_after:
                await asyncio.sleep(0.01)
        await self.standin.put(TOPIC, 'k3', b'earlier')
        await self.standin.put(TOPIC, 'k3', b'later')
        await self.wait_for_keys(LARGE_VALUES)
        await asyncio.sleep(0.5)
        self.assertEqual(b'later', self.fold.values['k3'])
        self.assertEqual(
            sorted(self.fold.offsets['k3']), self.fold.offsets['k3']
        )

    async def test_partial_page_does_not_make_the_data_look_current(
        self,
    ) -> None:
        # Regression: an entry that was behind took each page for the newest
        # records and denied jobs that had been accepted.
        await self.start_follower(self.store.clock)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            # Both calls of the full read, and the read that waits for new
            # records.
            while self.standin.calls < 3:
                await asyncio.sleep(0.01)
        await self.put_large_values()
        await self.wait_for_keys(LARGE_VALUES)
        # No read since the full one has shown the end of the topic.
        self.assertEqual(
            [READ_SECONDS * reads for reads in range(2, LARGE_VALUES + 2)],
            self.fold.ages,
        )


class NewestFollowerTest(FollowerCase):
    """Read only the newest records of a topic."""

    def make_follower(self, time: clock.Clock) -> _followers.TopicFollower:
        return _newest_follower.NewestFollower(
            self.store, TOPIC, self.fold, time, MAX_RECORD_BYTES
        )

    async def test_superseded_records_are_not_read(self) -> None:
        await self.start_follower(clock.SystemClock())
        await self.wait_for_reads(1)
        self.standin.faults.refuse_with = 503
        for number in range(SUPERSEDED_RECORDS):
            value = str(number).encode() * RECORD_DIGITS
            await self.standin.put(TOPIC, 'k', value[:MAX_RECORD_BYTES])
        self.standin.faults.refuse_with = 0
        await self.wait_for_offset(SUPERSEDED_RECORDS)
        self.assertIn(SUPERSEDED_RECORDS - 1, self.fold.offsets['k'])
        # One read of the log, with few records, before it is known how many
        # there are.
        self.assertLess(len(self.fold.offsets['k']), SUPERSEDED_RECORDS / 4)

    async def test_record_is_not_replaced_by_an_earlier_one_of_the_log(
        self,
    ) -> None:
        await self.put_large_values()
        self.standin.faults.link_bytes_per_second = LINK_BYTES_PER_SECOND
        await self.start_follower(clock.SystemClock())
        await self.wait_for_reads(1)
        await self.standin.put(TOPIC, 'k3', b'earlier')
        await self.standin.put(TOPIC, 'k3', b'later')
        await self.wait_for_offset(LARGE_VALUES + 2)
        self.assertEqual(b'later', self.fold.values['k3'])
        self.assertEqual(
            sorted(self.fold.offsets['k3']), self.fold.offsets['k3']
        )

    async def test_record_that_could_not_be_applied_is_read_again(
        self,
    ) -> None:
        self.fold.failures = 1
        await self.standin.put(TOPIC, 'k', b'1')
        await self.start_follower(clock.SystemClock())
        await self.wait_for_keys(1)
        self.assertEqual({'k': b'1'}, self.fold.values)

    async def test_unreadable_record_is_skipped(self) -> None:
        # Regression: it was read again and again, and no later one was.
        self.fold.unreadable_keys = frozenset(('b',))
        for key in ('a', 'b', 'c'):
            await self.standin.put(TOPIC, key, b'1')
        await self.start_follower(clock.SystemClock())
        await self.wait_for_keys(2)
        for key in ('b', 'd'):
            await self.standin.put(TOPIC, key, b'1')
        await self.wait_for_keys(3)
        self.assertEqual(['a', 'c', 'd'], self.fold.keys)
        assert self.fold.follower is not None
        self.assertEqual(2, self.fold.follower.unreadable_records)

    async def test_dropped_history_is_no_obstacle(self) -> None:
        await self.start_follower(clock.SystemClock())
        await self.wait_for_reads(1)
        self.standin.faults.refuse_with = 503
        await self.standin.put(TOPIC, 'a', b'1')
        await self.standin.put(TOPIC, 'b', b'2')
        self.standin.expire_records_before(TOPIC, 2)
        self.standin.faults.refuse_with = 0
        await self.wait_for_keys(2)
        self.assertEqual({'a': b'1', 'b': b'2'}, self.fold.values)

    async def wait_for_reads(self, count: int) -> None:
        """Wait until reads of the newest records have begun."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.standin.asked_after) < count:
                await asyncio.sleep(0.01)

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until the log is read up to an offset."""
        assert self.fold.follower is not None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.fold.follower.wait_until(offset)


if __name__ == '__main__':
    unittest.main()
