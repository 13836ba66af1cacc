"""Tests of followers that read the log over slow or unstable links."""

import asyncio
import unittest

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders
from chivespoke import settings
from chivespoke import standins

FRAME_COUNT = 3
KEY_BYTES = 256 * 1024
READ_TIMEOUT_SECONDS = 0.25
TEST_TIMEOUT_SECONDS = 20.0


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Load a stream whose first page is larger than one read transfers."""

    async def asyncSetUp(self) -> None:
        memory = standins.MemoryLog(clocks.SystemClock())
        for number in range(FRAME_COUNT):
            frame = replication.Frame(
                replication.FrameKind.RECORDS,
                identifiers.Incarnation('writer'),
                number + 1,
                (builders.build_record(str(number) * KEY_BYTES),),
            )
            await memory.append(
                builders.STREAM, replication.encode_frame(frame)
            )
        self.server = standins.LogServer(memory, settings.Address())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def load(
        self,
        chunk_seconds: float = 0.0,
        max_answer_bytes: float = float('inf'),
    ) -> builders.Process:
        link = builders.SlowLink(
            self.server.address, chunk_seconds, max_answer_bytes
        )
        address = await link.start()
        self.addAsyncCleanup(link.stop)
        log = replication.HttpLog(address.format_http(), READ_TIMEOUT_SECONDS)
        await log.start()
        self.addAsyncCleanup(log.stop)
        process = builders.Process(log, clocks.SystemClock(), 'reader')
        self.addAsyncCleanup(process.stop)
        await process.follower.start()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await process.follower.wait_until(
                lambda: process.follower.last_read_at
            )
        return process

    async def test_page_slower_than_the_read_timeout_is_loaded(self) -> None:
        # One frame of 256 KiB at 16 KiB in 20 ms takes 0.32 s.
        process = await self.load(chunk_seconds=0.02)
        self.assertEqual(FRAME_COUNT, len(process.replica.fold.sums))

    async def test_page_larger_than_connections_last_is_loaded(self) -> None:
        process = await self.load(max_answer_bytes=1.5 * KEY_BYTES)
        self.assertEqual(FRAME_COUNT, len(process.replica.fold.sums))


if __name__ == '__main__':
    unittest.main()
