"""Tests of workers whose capacity changes while they run."""

import asyncio
import unittest
from unittest import mock

from chivespoke import coordination
from chivespoke.coordination import _term
from chivespoke.serving.tests import builders
from chivespoke.serving.tests import path_case
from chivespoke import standins
from chivespoke import workloads

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
TASK_COUNT = 16
TASK_CPU_MILLIS = 1000
ONE_STEP_JOB = {
    'spec': 'work',
    'steps': [
        {'count': TASK_COUNT, 'cpu': TASK_CPU_MILLIS, 'estimated_ms': 300}
    ],
}
INITIAL_ROOM = 8
# Shorter than the time after which the platform counts a shrunk capacity.
NOTICE_SECONDS = 0.5
# Time that a stop takes.
STOP_SECONDS = 1.0
# Delay of the reports to the leader.
REPORT_DELAY_SECONDS = 1.2


class CapacityTest(path_case.PathTest):
    """Change the capacity of a worker that starts whatever it is told to."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.start(1, 1)
        self.runner: standins.PlatformRunner = self.platform.runners[0]
        self.runner.capacity.enforced = False
        self.runner.capacity.notice_seconds = NOTICE_SECONDS
        for job in (JOB, OTHER_JOB):
            self.runner.capacity.sizes[f'{job}.0.0'] = workloads.Resources(
                TASK_CPU_MILLIS
            )

    async def submit(self, identifier: str = JOB) -> None:
        await self.submit_job(identifier, ONE_STEP_JOB)

    def change_room(self, tasks: int) -> None:
        """Change the worker's capacity to that for a number of tasks."""
        self.runner.capacity.change(
            workloads.Resources(tasks * TASK_CPU_MILLIS, 32000)
        )

    async def test_shrunk_worker_is_not_filled_as_before(self) -> None:
        # Regression: the capacity of the first report counted for good.
        self.runner.seconds = 1.0
        await self.submit()
        await self.wait_until(lambda: len(self.runner.running) == INITIAL_ROOM)
        self.change_room(3)
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.wait_for_state(JOB, 'completed')
        self.assertEqual([], self.runner.capacity.exceeded)
        # Nothing was stopped for the lack of room.
        self.assertEqual(TASK_COUNT, len(self.runner.began))

    async def test_worker_that_grows_again_is_used_again(self) -> None:
        self.runner.seconds = 1.0
        await self.submit()
        await self.wait_until(lambda: len(self.runner.running) == INITIAL_ROOM)
        self.change_room(1)
        await self.wait_until(lambda: len(self.runner.running) == 1)
        self.runner.seconds = 60.0
        self.change_room(5)
        await self.wait_until(lambda: len(self.runner.running) == 5)
        self.assertEqual([], self.runner.capacity.exceeded)

    async def test_tasks_that_are_being_stopped_take_room_on_a_shrunk_worker(
        self,
    ) -> None:
        self.runner.seconds = 60.0
        self.runner.faults.stop_seconds = STOP_SECONDS
        await self.submit()
        await self.wait_until(lambda: len(self.runner.running) == INITIAL_ROOM)
        self.change_room(5)
        await asyncio.sleep(NOTICE_SECONDS)
        self.runner.seconds = builders.TASK_SECONDS
        await self.submit(OTHER_JOB)
        await self.platform.request('DELETE', JOB)
        async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
            await self.platform.wait_for_state(OTHER_JOB, 'completed')
        self.assertEqual([], self.runner.capacity.exceeded)

    async def test_order_decided_before_the_shrink_starts_nothing(
        self,
    ) -> None:
        # Regression: the sidecar hears of the shrink before the leader, and
        # started what it was told to.
        handle_report = _term.Term.handle_report

        def handle_later(
            term: _term.Term, report: coordination.Report
        ) -> None:
            asyncio.get_running_loop().call_later(
                REPORT_DELAY_SECONDS, handle_report, term, report
            )

        with mock.patch.object(_term.Term, 'handle_report', handle_later):
            await asyncio.sleep(2 * REPORT_DELAY_SECONDS)
            self.change_room(3)
            await asyncio.sleep(NOTICE_SECONDS)
            await self.submit()
            async with asyncio.timeout(path_case.TIMEOUT_SECONDS):
                await self.platform.wait_for_state(JOB, 'completed')
        self.assertEqual([], self.runner.capacity.exceeded)
        self.assertEqual(TASK_COUNT, len(self.runner.began))


if __name__ == '__main__':
    unittest.main()
