"""Tests of records and states that neighbours relay over slow links."""

import asyncio
import random
import unittest
from unittest import mock

from chivespoke import clock as clocks
from chivespoke import entries
from chivespoke.entries import _membership_links as links
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.replication.tests import builders
from chivespoke import settings
from chivespoke import standins
from chivespoke import telemetry

FRAME_COUNT = 48
KEY_BYTES = 64 * 1024
MAX_MESSAGE_BYTES = 512 * 1024
TEST_TIMEOUT_SECONDS = 20.0


class RecordingServer(entries.MessageServer):
    """Record the size of the largest message that was sent."""

    __slots__ = ('largest_bytes',)

    largest_bytes: int

    def encode(
        self, message: entries.Message, receiver: identifiers.Incarnation
    ) -> list[bytes]:
        frames = super().encode(message, receiver)
        self.largest_bytes = max(self.largest_bytes, len(frames[1]))
        return frames


def build_identity(name: str) -> entries.Identity:
    """Return the identity of an entry."""
    return entries.Identity(
        name,
        identifiers.Incarnation(f'{name}-1'),
        identifiers.DataCentreName('colombo-1'),
    )


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Relay 3 MiB from an entry with the log to one without it."""

    async def asyncSetUp(self) -> None:
        self.clock = clocks.SystemClock()
        self.source_log = standins.MemoryLog(self.clock)
        self.reader_log = standins.MemoryLog(self.clock)
        generator = random.Random(1)
        for number in range(FRAME_COUNT):
            frame = replication.Frame(
                replication.FrameKind.RECORDS,
                identifiers.Incarnation('writer'),
                number + 1,
                (
                    builders.build_record(
                        generator.randbytes(KEY_BYTES // 2).hex()
                    ),
                ),
            )
            payload = replication.encode_frame(frame)
            await self.source_log.append(builders.STREAM, payload)
            if not number:
                await self.reader_log.append(builders.STREAM, payload)
        self.server = await self.start_source()
        self.reader = await self.build_reader()

    async def start_source(self) -> RecordingServer:
        source = builders.Process(self.source_log, self.clock, 'source')
        while source.replica.next_offset < FRAME_COUNT:
            await source.follower.read_once()
        handlers = entries.Handlers()
        entries.PeerRequestHandler(handlers, ()).add_follower(source.follower)
        server = RecordingServer(
            settings.Address(),
            TEST_TIMEOUT_SECONDS,
            build_identity('source'),
            handlers,
            telemetry.Telemetry(),
            self.clock,
        )
        server.largest_bytes = 0
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def build_reader(self) -> builders.Process:
        self.links = entries.Links(
            build_identity('reader'), telemetry.Telemetry(), self.clock
        )
        self.addAsyncCleanup(self.links.stop)
        reader = builders.Process(
            self.reader_log,
            self.clock,
            'reader',
            relay=entries.NeighbourRelay(self.links),
        )
        self.addAsyncCleanup(reader.stop)
        return reader

    async def load(
        self,
        chunk_seconds: float = 0.0,
        max_answer_bytes: float = float('inf'),
    ) -> None:
        host, port = self.server.endpoint.removeprefix('tcp://').split(':')
        link = builders.SlowLink(
            settings.Address(host=host, port=int(port)),
            chunk_seconds,
            max_answer_bytes,
        )
        address = await link.start()
        self.addAsyncCleanup(link.stop)
        source = build_identity('source')
        await self.links.set_connections(
            (
                entries.EntryAddress(
                    source.name,
                    source.incarnation,
                    source.data_centre,
                    address.format_tcp(),
                ),
            )
        )
        self.reader_log.faults.read_down = True
        await self.reader.follower.start()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await self.reader.follower.wait_until(
                lambda: self.reader.replica.next_offset == FRAME_COUNT or None
            )
        self.assertEqual(FRAME_COUNT, len(self.reader.replica.fold.sums))

    async def test_state_slower_than_the_first_reply_is_loaded(self) -> None:
        # 3 MiB at 16 KiB in 20 ms take 3.8 s.
        await self.load(chunk_seconds=0.02)

    async def test_records_slower_than_the_first_reply_are_loaded(
        self,
    ) -> None:
        await self.reader.follower.read_once()
        await self.load(chunk_seconds=0.02)

    async def test_state_larger_than_connections_last_is_loaded(
        self,
    ) -> None:
        with mock.patch.object(links, 'REPLY_TIMEOUT_SECONDS', 0.5):
            await self.load(max_answer_bytes=MAX_MESSAGE_BYTES)

    async def test_relayed_state_does_not_delay_beats(self) -> None:
        await self.load()
        self.assertLess(self.server.largest_bytes, MAX_MESSAGE_BYTES)

    async def test_relayed_records_do_not_delay_beats(self) -> None:
        await self.reader.follower.read_once()
        await self.load()
        self.assertLess(self.server.largest_bytes, MAX_MESSAGE_BYTES)


if __name__ == '__main__':
    unittest.main()
