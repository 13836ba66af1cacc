"""Tests of the placement of fillers beside serving tasks; no I/O."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke import platform
from chivespoke import workloads

SERVING_JOB = '00000000000000b1'
SERVING_TASK = f'{SERVING_JOB}.0.0.0'
FILLER_TASKS = [f'{builders.JOB}.0.0.{index}' for index in range(3)]
SERVING = workloads.Step(
    count=1,
    cpu_millis=7000,
    long_running=True,
    target_latency_ms=18,
    image='s1',
)
FILLERS = workloads.Step(
    count=3, cpu_millis=4000, filler=True, image='f1', estimated_ms=1000
)
# Exceeds the tail latency that pacing aims at, so that no filler would run at
# full speed beside the task.
TAIL_MS = 17.0


class FillerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(SERVING, identifier=SERVING_JOB))
        self.leader.plan()
        self.report(SERVING_TASK)
        self.leader.submit(builders.make_job(FILLERS))

    def report(
        self, *running: str, ended: tuple[platform.EndedRun, ...] = ()
    ) -> None:
        listed = tuple(
            platform.RunningTask(
                task, 1, '', 10.0, TAIL_MS if task == SERVING_TASK else 0.0
            )
            for task in running
        )
        self.leader.report(builders.make_report(running=listed, ended=ended))

    def list_starts(self) -> list[str]:
        starts = self.leader.make_directive().starts
        found = {start.task for start in starts}
        return sorted(found - {SERVING_TASK})

    def pass_time(self, seconds: float, *running: str) -> list[str]:
        """Report and plan for a time; return the tasks ordered to start."""
        for _ in range(int(seconds / 0.5)):
            self.leader.now += 0.5
            self.report(*running)
            self.leader.plan()
        return self.list_starts()

    def test_idle_job_starts_beside_a_task_that_it_slows_down(self) -> None:
        # Regression test: the last task of a job never started although most
        # of the workers' capacity was free.
        self.leader.plan()
        self.assertEqual([], self.list_starts())
        self.assertEqual([], self.pass_time(1.0, SERVING_TASK))
        self.assertEqual(FILLER_TASKS[:1], self.pass_time(1.0, SERVING_TASK))

    def test_rest_of_a_running_job_waits_for_a_better_worker(self) -> None:
        self.pass_time(3.0, SERVING_TASK)
        running = (SERVING_TASK, FILLER_TASKS[0])
        self.assertEqual([], self.pass_time(10.0, *running))

    def test_idle_time_restarts_with_each_end(self) -> None:
        self.pass_time(3.0, SERVING_TASK)
        self.report(
            SERVING_TASK, ended=(builders.make_end(1, FILLER_TASKS[0]),)
        )
        self.assertEqual([], self.pass_time(1.0, SERVING_TASK))
        self.assertEqual(FILLER_TASKS[1:2], self.pass_time(1.5, SERVING_TASK))


if __name__ == '__main__':
    unittest.main()
