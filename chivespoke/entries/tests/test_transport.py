"""Tests of connections that carry a message which cannot be handled."""

import asyncio
import unittest

from chivespoke import clock as clocks
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import settings
from chivespoke import telemetry

HEARTBEAT_LIMIT_SECONDS = 20.0
TEST_TIMEOUT_SECONDS = 10.0


class Note(entries.Message, frozen=True, array_like=True, tag='Note'):
    """Carry a number."""

    number: int


class RecordingHandlers(entries.Handlers):
    """Record the numbers of notes; fail on the first one."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers: list[int] = []
        self.peers: list[entries.Peer] = []
        self.register(Note, self._handle_note)

    async def _handle_note(self, peer: entries.Peer, note: Note) -> None:
        self.numbers.append(note.number)
        self.peers.append(peer)
        if len(self.numbers) == 1:
            raise KeyError('unexpected')

    async def wait_for_numbers(self, numbers: list[int]) -> None:
        """Wait until the notes with these numbers have arrived."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while self.numbers != numbers:
                await asyncio.sleep(0.01)


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Fail in the handler of the first message of a connection.

    The task that receives messages ended with it: the connection stayed open,
    and nothing that came later was handled.
    """

    async def asyncSetUp(self) -> None:
        clock = clocks.SystemClock()
        self.server_handlers = RecordingHandlers()
        self.server = entries.MessageServer(
            settings.Address(),
            HEARTBEAT_LIMIT_SECONDS,
            self.build_identity('server'),
            self.server_handlers,
            telemetry.Telemetry(),
            clock,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client_handlers = RecordingHandlers()
        self.client = entries.MessageClient(
            self.server.endpoint,
            self.build_identity('client'),
            self.client_handlers,
            telemetry.Telemetry(),
            clock,
        )
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    def build_identity(self, name: str) -> entries.Identity:
        return entries.Identity(
            name,
            identifiers.Incarnation(f'{name}-1'),
            identifiers.DataCentreName('colombo-1'),
        )

    async def send_notes(self) -> None:
        """Send two notes to the server, once the connection is open."""
        for number in (1, 2):
            sent = False
            while not sent:
                try:
                    self.client.peer.send(Note(number))
                    sent = True
                except errors.RefusedError:
                    await asyncio.sleep(0.01)

    async def test_server_handles_the_messages_after_it(self) -> None:
        await self.send_notes()
        await self.server_handlers.wait_for_numbers([1, 2])

    async def test_client_handles_the_messages_after_it(self) -> None:
        await self.send_notes()
        await self.server_handlers.wait_for_numbers([1, 2])
        for number in (3, 4):
            self.server_handlers.peers[0].send(Note(number))
        await self.client_handlers.wait_for_numbers([3, 4])


if __name__ == '__main__':
    unittest.main()
