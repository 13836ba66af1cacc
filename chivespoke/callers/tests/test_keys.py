"""Tests of requests with an idempotency key, sent through two entries."""

import asyncio
import unittest
from unittest import mock

from chivespoke import backend_servers
from chivespoke.backend_servers import _announcer
from chivespoke.callers.tests import builders
from chivespoke import clock
from chivespoke import entries
from chivespoke import settings
from chivespoke import standins


class KeyTest(unittest.IsolatedAsyncioTestCase):
    """Repeat a key during and after its first run."""

    async def asyncSetUp(self) -> None:
        self.clock = clock.SystemClock()
        self.log = standins.LogServer(
            standins.MemoryLog(self.clock), settings.Address()
        )
        await self.log.start()
        self.addAsyncCleanup(self.log.stop)

    async def start_path(self, path: builders.RequestPath) -> None:
        """Start two entries and three sidecars; wait for their home list."""
        for _ in range(2):
            await path.add_entry(platform_log=self.log.address)
        for _ in range(3):
            await path.add_sidecar()
        await path.wait_for_available_servers(3)
        await self.wait_for_homes(path, 3)

    async def wait_for_homes(
        self, path: builders.RequestPath, count: int
    ) -> None:
        """Wait until the home list at every entry has count servers."""

        def has_homes() -> bool:
            return all(
                entry.context.homes.count_homes(builders.SERVICE) == count
                for entry in path.entries
            )

        await builders.wait_until(has_homes)

    async def test_duplicate_key_through_two_entries(self) -> None:
        async with builders.RequestPath() as path:
            await self.start_path(path)
            during = await asyncio.gather(
                *(
                    path.call(
                        '/bill?ms=100', 'POST', entry % 2, Request_Key='k-1'
                    )
                    for entry in range(6)
                )
            )
            after = await path.call('/bill', 'POST', 1, Request_Key='k-1')
            for answer in (*during, after):
                self.assertEqual('answered', answer.outcome, answer)
                self.assertEqual(during[0].body, answer.body)
            self.assertEqual(1, path.count_runs())
            await path.call('/bill', 'POST', 0, Request_Key='k-2')
            self.assertEqual(2, path.count_runs())

    async def test_key_after_its_home_has_left(self) -> None:
        async with builders.RequestPath() as path:
            await self.start_path(path)
            keys = [f'key-{number}' for number in range(12)]
            for key in keys:
                await path.call('/bill', 'POST', Request_Key=key)
            await path.stop(path.sidecars[0])
            await self.wait_for_homes(path, 2)
            for entry in range(2):
                for key in keys:
                    answer = await path.call(
                        '/bill', 'POST', entry, Request_Key=key
                    )
                    self.assertIn(answer.outcome, ('answered', 'unknown'))
            self.assertEqual(len(keys), path.count_runs())
            # The server that left handed over its keys, so that every key that
            # has not run there can run elsewhere.
            fresh = [
                await path.call('/bill', 'POST', Request_Key=f'new-{number}')
                for number in range(12)
            ]
            self.assertEqual({'answered'}, {each.outcome for each in fresh})

    async def test_a_key_of_a_lost_part_of_a_farewell_runs_again(
        self,
    ) -> None:
        """Lose the first message in which a sidecar hands its keys over."""
        handle = backend_servers.HomeManager.handle_farewell
        lost: set[backend_servers.HomeManager] = set()

        async def lose_first(
            manager: backend_servers.HomeManager,
            peer: entries.Peer,
            farewell: backend_servers.Farewell,
        ) -> None:
            if manager in lost:
                await handle(manager, peer, farewell)
            lost.add(manager)

        with (
            mock.patch.object(_announcer, 'MAX_KEYS_PER_MESSAGE', 1),
            mock.patch.object(
                backend_servers.HomeManager, 'handle_farewell', lose_first
            ),
        ):
            async with builders.RequestPath() as path:
                await self.start_path(path)
                keys = [f'key-{number}' for number in range(12)]
                for key in keys:
                    await path.call('/bill', 'POST', Request_Key=key)
                await path.stop(path.sidecars[0])
                await self.wait_for_homes(path, 2)
                for key in keys:
                    await path.call('/bill', 'POST', Request_Key=key)
                self.assertEqual(len(keys), path.count_runs())
                self.assertEqual(2, len(lost))

    async def test_key_without_a_list_is_unknown(self) -> None:
        async with builders.run_request_path() as path:
            answer = await path.call(
                '/bill', 'POST', Request_Key='k-1', Deadline_Ms='200'
            )
            self.assertEqual('unknown', answer.outcome)
            self.assertIn('Retry-After', answer.headers)
            self.assertEqual(0, path.count_runs())

    async def test_new_entry_after_the_home_list_has_expired(self) -> None:
        retention = 3.0
        log = standins.LogServer(
            standins.MemoryLog(self.clock, retention), settings.Address()
        )
        await log.start()
        self.addAsyncCleanup(log.stop)
        async with builders.RequestPath() as path:
            await path.add_entry(platform_log=log.address, retention=retention)
            await path.add_sidecar()
            await path.wait_for_available_servers(1)
            await self.wait_for_homes(path, 1)
            first = await path.call('/bill', 'POST', 0, Request_Key='k-1')
            await asyncio.sleep(2 * retention)
            await path.add_entry(platform_log=log.address, retention=retention)
            await path.wait_for_available_servers(1)
            await self.wait_for_homes(path, 1)
            again = await path.call('/bill', 'POST', 1, Request_Key='k-1')
            self.assertEqual('answered', again.outcome, again)
            self.assertEqual(first.body, again.body)
            self.assertEqual(1, path.count_runs())


if __name__ == '__main__':
    unittest.main()
