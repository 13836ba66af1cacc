"""Tests that disruptions of workers and daemons run no task twice."""

import asyncio
import collections.abc
import contextlib
import unittest
from unittest import mock

from chivespoke import coordination
from chivespoke.coordination import _term
from chivespoke.serving.tests import builders
from chivespoke.serving.tests import path_case

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
TASK_COUNT = 6
ONE_STEP_JOB = {
    'spec': 'work',
    'steps': [{'count': TASK_COUNT, 'cpu': 1000, 'estimated_ms': 2000}],
}
LASTING_JOB = {
    'spec': 'serve',
    'steps': [
        {
            'count': TASK_COUNT,
            'cpu': 1000,
            'estimated_ms': 2000,
            'long_running': True,
        }
    ],
}
# Time after its last run within which a task that lasts has to run again.
MAX_IDLE_SECONDS = 9.0
HOUR_MS = 3_600_000
# Attempts to start a task before its order is reported as refused.
START_ATTEMPTS = 3
# Run time of a task that is at work throughout a disruption.
LONG_TASK_SECONDS = 4.0
# Run time of a task that works on after its lease, but not after the longest
# one.
BEYOND_LEASE_SECONDS = 9.0
# Time for the first poll, just below its timeout.
SLOW_POLL_SECONDS = 0.9
# Time that a stop takes, so that it does not hide a concurrent run.
STOP_SECONDS = 0.5
# Time after which a poll is answered if no run ends.
POLL_SECONDS = 0.3
MANY_CALLS = 1000
# Time for which polls stall: shorter than a lease.
STALL_SECONDS = 3.0
# Longer than it takes until a task of a replaced worker runs elsewhere.
LATE_SECONDS = 1.5
# Delay of the reports to the leader, longer than the time after which it
# repeats an order.
REPORT_DELAY_SECONDS = 1.2
# Time in which a worker registers repeatedly.
REGISTRATION_SECONDS = 0.5
# Time in which the leader sends directives repeatedly.
DIRECTIVE_SECONDS = 1.0


