"""Tests of moves of slow runs to other workers; no I/O."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke import platform
from chivespoke import workloads

TASK = f'{builders.JOB}.0.0.0'
FILLER = workloads.Step(
    count=1,
    cpu_millis=4000,
    filler=True,
    image='f1',
    estimated_ms=5000,
    checkpointing=True,
)


class MoveTest(unittest.TestCase):
    """Replay a filler that pacing holds down while another worker is free.

    On the recorded day such a run stayed for 29 s beside two serving tasks,
    its job's next step never began, and other workers had 30 cores to spare.
    """

    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.clock_ms = 1000
        self.progress = 0.0

    def start_filler(self, step: workloads.Step = FILLER) -> None:
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(step))
        self.leader.plan()
        self.leader.make_directive()

    def pass_time(self, seconds: float, used_millis: float) -> list[str]:
        """Report the run's use of processor time; return the runs stopped."""
        stopped = []
        for _ in range(int(seconds / 0.5)):
            self.leader.now += 0.5
            self.clock_ms += 500
            self.progress += 4.0 * used_millis / FILLER.cpu_millis
            running = (
                platform.RunningTask(TASK, 1, 'c', self.progress, used_millis),
            )
            self.leader.report(
                builders.make_report(running=running, clock_ms=self.clock_ms)
            )
            self.leader.report(
                builders.make_report('side-2', clock_ms=self.clock_ms)
            )
            self.leader.plan()
            stopped += [
                stop.task for stop in self.leader.make_directive().stops
            ]
        return stopped

    def report_held_down(self, seconds: float) -> None:
        """Report the run without a plan."""
        self.leader.now += seconds
        self.clock_ms += int(seconds * 1000)
        running = (platform.RunningTask(TASK, 1, 'c', self.progress, 0.0),)
        self.leader.report(
            builders.make_report(running=running, clock_ms=self.clock_ms)
        )

    def test_filler_that_is_held_down_moves_with_its_checkpoint(self) -> None:
        self.start_filler()
        self.assertIn(TASK, self.pass_time(4.0, 0.0))
        end = builders.make_end(
            1, TASK, platform.EndCause.STOPPED, checkpoint='d'
        )
        self.leader.report(builders.make_report(ended=(end,), draining=True))
        self.leader.plan()
        starts = self.leader.make_directive('side-2').starts
        self.assertEqual(
            [(TASK, 2, 'd')],
            [(start.task, start.run, start.checkpoint) for start in starts],
        )

    def test_filler_at_full_speed_stays(self) -> None:
        self.start_filler()
        self.assertEqual([], self.pass_time(10.0, 4000.0))

    def test_filler_stays_while_its_worker_does_not_answer(self) -> None:
        # A silent worker may still run the task at full speed.
        self.start_filler()
        self.pass_time(1.0, 4000.0)
        for _ in range(8):
            self.leader.now += 0.5
            self.leader.report(
                builders.make_report(
                    answering=False,
                    running=(builders.make_running(TASK),),
                    clock_ms=self.clock_ms,
                )
            )
            self.leader.report(builders.make_report('side-2'))
            self.leader.plan()
            self.assertEqual((), self.leader.make_directive().stops)

    def test_filler_stays_while_its_sidecar_is_silent(self) -> None:
        # What it reported last may no longer hold.
        self.start_filler()
        self.pass_time(1.5, 0.0)
        self.report_held_down(2.0)
        self.leader.now += 3.0
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual((), self.leader.make_directive().stops)

    def test_filler_without_a_better_worker_stays(self) -> None:
        self.start_filler()
        self.leader.report(builders.make_report('side-2', draining=True))
        self.leader.desired_state = builders.make_desired_state()
        for _ in range(10):
            self.leader.now += 0.5
            self.clock_ms += 500
            running = (platform.RunningTask(TASK, 1, 'c', 20.0, 0.0),)
            self.leader.report(
                builders.make_report(running=running, clock_ms=self.clock_ms)
            )
            self.leader.report(builders.make_report('side-2', draining=True))
            self.leader.plan()
            self.assertEqual((), self.leader.make_directive().stops)


if __name__ == '__main__':
    unittest.main()
