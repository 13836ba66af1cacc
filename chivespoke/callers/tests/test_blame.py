"""Tests of the blame of servers for attempts that broke off."""

import asyncio
import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders
from chivespoke import callers
from chivespoke import clock
from chivespoke import identifiers

SERVERS = 4
ATTEMPTS = 12
# Attempts at the same time, and whether the server is ejected once all
# attempts have broken off.
CASES = ((ATTEMPTS, False), (1, True))


class Harness:
    """Hold an entry and the sidecars of some servers."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.registry, self._handlers, _ = builders.build_registry(self.clock)
        self._runner = callers.AttemptRunner(self.registry, self.clock)
        self._peers = [
            builders.RecordingPeer(f'server-{number}', f'{number}')
            for number in range(SERVERS)
        ]

    async def announce(self) -> backend_servers.ServerView:
        """Announce all servers and return the first."""
        for peer in self._peers:
            await self._handlers.handle(peer, builders.build_announcement())
        return self.registry.list_all()[0]

    async def break_off(self, attempts: int) -> None:
        """Run attempts at the first server, and break all of them off."""
        peer = self._peers[0]
        peer.sent.clear()
        tasks = [
            asyncio.create_task(
                self._runner.run(
                    self._build_request(), self.registry.list_all()[0], 1
                )
            )
            for _ in range(attempts)
        ]
        await builders.run_ready_tasks()
        for message in tuple(peer.sent):
            if isinstance(message, backend_servers.Dispatch):
                self.clock.advance(0.001)
                await self._handlers.handle(
                    peer,
                    backend_servers.Reply(
                        message.sequence,
                        backend_servers.Outcome.UNKNOWN,
                        'broke off',
                        broke_off=True,
                    ),
                )
        await asyncio.gather(*tasks)

    def _build_request(self) -> callers.CallerRequest:
        caller = callers.CallerHeaders(
            'shop', backend_servers.RequestClass.LATENCY_CRITICAL, 5.0, ''
        )
        return callers.CallerRequest(
            1,
            identifiers.ServiceName(builders.SERVICE),
            'POST',
            '/x',
            (),
            b'',
            caller,
            self.clock.read_monotonic() + 5.0,
        )


class BlameTest(unittest.IsolatedAsyncioTestCase):
    """Break off attempts at one server."""

    async def test_one_crash_counts_as_many_failures(self) -> None:
        for parallel, ejected in CASES:
            with self.subTest(parallel=parallel):
                harness = Harness()
                server = await harness.announce()
                for _ in range(ATTEMPTS // parallel):
                    await harness.break_off(parallel)
                now = harness.clock.read_monotonic()
                self.assertEqual(ejected, server.ejected_until > now)


if __name__ == '__main__':
    unittest.main()
