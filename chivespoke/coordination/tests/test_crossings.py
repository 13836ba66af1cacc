"""Tests of reports that cross orders on their way to the sidecar."""

import unittest

from chivespoke import coordination
from chivespoke.coordination import _engine_state
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform

FIRST_TASK = engine_case.FIRST_TASK


class CrossingTest(engine_case.EngineTest):
    def setUp(self) -> None:
        super().setUp()
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        self.leader.plan()
        self.directive = self.leader.make_directive()

    def list_starts_elsewhere(self) -> list[str]:
        """Return the starts on a second worker, which has just appeared."""
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        return self.list_starts('side-2')

    def test_expired_leases_do_not_release_runs_ordered_since(self) -> None:
        self.leader.report(
            builders.make_report(
                answering=False,
                lapsed=True,
                applied=self.directive.number - 1,
            )
        )
        self.assertEqual([], self.list_starts_elsewhere())

    def test_expired_leases_release_runs_ordered_before(self) -> None:
        self.leader.report(
            builders.make_report(
                answering=False, lapsed=True, applied=self.directive.number
            )
        )
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_leases_that_the_leader_did_not_grant_are_waited_for(self) -> None:
        # A restarted sidecar names the latest end that the leases may have.
        self.leader.report(
            builders.make_report(clock_ms=1_000, lease_end_ms=11_000)
        )
        self.leader.now += 10.0
        self.assertEqual([], self.list_starts_elsewhere())
        self.leader.now += 0.5
        self.leader.plan()
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_refusal_does_not_release_a_run_ordered_again_since(self) -> None:
        # The leader repeats an order without an outcome, for example after it
        # stood still with the refusal unread.
        self.leader.now += _engine_state.ORDER_RESEND_SECONDS
        self.leader.report(builders.make_report())
        repeated = self.leader.make_directive()
        self.assertEqual([FIRST_TASK], [x.task for x in repeated.starts])
        self.leader.report(self.make_refusal(applied=self.directive.number))
        self.assertEqual([], self.list_starts_elsewhere())
        # No further order is repeated, and the outcome of the stop counts.
        directive = self.leader.make_directive()
        self.assertEqual((), directive.starts)
        self.assertEqual([FIRST_TASK], [x.task for x in directive.stops])
        self.leader.report(self.make_refusal(applied=directive.number))
        self.leader.plan()
        self.assertEqual([FIRST_TASK], self.list_starts('side-2'))

    def test_refusal_of_the_only_order_releases_the_run(self) -> None:
        self.leader.report(self.make_refusal(applied=self.directive.number))
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_sidecar_that_does_not_number_directives_is_believed(self) -> None:
        # Sidecars are replaced after the entries.
        cases = {
            'refusal': self.make_refusal(applied=0, session=''),
            'lapse': builders.make_report(
                answering=False, lapsed=True, applied=0, session=''
            ),
        }
        for name, report in cases.items():
            with self.subTest(name):
                self.setUp()
                self.leader.report(report)
                self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def make_refusal(
        self, applied: int, session: str | None = None
    ) -> coordination.Report:
        outcome = coordination.OrderOutcome(
            FIRST_TASK, 1, platform.Refusal.NO_CAPACITY
        )
        return builders.make_report(
            outcomes=(outcome,), applied=applied, session=session
        )


if __name__ == '__main__':
    unittest.main()
