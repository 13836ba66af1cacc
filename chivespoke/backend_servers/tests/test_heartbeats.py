"""Tests of what sidecars and entries tell each other at each heartbeat."""

import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers import _messages
from chivespoke import clock as clocks
from chivespoke import entries
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import telemetry

SERVICE = identifiers.ServiceName('counting')
DATA_CENTRE = identifiers.DataCentreName('colombo')
ANNOUNCEMENT = _messages.Announcement(
    SERVICE, DATA_CENTRE, 8, 64, 0, True, False
)


class _Sidecar(entries.Peer):
    """Remember the kinds of messages that an entry sends."""

    def __init__(self) -> None:
        super().__init__('server-1', identifiers.Incarnation('life-1'))
        self.heard: list[str] = []
        self.reachable = True

    def send(self, message: entries.Message) -> None:
        if not self.reachable:
            raise errors.RefusedError('send message', self.name, 'cut off')
        self.heard.append(type(message).__name__)


def make_entry_address(name: str) -> entries.EntryAddress:
    """Return the address of another entry."""
    return entries.EntryAddress(
        name, identifiers.Incarnation(name), DATA_CENTRE, f'tcp://{name}'
    )


class BeatTest(unittest.IsolatedAsyncioTestCase):
    """Answer heartbeats briefly while nothing changes."""

    def setUp(self) -> None:
        time = clocks.ManualClock()
        self.handlers = entries.Handlers()
        self.directory = entries.EntryDirectory(time)
        self.registry = backend_servers.Registry(
            self.handlers, self.directory, telemetry.Telemetry(), time
        )
        self.sidecar = _Sidecar()

    async def beat(self, message: entries.Message) -> str:
        await self.handlers.handle(self.sidecar, message)
        return self.sidecar.heard[-1]

    async def test_the_list_of_entries_is_told_only_when_it_changes(
        self,
    ) -> None:
        self.assertEqual('Welcome', await self.beat(ANNOUNCEMENT))
        self.assertEqual('Pulse', await self.beat(entries.Pulse()))
        self.directory.add(make_entry_address('entry-2'), direct=True)
        self.assertEqual('Welcome', await self.beat(entries.Pulse()))
        self.assertEqual('Pulse', await self.beat(entries.Pulse()))

    async def test_a_welcome_that_was_not_sent_is_told_again(self) -> None:
        self.sidecar.reachable = False
        await self.handlers.handle(self.sidecar, ANNOUNCEMENT)
        self.sidecar.reachable = True
        self.assertEqual('Welcome', await self.beat(entries.Pulse()))

    async def test_a_sidecar_taken_for_lost_is_made_to_announce_itself(
        self,
    ) -> None:
        await self.beat(ANNOUNCEMENT)
        self.handlers.report_loss(self.sidecar)
        self.assertEqual([], self.registry.list_servers(SERVICE))
        self.assertEqual('Welcome', await self.beat(entries.Pulse()))
        await self.beat(ANNOUNCEMENT)
        self.assertEqual(1, len(self.registry.list_servers(SERVICE)))


if __name__ == '__main__':
    unittest.main()
