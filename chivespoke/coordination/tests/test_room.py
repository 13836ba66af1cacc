"""Tests of the room for lasting tasks on busy workers; no I/O."""

import unittest

import msgspec

from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import fleet
from chivespoke import workloads

LASTING_JOB = '00000000000000b1'
LASTING_TASK = f'{LASTING_JOB}.0.0.0'
LASTING = workloads.Step(count=1, cpu_millis=7000, long_running=True)
# Of a worker of 8,000.
SMALL = workloads.Step(count=80, cpu_millis=1500, estimated_ms=2000)
# A task that lasts may be idle for 9 s; the leases of its run last for 5.4 s.
MAX_RESTART_SECONDS = 3.0


class BusyFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleet.Fleet(2, frozenset())
        self.fleet.lasting_jobs = frozenset((LASTING_JOB,))
        self.fleet.spread_seconds = fleet.STEP_SECONDS

    def submit(
        self, step: workloads.Step, identifier: str, priority: int = 0
    ) -> None:
        job = builders.make_job(step, identifier=identifier)
        terms = msgspec.structs.replace(job.terms, priority=priority)
        self.fleet.leader.submit(
            msgspec.structs.replace(job, terms=terms, queue=f'q-{priority}')
        )

    def find_place(self) -> str | None:
        for sidecar, running in self.fleet.running.items():
            if any(task == LASTING_TASK for task, _ in running):
                return sidecar
        return None

    def measure_wait(self, seconds: float) -> float | None:
        """Return when the lasting task runs; None if it does not in time."""
        for count in range(1, int(seconds / fleet.STEP_SECONDS) + 1):
            self.fleet.step()
            if self.find_place() is not None:
                return count * fleet.STEP_SECONDS
        return None

    def test_short_tasks_take_the_room_of_a_lasting_task(self) -> None:
        # Regression (issue 47): each piece of room that a short task left was
        # taken by the next one, so that a task that lasts stayed idle for as
        # long as there were any.
        for priority in (0, 2):
            with self.subTest(priority=priority):
                self.setUp()
                self.submit(LASTING, LASTING_JOB)
                self.fleet.run(2)
                place = self.find_place()
                assert place is not None
                self.submit(SMALL, builders.JOB, priority)
                self.fleet.run(4)
                self.fleet.remove_worker(place)
                wait = self.measure_wait(MAX_RESTART_SECONDS)
                self.assertIsNotNone(wait)
                # What was stopped goes on.
                self.assertEqual(
                    workloads.JobPhase.RUNNING,
                    self.fleet.leader.find_phase(),
                )

    def test_searches_without_a_find_starve_a_task_behind_them(self) -> None:
        # Regression (issue 50, days of ours): the same tasks, which no worker
        # can be freed for, used up the searches of each plan.
        self.fleet = fleet.Fleet(8, frozenset())
        self.fleet.spread_seconds = fleet.STEP_SECONDS
        large_jobs = [f'00000000000000a{number}' for number in range(3, 6)]
        anchors = '00000000000000c1'
        self.fleet.lasting_jobs = frozenset(
            (LASTING_JOB, anchors, *large_jobs)
        )
        self.submit(
            msgspec.structs.replace(LASTING, cpu_millis=1300), LASTING_JOB
        )
        for job in large_jobs:
            self.submit(LASTING, job)
        self.submit(
            workloads.Step(count=4, cpu_millis=6700, long_running=True),
            anchors,
        )
        self.fleet.run(2)
        self.submit(
            workloads.Step(count=400, cpu_millis=600, estimated_ms=2000),
            builders.JOB,
        )
        self.fleet.run(4)
        lost = [
            sidecar
            for sidecar, running in self.fleet.running.items()
            if any(
                task.partition('.')[0] in (LASTING_JOB, *large_jobs)
                for task, _ in running
            )
        ]
        for sidecar in lost:
            self.fleet.remove_worker(sidecar)
        self.assertIsNotNone(self.measure_wait(MAX_RESTART_SECONDS))

    def test_first_start_neither_holds_room_nor_stops_runs(self) -> None:
        # Regression (provamar-chive-grown, scale-1): the room that was held
        # for many new lasting tasks starved the batch work.
        self.fleet.task_seconds = 60.0
        self.submit(SMALL, builders.JOB, priority=2)
        self.fleet.run(2)
        self.submit(LASTING, LASTING_JOB)
        self.assertIsNone(self.measure_wait(6.0))
        tasks = [task for task, _ in self.fleet.started]
        self.assertEqual(len(set(tasks)), len(tasks))

    def test_more_urgent_runs_are_not_stopped(self) -> None:
        self.submit(LASTING, LASTING_JOB, priority=1)
        self.fleet.run(2)
        place = self.find_place()
        assert place is not None
        self.fleet.task_seconds = 60.0
        self.submit(SMALL, builders.JOB)
        self.fleet.run(2)
        self.fleet.remove_worker(place)
        self.assertIsNone(self.measure_wait(6.0))

    def test_lasting_tasks_do_not_stop_each_other(self) -> None:
        others = '00000000000000b2'
        self.fleet.lasting_jobs |= {others}
        self.submit(LASTING, LASTING_JOB)
        self.fleet.run(2)
        place = self.find_place()
        assert place is not None
        self.submit(
            workloads.Step(count=1, cpu_millis=6000, long_running=True), others
        )
        self.fleet.run(2)
        self.fleet.remove_worker(place)
        self.assertIsNone(self.measure_wait(6.0))
        self.assertEqual(2, len(self.fleet.started))

    def test_several_lasting_tasks_share_the_held_room(self) -> None:
        # Two holds on one worker must not keep it from both.
        pair = workloads.Step(count=2, cpu_millis=4000, long_running=True)
        self.submit(pair, LASTING_JOB)
        self.fleet.run(2)
        place = self.find_place()
        assert place is not None
        self.submit(SMALL, builders.JOB)
        self.fleet.run(4)
        self.fleet.remove_worker(place)
        self.fleet.run(int(MAX_RESTART_SECONDS / fleet.STEP_SECONDS))
        running = {
            task
            for running in self.fleet.running.values()
            for task, _ in running
        }
        self.assertLessEqual(
            {f'{LASTING_JOB}.0.0.{index}' for index in range(2)}, running
        )
