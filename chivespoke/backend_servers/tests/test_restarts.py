"""Tests of sidecars that start again under their name."""

import unittest

from chivespoke.backend_servers.tests import builders
from chivespoke import identifiers

EARLIER = identifiers.Incarnation('a')
LATER = identifiers.Incarnation('b')


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Let an entry hear two incarnations of a sidecar."""

    async def asyncSetUp(self) -> None:
        self.harness = builders.HomesHarness()
        await self.harness.start()
        self.addAsyncCleanup(self.harness.stop)
        self.earlier = builders.HeartbeatPeer(EARLIER)
        self.later = builders.HeartbeatPeer(LATER)

    async def test_a_late_message_of_a_dead_sidecar_fences_the_living_one(
        self,
    ) -> None:
        await self.harness.run(2.0, self.later)
        await self.harness.announce(self.earlier)
        await self.harness.run(20.0, self.later)
        self.assertNotIn(LATER, self.harness.fenced)
        self.assertEqual((LATER,), self.harness.homes)

    async def test_a_restarted_sidecar_is_never_fenced(self) -> None:
        await self.harness.run(2.0, self.earlier)
        await self.harness.run(20.0, self.later)
        self.assertEqual([EARLIER], self.harness.fenced)
        self.assertEqual((LATER,), self.harness.homes)

    async def test_a_sidecar_is_fenced_for_an_instant_of_another(
        self,
    ) -> None:
        """Cut a sidecar off just as a dead one of its name is heard."""
        await self.harness.run(2.0, self.later)
        await self.harness.announce(self.earlier)
        await self.harness.run(60.0)
        self.assertNotIn(LATER, self.harness.fenced)


if __name__ == '__main__':
    unittest.main()
