"""Tests of reports that cross orders on their way to the sidecar."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case

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


if __name__ == '__main__':
    unittest.main()
