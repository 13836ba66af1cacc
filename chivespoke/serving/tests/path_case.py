"""Base class of the tests that run the daemons on a small platform."""

import asyncio
import collections.abc
import unittest

from chivespoke.serving.tests import builders

TIMEOUT_SECONDS = 40.0


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Build a platform for each test, and stop it at the end."""

    async def asyncSetUp(self) -> None:
        self.platform = builders.Platform()
        self.addAsyncCleanup(self.stop)

    async def stop(self) -> None:
        """Stop all processes of the platform."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.platform.stop()

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Return once a condition holds; fail after a while."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def submit_job(
        self, identifier: str, job: object, entry: int = 0
    ) -> None:
        """Submit a job and check that it is accepted."""
        status, _ = await self.platform.request('POST', identifier, job, entry)
        self.assertEqual(200, status)
