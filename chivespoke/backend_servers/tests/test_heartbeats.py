"""Tests of the messages that sidecars and entries send as heartbeats."""

import unittest

import msgspec

from chivespoke import backend_servers
from chivespoke.backend_servers import _announcer
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
    """Record the types of the messages that an entry sends."""

    def __init__(self) -> None:
        super().__init__('server-1', identifiers.Incarnation('incarnation-1'))
        self.received_kinds: list[str] = []
        self.connected = True

    def send(self, message: entries.Message) -> None:
        if not self.connected:
            raise errors.RefusedError('send message', self.name, 'cut off')
        self.received_kinds.append(type(message).__name__)


def build_entry_address(name: str) -> entries.EntryAddress:
    """Return the address of another entry."""
    return entries.EntryAddress(
        name, identifiers.Incarnation(name), DATA_CENTRE, f'tcp://{name}'
    )


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """Answer heartbeats with a Pulse while nothing changes."""

    def setUp(self) -> None:
        time = clocks.ManualClock()
        self.handlers = entries.Handlers()
        self.directory = entries.EntryDirectory(time)
        self.registry = backend_servers.Registry(
            self.handlers, self.directory, telemetry.Telemetry(), time
        )
        self.sidecar = _Sidecar()

    async def send_message(self, message: entries.Message) -> str:
        await self.handlers.handle(self.sidecar, message)
        return self.sidecar.received_kinds[-1]

    async def test_entries_are_sent_only_after_a_change(
        self,
    ) -> None:
        self.assertEqual('Welcome', await self.send_message(ANNOUNCEMENT))
        self.assertEqual('Pulse', await self.send_message(entries.Pulse()))
        self.directory.add(build_entry_address('entry-2'), direct=True)
        self.assertEqual('Welcome', await self.send_message(entries.Pulse()))
        self.assertEqual('Pulse', await self.send_message(entries.Pulse()))

    async def test_unsent_welcome_is_sent_again(self) -> None:
        self.sidecar.connected = False
        await self.handlers.handle(self.sidecar, ANNOUNCEMENT)
        self.sidecar.connected = True
        self.assertEqual('Welcome', await self.send_message(entries.Pulse()))

    async def test_lost_sidecar_is_asked_to_announce_itself(
        self,
    ) -> None:
        await self.send_message(ANNOUNCEMENT)
        self.handlers.report_loss(self.sidecar)
        self.assertEqual([], self.registry.list_servers(SERVICE))
        self.assertEqual('Welcome', await self.send_message(entries.Pulse()))
        await self.send_message(ANNOUNCEMENT)
        self.assertEqual(1, len(self.registry.list_servers(SERVICE)))

    def test_a_reading_of_the_clock_grows_old(self) -> None:
        """Drift would make every dispatch seem to come too late."""
        for seconds, outstanding, expected in (
            (1.0, 0, True),
            (1.0, 1, False),
            (_announcer.CLOCK_INTERVAL_SECONDS + 1.0, 0, False),
        ):
            with self.subTest(seconds=seconds, outstanding=outstanding):
                announcement = msgspec.structs.replace(
                    ANNOUNCEMENT, clock=seconds, outstanding=outstanding
                )
                self.assertIs(
                    expected,
                    _announcer.is_unchanged(ANNOUNCEMENT, announcement),
                )
        self.assertFalse(_announcer.is_unchanged(None, ANNOUNCEMENT))


if __name__ == '__main__':
    unittest.main()
