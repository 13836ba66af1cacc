"""Tests of entries that the store turns away while it serves others."""

import asyncio
import unittest

from chivespoke.serving.tests import builders

JOB = '00000000000000c1'
OTHER_JOB = '00000000000000c2'
BODY = {'spec': 'work', 'steps': [{'count': 1, 'cpu': 100}]}
TIMEOUT_SECONDS = 20.0


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = builders.Platform()
        self.addAsyncCleanup(self.platform.stop)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.platform.start(entries=2, workers=1)
            await self.wait_for_announcements()

    async def wait_for_announcements(self) -> None:
        ledgers = [self.platform.find_ledger(number) for number in range(2)]
        while any(len(ledger.entry_addresses) < 2 for ledger in ledgers):
            await asyncio.sleep(0.02)

    def refuse(self, *entries: int) -> None:
        """Let the store refuse all requests of some entries."""
        self.platform.store.faults.refused_ports = frozenset(
            self.platform.store_ports[number] for number in entries
        )

    async def submit_as_told(self, job: str, entry: int) -> None:
        """Submit a job, again after each answer that it was refused.

        An entry notices the return of the store with its next read.
        """
        status = 503
        while status == 503:
            status, _ = await self.platform.request(
                'POST', job, BODY, entry=entry
            )
            await asyncio.sleep(0.05)
        self.assertEqual(200, status)

    async def test_entry_without_the_store_hands_requests_to_a_neighbour(
        self,
    ) -> None:
        # Load pattern: the store turns one entry away for nine seconds. Its
        # callers were refused until the balancer left it out.
        self.refuse(0)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            status, _ = await self.platform.request('POST', JOB, BODY)
            self.assertEqual(200, status)
            await self.platform.wait_for_state(JOB, 'completed', entry=1)
            status, _ = await self.platform.request('POST', JOB, BODY)
        self.assertEqual(200, status)
        self.assertEqual(1, len(self.platform.list_started_runs()))

    async def test_request_is_refused_when_no_neighbour_is_served(
        self,
    ) -> None:
        self.refuse(0, 1)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for _ in range(3):
                status, _ = await self.platform.request('POST', JOB, BODY)
                self.assertEqual(503, status)
            self.refuse()
            await self.submit_as_told(OTHER_JOB, entry=1)
            await self.platform.wait_for_state(OTHER_JOB, 'completed', 1)
        self.assertEqual(1, len(self.platform.list_started_runs()))

    async def test_request_is_refused_when_the_neighbour_has_left(
        self,
    ) -> None:
        await self.platform.entries[1].kill()
        self.refuse(0)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            status, _ = await self.platform.request('POST', JOB, BODY)
        self.assertEqual(503, status)

    async def test_lost_answer_of_a_neighbour_is_uncertain(self) -> None:
        self.refuse(0)
        self.platform.store.faults.late_appends = 10
        async with asyncio.timeout(TIMEOUT_SECONDS):
            status, _ = await self.platform.request('POST', JOB, BODY)
            self.assertIn(status, (200, 504))
            await self.platform.wait_for_state(JOB, 'completed', entry=1)
        self.assertEqual(1, len(self.platform.list_started_runs()))

    async def test_departing_entry_is_no_longer_a_neighbour(self) -> None:
        departing = self.platform.entries[1].application
        assert departing is not None
        self.platform.entries[1].application = None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await departing.stop()
            ledger = self.platform.find_ledger(0)
            while 'entry-1' in ledger.entry_addresses:
                await asyncio.sleep(0.02)


if __name__ == '__main__':
    unittest.main()
