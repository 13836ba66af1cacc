"""Tests of the request path, from caller to backend server and back."""

import unittest

from chivespoke.callers.tests import builders

KIBIBYTE = 1024

# Method, path, request body and response body.
ANSWER_CASES = (
    ('GET', '/a/b?size=10', b'', b'GET /a/b..'),
    ('POST', '/count', b'7 pages', b'7 pages'),
    ('PUT', '/c%2Fd?x=%20', b'z' * 300 * KIBIBYTE, b'z' * 300 * KIBIBYTE),
    ('DELETE', '', b'', b'DELETE /'),
    ('HEAD', '/a', b'', b''),
    ('GET', '/fail?status=418', b'', b'GET /fail'),
)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Send requests through an entry and a sidecar."""

    async def test_complete_answers(self) -> None:
        async with builders.run_request_path() as path:
            for method, target, body, expected in ANSWER_CASES:
                with self.subTest(method=method, target=target):
                    answer = await path.call(target, method, body=body)
                    self.assertEqual('answered', answer.outcome, answer)
                    self.assertEqual(expected, answer.body)
                    self.assertIn(answer.status, (200, 418))
                    self.assertEqual('1', answer.headers['X-Runs'])


if __name__ == '__main__':
    unittest.main()
