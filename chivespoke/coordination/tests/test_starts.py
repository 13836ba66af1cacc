"""Tests of which jobs count as begun."""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform
from chivespoke import workloads

FIRST_TASK = engine_case.FIRST_TASK
JobPhase = workloads.JobPhase


class StartsTest(engine_case.EngineTest):
    def setUp(self) -> None:
        super().setUp()
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        self.leader.plan()
        self.leader.make_directive()

    def check_phase(self, phase: JobPhase) -> None:
        """Check the stored phase, and that of the next leader."""
        self.leader.plan()
        self.assertIs(phase, self.leader.find_phase())
        following = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        following.plan()
        self.assertIs(phase, following.find_phase())

    def test_job_that_was_only_assigned_is_queued(self) -> None:
        # Regression: such a job was missing from the pending ones, and shown
        # as running, for as long as no worker took it.
        self.check_phase(JobPhase.QUEUED)

    def test_job_whose_start_was_refused_is_queued(self) -> None:
        for refusal in platform.Refusal:
            with self.subTest(refusal=refusal):
                self.setUp()
                outcome = coordination.OrderOutcome(FIRST_TASK, 1, refusal)
                self.leader.report(builders.make_report(outcomes=(outcome,)))
                self.check_phase(JobPhase.QUEUED)

    def test_job_whose_worker_was_lost_before_its_start_is_queued(
        self,
    ) -> None:
        self.leader.now += 30.0
        self.check_phase(JobPhase.QUEUED)

    def test_job_whose_worker_was_replaced_with_its_sidecar_is_queued(
        self,
    ) -> None:
        self.leader.report(
            builders.make_report(born_ms=2, sidecar_incarnation='b')
        )
        self.check_phase(JobPhase.QUEUED)

    def test_job_has_begun_by_any_sign_of_a_run(self) -> None:
        begun = builders.make_crash('side-1', (FIRST_TASK, 1))
        signs = {
            'answered order': builders.make_report(
                outcomes=(coordination.OrderOutcome(FIRST_TASK, 1),)
            ),
            'listed run': builders.make_report(
                running=(builders.make_running(FIRST_TASK),)
            ),
            'listed earlier run': builders.make_report(
                running=(builders.make_running(FIRST_TASK, run=2),)
            ),
            'lost run': builders.make_report(born_ms=2, crashes=(begun,)),
        } | {
            f'end as {cause.value}': builders.make_report(
                ended=(builders.make_end(1, FIRST_TASK, cause),)
            )
            for cause in platform.EndCause
            if cause is not platform.EndCause.DONE
        }
        for sign, report in signs.items():
            with self.subTest(sign=sign):
                self.setUp()
                self.leader.report(report)
                self.check_phase(JobPhase.RUNNING)

    def test_lost_order_is_no_start(self) -> None:
        crash = builders.make_crash('side-1', (FIRST_TASK, 1))
        suspect = msgspec.structs.replace(crash.suspects[0], begun=False)
        lost = msgspec.structs.replace(crash, suspects=(suspect,))
        self.leader.report(builders.make_report(born_ms=2, crashes=(lost,)))
        self.check_phase(JobPhase.QUEUED)

    def test_job_whose_only_run_was_lost_has_begun(self) -> None:
        self.leader.report(
            builders.make_report(running=(builders.make_running(FIRST_TASK),))
        )
        self.leader.report(builders.make_report(born_ms=2))
        self.check_phase(JobPhase.RUNNING)

    def test_wait_for_the_first_start_ends_with_the_start(self) -> None:
        # Regression: it ended with each decision to start.
        state = self.leader.engine.state
        self.assertEqual((), state.take_start_waits())
        self.leader.now += 2.0
        listing = builders.make_report(
            running=(builders.make_running(FIRST_TASK),)
        )
        for _ in range(2):
            self.leader.report(listing)
        waits = state.take_start_waits()
        self.assertEqual([2.0], [round(wait.seconds, 3) for wait in waits])


if __name__ == '__main__':
    unittest.main()
