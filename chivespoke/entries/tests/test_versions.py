"""Tests of configuration versions at sidecars, and of links."""

import unittest

from chivespoke import clock as clocks
from chivespoke.entries import _handlers
from chivespoke.entries import _membership_links as links
from chivespoke.entries import _membership_messages as messages
from chivespoke.entries import _membership_versions as versions
from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import telemetry

DATA_CENTRE = identifiers.DataCentreName('colombo-1')
# Notices in order of arrival, and the version in use after each.
NOTICE_CASES = (
    ((1, 'a'), (1, 'a')),
    ((3, 'c'), (3, 'c')),
    # A notice of an entry that lags does not lower the version.
    ((2, 'b'), (3, 'c')),
    ((4, 'd'), (4, 'd')),
)


class RecordingPeer(_handlers.Peer):
    """Record the messages sent to it."""

    def __init__(self) -> None:
        super().__init__('entry-1', identifiers.Incarnation('e1'))
        self.sent: list[_messages.Message] = []

    def send(self, message: _messages.Message) -> None:
        self.sent.append(message)


class VersionHolderTest(unittest.IsolatedAsyncioTestCase):
    """Send version notices to a sidecar in any order."""

    async def test_versions_only_rise_and_are_confirmed(self) -> None:
        handlers = _handlers.Handlers()
        holder = versions.VersionHolder(DATA_CENTRE, handlers)
        peer = RecordingPeer()
        for (version, digest), expected in NOTICE_CASES:
            with self.subTest(version=version):
                await handlers.handle(
                    peer,
                    messages.VersionNotice(
                        identifiers.Version(version), digest
                    ),
                )
                self.assertEqual(expected, (holder.version, holder.digest))
                noted = peer.sent[-1]
                assert isinstance(noted, messages.VersionNoted)
                self.assertEqual(expected, (noted.version, noted.digest))


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Check that requests without a reply leave no connection open."""

    async def test_unanswered_request_leaves_no_connection(self) -> None:
        identity = _messages.Identity(
            'entry-1', identifiers.Incarnation('e1'), DATA_CENTRE
        )
        entry_links = links.Links(
            identity, telemetry.Telemetry(), clocks.SystemClock()
        )
        absent = _messages.EntryAddress(
            'entry-2',
            identifiers.Incarnation('e2'),
            DATA_CENTRE,
            'tcp://127.0.0.1:1',
        )
        self.assertIsNone(await entry_links.request_reports(absent, 0.05))
        await entry_links.set_connections((absent,))
        self.assertIsNone(
            await entry_links.request_records(
                's', identifiers.Offset(0), False
            )
        )
        await entry_links.set_connections(())
        await entry_links.stop()


if __name__ == '__main__':
    unittest.main()
