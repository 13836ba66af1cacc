"""Tests of dispatches that are held up on their way to a sidecar."""

import asyncio
import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers import _keys
from chivespoke.backend_servers.tests import builders
from chivespoke import clock

ANSWERED = backend_servers.Outcome.ANSWERED
NOT_RUN = backend_servers.Outcome.NOT_RUN
# The clocks of an entry and of a sidecar show different times.
ENTRY_START = 90_000.0
SIDECAR_START = 1_000.0


class LateDispatchTest(unittest.IsolatedAsyncioTestCase):
    """Take a dispatch from an entry and hand it to a sidecar later."""

    async def asyncSetUp(self) -> None:
        self.entry_clock = clock.ManualClock(ENTRY_START)
        self.sidecar_clock = clock.ManualClock(SIDECAR_START)
        self.harness = builders.ExecutorHarness(time=self.sidecar_clock)
        self.harness.backend_server.release.set()
        self.registry, self.handlers, _ = builders.build_registry(
            self.entry_clock
        )
        self.peer = builders.RecordingPeer('server-1', 'a')
        await self.announce(self.sidecar_clock.read_monotonic())

    async def announce(self, clock_reading: float) -> None:
        """Handle an announcement that the sidecar made at a time."""
        await self.handlers.handle(
            self.peer, builders.build_announcement(clock_reading)
        )

    def advance(self, seconds: float) -> None:
        """Let time pass on both machines."""
        self.entry_clock.advance(seconds)
        self.sidecar_clock.advance(seconds)

    async def dispatch(self, key: str = '') -> backend_servers.Dispatch:
        """Return what an entry sends for a request."""
        (server,) = self.registry.list_servers(builders.SERVICE)
        sequence = self.registry.make_sequence()
        call = asyncio.create_task(
            self.registry.call(server, builders.build_dispatch(sequence, key))
        )
        await builders.run_ready_tasks()
        self.addCleanup(call.cancel)
        sent = self.peer.sent[-1]
        assert isinstance(sent, backend_servers.Dispatch)
        return sent

    async def test_a_key_runs_again_by_a_dispatch_that_was_held_up(
        self,
    ) -> None:
        held = await self.dispatch('k')
        repeated = await self.dispatch('k')
        entry = builders.RecordingPeer('entry-2', 'c')
        await self.harness.handlers.handle(entry, repeated)
        await builders.run_ready_tasks()
        self.advance(_keys.KEY_RETENTION_SECONDS + 1.0)
        await self.harness.handle_messages(held)
        self.assertEqual(1, len(self.harness.backend_server.runs))
        self.assertEqual([NOT_RUN], self.harness.peer.list_outcomes())

    async def test_an_entry_that_stood_still_is_refused(self) -> None:
        """Dispatch by a fresh reading, though an older one came after it."""
        self.advance(1000.0)
        await self.announce(self.sidecar_clock.read_monotonic())
        await self.announce(SIDECAR_START)
        self.advance(2.0)
        await self.harness.handle_messages(await self.dispatch())
        self.assertEqual([ANSWERED], self.harness.peer.list_outcomes())


if __name__ == '__main__':
    unittest.main()
