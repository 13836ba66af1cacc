"""Tests of starts that are decided but not ordered in time; no I/O."""

import msgspec

from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform

VIEW_SECONDS = 1.8


class StartPermissionTest(engine_case.EngineTest):
    """Pause the leader between the decision and the order."""

    def setUp(self) -> None:
        super().setUp()
        self.leader.report(builders.make_report())
        self.set_view()
        self.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        self.leader.plan()

    def set_view(self, *evacuating: str) -> None:
        """Give the leader a view of the operator's topic that is new now."""
        self.leader.desired_state = msgspec.structs.replace(
            builders.make_desired_state(*evacuating),
            valid_until=self.leader.now + VIEW_SECONDS,
        )

    def test_order_is_not_sent_after_a_pause(self) -> None:
        # A data centre may have been evacuated during the pause.
        self.leader.now += 2.0
        self.leader.report(builders.make_report())
        self.assertEqual([], self.list_starts())

    def test_order_selected_before_a_pause_is_not_sent_after_it(self) -> None:
        (worker,) = self.leader.engine.state.workers.values()
        self.assertTrue(
            self.leader.engine.select_orders(worker, self.leader.now)
        )
        self.leader.now += 2.0
        self.leader.report(builders.make_report())
        self.assertEqual([], self.list_starts())

    def test_order_is_sent_once_the_view_is_new_again(self) -> None:
        self.leader.now += 2.0
        self.leader.report(builders.make_report())
        self.assertEqual([], self.list_starts())
        self.set_view()
        self.leader.plan()
        self.assertEqual([engine_case.FIRST_TASK], self.list_starts())

    def test_order_is_withdrawn_if_its_data_centre_was_evacuated(
        self,
    ) -> None:
        self.leader.now += 2.0
        self.leader.report(builders.make_report())
        self.set_view('zone-1')
        self.leader.plan()
        directive = self.leader.make_directive()
        self.assertEqual((), directive.starts)
        self.assertEqual(
            [engine_case.FIRST_TASK], [stop.task for stop in directive.stops]
        )

    def test_running_task_is_not_withdrawn(self) -> None:
        self.list_starts()
        running = (builders.make_running(engine_case.FIRST_TASK),)
        self.leader.report(builders.make_report(running=running))
        self.leader.now += 2.0
        self.set_view('zone-1')
        self.leader.report(builders.make_report(running=running))
        self.leader.plan()
        self.assertEqual((), self.leader.make_directive().stops)

    def test_run_that_ended_unseen_is_not_started_without_a_view(self) -> None:
        # The end is reported after the order was repeated.
        self.list_starts()
        self.leader.now += 2.0
        self.leader.desired_state = None
        end = builders.make_end(
            1, engine_case.FIRST_TASK, platform.EndCause.FAILED
        )
        self.leader.report(builders.make_report(ended=(end,)))
        self.leader.plan()
        self.assertEqual([], self.list_starts())
