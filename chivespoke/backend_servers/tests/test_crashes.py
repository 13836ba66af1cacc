"""Tests of the suspects of crashes of backend servers."""

import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders
from chivespoke import clock
from chivespoke import decisions
from chivespoke import identifiers

# Suspects of each crash, at different servers, and whether 'a' is refused.
REFUSAL_CASES: tuple[tuple[tuple[tuple[str, ...], ...], bool], ...] = (
    ((('a',),), False),
    ((('a',), ('a',)), True),
    ((('a', 'b'), ('a',)), True),
    ((('a',), ('a', 'b')), False),
    ((('a', 'b'), ('a', 'c'), ('a', 'd')), False),
    ((('a', 'b'), ('a', 'c'), ('a', 'd'), ('a', 'e')), True),
    ((('b',), ('b',)), False),
)
RETENTION_SECONDS = 120.0


class Harness:
    """Hold the history of one entry."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.history = backend_servers.CrashHistory(self.clock)

    def observe(self, server: str, *crashes: tuple[str, ...]) -> None:
        """Observe an announcement with the suspects of each crash."""
        self.history.observe(
            builders.SERVICE,
            server,
            identifiers.Incarnation(f'{server}-1'),
            [
                backend_servers.ServerCrash(number + 1, suspects, 0)
                for number, suspects in enumerate(crashes)
            ],
        )

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        found = self.history.find_hopeless(builders.SERVICE, fingerprint)
        return found is not None


class CrashHistoryTest(unittest.TestCase):
    """Observe crashes at an entry."""

    def test_refused_after_crashes(self) -> None:
        for crashes, refused in REFUSAL_CASES:
            with self.subTest(crashes=crashes):
                harness = Harness()
                for number, suspects in enumerate(crashes):
                    harness.observe(f's-{number}', suspects)
                self.assertEqual(refused, harness.is_refused('a'))

    def test_a_crash_counts_again_with_each_announcement(self) -> None:
        harness = Harness()
        for _ in range(decisions.MAX_CRASHES):
            harness.observe('s-1', ('a',))
        self.assertFalse(harness.is_refused('a'))

    def test_an_answered_request_is_refused(self) -> None:
        harness = Harness()
        for server in ('s-1', 's-2'):
            harness.observe(server, ('a',))
        harness.history.record_answer(builders.SERVICE, 'a')
        self.assertFalse(harness.is_refused('a'))
        harness.observe('s-2', ('a',))
        self.assertTrue(harness.history.is_empty)

    def test_a_request_is_refused_for_good(self) -> None:
        harness = Harness()
        for server in ('s-1', 's-2'):
            harness.observe(server, ('a',))
        harness.clock.advance(RETENTION_SECONDS - 1)
        self.assertTrue(harness.is_refused('a'))
        harness.clock.advance(2)
        self.assertFalse(harness.is_refused('a'))


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    """Break off the requests that a sidecar runs."""

    async def crash(
        self, is_down: bool
    ) -> tuple[backend_servers.ServerCrash, ...]:
        """Break off an old and a young request; return the crashes."""
        time = clock.ManualClock()
        server = builders.CrashingServer(is_down)
        harness = builders.ExecutorHarness(
            slots=2, time=time, backend_server=server
        )
        await harness.handle_messages(builders.build_dispatch(1))
        time.advance(decisions.SUSPECT_AGE_SECONDS)
        await harness.handle_messages(builders.build_dispatch(2))
        server.release.set()
        await builders.run_ready_tasks()
        self.assertEqual(2, len(harness.peer.list_outcomes()))
        return harness.executor.crash_log.list_recent()

    async def test_a_request_that_ran_for_long_is_blamed(self) -> None:
        crashes = await self.crash(is_down=True)
        young = backend_servers.compute_fingerprint('shop', 'POST', '/2', b'')
        self.assertEqual([(young,)], [each.suspects for each in crashes])

    async def test_a_server_that_answers_probes_went_down(self) -> None:
        self.assertEqual((), await self.crash(is_down=False))


if __name__ == '__main__':
    unittest.main()
