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

    async def test_slow_peer_does_not_stop_reads_of_the_log(self) -> None:
        await self.write()
        self.log.faults.read_down = True
        await self.reader.follower.start()
        await builders.advance(self.clock, 5.0)
        self.log.faults.read_down = False
        await builders.advance(self.clock, 5.0)
        self.assertEqual({'pages': 1}, self.reader.replica.fold.sums)
        self.assertEqual(1, self.relay.requests)


if __name__ == '__main__':
    unittest.main()
