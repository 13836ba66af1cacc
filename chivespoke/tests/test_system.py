"""Tests of the whole system with processes that are killed or paused."""

import asyncio
import functools
import unittest

import aiohttp

from chivespoke.tests import processes

NOT_RUN = 'not-run'
ANSWERED = 'answered'
UNKNOWN = 'unknown'
OUTCOMES = frozenset((NOT_RUN, ANSWERED, UNKNOWN))

TEAM = {
    'op': 'add',
    'path': '/teams/billing',
    'value': {'quota': [1000, 1024, 0]},
}


class SystemTest(unittest.IsolatedAsyncioTestCase):
    """Cause one kind of failure in each test."""

    async def asyncSetUp(self) -> None:
        self.system = processes.System()
        self.addAsyncCleanup(self.system.stop)

    async def test_killed_entry_in_flight(self) -> None:
        system = self.system
        await system.start(entries=2, sidecars=1)
        first = asyncio.create_task(
            system.request('entry-0', 'POST', '/count?ms=1500', key='page-1')
        )
        await system.wait_for(lambda: self.has_run('/count'), 'started')
        await system.kill('entry-0')
        with self.assertRaises(aiohttp.ClientError):
            await first
        # The caller repeats its key through the surviving entry.
        _, outcome, _ = await system.request(
            'entry-1', 'POST', '/count', key='page-1'
        )
        self.assertIn(outcome, OUTCOMES)
        self.assertEqual(1, system.count_runs('/count'))

    async def test_paused_sidecar_in_flight(self) -> None:
        system = self.system
        await system.start(entries=1, sidecars=1)
        request = asyncio.create_task(
            system.request('entry-0', 'POST', '/hold?ms=300', deadline_ms=1500)
        )
        await system.wait_for(lambda: self.has_run('/hold'), 'started')
        system.pause('sidecar-0')
        _, outcome, _ = await request
        self.assertEqual(UNKNOWN, outcome)
        system.resume('sidecar-0')
        await system.wait_until_served('entry-0')
        self.assertEqual(1, system.count_runs('/hold'))

    async def test_killed_sidecar_in_flight(self) -> None:
        system = self.system
        await system.start(entries=1, sidecars=2)
        requests = [
            asyncio.create_task(
                system.request('entry-0', 'POST', f'/hold-{number}?ms=400')
            )
            for number in range(12)
        ]
        await system.wait_for(lambda: self.has_run('/hold-11'), 'started')
        await system.kill('sidecar-0')
        for number, request in enumerate(requests):
            status, outcome, body = await request
            runs = system.count_runs(f'/hold-{number}')
            with self.subTest(number=number, outcome=outcome):
                self.assertLessEqual(runs, 1)
                self.assertIn(outcome, OUTCOMES)
                if outcome == ANSWERED:
                    self.assertEqual(200, status)
                    self.assertEqual(f'POST /hold-{number}'.encode(), body)
                if outcome == NOT_RUN:
                    self.assertEqual(0, runs)

    async def test_platform_outage(self) -> None:
        system = self.system
        await system.start(entries=2, sidecars=1)
        faults = system.log.log.faults
        faults.append_down = faults.read_down = True
        status, answer = await system.patch('entry-0', 0, [TEAM], 'during')
        self.assertIn(status, (503, 504), answer)
        for number in range(20):
            _, outcome, _ = await system.request(
                'entry-1', 'POST', f'/count-{number}'
            )
            self.assertEqual(ANSWERED, outcome)
        faults.append_down = faults.read_down = False
        # If the first patch had an unknown outcome and was accepted later, the
        # second is rejected. A refused patch never takes effect.
        status_after, _ = await system.patch('entry-1', 0, [TEAM], 'after')
        accepted_flags = [
            await self.read_patch_outcome(entry, patch_id)
            for entry in ('entry-0', 'entry-1')
            for patch_id in ('during', 'after')
        ]
        self.assertEqual(accepted_flags[:2], accepted_flags[2:])
        self.assertEqual(1, accepted_flags[:2].count(True))
        self.assertEqual(accepted_flags[1], status_after == 200)
        if status == 503:
            self.assertFalse(accepted_flags[0])

    async def test_concurrent_patches(self) -> None:
        system = self.system
        await system.start(entries=2, sidecars=0)
        answers = await asyncio.gather(
            *(
                system.patch(
                    f'entry-{number % 2}',
                    0,
                    [{**TEAM, 'path': f'/teams/team-{number}'}],
                    f'patch-{number}',
                )
                for number in range(8)
            )
        )
        statuses = sorted(status for status, _ in answers)
        self.assertEqual([200] + [412] * 7, statuses)
        for entry in ('entry-0', 'entry-1'):
            await system.wait_for(
                functools.partial(self.has_version, entry, 1), 'in force'
            )

    async def test_every_entry_is_replaced(self) -> None:
        system = self.system
        await system.start(entries=2, sidecars=1)
        status, _ = await system.patch('entry-0', 0, [TEAM], 'before')
        self.assertEqual(200, status)
        for number in range(2):
            await system.replace_entry(f'entry-{number}', f'entry-{number}b')
        await system.kill('entry-0b')
        await system.kill('entry-1b')
        await system.start_entry('entry-2')
        await system.wait_until_served('entry-2')
        await system.wait_for(
            lambda: self.has_version('entry-2', 1), 'configuration restored'
        )

    async def has_run(self, path: str) -> bool:
        """Return whether a server has started a request for a path."""
        return self.system.count_runs(path) > 0

    async def has_version(self, entry: str, version: int) -> bool:
        """Return whether an entry uses a configuration version."""
        return await self.system.get_version(entry) == version

    async def read_patch_outcome(self, entry: str, patch_id: str) -> bool:
        """Return whether a patch was accepted, after version 1 applies."""
        await self.system.wait_for(
            lambda: self.has_version(entry, 1), 'in force'
        )
        url = self.system.entries[entry].format_http()
        async with self.system.session.get(
            f'{url}/configuration/patches/{patch_id}'
        ) as response:
            if response.status == 404:
                return False
            body = await response.json()
            return bool(body['accepted'])


if __name__ == '__main__':
    unittest.main()
