"""Tests of the fake worker's capacity, which changes while it runs."""

import asyncio
import unittest

from chivespoke.standins import _runner_capacity
from chivespoke import workloads

STEP = '00000000000000a1.0.0'
SIZE = workloads.Resources(1000, 10)


class RunnerCapacityTest(unittest.IsolatedAsyncioTestCase):
    """Start tasks of one size on a worker that has room for two."""

    async def asyncSetUp(self) -> None:
        self.capacity = _runner_capacity.RunnerCapacity()
        self.capacity.sizes[STEP] = SIZE
        self.capacity.change(workloads.Resources(2000, 32000))

    def start(self, running: int, step: str = STEP) -> int:
        """Start a task beside others; return the starts that exceed."""
        tasks = [f'{STEP}.{index}' for index in range(running)]
        self.capacity.record_start(f'{step}.{running}', tasks)
        return len(self.capacity.exceeded)

    async def test_starts_over_the_capacity_are_recorded(self) -> None:
        self.assertEqual(0, self.start(1))
        self.assertEqual(1, self.start(2))
        self.assertEqual(2, self.start(3, 'another.0.0'))

    async def test_each_resource_counts(self) -> None:
        self.capacity.change(workloads.Resources(8000, 19))
        self.assertEqual(0, self.start(0))
        self.assertEqual(1, self.start(1))

    async def test_capacity_that_has_grown_counts_at_once(self) -> None:
        self.capacity.change(workloads.Resources(3000, 32000))
        self.assertEqual(0, self.start(2))
        self.assertEqual(1, self.start(3))

    async def test_shrunk_capacity_counts_after_the_notice(self) -> None:
        self.capacity.notice_seconds = 0.05
        self.capacity.change(workloads.Resources(1000, 32000))
        self.assertEqual(0, self.start(1))
        await asyncio.sleep(0.06)
        self.assertEqual(1, self.start(1))

    async def test_only_a_worker_that_enforces_its_capacity_refuses(
        self,
    ) -> None:
        task, running = f'{STEP}.2', [f'{STEP}.0', f'{STEP}.1']
        self.assertFalse(self.capacity.admits(task, running))
        self.assertTrue(self.capacity.admits(task, running[:1]))
        self.capacity.enforced = False
        self.assertTrue(self.capacity.admits(task, running))


if __name__ == '__main__':
    unittest.main()
