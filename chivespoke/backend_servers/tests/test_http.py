"""Tests of the calls that a sidecar makes to its backend server."""

import asyncio
import unittest

import msgspec

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders
from chivespoke import settings
from chivespoke import standins

METHODS = ('GET', 'POST', 'PUT', 'DELETE')
ANSWERED = backend_servers.Outcome.ANSWERED
NOT_RUN = backend_servers.Outcome.NOT_RUN
UNKNOWN = backend_servers.Outcome.UNKNOWN
# Statuses by which a server may mean that it did not run a request.
REFUSALS = (421, 429, 503)


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Lose the answer to a request on a connection that was used before."""

    async def test_a_request_runs_again_after_its_answer_was_lost(
        self,
    ) -> None:
        for method in METHODS:
            with self.subTest(method=method):
                broken = builders.BreakingServer()
                address = await broken.start()
                self.addAsyncCleanup(broken.stop)
                server = backend_servers.HttpBackendServer(address, 4)
                await server.start()
                self.addAsyncCleanup(server.stop)
                first = await server.run(
                    builders.build_dispatch(1, method=method), 5.0
                )
                self.assertEqual(200, first.status)
                lost = await server.run(
                    builders.build_dispatch(2, method=method), 5.0
                )
                self.assertEqual(['/1', '/2'], broken.runs)
                self.assertIs(UNKNOWN, lost.outcome)


class NextProcessTest(unittest.IsolatedAsyncioTestCase):
    """Call a server in whose place another process may serve."""

    async def _call(
        self, address: settings.Address, method: str, seconds: float
    ) -> backend_servers.RunResult:
        server = backend_servers.HttpBackendServer(address, 4)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return await server.run(
            builders.build_dispatch(1, method=method), seconds
        )

    async def test_a_request_that_the_next_process_runs_is_called_not_run(
        self,
    ) -> None:
        for method in METHODS:
            with self.subTest(method=method):
                dark = builders.DarkServer()
                self.addAsyncCleanup(dark.stop)
                result = await self._call(dark.address, method, 0.1)
                self.assertIs(UNKNOWN, result.outcome)
                await dark.serve()
                async with asyncio.timeout(5.0):
                    while not dark.runs:
                        await asyncio.sleep(0.01)
                self.assertEqual(['/1'], dark.runs)

    async def test_the_next_process_runs_a_request_that_was_called_not_run(
        self,
    ) -> None:
        first = builders.BreakingServer()
        address = await first.start()
        await first.stop()
        result = await self._call(address, 'POST', 5.0)
        self.assertIs(NOT_RUN, result.outcome)
        second = builders.BreakingServer()
        await second.start(address.port)
        self.addAsyncCleanup(second.stop)
        await asyncio.sleep(0.2)
        self.assertEqual([], second.runs)

    async def test_a_refusal_by_the_server_is_taken_for_not_run(self) -> None:
        counting = standins.CountingServer(settings.Address())
        await counting.start()
        self.addAsyncCleanup(counting.stop)
        for status in REFUSALS:
            with self.subTest(status=status):
                server = backend_servers.HttpBackendServer(counting.address, 4)
                await server.start()
                self.addAsyncCleanup(server.stop)
                dispatch = msgspec.structs.replace(
                    builders.build_dispatch(1),
                    target=f'/{status}?status={status}',
                )
                result = await server.run(dispatch, 5.0)
                self.assertIs(ANSWERED, result.outcome)
                self.assertEqual(status, result.status)


if __name__ == '__main__':
    unittest.main()
