"""Tests of followers whose peers answer late or never."""

import asyncio
import unittest

from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders


class PendingRelay(replication.Relay):
    """Answer each request when the test allows it."""

    def __init__(self) -> None:
        self.requests = 0
        self.answer: asyncio.Future[replication.RelayAnswer | None] = (
            asyncio.get_running_loop().create_future()
        )

    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> replication.RelayAnswer | None:
        self.requests += 1
        return await self.answer


class HeldLog(replication.Log):
    """Hold the pages of a log until the test releases them."""

    def __init__(self, log: replication.Log) -> None:
        self.log = log
        self.reads = 0
        self.released = asyncio.Event()

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        return await self.log.append(stream, payload)

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> replication.LogPage:
        page = await self.log.read(stream, start, limit, wait_seconds)
        self.reads += 1
        await self.released.wait()
        return page


class PendingRelayTest(unittest.IsolatedAsyncioTestCase):
    """Follow a log that fails for a time, with a peer that is slow."""

    async def asyncSetUp(self) -> None:
        self.log, self.clock = builders.build_log()
        self.relay = PendingRelay()
        self.writer = builders.Process(self.log, self.clock, 'writer')
        self.reader = builders.Process(
            self.log, self.clock, 'reader', relay=self.relay
        )
        self.addAsyncCleanup(self.writer.stop)
        self.addAsyncCleanup(self.reader.stop)

    async def write(self) -> None:
        await builders.advance_until_done(
            self.clock,
            self.writer.committer.commit(
                builders.STREAM, builders.build_record()
            ),
        )

    def answer(
        self,
        start: identifiers.Offset = identifiers.Offset(0),
        needs_state: bool = True,
    ) -> None:
        """Answer the request under way from the writer's replica."""
        self.relay.answer.set_result(
            replication.make_relay_answer(
                self.writer.follower, start, needs_state
            )
        )

    async def test_slow_peer_does_not_stop_reads_of_the_log(self) -> None:
        await self.write()
        self.log.faults.read_down = True
        await self.reader.follower.start()
        await builders.advance(self.clock, 5.0)
        self.log.faults.read_down = False
        await builders.advance(self.clock, 5.0)
        self.assertEqual({'pages': 1}, self.reader.replica.fold.sums)
        self.assertEqual(1, self.relay.requests)

    async def test_late_page_of_the_log_is_no_fault(self) -> None:
        held = HeldLog(self.log)
        reader = builders.Process(held, self.clock, 'late', relay=self.relay)
        await self.write()
        self.log.faults.read_down = True
        await reader.follower.start()
        await builders.advance(self.clock, 0.01)
        self.log.faults.read_down = False
        await builders.advance(self.clock, 1.0)
        self.assertEqual(1, held.reads)
        await self.write()
        while self.writer.replica.next_offset < 2:
            await self.writer.follower.read_once()
        self.answer()
        await builders.run_ready_tasks()
        self.assertEqual({'pages': 2}, reader.replica.fold.sums)
        held.released.set()
        await builders.run_ready_tasks()
        await reader.follower.stop()
        self.assertIsNone(reader.replica.fault)

    async def test_relayed_records_after_a_lost_base_are_not_used(
        self,
    ) -> None:
        await self.write()
        await self.writer.follower.read_once()
        await self.reader.follower.read_once()
        self.log.faults.read_down = True
        await self.reader.follower.start()
        await builders.advance(self.clock, 1.0)
        await self.write()
        await self.write()
        self.log.faults.read_down = False
        await self.writer.follower.read_once()
        self.log.truncate(builders.STREAM, 2)
        await builders.advance(self.clock, 2.0)
        self.assertFalse(self.reader.replica.is_ready)
        self.answer(identifiers.Offset(1), needs_state=False)
        await builders.advance(self.clock, 1.0)
        self.assertFalse(self.reader.replica.is_ready)
        self.assertEqual(2, self.reader.replica.earliest)


if __name__ == '__main__':
    unittest.main()
