"""Tests of workers whose capacity changes while they run."""

import unittest

import msgspec

from chivespoke.coordination import _fleet
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform
from chivespoke import workloads

TASK_CPU_MILLIS = 1000
MEMORY_STEP = workloads.Step(count=4, memory_mb=8000, estimated_ms=1000)
FILLERS = workloads.Step(
    count=4, cpu_millis=1000, memory_mb=8000, estimated_ms=1000, filler=True
)


def make_step(count: int, gang: bool = False) -> workloads.Step:
    """Return a step of equal tasks."""
    return workloads.Step(
        count=count,
        cpu_millis=TASK_CPU_MILLIS,
        estimated_ms=1000,
        gang=gang,
    )


class CapacityTest(engine_case.EngineTest):
    """Report capacities of one worker that differ from report to report."""

    def report(
        self,
        capacity: workloads.Resources,
        running: tuple[platform.RunningTask, ...] = (),
        ended: tuple[platform.EndedRun, ...] = (),
    ) -> None:
        report = builders.make_report(running=running, ended=ended)
        assert report.incarnation is not None
        incarnation = msgspec.structs.replace(
            report.incarnation, capacity=capacity
        )
        self.leader.report(
            msgspec.structs.replace(report, incarnation=incarnation)
        )

    def report_room(
        self,
        tasks: int,
        running: tuple[platform.RunningTask, ...] = (),
        ended: tuple[platform.EndedRun, ...] = (),
    ) -> None:
        """Report room for a number of tasks, and what runs or has ended."""
        self.report(
            workloads.Resources(tasks * TASK_CPU_MILLIS, 32000),
            running,
            ended,
        )

    def submit(self, *steps: workloads.Step) -> None:
        self.leader.submit(builders.make_job(*steps))

    def start(self) -> tuple[platform.RunningTask, ...]:
        """Make a plan; return the tasks that are ordered to start."""
        self.leader.plan()
        return tuple(
            builders.make_running(start.task, start.run)
            for start in self.leader.make_directive().starts
        )

    def test_idle_worker_that_shrinks_or_grows_is_filled_to_its_capacity(
        self,
    ) -> None:
        # Regression: the capacity of the first report counted for good.
        for room in (3, 12):
            with self.subTest(room=room):
                self.setUp()
                self.report_room(8)
                self.submit(make_step(count=20))
                self.report_room(room)
                self.assertEqual(room, len(self.start()))

    def test_nothing_starts_on_a_worker_that_holds_more_than_it_may(
        self,
    ) -> None:
        self.report_room(8)
        self.submit(make_step(count=20))
        running = self.start()
        self.assertEqual(8, len(running))
        self.report_room(3, running)
        number = 0
        while len(running) > 3:
            self.assertEqual((), self.start())
            number += 1
            ended, running = running[0], running[1:]
            self.report_room(
                3, running, (builders.make_end(number, ended.task),)
            )
        self.assertEqual((), self.start())
        # Nothing is stopped for the lack of room.
        self.assertEqual((), self.leader.make_directive().stops)
        number += 1
        self.report_room(
            3, running[1:], (builders.make_end(number, running[0].task),)
        )
        self.assertEqual(1, len(self.start()))

    def test_worker_that_grows_again_is_used_at_once(self) -> None:
        self.report_room(8)
        self.submit(make_step(count=20))
        running = self.start()
        self.report_room(3, running)
        self.assertEqual((), self.start())
        self.report_room(10, running)
        self.assertEqual(2, len(self.start()))

    def test_gang_is_not_placed_on_a_worker_that_has_become_too_small(
        self,
    ) -> None:
        self.report_room(8)
        self.submit(make_step(count=4, gang=True))
        self.report_room(3)
        self.assertEqual((), self.start())
        self.report_room(4)
        self.assertEqual(4, len(self.start()))

    def test_memory_that_shrinks_bounds_tasks_and_fillers(self) -> None:
        for step in (MEMORY_STEP, FILLERS):
            with self.subTest(filler=step.filler):
                self.setUp()
                self.report(workloads.Resources(8000, 32000))
                self.submit(step)
                self.report(workloads.Resources(8000, 17000))
                self.assertEqual(2, len(self.start()))

    def test_run_that_is_being_stopped_still_counts(self) -> None:
        self.report_room(8)
        self.submit(make_step(count=8))
        running = self.start()
        self.report_room(8, running)
        self.leader.cancel()
        self.leader.submit(
            builders.make_job(make_step(count=8), identifier=f'{1:016x}')
        )
        self.report_room(10, running)
        self.assertEqual(2, len(self.start()))

    def test_directive_says_what_all_runs_reserve(self) -> None:
        self.report_room(8)
        self.submit(make_step(count=3))
        running = self.start()
        self.report_room(8, running)
        self.leader.submit(
            builders.make_job(make_step(count=2), identifier=f'{1:016x}')
        )
        self.leader.plan()
        self.leader.cancel()
        directive = self.leader.make_directive()
        self.assertEqual(2, len(directive.starts))
        self.assertEqual(3, len(directive.stops))
        self.assertEqual(
            workloads.Resources(5 * TASK_CPU_MILLIS), directive.reserved
        )

    def test_runs_that_are_not_recorded_count_for_orders_under_way(
        self,
    ) -> None:
        # Regression: they reserved nothing, and orders decided before the
        # leader knew of them went out.
        unknown = f'{1:016x}.0.0.0'
        for case, listed, expected_millis in (
            ('earlier run', engine_case.FIRST_TASK, 9000),
            ('step not known', f'{builders.JOB}.0.1.0', 16000),
            ('job not known', unknown, 16000),
        ):
            with self.subTest(case=case):
                self.setUp()
                self.report_room(8)
                self.submit(make_step(count=8))
                self.leader.plan()
                self.report_room(8, (builders.make_running(listed, 7),))
                directive = self.leader.make_directive()
                self.assertEqual(8, len(directive.starts))
                assert directive.reserved is not None
                self.assertEqual(
                    expected_millis, directive.reserved.cpu_millis
                )

    def test_change_of_capacity_is_not_learned_as_one_of_use(self) -> None:
        self.report_room(8)
        self.submit(make_step(count=1))
        self.report_room(8, self.start())
        (worker,) = self.leader.engine.state.workers.values()
        (run,) = worker.runs.values()
        run.last_sample = _fleet.TailSample(0.0, 0.0, {})
        self.report_room(8)
        self.assertIsNotNone(run.last_sample)
        self.report_room(4)
        self.assertIsNone(run.last_sample)


if __name__ == '__main__':
    unittest.main()
