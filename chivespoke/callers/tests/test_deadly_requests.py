"""Tests of requests that crash each backend server that runs them."""

import unittest

from chivespoke.callers.tests import builders
from chivespoke import clock
from chivespoke import decisions
from chivespoke import settings
from chivespoke import standins

DEADLY = '/deadly?fault=crash'
# Methods, and the servers that one request may take down.
METHOD_CASES = (('GET', 2), ('PUT', 2), ('DELETE', 2), ('POST', 1))
# Method, and whether each call has a key of its own.
REPEAT_CASES = (('GET', False), ('POST', False), ('POST', True))
REPEATS = 8


class RetryTest(unittest.IsolatedAsyncioTestCase):
    """Send one request that crashes its server."""

    async def test_a_request_crashes_a_third_server(self) -> None:
        for method, crashes in METHOD_CASES:
            with self.subTest(method=method):
                async with builders.run_request_path(servers=4) as path:
                    answer = await path.call(DEADLY, method)
                    self.assertEqual(crashes, path.count_crashes())
                    self.assertEqual('unknown', answer.outcome, answer)
                    self.assertIn(
                        'broke off', answer.headers['Chivespoke-Cause']
                    )


class RepeatTest(unittest.IsolatedAsyncioTestCase):
    """Send a request that crashes its server again and again."""

    async def start_path(
        self, path: builders.RequestPath
    ) -> standins.LogServer:
        """Start two entries and four sidecars; wait for their home list."""
        log = standins.LogServer(
            standins.MemoryLog(clock.SystemClock()), settings.Address()
        )
        await log.start()
        self.addAsyncCleanup(log.stop)
        for _ in range(2):
            await path.add_entry(platform_log=log.address)
        for _ in range(4):
            await path.add_sidecar()
        await path.wait_for_available_servers(4)
        await builders.wait_until(
            lambda: all(
                entry.context.homes.count_homes(builders.SERVICE) == 4
                for entry in path.entries
            )
        )
        return log

    async def test_a_caller_that_comes_again_crashes_server_after_server(
        self,
    ) -> None:
        for method, has_keys in REPEAT_CASES:
            with self.subTest(method=method, has_keys=has_keys):
                async with builders.RequestPath() as path:
                    await self.start_path(path)
                    for number in range(REPEATS):
                        key = {'Request_Key': f'{number}'} if has_keys else {}
                        answer = await path.call(
                            DEADLY, method, number % 2, headers=key
                        )
                        await path.restart_servers()
                    self.assertLessEqual(
                        path.count_crashes(), decisions.MAX_CRASHES
                    )
                    self.assertEqual('not-run', answer.outcome, answer)
                    self.assertEqual(503, answer.status)
                    self.assertIn('Retry-After', answer.headers)
                    self.assertIn(
                        'crashes', answer.headers['Chivespoke-Cause']
                    )

    async def test_a_repeated_key_crashes_a_second_server(self) -> None:
        async with builders.RequestPath() as path:
            await self.start_path(path)
            for number in range(REPEATS):
                answer = await path.call(
                    DEADLY, 'PUT', number % 2, Request_Key='k'
                )
                self.assertEqual('unknown', answer.outcome, answer)
                await path.restart_servers()
            self.assertEqual(1, path.count_crashes())

    async def test_a_new_entry_lets_a_deadly_request_through(self) -> None:
        async with builders.RequestPath() as path:
            log = await self.start_path(path)
            for _ in range(REPEATS):
                await path.call(DEADLY)
                await path.restart_servers()
            crashes = path.count_crashes()
            await path.add_entry(platform_log=log.address)
            known = path.entries[2].context.directory.list_entries()
            path.entries[0].context.directory.add(known[-1], direct=True)
            await path.restart_servers()
            answer = await path.call(DEADLY, entry=2)
            self.assertEqual('not-run', answer.outcome, answer)
            self.assertEqual(crashes, path.count_crashes())


if __name__ == '__main__':
    unittest.main()
