"""Tests of moves of slow runs to other workers; no I/O."""

import unittest

import msgspec

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
SERVING = workloads.Step(
    count=1,
    cpu_millis=4000,
    long_running=True,
    target_latency_ms=18,
    image='s1',
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

    def occupy(self, sidecar: str) -> None:
        """Start a serving task, beside which the filler runs at half speed."""
        self.leader.report(builders.make_report(sidecar))
        self.leader.submit(
            builders.make_job(SERVING, identifier='00000000000000b1')
        )
        self.leader.plan()

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

    def test_moved_task_does_not_return_to_its_worker(self) -> None:
        # Regression test: three times in a row a task was placed again on the
        # worker that held its run down.
        self.start_filler()
        self.assertIn(TASK, self.pass_time(4.0, 0.0))
        end = builders.make_end(1, TASK, platform.EndCause.STOPPED)
        self.leader.report(builders.make_report(ended=(end,)))
        self.leader.plan()
        self.assertEqual((), self.leader.make_directive().starts)
        starts = self.leader.make_directive('side-2').starts
        self.assertEqual([TASK], [start.task for start in starts])

    def test_moved_task_returns_if_no_other_worker_is_left(self) -> None:
        self.start_filler()
        self.assertIn(TASK, self.pass_time(4.0, 0.0))
        end = builders.make_end(1, TASK, platform.EndCause.STOPPED)
        self.leader.report(builders.make_report('side-2', draining=True))
        started: set[str] = set()
        for _ in range(4):
            self.leader.report(builders.make_report(ended=(end,)))
            self.leader.plan()
            starts = self.leader.make_directive().starts
            started.update(start.task for start in starts)
            self.leader.now += 0.5
        self.assertEqual({TASK}, started)

    def test_stalled_job_moves_to_a_slow_worker(self) -> None:
        # Regression test: the last run of a step was held down for 20 s, as no
        # other worker promised 60% of full speed.
        self.occupy('side-2')
        self.start_filler()
        self.assertIn(TASK, self.pass_time(4.0, 0.0))

    def test_job_with_another_run_at_work_waits_for_a_fast_worker(
        self,
    ) -> None:
        self.occupy('side-2')
        self.start_filler(msgspec.structs.replace(FILLER, count=2))
        other = f'{builders.JOB}.0.0.1'
        for _ in range(8):
            self.leader.now += 0.5
            self.clock_ms += 500
            self.progress += 4.0
            running = (
                platform.RunningTask(TASK, 1, 'c', 0.0, 0.0),
                platform.RunningTask(other, 1, 'c', self.progress, 4000.0),
            )
            self.leader.report(
                builders.make_report(running=running, clock_ms=self.clock_ms)
            )
            self.leader.report(
                builders.make_report('side-2', clock_ms=self.clock_ms)
            )
            self.leader.plan()
            self.assertEqual((), self.leader.make_directive().stops)

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


class CompetingMoveTest(unittest.TestCase):
    """Replay moves while tasks of another job wait for the same room.

    On the recorded day fillers stayed held down for seconds, while each worker
    that became free took tasks of jobs that came later.
    """

    OTHER_JOB = '00000000000000b1'

    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.clock_ms = 1000
        # Run number and worker by task id.
        self.running: dict[str, tuple[int, str]] = {}
        self.ends = {'side-1': 0, 'side-2': 0}
        self.report_workers()

    def submit(self, identifier: str, count: int, later_ms: int) -> None:
        step = msgspec.structs.replace(FILLER, count=count)
        job = builders.make_job(step, identifier=identifier)
        accepted_ms = job.accepted_ms + later_ms
        self.leader.submit(
            msgspec.structs.replace(job, accepted_ms=accepted_ms)
        )

    def report_workers(self) -> None:
        """Report all runs; those of `builders.JOB` are held down."""
        for sidecar in self.ends:
            self.report_worker(sidecar)

    def report_worker(self, sidecar: str, *ended: platform.EndedRun) -> None:
        listed = tuple(
            platform.RunningTask(task, run, 'c', 0.0, 0.0)
            if task.startswith(builders.JOB)
            else platform.RunningTask(
                task, run, 'c', self.clock_ms / 1000, 4000.0
            )
            for task, (run, worker) in self.running.items()
            if worker == sidecar
        )
        self.leader.report(
            builders.make_report(
                sidecar,
                running=listed,
                ended=ended,
                clock_ms=self.clock_ms,
            )
        )

    def end_run(
        self,
        task: str,
        cause: platform.EndCause = platform.EndCause.DONE,
        checkpoint: str = '',
    ) -> None:
        """Report the end of a run."""
        run, sidecar = self.running.pop(task)
        self.ends[sidecar] += 1
        end = builders.make_end(
            self.ends[sidecar], task, cause, run, checkpoint
        )
        self.report_worker(sidecar, end)

    def plan(self) -> tuple[list[str], list[str]]:
        """Plan; return the tasks started and those stopped."""
        self.leader.plan()
        started, stopped = [], []
        for sidecar in self.ends:
            directive = self.leader.make_directive(sidecar)
            for start in directive.starts:
                self.running[start.task] = start.run, sidecar
                started.append(start.task)
            stopped += [stop.task for stop in directive.stops]
        return started, stopped

    def pass_time(self, seconds: float) -> None:
        """Report and plan twice a second."""
        for _ in range(int(seconds / 0.5)):
            self.leader.now += 0.5
            self.clock_ms += 500
            self.report_workers()
            self.assertEqual(([], []), self.plan())

    def start_jobs(self, later_ms: int) -> str:
        """Fill both workers; return a task of the other job on side-2.

        One more task of the other job, which is accepted later by a time,
        waits.
        """
        self.submit(builders.JOB, 1, 0)
        self.plan()
        self.submit(self.OTHER_JOB, 4, later_ms)
        self.plan()
        self.assertEqual(4, len(self.running))
        self.assertEqual('side-1', self.running[TASK][1])
        self.pass_time(3.0)
        return next(
            task
            for task, (_, sidecar) in self.running.items()
            if sidecar == 'side-2'
        )

    def test_held_filler_moves_before_tasks_of_later_jobs_start(self) -> None:
        finished = self.start_jobs(later_ms=1000)
        self.end_run(finished)
        self.assertEqual(([], [TASK]), self.plan())
        # The room stays reserved until the run has stopped.
        self.leader.now += 0.1
        self.report_worker('side-2')
        self.assertEqual(([], []), self.plan())
        self.end_run(TASK, platform.EndCause.STOPPED, 'd')
        self.plan()
        self.assertEqual((2, 'side-2'), self.running[TASK])
        waiting = f'{self.OTHER_JOB}.0.0.3'
        self.assertEqual((1, 'side-1'), self.running[waiting])

    def test_moved_task_keeps_its_room(self) -> None:
        # Regression test: a task waited for 26 s after its run was stopped,
        # as tasks of other jobs took the room that it was to move to.
        self.end_run(self.start_jobs(later_ms=1000))
        self.assertEqual(([], [TASK]), self.plan())
        self.submit('00000000000000c1', 4, later_ms=-1000)
        self.assertEqual(([], []), self.plan())
        self.end_run(TASK, platform.EndCause.STOPPED, 'd')
        self.plan()
        self.assertEqual((2, 'side-2'), self.running[TASK])

    def test_tasks_of_earlier_jobs_start_before_a_held_filler_moves(
        self,
    ) -> None:
        finished = self.start_jobs(later_ms=-1000)
        self.end_run(finished)
        started, stopped = self.plan()
        self.assertEqual([f'{self.OTHER_JOB}.0.0.3'], started)
        self.assertEqual([], stopped)


if __name__ == '__main__':
    unittest.main()
