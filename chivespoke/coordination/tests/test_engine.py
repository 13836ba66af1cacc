"""The leader's records, workers and terms under faults, without any I/O."""

import unittest

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform
from chivespoke import workloads


class RecordsTest(engine_case.EngineTest):
    def test_no_order_leaves_before_its_record_is_in_the_store(self) -> None:
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job())
        engine = self.leader.engine
        plan = engine.plan(
            self.leader.orders, self.leader.now, self.leader.wall
        )
        self.assertEqual([], self.list_starts())
        engine.confirm(plan)
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts()
        )

    def test_end_is_acknowledged_after_its_record_only(self) -> None:
        self.begin()
        self.leader.report(
            builders.make_report(
                ended=(builders.make_end(1, engine_case.FIRST),)
            )
        )
        engine = self.leader.engine
        self.assertEqual(0, self.leader.direct().acknowledged)
        plan = engine.plan(
            self.leader.orders, self.leader.now, self.leader.wall
        )
        self.assertEqual(0, self.leader.direct().acknowledged)
        engine.confirm(plan)
        self.assertEqual(1, self.leader.direct().acknowledged)

    def test_end_reported_while_a_plan_is_written_waits_for_the_next(
        self,
    ) -> None:
        self.begin()
        engine = self.leader.engine
        plan = engine.plan(
            self.leader.orders, self.leader.now, self.leader.wall
        )
        self.leader.report(
            builders.make_report(
                ended=(builders.make_end(1, engine_case.FIRST),)
            )
        )
        engine.confirm(plan)
        self.assertEqual(0, self.leader.direct().acknowledged)

    def test_same_submission_twice_is_one_job(self) -> None:
        self.begin()
        self.leader.submit(builders.make_job())
        self.leader.plan()
        self.assertEqual([], self.list_starts())

    def test_done_job_is_completed_once_all_tasks_are(self) -> None:
        self.begin()
        for number, task in ((1, engine_case.FIRST), (2, engine_case.SECOND)):
            self.assertIs(workloads.JobPhase.RUNNING, self.leader.find_phase())
            self.leader.report(
                builders.make_report(ended=(builders.make_end(number, task),))
            )
            self.leader.plan()
        self.assertIs(workloads.JobPhase.COMPLETED, self.leader.find_phase())

    def test_final_job_is_dropped_when_nobody_asks_any_more(self) -> None:
        self.begin(engine_case.ONE)
        self.leader.report(
            builders.make_report(
                ended=(builders.make_end(1, engine_case.FIRST),)
            )
        )
        self.leader.plan()
        self.leader.now += coordination.Limits().kept + 1
        self.leader.plan()
        self.assertEqual({}, self.leader.ledger.entries)


class WorkerTest(engine_case.EngineTest):
    def test_workers_that_must_get_nothing_get_nothing(self) -> None:
        cases = {
            'draining': builders.make_report(draining=True),
            'lapsed': builders.make_report(lapsed=True),
        }
        for name, report in cases.items():
            with self.subTest(name):
                self.leader = builders.Leader()
                self.leader.report(report)
                self.leader.submit(builders.make_job())
                self.leader.plan()
                self.assertEqual([], self.list_starts())

    def test_evacuated_data_centre_gets_nothing(self) -> None:
        self.leader.orders = builders.make_orders('zone-1')
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job())
        self.leader.plan()
        self.assertEqual([], self.list_starts())
        self.leader.orders = builders.make_orders()
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts()
        )

    def test_nothing_starts_on_an_old_view_of_the_operator(self) -> None:
        self.leader.orders = None
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job())
        self.leader.plan()
        self.assertEqual([], self.list_starts())

    def test_silent_worker_keeps_its_tasks_until_leases_run_out(self) -> None:
        self.begin()
        self.leader.now += 5.9
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual([], self.list_starts('side-2'))
        self.leader.now += 0.5
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts('side-2')
        )

    def test_lapsed_leases_free_the_tasks_at_once(self) -> None:
        self.begin()
        self.leader.report(builders.make_report(lapsed=True))
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts('side-2')
        )

    def test_later_life_ends_the_earlier_one(self) -> None:
        self.begin()
        self.leader.report(builders.make_report(born_ms=2))
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts()
        )
        # A report of the earlier life that was delayed changes nothing.
        self.leader.report(builders.make_report(born_ms=1))
        self.assertEqual(1, len(self.leader.engine.state.workers))

    def test_restarted_sidecar_is_told_its_orders_again(self) -> None:
        self.begin()
        self.assertEqual([], self.list_starts())
        running = (builders.make_running(engine_case.FIRST),)
        self.leader.report(
            builders.make_report(incarnation='b', running=running)
        )
        starts = self.leader.direct().starts
        self.assertEqual(
            {engine_case.FIRST: True, engine_case.SECOND: True},
            {start.task: start.repeated for start in starts},
        )

    def test_run_that_nobody_ordered_is_stopped(self) -> None:
        self.leader.report(
            builders.make_report(
                running=(builders.make_running(engine_case.FIRST),)
            )
        )
        stops = self.leader.direct().stops
        self.assertEqual([engine_case.FIRST], [stop.task for stop in stops])

    def test_refused_order_lets_the_task_wait_again(self) -> None:
        self.begin(engine_case.ONE)
        refused = coordination.OrderOutcome(
            engine_case.FIRST, 1, platform.Refusal.NO_CAPACITY
        )
        self.leader.report(builders.make_report(outcomes=(refused,)))
        self.leader.plan()
        self.assertEqual([], self.list_starts(), 'asked again too soon')
        self.leader.now += 0.5
        self.leader.report(builders.make_report())
        self.leader.plan()
        starts = self.leader.direct().starts
        self.assertEqual(
            [(engine_case.FIRST, 2)], [(one.task, one.run) for one in starts]
        )


