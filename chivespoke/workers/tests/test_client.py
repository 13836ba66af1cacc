"""Tests of what the client of a worker makes of its answers."""

import unittest

from chivespoke import errors
from chivespoke.workers.tests import builders

REFUSED = 409


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answer a renewal with statuses of a worker and of others."""

    async def asyncSetUp(self) -> None:
        self.routes = builders.AnsweringRoutes()
        self.client = await builders.build_client(self, self.routes)

    async def test_an_error_on_the_way_counts_as_the_refusal_of_a_worker(
        self,
    ) -> None:
        for status in (400, 404, 429, 500, 502, 503, 504):
            with self.subTest(status=status):
                self.routes.status = status
                with self.assertRaises(errors.UnavailableError):
                    await self.client.renew(builders.RENEWAL)

    async def test_a_worker_refuses_a_command(self) -> None:
        self.routes.status = REFUSED
        with self.assertRaises(errors.RefusedError):
            await self.client.renew(builders.RENEWAL)

    async def test_an_unreadable_answer_counts_as_none(self) -> None:
        for body in (b'', b'<html>', b'\x93\x01\x02'):
            with self.subTest(body=body):
                self.routes.body = body
                with self.assertRaises(errors.UnavailableError):
                    await self.client.renew(builders.RENEWAL)


if __name__ == '__main__':
    unittest.main()
