"""Tests that disruptions run no task twice once a leader is old.

A young leader waits for the longest leases that any earlier leader may have
allowed. Later it expects none beyond those that it has granted itself.
"""

import asyncio
import collections.abc
import contextlib
import typing
import unittest
from unittest import mock

from chivespoke import decisions
from chivespoke.serving.tests import builders
from chivespoke.serving.tests import test_disruptions

OTHER_JOB = test_disruptions.OTHER_JOB
TASK_COUNT = test_disruptions.TASK_COUNT
MANY_CALLS = test_disruptions.MANY_CALLS
HOUR_SECONDS = 3600.0
# Run time of a task that works on after the longest lease.
ENDLESS_SECONDS = 15.0
# Time in which polls extend the leases, after the first.
SETTLING_SECONDS = test_disruptions.DIRECTIVE_SECONDS
# Time after which a call without an answer is executed: before its sender
# gives it up, so that no later one is sent meanwhile.
LATE_SECONDS = 0.9
# The same for a call that is executed once another one was sent.
LATER_SECONDS = 2.0
# Longer than it takes until a new boot has registered and was polled.
AFTER_POLL_SECONDS = 3.0
# The same for a call that takes long, but less than the longest time.
MUCH_LATER_SECONDS = 10.0


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

    async def cut_off_during_long_runs(self) -> None:
        """Stall the polls of the first worker until its runs have ended."""
        await self.start_long_runs(ENDLESS_SECONDS)
        self.platform.runners[0].faults.holds_stall = True
        self.register_others()
        await self.end_stall_after_runs()

    async def end_stall_after_runs(self) -> None:
        """Answer the polls of the first worker once its runs have ended."""
        first = self.platform.runners[0]
        await self.wait_until(lambda: not first.running)
        first.faults.late_stops = 0
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def send_late_poll(self, seconds: float) -> None:
        """Let a poll of the first worker be executed late."""
        faults = self.platform.runners[0].faults
        faults.late_holds = 1
        faults.late_seconds = seconds
        await self.wait_until(lambda: not faults.late_holds)

    async def test_poll_extends_leases_before_the_first_one(self) -> None:
        # It was built on the clock of the earlier boot, which is far ahead, so
        # that the new one extends its leases as far as it can.
        await self.start()
        await asyncio.sleep(SETTLING_SECONDS)
        await self.send_late_poll(LATE_SECONDS)
        self.platform.runners[0].restart()
        await asyncio.sleep(LATE_SECONDS)
        await self.cut_off_during_long_runs()

    async def test_poll_extends_leases_after_the_earlier_session_has_polled(
        self,
    ) -> None:
        # The earlier session shows its own token to the new boot.
        await self.start()
        first = self.platform.runners[0]
        await asyncio.sleep(SETTLING_SECONDS)
        await self.send_late_poll(LATER_SECONDS)
        first.faults.skips_registration = True
        first.restart()
        await asyncio.sleep(LATER_SECONDS)
        first.faults.skips_registration = False
        await self.cut_off_during_long_runs()

    async def test_poll_that_finds_a_new_boot_extends_its_leases(self) -> None:
        # No call is late: the new boot answers the earlier session before it
        # registers.
        await self.start()
        first = self.platform.runners[0]
        await asyncio.sleep(SETTLING_SECONDS)
        first.faults.skips_registration = True
        first.restart()
        await asyncio.sleep(test_disruptions.REGISTRATION_SECONDS)
        first.faults.skips_registration = False
        await self.cut_off_during_long_runs()

    async def test_poll_of_an_ended_process_extends_leases(self) -> None:
        # The next process of the sidecar only knows the new boot.
        await self.start()
        sidecar = self.platform.sidecars[0]
        await asyncio.sleep(SETTLING_SECONDS)
        await self.send_late_poll(LATE_SECONDS)
        await sidecar.kill()
        self.platform.runners[0].restart()
        await asyncio.sleep(LATE_SECONDS)
        await sidecar.start()
        await self.cut_off_during_long_runs()

    async def test_poll_acknowledges_ends_before_the_first_one(self) -> None:
        # The new boot numbers its ends anew. Of the run that a late start has
        # begun there, nobody learns that it is done.
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await self.submit()
        await self.complete()
        await asyncio.sleep(SETTLING_SECONDS)
        runner.faults.late_starts = MANY_CALLS
        runner.faults.late_seconds = LATE_SECONDS
        await self.submit(OTHER_JOB)
        await self.wait_until(
            lambda: runner.faults.late_starts <= MANY_CALLS - TASK_COUNT
        )
        await self.send_late_poll(LATE_SECONDS + 2 * builders.TASK_SECONDS)
        runner.faults.holds_stall = True
        runner.faults.skips_registration = True
        runner.restart()
        await asyncio.sleep(LATER_SECONDS)
        runner.faults.late_starts = 0
        runner.faults.skips_registration = False
        runner.faults.holds_stall = False
        await self.assert_completed_once(OTHER_JOB)

    async def restart_during_starts(self) -> None:
        """Let a new boot execute the starts for the earlier one, unpolled."""
        first = self.platform.runners[0]
        await asyncio.sleep(SETTLING_SECONDS)
        first.faults.late_starts = TASK_COUNT
        first.faults.late_seconds = MUCH_LATER_SECONDS
        await self.submit_long_tasks(ENDLESS_SECONDS)
        await self.wait_until(lambda: not first.faults.late_starts)
        # No other call reaches the new boot.
        first.faults.late_stops = MANY_CALLS
        first.faults.late_seconds = HOUR_SECONDS
        first.faults.holds_stall = True
        first.restart()
        self.register_others()
        await self.wait_until(lambda: len(first.running) == TASK_COUNT)
        for runner in self.platform.runners:
            runner.seconds = builders.TASK_SECONDS

    async def test_start_extends_leases_before_the_first_poll(self) -> None:
        # The first poll lists the run, and is the last one.
        await self.start()
        await self.restart_during_starts()
        self.platform.runners[0].faults.holds_before_stall = 1
        await self.end_stall_after_runs()

    async def test_start_extends_leases_of_a_boot_that_is_not_polled(
        self,
    ) -> None:
        # Its runs go on after the time by which each start has begun.
        await self.start()
        await self.restart_during_starts()
        await self.end_stall_after_runs()

    async def stop_refused_starts(self) -> None:
        """Let the first worker refuse starts after one without an answer.

        Their runs are then stopped, as the first call may take effect late.
        """
        faults = self.platform.runners[0].faults
        faults.late_starts = TASK_COUNT
        await self.submit_long_tasks(test_disruptions.BEYOND_LEASE_SECONDS)
        await self.wait_until(lambda: not faults.late_starts)
        faults.unhealthy_starts = MANY_CALLS

    async def test_start_begins_after_an_answered_stop(self) -> None:
        # The earlier boot answered the stop, and the new one knows nothing.
        await self.start()
        first, second = self.platform.runners
        await asyncio.sleep(SETTLING_SECONDS)
        first.faults.late_seconds = 2 * AFTER_POLL_SECONDS
        await self.stop_refused_starts()
        self.register_others()
        await self.wait_until(lambda: len(second.running) == TASK_COUNT)
        first.faults.holds_stall = True
        first.restart()
        await asyncio.sleep(2 * AFTER_POLL_SECONDS)
        first.faults.unhealthy_starts = 0
        first.faults.holds_stall = False
        await self.assert_completed_once()

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

    def hold_first_boot(self) -> contextlib.AbstractContextManager[object]:
        """Set the pace of each run on the first boot of a worker to 0."""
        (runner,) = self.platform.runners

        def hold(
            pacer: decisions.Pacer,
            runs: collections.abc.Sequence[decisions.PacedRun],
            *arguments: typing.Any,
        ) -> list[decisions.PaceChange]:
            if runner.born_ms != builders.BORN_MS:
                return []
            return [decisions.PaceChange(run.task, run.run, 0) for run in runs]

        return mock.patch.object(decisions.Pacer, 'adjust', hold)

    async def restart_during_paces(
        self, late_seconds: float, stalls_polls: bool
    ) -> None:
        """Let a new boot execute the paces of runs on the earlier one."""
        (runner,) = self.platform.runners
        runner.faults.late_paces = TASK_COUNT
        runner.faults.late_seconds = late_seconds
        with self.hold_first_boot():
            await self.submit_long_tasks()
            await self.wait_until(lambda: not runner.faults.late_paces)
            runner.seconds = builders.TASK_SECONDS
            runner.faults.holds_stall = stalls_polls
            runner.restart()
            await asyncio.sleep(late_seconds)
        runner.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_pace_is_executed_before_the_first_poll(self) -> None:
        await self.start(workers=1)
        await self.restart_during_paces(LATE_SECONDS, stalls_polls=True)
        self.assertEqual(TASK_COUNT, len(self.platform.runners[0].paces))

    async def test_pace_is_executed_after_the_first_poll(self) -> None:
        # The token of the new session bars it.
        await self.start(workers=1)
        await self.restart_during_paces(AFTER_POLL_SECONDS, stalls_polls=False)
        self.assertEqual({}, self.platform.runners[0].paces)

    async def test_stop_is_executed_before_the_first_poll(self) -> None:
        await self.start(workers=1)
        await self.restart_during_stops(LATE_SECONDS, stalls_polls=True)

    async def test_stop_is_executed_after_the_first_poll(self) -> None:
        await self.start(workers=1)
        await self.restart_during_stops(AFTER_POLL_SECONDS, stalls_polls=False)


if __name__ == '__main__':
    unittest.main()
