"""Tests of records and states that neighbours relay over slow links."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from chivespoke import clock as clocks
from chivespoke import entries
from chivespoke.entries import _membership_links as links
from chivespoke.entries import _membership_messages as messages
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
    """Record the sizes of the messages that were sent."""

    __slots__ = ('sizes',)

    sizes: list[int]

    def encode(
        self, message: entries.Message, receiver: identifiers.Incarnation
    ) -> list[bytes]:
        frames = super().encode(message, receiver)
        self.sizes.append(len(frames[1]))
        return frames


class RecordingPeer(entries.Peer):
    """Record the messages sent to it."""

    def __init__(self) -> None:
        super().__init__('reader', identifiers.Incarnation('reader-1'))
        self.sent: list[entries.Message] = []

    def send(self, message: entries.Message) -> None:
        self.sent.append(message)


class OldQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag='RelayQuestion'
):
    """Request records as a process does that does not know parts."""

    request_number: int
    stream: str
    start: identifiers.Offset
    needs_state: bool


class OldReply(msgspec.Struct, frozen=True, array_like=True, tag='RelayReply'):
    """Hold what a process reads that does not know parts."""

    request_number: int
    page: replication.LogPage | None = None
    proof_age: float | None = None
    seed: bytes = b''


def build_identity(name: str) -> entries.Identity:
    """Return the identity of an entry."""
    return entries.Identity(
        name,
        identifiers.Incarnation(f'{name}-1'),
        identifiers.DataCentreName('colombo-1'),
    )


def build_address(name: str, endpoint: str) -> entries.EntryAddress:
    """Return the address of an entry."""
    identity = build_identity(name)
    return entries.EntryAddress(
        name, identity.incarnation, identity.data_centre, endpoint
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
        self.source = builders.Process(self.source_log, self.clock, 'source')
        while self.source.replica.next_offset < FRAME_COUNT:
            await self.source.follower.read_once()
        self.server = await self.start_source('source')
        self.reader = await self.build_reader()

    async def start_source(self, name: str) -> RecordingServer:
        self.handlers = entries.Handlers()
        entries.PeerRequestHandler(self.handlers, ()).add_follower(
            self.source.follower
        )
        server = RecordingServer(
            settings.Address(),
            TEST_TIMEOUT_SECONDS,
            build_identity(name),
            self.handlers,
            telemetry.Telemetry(),
            self.clock,
        )
        server.sizes = []
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
        await self.begin(chunk_seconds, max_answer_bytes)
        await self.finish()

    async def begin(
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
        await self.links.set_connections(
            (build_address('source', address.format_tcp()),)
        )
        self.reader_log.faults.read_down = True
        await self.reader.follower.start()

    async def finish(self) -> None:
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

    async def test_replies_slower_than_the_timeout_are_used(self) -> None:
        await self.reader.follower.read_once()
        with mock.patch.object(links, 'REPLY_TIMEOUT_SECONDS', 0.05):
            await self.load(chunk_seconds=0.02)

    async def test_relayed_state_does_not_delay_beats(self) -> None:
        await self.load()
        self.assertLess(max(self.server.sizes), MAX_MESSAGE_BYTES)

    async def test_relayed_records_do_not_delay_beats(self) -> None:
        await self.reader.follower.read_once()
        await self.load()
        self.assertLess(max(self.server.sizes), MAX_MESSAGE_BYTES)

    async def test_source_that_forgets_the_state_is_asked_again(self) -> None:
        recent_handlers = entries.Handlers()
        questions = 0

        async def forget_every_tenth(
            peer: entries.Peer, question: messages.RelayQuestion
        ) -> None:
            nonlocal questions, recent_handlers
            if questions % 10 == 0:
                recent_handlers = entries.Handlers()
                entries.PeerRequestHandler(recent_handlers, ()).add_follower(
                    self.source.follower
                )
            questions += 1
            await recent_handlers.handle(peer, question)

        self.handlers.register(messages.RelayQuestion, forget_every_tenth)
        await self.load()
        self.assertGreater(questions, 20)

    async def test_connection_stays_open_while_a_state_arrives(self) -> None:
        await self.begin(chunk_seconds=0.02)
        await self.wait_for_a_part()
        await self.links.set_connections(())
        await self.finish()

    async def test_state_of_a_lost_source_is_loaded_from_another(self) -> None:
        with mock.patch.object(links, 'REPLY_TIMEOUT_SECONDS', 0.2):
            await self.begin(chunk_seconds=0.02)
            await self.wait_for_a_part()
            await self.server.stop()
            other = await self.start_source('other')
            await self.links.set_connections(
                (build_address('other', other.endpoint),)
            )
            await self.finish()

    async def wait_for_a_part(self) -> None:
        # The second part is sent when the first has arrived.
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while sum(size > KEY_BYTES for size in self.server.sizes) < 2:
                await asyncio.sleep(0.02)

    async def test_source_without_parts_is_used(self) -> None:
        async def send_whole_state(
            peer: entries.Peer, question: messages.RelayQuestion
        ) -> None:
            old = msgspec.msgpack.decode(
                msgspec.msgpack.encode(question), type=OldQuestion
            )
            answer = replication.make_relay_answer(
                self.source.follower, old.start, old.needs_state
            )
            assert answer is not None
            peer.send(
                messages.RelayReply(
                    old.request_number,
                    answer.page,
                    answer.read_age_seconds,
                    answer.peer_state,
                )
            )

        self.handlers.register(messages.RelayQuestion, send_whole_state)
        await self.load()

    async def test_reader_without_parts_gets_the_whole_state(self) -> None:
        peer = RecordingPeer()
        question = OldQuestion(1, builders.STREAM, identifiers.Offset(0), True)
        await self.handlers.handle(
            peer, self.handlers.decode(msgspec.msgpack.encode(question))
        )
        reply = msgspec.msgpack.decode(
            msgspec.msgpack.encode(peer.sent[0]), type=OldReply
        )
        self.assertTrue(self.reader.replica.restore_peer_state(reply.seed))
        self.assertEqual(FRAME_COUNT, self.reader.replica.next_offset)


if __name__ == '__main__':
    unittest.main()
