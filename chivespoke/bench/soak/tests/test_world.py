"""Tests of harm to workers."""

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from chivespoke.bench.soak import _daemon
from chivespoke.bench.soak import _proxy
from chivespoke.bench.soak import _schedule
from chivespoke.bench.soak import _world
from chivespoke import errors
from chivespoke import platform
from chivespoke import standins

TASK = '00000000000000a1.0.0.0'
EPOCH = 7
# Far ahead of the clock of a boot that has just begun.
UNTIL_MS = 10_000_000_000
DARK_SECONDS = 0.2
CUT_SECONDS = 1.5


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    """Let a worker be dark, start again and be cut off."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = _world.World(pathlib.Path(folder.name), 0, 1)
        self.addAsyncCleanup(self.world.stop)
        self.runner = await self.world._start_runner(0)
        transport = platform.Transport(self.runner.address, 8)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        self.client = platform.WorkerClient(transport, self.runner.identifier)

    async def harm(self, kind: _schedule.FaultKind, seconds: float) -> None:
        await self.world.do_harm(
            _schedule.Fault(0.0, kind, seconds, self.world.sidecars[0])
        )

    async def poll(self, lease_until_ms: int) -> platform.WorkerStatus:
        return await self.client.poll(EPOCH, 0, lease_until_ms, 0.0)

    async def start_dark(self) -> asyncio.Task[None]:
        """Return a task in which the worker is dark, and starts again."""
        dark = asyncio.create_task(
            self.harm(_schedule.FaultKind.RUNNER_RETURNS, DARK_SECONDS)
        )
        await asyncio.sleep(0)
        return dark

    async def test_idle_connection_is_lost_without_a_sign(self) -> None:
        await self.client.start(TASK, 1, 'work', UNTIL_MS, EPOCH, '', '')
        dark = await self.start_dark()
        self.assertEqual(frozenset(), self.runner.running)
        calls = len(self.runner.events)
        with self.assertRaises(errors.UnavailableError):
            await self.poll(UNTIL_MS)
        await dark
        self.assertEqual(calls, len(self.runner.events))
        self.assertEqual((), (await self.poll(UNTIL_MS)).running)

    async def test_next_boot_carries_out_a_call_that_was_held(self) -> None:
        earlier_born_ms = self.runner.born_ms
        dark = await self.start_dark()
        with mock.patch.object(_proxy, 'OPENING_SECONDS', 0.0):
            status = await self.poll(UNTIL_MS)
        await dark
        self.assertGreater(status.born_ms, earlier_born_ms)
        (call,) = self.runner.events
        self.assertEqual(status.born_ms, call.born_ms)
        self.assertEqual(
            call.clock_ms + _daemon.MAX_HOLD_MS, call.lease_until_ms
        )

    async def test_runs_go_on_while_a_worker_is_cut_off(self) -> None:
        await self.client.start(
            TASK, 1, standins.LONG_RUNNING_PAYLOAD, UNTIL_MS, EPOCH, '', ''
        )
        cut = asyncio.create_task(
            self.harm(_schedule.FaultKind.RUNNER_CUT, CUT_SECONDS)
        )
        await asyncio.sleep(0)
        with self.assertRaises(errors.UnavailableError):
            await self.poll(UNTIL_MS)
        self.assertTrue(self.runner.faults.skips_registration)
        self.assertEqual({TASK}, self.runner.running)
        await cut
        self.assertFalse(self.runner.faults.skips_registration)
        self.assertEqual(
            [TASK], [run.task for run in (await self.poll(UNTIL_MS)).running]
        )


if __name__ == '__main__':
    unittest.main()
