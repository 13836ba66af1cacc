"""Tests that disruptions run no task twice once a leader is old.

A young leader waits for the longest leases that any earlier leader may have
allowed. Later it expects none beyond those that it has granted itself.
"""

import asyncio
import unittest

from chivespoke.serving.tests import builders
from chivespoke.serving.tests import test_disruptions

TASK_COUNT = test_disruptions.TASK_COUNT
MANY_CALLS = test_disruptions.MANY_CALLS
HOUR_SECONDS = 3600.0
# Time in which polls extend the leases, after the first.
SETTLING_SECONDS = test_disruptions.DIRECTIVE_SECONDS
# Time after which a call without an answer is executed: before its sender
# gives it up, so that no later one is sent meanwhile.
LATE_SECONDS = 0.9
# Longer than it takes until a new boot has registered and was polled.
AFTER_POLL_SECONDS = 3.0


class AgedLeaderCase(test_disruptions.DisruptionCase):
    """Disrupt workers and daemons under a leader that is old."""

    async def start(self, workers: int = 2) -> None:
        """Start the daemons; only the first worker registers."""
        await super().start(workers)
        await self.run_with_timeout(self.platform.age_leader())


class AgedLeadersTest(AgedLeaderCase):
    """Repeat the disruptions that involve leases."""

    scenarios = test_disruptions.DisruptionsTest
    test_new_boot_executes_start_orders_of_the_earlier_one = (
        scenarios.test_new_boot_executes_start_orders_of_the_earlier_one
    )
    test_poll_of_the_earlier_boot_extends_leases_of_a_new_one = (
        scenarios.test_poll_of_the_earlier_boot_extends_leases_of_a_new_one
    )
    test_polls_of_a_restarted_sidecar_stall_after_the_first = (
        scenarios.test_polls_of_a_restarted_sidecar_stall_after_the_first
    )
    test_first_poll_of_a_restarted_sidecar_is_slow = (
        scenarios.test_first_poll_of_a_restarted_sidecar_is_slow
    )
    test_deregistered_worker_runs_on_while_polls_stall = (
        scenarios.test_deregistered_worker_runs_on_while_polls_stall
    )
    test_deregistration_of_an_earlier_boot_arrives_late = (
        scenarios.test_deregistration_of_an_earlier_boot_arrives_late
    )
    test_lasting_tasks_of_a_worker_that_is_gone_run_on_elsewhere = (
        scenarios.test_lasting_tasks_of_a_worker_that_is_gone_run_on_elsewhere
    )


class StaleCallsTest(AgedLeaderCase):
    """Let a new boot execute the calls of a session with the earlier one."""

    async def stop_refused_starts(self) -> None:
        """Let the first worker refuse starts after one without an answer.

        Their runs are then stopped, as the first call may take effect late.
        """
        faults = self.platform.runners[0].faults
        faults.late_starts = TASK_COUNT
        await self.submit_long_tasks(test_disruptions.BEYOND_LEASE_SECONDS)
        await self.wait_until(lambda: not faults.late_starts)
        faults.unhealthy_starts = MANY_CALLS

    async def restart_during_stops(
        self, late_seconds: float, stalls_polls: bool
    ) -> None:
        """Let a new boot execute the stops of runs on the earlier one."""
        first = self.platform.runners[0]
        await asyncio.sleep(SETTLING_SECONDS)
        first.faults.late_seconds = HOUR_SECONDS
        first.faults.late_stops = TASK_COUNT
        await self.stop_refused_starts()
        first.faults.late_seconds = late_seconds
        await self.wait_until(lambda: not first.faults.late_stops)
        for runner in self.platform.runners:
            runner.seconds = builders.TASK_SECONDS
        first.faults.unhealthy_starts = 0
        first.faults.holds_stall = stalls_polls
        first.restart()
        await asyncio.sleep(late_seconds)
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_stop_is_executed_before_the_first_poll(self) -> None:
        await self.start(workers=1)
        await self.restart_during_stops(LATE_SECONDS, stalls_polls=True)

    async def test_stop_is_executed_after_the_first_poll(self) -> None:
        await self.start(workers=1)
        await self.restart_during_stops(AFTER_POLL_SECONDS, stalls_polls=False)


if __name__ == '__main__':
    unittest.main()