class DisruptionCase(path_case.PathTest):
    """Disrupt workers and daemons while jobs run."""

    async def start(self, workers: int = 2) -> None:
        """Start the daemons; only the first worker registers."""
        self.platform.unregistered = frozenset(range(1, workers))
        await self.run_with_timeout(self.platform.start(1, workers))
        for runner in self.platform.runners:
            runner.faults.stop_seconds = STOP_SECONDS

    async def run_with_timeout(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        await asyncio.wait_for(work, path_case.TIMEOUT_SECONDS)

    async def submit(self, identifier: str = JOB) -> None:
        await self.submit_job(identifier, ONE_STEP_JOB)

    async def complete(self, identifier: str = JOB) -> None:
        await self.run_with_timeout(
            self.platform.wait_for_state(identifier, 'completed')
        )

    async def submit_long_tasks(
        self, seconds: float = LONG_TASK_SECONDS
    ) -> None:
        """Submit a job whose tasks are at work throughout a disruption."""
        for runner in self.platform.runners:
            runner.seconds = seconds
        await self.submit()

    async def start_long_runs(
        self, seconds: float = LONG_TASK_SECONDS
    ) -> None:
        """Start the tasks of a job on the first worker."""
        first = self.platform.runners[0]
        await self.submit_long_tasks(seconds)
        await self.wait_until(lambda: len(first.running) == TASK_COUNT)
        for runner in self.platform.runners:
            runner.seconds = builders.TASK_SECONDS

    def register_others(self) -> None:
        """Let the other workers register, so that tasks may move there."""
        for runner in self.platform.runners[1:]:
            runner.faults.skips_registration = False

    def delay_reports(self) -> contextlib.AbstractContextManager[object]:
        """Let the leader handle reports late, but send directives in time."""
        handle_report = _term.Term.handle_report

        def handle_later(
            term: _term.Term, report: coordination.Report
        ) -> None:
            asyncio.get_running_loop().call_later(
                REPORT_DELAY_SECONDS, handle_report, term, report
            )

        return mock.patch.object(_term.Term, 'handle_report', handle_later)

    async def assert_completed_once(self, identifier: str = JOB) -> None:
        """Wait until a job is completed; check that no task ran twice."""
        try:
            await self.complete(identifier)
        finally:
            self.assertEqual([], self.platform.ledger.broken)
        # Runs that are not known to the leader may go on.
        await self.wait_until(
            lambda: not any(runner.running for runner in self.platform.runners)
        )
        self.assertEqual([], self.platform.ledger.broken)


class DisruptionsTest(DisruptionCase):
    async def test_new_boot_executes_start_orders_of_the_earlier_one(
        self,
    ) -> None:
        # The lease end in an order is a reading of the earlier boot's clock,
        # which the clock of the new boot has not reached.
        await self.start()
        first = self.platform.runners[0]
        first.faults.late_starts = TASK_COUNT
        first.faults.late_seconds = LATE_SECONDS
        await self.submit_long_tasks()
        await self.wait_until(lambda: not first.faults.late_starts)
        self.register_others()
        await asyncio.sleep(REGISTRATION_SECONDS)
        first.restart()
        await self.assert_completed_once()

    async def test_new_boot_executes_a_poll_of_the_earlier_one(self) -> None:
        # The poll acknowledges ends by the numbers of the earlier boot.
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await self.submit()
        await self.complete()
        runner.faults.late_holds = 1
        runner.faults.late_seconds = 2 * LATE_SECONDS
        await self.wait_until(lambda: not runner.faults.late_holds)
        runner.restart()
        await asyncio.sleep(REGISTRATION_SECONDS)
        runner.seconds = LATE_SECONDS
        await self.submit(OTHER_JOB)
        await self.wait_until(lambda: len(runner.running) == TASK_COUNT)
        # The ends are not polled before they are acknowledged.
        runner.faults.holds_stall = True
        await asyncio.sleep(2 * LATE_SECONDS)
        runner.faults.holds_stall = False
        await self.assert_completed_once(OTHER_JOB)

    async def test_poll_of_the_earlier_boot_extends_leases_of_a_new_one(
        self,
    ) -> None:
        # The leases outlast those that the sidecar knows.
        await self.start()
        first = self.platform.runners[0]
        # The first poll extends no leases.
        await asyncio.sleep(DIRECTIVE_SECONDS)
        first.faults.late_holds = 1
        first.faults.late_seconds = LATE_SECONDS
        await self.wait_until(lambda: not first.faults.late_holds)
        first.restart()
        await asyncio.sleep(REGISTRATION_SECONDS)
        await self.start_long_runs(BEYOND_LEASE_SECONDS)
        await asyncio.sleep(LATE_SECONDS)
        first.faults.holds_stall = True
        self.register_others()
        await self.wait_until(lambda: not first.running)
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_new_boot_is_polled_before_it_registers(self) -> None:
        # The numbers of its ends start anew, below the acknowledged ones.
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await self.submit()
        await self.complete()
        runner.faults.skips_registration = True
        await asyncio.sleep(REGISTRATION_SECONDS)
        runner.restart()
        await self.submit(OTHER_JOB)
        await asyncio.sleep(STALL_SECONDS)
        runner.faults.skips_registration = False
        await self.assert_completed_once(OTHER_JOB)

    async def test_polls_of_a_restarted_sidecar_stall_after_the_first(
        self,
    ) -> None:
        # Leases that the earlier process extended still hold.
        await self.start()
        await self.start_long_runs()
        first, sidecar = self.platform.runners[0], self.platform.sidecars[0]
        await sidecar.kill()
        first.faults.holds_before_stall = 1
        first.faults.holds_stall = True
        # The worker registers after the leader's first directive, so that no
        # limit of the leases is known at the first poll.
        first.faults.skips_registration = True
        await sidecar.start()
        await asyncio.sleep(DIRECTIVE_SECONDS)
        first.faults.skips_registration = False
        self.register_others()
        await self.wait_until(lambda: not first.faults.holds_before_stall)
        await asyncio.sleep(STALL_SECONDS)
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_first_poll_of_a_restarted_sidecar_is_slow(self) -> None:
        # The worker reads its clock at the end of the poll.
        await self.start()
        await self.start_long_runs(BEYOND_LEASE_SECONDS)
        first, sidecar = self.platform.runners[0], self.platform.sidecars[0]
        await sidecar.kill()
        first.faults.slow_holds = 1
        first.faults.slow_seconds = SLOW_POLL_SECONDS
        await sidecar.start()
        await self.wait_until(lambda: not first.faults.slow_holds)
        # The later polls extend the leases, but their answers are lost.
        await asyncio.sleep(SLOW_POLL_SECONDS + POLL_SECONDS / 2)
        first.faults.lost_holds = MANY_CALLS
        self.register_others()
        await self.wait_until(lambda: not first.running)
        first.faults.lost_holds = 0
        await self.assert_completed_once()

    async def test_deregistered_worker_runs_on_while_polls_stall(
        self,
    ) -> None:
        await self.start()
        await self.start_long_runs()
        first = self.platform.runners[0]
        self.register_others()
        first.faults.holds_stall = True
        await first.deregister()
        await asyncio.sleep(STALL_SECONDS)
        first.exit()
        await self.assert_completed_once()

    async def test_deregistration_of_an_earlier_boot_arrives_late(
        self,
    ) -> None:
        # It names the identifier of the new boot, which stays registered.
        await self.start()
        first = self.platform.runners[0]
        first.restart()
        await asyncio.sleep(REGISTRATION_SECONDS)
        await self.start_long_runs()
        self.register_others()
        await first.deregister()
        first.faults.skips_registration = False
        first.faults.holds_stall = True
        await asyncio.sleep(STALL_SECONDS)
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_late_orders_begin_on_a_new_boot_whose_polls_stall(
        self,
    ) -> None:
        # No token bars them before the first poll of the new boot, and the
        # leases of the earlier one say nothing of it.
        await self.start()
        first = self.platform.runners[0]
        await asyncio.sleep(BEYOND_LEASE_SECONDS)
        first.faults.late_starts = TASK_COUNT
        first.faults.late_seconds = BEYOND_LEASE_SECONDS
        await self.start_long_runs(BEYOND_LEASE_SECONDS)
        first.faults.holds_stall = True
        first.restart()
        self.register_others()
        await asyncio.sleep(BEYOND_LEASE_SECONDS)
        first.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_late_calls_begin_on_a_new_boot_after_their_tasks_are_done(
        self,
    ) -> None:
        # The repeated calls were answered, and their results acknowledged.
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await asyncio.sleep(BEYOND_LEASE_SECONDS)
        runner.faults.late_starts = TASK_COUNT
        runner.faults.late_seconds = BEYOND_LEASE_SECONDS
        await self.submit()
        await self.complete()
        runner.faults.holds_stall = True
        runner.restart()
        await asyncio.sleep(BEYOND_LEASE_SECONDS)
        runner.faults.holds_stall = False
        await self.assert_completed_once()

    async def test_late_calls_do_not_begin_on_a_new_boot_that_was_polled(
        self,
    ) -> None:
        # Regression: the earlier session polled the new boot, until that
        # registered, with the token of the late calls.
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await asyncio.sleep(DIRECTIVE_SECONDS)
        runner.faults.late_starts = TASK_COUNT
        runner.faults.late_seconds = 2 * STALL_SECONDS
        began_at = asyncio.get_running_loop().time()
        await self.submit()
        await self.complete()
        runner.faults.skips_registration = True
        runner.exit()
        await asyncio.sleep(
            began_at
            + 2 * STALL_SECONDS
            - REGISTRATION_SECONDS
            - asyncio.get_running_loop().time()
        )
        runner.restart()
        await asyncio.sleep(2 * REGISTRATION_SECONDS + LATE_SECONDS)
        runner.faults.skips_registration = False
        await self.assert_completed_once()

    async def test_lasting_tasks_of_a_worker_that_is_gone_run_on_elsewhere(
        self,
    ) -> None:
        # Regression: they waited for 14 s for calls that had got no answer,
        # though nothing listened any more where these would begin.
        await self.start()
        first, second = self.platform.runners
        # Until then, earlier processes may have renewed leases.
        await asyncio.sleep(BEYOND_LEASE_SECONDS)
        first.faults.late_starts = TASK_COUNT
        first.faults.late_seconds = HOUR_MS
        await self.submit_job(JOB, LASTING_JOB)
        await self.wait_until(lambda: len(first.running) == TASK_COUNT)
        self.register_others()
        await asyncio.sleep(REGISTRATION_SECONDS)
        await self.platform.end_worker(0)
        ended_at = asyncio.get_running_loop().time()
        await self.wait_until(lambda: len(second.running) == TASK_COUNT)
        idle_seconds = asyncio.get_running_loop().time() - ended_at
        self.assertLess(idle_seconds, MAX_IDLE_SECONDS)
        self.assertEqual([], self.platform.ledger.broken)

    async def test_repeated_start_order_crosses_a_refusal_for_room(
        self,
    ) -> None:
        await self.start()
        first = self.platform.runners[0]
        with self.delay_reports():
            await asyncio.sleep(2 * REPORT_DELAY_SECONDS)
            first.faults.full = True
            await self.submit_long_tasks()
            await self.wait_until(lambda: len(first.refusals) == TASK_COUNT)
            first.faults.full = False
            self.register_others()
            await self.assert_completed_once()

    async def test_repeated_start_order_crosses_an_unhealthy_refusal(
        self,
    ) -> None:
        await self.start()
        first = self.platform.runners[0]
        with self.delay_reports():
            await asyncio.sleep(2 * REPORT_DELAY_SECONDS)
            first.faults.unhealthy_starts = TASK_COUNT * START_ATTEMPTS
            await self.submit_long_tasks()
            await self.wait_until(lambda: not first.faults.unhealthy_starts)
            self.register_others()
            await self.assert_completed_once()

    async def test_new_boot_has_a_lower_time_of_birth(self) -> None:
        await self.start(workers=1)
        (runner,) = self.platform.runners
        await self.submit()
        await self.complete()
        earlier = runner.make_registration()
        runner.restart(builders.BORN_MS - HOUR_MS)
        await asyncio.sleep(REGISTRATION_SECONDS)
        await runner.send_registration(earlier)
        await self.submit(OTHER_JOB)
        await self.assert_completed_once(OTHER_JOB)


if __name__ == '__main__':
    unittest.main()
