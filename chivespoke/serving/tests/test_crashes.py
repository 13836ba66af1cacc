"""Tests of tasks that crash each worker that starts them."""

import asyncio
import unittest

from chivespoke.serving.tests import path_case

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
DEADLY_TASK = f'{JOB}.0.0.1'
TASK_COUNT = 4
WORKERS = 4
ENTRIES = 2
# A third crash is as many as may have another cause.
MAX_CRASHES = 3
ONE_STEP_JOB = {
    'spec': 'work',
    'steps': [{'count': TASK_COUNT, 'cpu': 1000, 'estimated_ms': 300}],
}


class CrashesTest(path_case.PathTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.start(ENTRIES, WORKERS)
        for runner in self.platform.runners:
            runner.faults.deadly_tasks = frozenset((DEADLY_TASK,))

    async def submit(self, identifier: str) -> None:
        await self.submit_job(identifier, ONE_STEP_JOB)

    async def wait_for_state(
        self, identifier: str, state: str, entry: int = 0
    ) -> None:
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.wait_for_state(identifier, state, entry)

    def count_crashes(self) -> int:
        return sum(len(runner.crashes) for runner in self.platform.runners)

    async def test_deadly_task_crashes_one_worker_after_the_other(
        self,
    ) -> None:
        await self.submit(JOB)
        await self.submit(OTHER_JOB)
        await self.wait_for_state(JOB, 'failed')
        await self.wait_for_state(OTHER_JOB, 'completed')
        self.assertLessEqual(self.count_crashes(), MAX_CRASHES)
        self.assertEqual([], self.platform.ledger.broken)
        _, content = await self.platform.request('GET', JOB)
        self.assertIn(JOB, content['reason'])

    async def test_change_of_leader_forgets_the_crashes(self) -> None:
        await self.submit(JOB)
        await self.wait_until(lambda: self.count_crashes() > 0)
        (leader,) = self.platform.list_leaders()
        await self.platform.entries[leader].kill()
        await self.wait_for_state(JOB, 'failed', 1 - leader)
        self.assertLessEqual(self.count_crashes(), MAX_CRASHES)


if __name__ == '__main__':
    unittest.main()