class TakeOverTest(engine_case.EngineTest):
    """A new leader knows what the records tell, and no more."""

    def take_over(self) -> None:
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)

    def test_runs_are_adopted_where_they_are_listed(self) -> None:
        self.begin()
        self.take_over()
        running = tuple(
            builders.make_running(task)
            for task in (engine_case.FIRST, engine_case.SECOND)
        )
        self.leader.report(builders.make_report(running=running))
        self.leader.plan()
        self.leader.report(builders.make_report('side-2'))
        self.assertEqual([], self.list_starts('side-2'))

    def test_unheard_worker_is_waited_for(self) -> None:
        self.begin()
        self.take_over()
        limits = coordination.Limits()
        self.leader.now += limits.predecessor + limits.lease_bound - 0.1
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual([], self.list_starts('side-2'))
        self.leader.now += 0.2
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts('side-2')
        )

    def test_later_life_of_an_unheard_worker_ends_the_wait(self) -> None:
        self.begin()
        self.take_over()
        self.leader.report(builders.make_report(born_ms=2))
        self.leader.plan()
        self.assertEqual(
            [engine_case.FIRST, engine_case.SECOND], self.list_starts()
        )

    def test_end_that_was_recorded_but_not_acknowledged_counts_once(
        self,
    ) -> None:
        self.begin()
        end = builders.make_end(1, engine_case.FIRST)
        self.leader.report(builders.make_report(ended=(end,)))
        self.leader.plan()
        self.take_over()
        self.leader.report(
            builders.make_report(
                running=(builders.make_running(engine_case.SECOND),),
                ended=(end,),
            )
        )
        self.leader.plan()
        self.assertNotIn(engine_case.FIRST, self.list_starts())
        self.assertEqual(1, self.leader.direct().acknowledged)

    def test_end_that_was_never_recorded_is_recorded_by_the_next_term(
        self,
    ) -> None:
        # Found by a hunt (cedarhollow-booking trouble-1, seed 509450262504):
        # a process that led twice kept what its first term had not written.
        self.begin(engine_case.ONE)
        self.take_over()
        report = builders.make_report(
            ended=(builders.make_end(1, engine_case.FIRST),)
        )
        self.leader.report(report)
        self.leader.engine.plan(
            self.leader.orders, self.leader.now, self.leader.wall
        )
        self.take_over()
        self.assertIs(workloads.JobPhase.RUNNING, self.leader.find_phase())
        self.leader.report(report)
        plan = self.leader.engine.plan(
            self.leader.orders, self.leader.now, self.leader.wall
        )
        self.assertEqual(1, len(plan.records))

    def test_what_runs_of_a_failed_job_is_stopped_not_begun_again(
        self,
    ) -> None:
        self.begin()
        for run in (1, 2):
            end = builders.make_end(
                run, engine_case.FIRST, platform.EndCause.FAILED, run
            )
            self.leader.report(
                builders.make_report(
                    running=(builders.make_running(engine_case.SECOND),),
                    ended=(end,),
                )
            )
            self.leader.plan()
        self.assertIs(workloads.JobPhase.FAILED, self.leader.find_phase())
        self.take_over()
        self.leader.report(builders.make_report())
        directive = self.leader.direct()
        self.assertEqual((), directive.starts)
        self.assertEqual(
            [engine_case.SECOND], [stop.task for stop in directive.stops]
        )


if __name__ == '__main__':
    unittest.main()
