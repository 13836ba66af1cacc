"""Tests that calls for a worker's former life run no task twice."""

import asyncio
import unittest

from chivespoke.serving.tests import builders
from chivespoke.serving.tests import path_case

JOB = '00000000000000a1'
TASK_COUNT = 6
JOB_BODY = {
    'spec': 'work',
    'steps': [{'count': TASK_COUNT, 'cpu': 1000, 'estimated_ms': 2000}],
}
# Time in which the polls of the first session extend leases.
SESSION_SECONDS = 1.0
# Time for which a worker is dark before it starts again.
DARK_SECONDS = 0.6
# Time until a late call is executed.
LATE_SECONDS = 0.1
# Run time of a task that outlasts the longest lease.
LONG_TASK_SECONDS = 14.0
TIMEOUT_SECONDS = 60.0


class FormerLivesTest(path_case.PathTest):
    """Start workers again under their identifiers, and cut them off."""

    async def start(self, entries: int = 1, workers: int = 2) -> None:
        """Start the daemons; only the first worker registers."""
        self.platform.unregistered = frozenset(range(1, workers))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.platform.start(entries, workers)
        self.first = self.platform.runners[0]
        await asyncio.sleep(SESSION_SECONDS)
        await self.platform.age_leader()

    async def run_long_tasks_after_return(self) -> None:
        """Start tasks on the new life that outlast the longest lease."""
        for runner in self.platform.runners:
            runner.seconds = LONG_TASK_SECONDS
        await self.submit_job(JOB, JOB_BODY)
        await self.wait_until(lambda: len(self.first.running) == TASK_COUNT)
        for runner in self.platform.runners:
            runner.seconds = builders.TASK_SECONDS

    def let_others_register(self) -> None:
        for runner in self.platform.runners[1:]:
            runner.faults.skips_registration = False

    def cut_off(self) -> None:
        """Let the sidecar hear nothing of the worker, whose runs go on."""
        self.first.faults.holds_stall = True
        self.first.faults.skips_registration = True

    def reconnect(self) -> None:
        self.first.faults.holds_stall = False
        self.first.faults.skips_registration = False

    async def assert_completed_once(self, identifier: str = JOB) -> None:
        """Wait until a job is completed; check that no task ran twice."""
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await self.platform.wait_for_state(identifier, 'completed')
        finally:
            self.assertEqual([], self.platform.ledger.broken)

    async def test_poll_sent_to_a_dark_worker_extends_leases_of_the_next_life(
        self,
    ) -> None:
        # The lease end in the poll is a reading of the former life's clock.
        await self.start()
        self.first.go_dark()
        await asyncio.sleep(DARK_SECONDS)
        self.first.restart()
        await self.run_long_tasks_after_return()
        self.cut_off()
        self.let_others_register()
        await self.wait_until(lambda: not self.first.running)
        self.reconnect()
        await self.assert_completed_once()

    async def test_leader_takes_over_while_the_next_life_is_cut_off(
        self,
    ) -> None:
        # Only the leader before knew what the next life may have been granted.
        await self.start(entries=2)
        self.first.faults.breaks_late_calls = True
        self.first.faults.late_seconds = LATE_SECONDS
        self.first.faults.late_holds = 1
        await self.wait_until(lambda: not self.first.faults.late_holds)
        self.first.restart()
        await self.run_long_tasks_after_return()
        (leader,) = self.platform.list_leaders()
        await self.platform.sidecars[0].kill()
        await self.platform.entries[leader].kill()
        await self.platform.entries[leader].start()
        self.let_others_register()
        await self.wait_until(lambda: not self.first.running)
        await self.platform.sidecars[0].start()
        await self.assert_completed_once()


if __name__ == '__main__':
    unittest.main()
