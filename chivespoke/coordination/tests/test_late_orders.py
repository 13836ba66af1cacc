"""Tests of start orders that take effect after all leases have expired."""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform

FIRST_TASK = engine_case.FIRST_TASK
UNANSWERED = (coordination.UnansweredStart(FIRST_TASK, 1, 1000, False),)
IN_PROGRESS = (coordination.UnansweredStart(FIRST_TASK, 1, 0, True),)


class LateOrderTest(engine_case.EngineTest):
    def setUp(self) -> None:
        super().setUp()
        self.timeouts = self.leader.engine.state.timeouts
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        self.leader.plan()
        self.leader.make_directive()

    def list_starts_elsewhere(self) -> list[str]:
        """Return the starts on a second worker."""
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        return self.list_starts('side-2')

    def answer_repeated_call(self) -> None:
        """Report an answer to the order, but none to its first call."""
        outcome = coordination.OrderOutcome(FIRST_TASK, 1)
        self.leader.report(
            builders.make_report(outcomes=(outcome,), unanswered=UNANSWERED)
        )

    def report_without_worker(self, **changes: object) -> None:
        """Report a session whose worker has not been polled yet."""
        self.leader.report(
            msgspec.structs.replace(
                builders.make_report(born_ms=2), incarnation=None, **changes
            )
        )

    def advance_past_leases(self) -> None:
        self.leader.now += self.timeouts.max_lease_seconds + 0.1

    def test_task_waits_for_a_call_without_an_answer(self) -> None:
        # The call is executed on the next incarnation of the worker, whose
        # polls get no answer.
        self.answer_repeated_call()
        self.report_without_worker()
        began_at = self.leader.now - UNANSWERED[0].age_ms / 1000
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now = began_at + self.timeouts.late_call_seconds - 0.1
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now += 0.2
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_waits_for_an_order_that_no_report_covers(self) -> None:
        # The sidecar is cut off, and its calls get no answer.
        ordered_at = self.leader.now
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now = (
            ordered_at
            + self.timeouts.start_order_seconds
            + self.timeouts.late_call_seconds
            - 0.1
        )
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now += 0.2
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_waits_for_further_calls_of_an_order_in_progress(
        self,
    ) -> None:
        reported_at = self.leader.now
        in_progress = msgspec.structs.replace(
            UNANSWERED[0], age_ms=0, in_progress=True
        )
        self.leader.report(builders.make_report(unanswered=(in_progress,)))
        self.leader.now = (
            reported_at
            + self.timeouts.start_order_seconds
            + self.timeouts.late_call_seconds
            - 0.1
        )
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now += 0.2
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_waits_although_the_sidecar_reports_expired_leases(
        self,
    ) -> None:
        self.answer_repeated_call()
        self.leader.now += 5.0
        lapsed = builders.make_report(answering=False, lapsed=True)
        self.leader.report(lapsed)
        self.assertEqual([], self.list_starts_elsewhere())
        # No further call for the run may follow, and a stop ends the wait.
        directive = self.leader.make_directive()
        self.assertEqual((), directive.starts)
        self.assertEqual([FIRST_TASK], [x.task for x in directive.stops])
        outcome = coordination.OrderOutcome(
            FIRST_TASK, 1, platform.Refusal.SUPERSEDED
        )
        self.leader.report(builders.make_report(outcomes=(outcome,)))
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_does_not_wait_where_nothing_listens(self) -> None:
        # Regression: a task that lasts stayed idle for up to 14 s after its
        # worker was gone for good, if a call to start it got no answer.
        self.answer_repeated_call()
        self.leader.now += 5.0
        lapsed = builders.make_report(answering=False, lapsed=True)
        self.leader.report(lapsed)
        self.assertEqual([], self.list_starts_elsewhere())
        refused = msgspec.structs.replace(lapsed, refuses_connections=True)
        self.leader.report(refused)
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_waits_for_leases_although_nothing_listens(self) -> None:
        # The machine may refuse connections while the worker runs.
        self.answer_repeated_call()
        self.leader.report(
            builders.make_report(answering=False, refuses_connections=True)
        )
        self.assertEqual([], self.list_starts_elsewhere())

    def test_order_to_a_session_that_has_ended_needs_no_wait(self) -> None:
        # The process would name a call that it had made for the order.
        self.report_without_worker()
        self.advance_past_leases()
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_next_leader_waits_for_a_call_without_an_answer(self) -> None:
        self.answer_repeated_call()
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        self.report_without_worker(
            epoch=builders.EPOCH + 1, unanswered=UNANSWERED
        )
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now += self.timeouts.late_call_seconds
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_start_of_a_completed_task_goes_on_under_the_next_leader(
        self,
    ) -> None:
        # An earlier run completed the task while the start of the later one
        # got no answer, and the leader was lost before it could order a stop.
        lapsed = builders.make_report(answering=False, lapsed=True)
        self.leader.report(lapsed)
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())
        done = builders.make_end(1, FIRST_TASK)
        self.leader.report(builders.make_report(ended=(done,)))
        self.leader.plan()
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        start = coordination.UnansweredStart(FIRST_TASK, 2, 500, True)
        self.leader.report(builders.make_report('side-2', unanswered=(start,)))
        self.assertEqual(
            (coordination.StopOrder(FIRST_TASK, 2),),
            self.leader.make_directive('side-2').stops,
        )

    def test_start_in_progress_of_an_assigned_run_is_stopped(self) -> None:
        start = coordination.UnansweredStart(FIRST_TASK, 1, 500, True)
        self.leader.report(builders.make_report(unanswered=(start,)))
        self.assertEqual((), self.leader.make_directive().stops)

    def test_incarnation_that_answers_polls_ends_the_wait(self) -> None:
        # The fencing token of its first poll bars all earlier calls.
        self.answer_repeated_call()
        self.leader.report(builders.make_report(born_ms=2))
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_whose_calls_were_all_answered_does_not_wait(self) -> None:
        outcome = coordination.OrderOutcome(FIRST_TASK, 1)
        self.leader.report(builders.make_report(outcomes=(outcome,)))
        self.report_without_worker()
        self.advance_past_leases()
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_task_waits_for_a_call_that_was_answered_since(self) -> None:
        # Regression (issue 50, days of ours): the report of a call in progress
        # counted for 16.5 s, whatever later ones said.
        self.leader.report(
            builders.make_report(unanswered=IN_PROGRESS, applied=1)
        )
        running = (builders.make_running(FIRST_TASK),)
        self.leader.report(builders.make_report(running=running, applied=1))
        self.advance_past_leases()
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_order_in_progress_at_an_earlier_process_is_waited_for(
        self,
    ) -> None:
        # The process that has begun since does not know of it.
        self.leader.report(builders.make_report(unanswered=IN_PROGRESS))
        running = (builders.make_running(FIRST_TASK),)
        self.leader.report(
            builders.make_report(sidecar_incarnation='b', running=running)
        )
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())

    def test_overtaken_report_does_not_end_the_wait_for_an_order(self) -> None:
        self.leader.report(
            builders.make_report(unanswered=IN_PROGRESS, applied=2)
        )
        self.leader.report(builders.make_report(applied=1))
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())

    def test_order_for_an_earlier_session_is_not_covered_by_a_later_one(
        self,
    ) -> None:
        # The sidecar was killed during the calls; the next process polls the
        # same incarnation of the worker, which starts again then.
        self.leader.report(builders.make_report(sidecar_incarnation='b'))
        self.advance_past_leases()
        self.assertEqual([], self.list_starts_elsewhere())

    def test_task_does_not_wait_for_calls_of_an_earlier_run(self) -> None:
        self.answer_repeated_call()
        failed = builders.make_end(
            1, FIRST_TASK, platform.EndCause.FAILED, checkpoint='c'
        )
        self.leader.report(builders.make_report(ended=(failed,)))
        self.leader.plan()
        (start,) = self.leader.make_directive().starts
        self.assertEqual(2, start.run)
        running = (builders.make_running(FIRST_TASK, 2),)
        self.leader.report(builders.make_report(running=running))
        self.advance_past_leases()
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())


if __name__ == '__main__':
    unittest.main()
