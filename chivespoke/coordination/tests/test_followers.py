"""Tests of reading topics of the store continuously."""

import asyncio
import unittest

from chivespoke import clock
from chivespoke.coordination import _followers
from chivespoke import platform
from chivespoke import standins

TOPIC = 'keyed.test'
LINK_BYTES_PER_SECOND = 4_000_000
# Two values do not fit into one page of the store.
LARGE_VALUE = b'v' * 600_000
LARGE_VALUES = 4
TIMEOUT_SECONDS = 20.0
READ_SECONDS = 10.0


class RecordingFold(_followers.TopicFold):
    """Record the keys of a topic and the age at which each was applied."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self.ages: list[float] = []
        self.follower: _followers.TopicFollower | None = None

    def apply(self, record: platform.Record) -> None:
        assert self.follower is not None
        self.keys.append(record.key)
        self.ages.append(self.follower.measure_age())

    def retain(self, keys: frozenset[str]) -> None:
        return None


class TimedStore(platform.Store):
    """Let a manual clock advance with each read."""

    __slots__ = ('clock',)

    def __init__(self, transport: platform.Transport) -> None:
        super().__init__(transport, transport)
        self.clock = clock.ManualClock()

    async def read(
        self, topic: str, start: int, wait_seconds: float, partition: int = 0
    ) -> platform.Page:
        page = await super().read(topic, start, wait_seconds, partition)
        self.clock.advance(READ_SECONDS)
        return page


class TopicFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Read a topic that fills several pages of the store."""

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

    async def start_follower(self, time: clock.Clock) -> None:
        follower = _followers.TopicFollower(
            self.store, TOPIC, self.fold, time, 0.0
        )
        self.fold.follower = follower
        await follower.start()
        self.addAsyncCleanup(follower.stop)

    async def put_large_values(self) -> None:
        for number in range(LARGE_VALUES):
            await self.standin.put(TOPIC, f'k{number}', LARGE_VALUE)

    async def wait_for_keys(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.fold.keys) < count:
                await asyncio.sleep(0.01)

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

    async def test_partial_page_does_not_make_the_data_look_current(
        self,
    ) -> None:
        # Regression: an entry that was behind took each page for the newest
        # records and denied jobs that had been accepted.
        await self.start_follower(self.store.clock)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            # The full read, and the read that waits for new records.
            while self.standin.calls < 2:
                await asyncio.sleep(0.01)
        await self.put_large_values()
        await self.wait_for_keys(LARGE_VALUES)
        # No read since the first one has shown the end of the topic.
        self.assertEqual(
            [READ_SECONDS * reads for reads in range(1, LARGE_VALUES + 1)],
            self.fold.ages,
        )


if __name__ == '__main__':
    unittest.main()
