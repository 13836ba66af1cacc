"""Tests of the lines and figures on lasting tasks that are idle; no I/O."""

import typing
import unittest

from chivespoke.coordination import _idle_tasks
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import workloads

LASTING = workloads.Step(count=1, cpu_millis=5000, long_running=True)


class IdleTasksTest(engine_case.EngineTest):
    def lose_worker(self, *reports: dict[str, typing.Any]) -> None:
        """Let the worker die while another one accepts tasks."""
        self.start_job(LASTING)
        for fields in reports:
            self.leader.now += 1.0
            self.leader.report(builders.make_report(**fields))
            self.leader.report(
                builders.make_report('side-2', clock_ms=int(self.leader.now))
            )
            self.leader.plan()

    def read_idle(self) -> tuple[object, dict[str, object]]:
        idle = self.leader.engine.state.idle_tasks
        found = idle._idle[engine_case.FIRST_TASK]
        return found.cause, found.details

    def test_parts_of_the_time_between_two_runs(self) -> None:
        silent = {'answering': False}
        self.lose_worker(silent, silent, {**silent, 'lapsed': True})
        self.leader.now += 0.5
        (start,) = self.leader.make_directive('side-2').starts
        self.leader.now += 0.25
        self.leader.report(
            builders.make_report(
                'side-2',
                running=(builders.make_running(start.task, start.run),),
                clock_ms=7,
            )
        )
        idle = self.leader.engine.state.idle_tasks
        self.assertEqual(
            (
                _idle_tasks.Restart(
                    total=3.75,
                    noticed=1.0,
                    succeeded=None,
                    released=2.0,
                    decided=0.0,
                    stored=0.0,
                    ordered=0.5,
                    listed=0.25,
                ),
            ),
            idle.take_restarts(),
        )
        self.assertEqual(0, idle.measure_oldest(self.leader.now))

    def test_wait_for_an_earlier_leader_is_told_from_that_for_leases(
        self,
    ) -> None:
        self.lose_worker()
        timeouts = self.leader.engine.state.timeouts
        self.leader = builders.Leader(
            self.leader.ledger, builders.EPOCH + 1, now=self.leader.now
        )
        taken_over_at = self.leader.now
        causes = []
        for seconds in (
            1.0,
            timeouts.predecessor_renewal_seconds + 1.0,
            timeouts.predecessor_renewal_seconds + timeouts.max_lease_seconds,
        ):
            self.leader.now = taken_over_at + seconds
            self.leader.report(
                builders.make_report('side-2', clock_ms=int(self.leader.now))
            )
            self.leader.plan()
            causes.append(self.read_idle()[0])
        self.assertEqual(
            [
                _idle_tasks.IdleCause.EARLIER_LEADER,
                _idle_tasks.IdleCause.LEASES,
                _idle_tasks.IdleCause.ORDER,
            ],
            causes,
        )
        (start,) = self.leader.make_directive('side-2').starts
        self.leader.report(
            builders.make_report(
                'side-2',
                running=(builders.make_running(start.task, start.run),),
                clock_ms=7,
            )
        )
        (restart,) = self.leader.engine.state.idle_tasks.take_restarts()
        self.assertIsNone(restart.noticed)
        self.assertEqual(0.0, restart.succeeded)
        self.assertAlmostEqual(
            timeouts.predecessor_renewal_seconds
            + timeouts.max_lease_seconds
            - 1.0,
            restart.released or 0.0,
        )

    def test_worker_that_answers_again_ends_the_wait(self) -> None:
        self.lose_worker({'answering': False})
        self.assertEqual(_idle_tasks.IdleCause.LEASES, self.read_idle()[0])
        running = (builders.make_running(engine_case.FIRST_TASK),)
        self.leader.report(builders.make_report(running=running, clock_ms=9))
        idle = self.leader.engine.state.idle_tasks
        self.assertEqual(0, idle.measure_oldest(self.leader.now))
        self.assertEqual((), idle.take_restarts())

    def test_job_that_is_over_is_not_idle(self) -> None:
        self.lose_worker({'answering': False})
        self.leader.cancel()
        idle = self.leader.engine.state.idle_tasks
        self.assertEqual(0, idle.measure_oldest(self.leader.now))


class CauseTest(engine_case.EngineTest):
    def test_cause_of_a_wait(self) -> None:
        small = workloads.Step(count=1, cpu_millis=4000)
        spread = workloads.Step(
            count=2, cpu_millis=1000, long_running=True, max_per_worker=1
        )
        labelled = workloads.Step(
            count=1, cpu_millis=1000, long_running=True, required_label='b'
        )
        cases = (
            ((small,), LASTING, _idle_tasks.IdleCause.NO_ROOM),
            ((), spread, _idle_tasks.IdleCause.SPREAD),
            ((), labelled, _idle_tasks.IdleCause.NOT_ALLOWED),
        )
        for running, step, expected in cases:
            with self.subTest(expected):
                self.setUp()
                if running:
                    self.start_job(*running)
                else:
                    self.leader.report(builders.make_report())
                job = builders.make_job(step, identifier='00000000000000b1')
                self.leader.submit(job)
                self.leader.plan()
                causes = {
                    each.cause
                    for each in (
                        self.leader.engine.state.idle_tasks._idle.values()
                    )
                }
                self.assertIn(expected, causes)

    def test_lack_of_a_view_and_of_workers(self) -> None:
        self.leader.submit(builders.make_job(LASTING))
        for desired_state, expected in (
            (self.leader.desired_state, _idle_tasks.IdleCause.NO_WORKER),
            (None, _idle_tasks.IdleCause.NO_VIEW),
        ):
            with self.subTest(expected):
                self.leader.desired_state = desired_state
                self.leader.plan()
                idle = self.leader.engine.state.idle_tasks
                found = idle._idle[engine_case.FIRST_TASK]
                self.assertEqual(expected, found.cause)


class LineTest(unittest.TestCase):
    def test_one_line_for_a_cause(self) -> None:
        idle = _idle_tasks.IdleTasks()
        no_room = _idle_tasks.IdleCause.NO_ROOM
        spread = _idle_tasks.IdleCause.SPREAD
        logged = []
        for now, cause in (
            (10.0, no_room),
            (10.9, no_room),
            (11.0, no_room),
            (11.5, spread),
            (12.0, spread),
            (30.0, spread),
        ):
            idle.advance(now)
            idle.record_wait(engine_case.FIRST_TASK, cause)
            idle.report_waits()
            logged.append(idle._idle[engine_case.FIRST_TASK].logged_at)
        self.assertEqual([11.0, 11.0, 12.0, 12.0], logged[2:])
