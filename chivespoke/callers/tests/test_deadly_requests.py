"""Tests of requests that crash each backend server that runs them."""

import unittest

from chivespoke.callers.tests import builders

DEADLY = '/deadly?fault=crash'
# Methods, and the servers that one request may take down.
METHOD_CASES = (('GET', 2), ('PUT', 2), ('DELETE', 2), ('POST', 1))


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


if __name__ == '__main__':
    unittest.main()
