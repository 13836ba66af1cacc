"""Tests of the calls that a sidecar makes to its backend server."""

import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders

METHODS = ('GET', 'POST', 'PUT', 'DELETE')
UNKNOWN = backend_servers.Outcome.UNKNOWN


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


if __name__ == '__main__':
    unittest.main()
