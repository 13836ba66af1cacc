"""Tests of graceful shutdown under load, in several orders."""

import asyncio
import unittest

from chivespoke.callers.tests import builders

CALLER_COUNT = 4
ORDERS = (
    ('entry', 'sidecar', 'server'),
    ('sidecar', 'server', 'entry'),
    ('server', 'entry', 'sidecar'),
)


class Load:
    """Send requests through every healthy entry until stopped."""

    def __init__(self, path: builders.RequestPath) -> None:
        self.path = path
        self.answers: list[builders.Answer] = []
        self.healthy_entries = [0, 1]
        self._stop_requested = False
        self._tasks = [
            asyncio.create_task(self._call(number))
            for number in range(CALLER_COUNT)
        ]

    async def _call(self, number: int) -> None:
        while not self._stop_requested:
            entry = self.healthy_entries[number % len(self.healthy_entries)]
            answer = await self.path.call('/x?ms=40', 'POST', entry=entry)
            self.answers.append(answer)

    async def stop(self) -> None:
        """Wait until every caller has finished; raise any caller's error."""
        self._stop_requested = True
        await asyncio.gather(*self._tasks)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Stop one process of each kind while requests are in flight."""

    async def stop_one(self, load: Load, kind: str) -> None:
        path = load.path
        if kind == 'entry':
            # By then the balancer has seen the health check fail and sends
            # no requests to this entry.
            load.healthy_entries = [1]
            await path.stop(path.entries[0])
        elif kind == 'sidecar':
            await path.stop(path.sidecars[0])
        else:
            server = path.servers[-1]
            await server.drain()
            sidecar_executor = path.sidecars[-1].executor
            await builders.wait_until(
                lambda: (
                    bool(sidecar_executor.refusal_cause)
                    and not sidecar_executor.outstanding
                )
            )
            before = sum(server.runs.values())
            await asyncio.sleep(0.2)
            self.assertEqual(before, sum(server.runs.values()))

    async def test_every_order_drops_no_request(self) -> None:
        for order in ORDERS:
            with self.subTest(order=order):
                async with builders.run_request_path(
                    entries=2, servers=3
                ) as path:
                    load = Load(path)
                    for kind in order:
                        await asyncio.sleep(0.1)
                        await self.stop_one(load, kind)
                    await asyncio.sleep(0.1)
                    await load.stop()
                outcomes = {each.outcome for each in load.answers}
                self.assertEqual({'answered'}, outcomes)
                self.assertEqual(len(load.answers), path.count_runs())


if __name__ == '__main__':
    unittest.main()
