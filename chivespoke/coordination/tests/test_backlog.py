"""Tests of a burst that leaves many steps waiting; no I/O."""

import unittest

import msgspec

from chivespoke.coordination import _fleet
from chivespoke.coordination.tests import builders
from chivespoke.decisions.tests import builders as decision_builders
from chivespoke import platform
from chivespoke import workloads

SERVING_JOB = '00000000000000b1'
WORKERS = 40
WAITING_JOBS = 60
SERVING = workloads.Step(
    count=WORKERS,
    cpu_millis=7000,
    long_running=True,
    target_latency_ms=18,
    image='s1',
)
FILLERS = workloads.Step(
    count=39, cpu_millis=4000, filler=True, image='f1', estimated_ms=5000
)


class BacklogTest(unittest.TestCase):
    """Replay a burst of wide jobs on workers that are all in use.

    Each of these jobs scored every worker in each plan, and each end of a run
    causes a plan. The leader of 160 workers used up its processor, its
    directives came late, and leases ran out.
    """

    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.interference = decision_builders.CountingInterference()
        self.leader.engine.state.interference = self.interference
        self.report_all()
        self.leader.submit(builders.make_job(SERVING, identifier=SERVING_JOB))
        self.leader.plan()
        for number in range(WAITING_JOBS):
            self.leader.submit(
                builders.make_job(FILLERS, identifier=f'{number:016x}')
            )
        self.leader.plan()

    def report_all(self) -> None:
        for number in range(WORKERS):
            self.leader.report(builders.make_report(f'side-{number}'))

    def test_plan_scores_workers_once_for_jobs_that_find_none(self) -> None:
        self.interference.lookups = 0
        self.leader.now += 0.01
        self.leader.plan()
        self.assertLessEqual(self.interference.lookups, WORKERS)

    def test_smaller_step_is_placed_behind_the_backlog(self) -> None:
        small = msgspec.structs.replace(
            FILLERS, count=1, cpu_millis=500, filler=False
        )
        self.leader.submit(builders.make_job(small))
        self.leader.plan()
        starts = {
            start.task
            for number in range(WORKERS)
            for start in self.leader.make_directive(f'side-{number}').starts
        }
        self.assertIn(f'{builders.JOB}.0.0.0', starts)


class SlowRunTest(unittest.TestCase):
    """Replay runs on every worker that are held down beside serving tasks.

    Each plan looked for a faster worker for sixteen of them, and a plan of 160
    workers took 16 ms instead of 1 ms.
    """

    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.interference = decision_builders.CountingInterference()
        self.leader.engine.state.interference = self.interference
        self.clock_ms = 1000
        self.running: dict[str, list[platform.RunningTask]] = {
            f'side-{number}': [] for number in range(WORKERS)
        }
        self.report_all()
        serving = msgspec.structs.replace(SERVING, cpu_millis=5000)
        self.leader.submit(builders.make_job(serving, identifier=SERVING_JOB))
        self.start(17.0)
        fillers = msgspec.structs.replace(
            FILLERS, count=WORKERS, cpu_millis=1000
        )
        self.leader.submit(builders.make_job(fillers))
        self.start(0.0)

    def start(self, measure: float) -> None:
        """Start what waits; all of it is reported with the same measure."""
        self.leader.plan()
        for sidecar, running in self.running.items():
            for start in self.leader.make_directive(sidecar).starts:
                running.append(
                    platform.RunningTask(
                        start.task, start.run, '', 0.0, measure
                    )
                )

    def report_all(self) -> None:
        for sidecar, running in self.running.items():
            self.leader.report(
                builders.make_report(
                    sidecar, running=tuple(running), clock_ms=self.clock_ms
                )
            )

    def test_plan_scores_workers_once_for_runs_that_cannot_move(self) -> None:
        for _ in range(8):
            self.leader.now += 0.5
            self.clock_ms += 500
            self.report_all()
            self.leader.plan()
        self.leader.now += 0.01
        self.interference.lookups = 0
        self.leader.plan()
        self.assertGreaterEqual(self.interference.lookups, WORKERS)
        self.assertLessEqual(self.interference.lookups, 2 * WORKERS)


class StartTest(unittest.TestCase):
    """Replay the start of a day: dozens of lasting jobs at the same time.

    The leader of 160 workers made one plan for all of them. That took longer
    than its membership of the group lasts, so that the next leader took over,
    and met the same jobs: for nine seconds no plan was stored.
    """

    def setUp(self) -> None:
        self.leader = builders.Leader()
        for number in range(WORKERS):
            self.leader.report(builders.make_report(f'side-{number}'))
        step = msgspec.structs.replace(SERVING, count=24, cpu_millis=200)
        for number in range(20):
            self.leader.submit(
                builders.make_job(step, identifier=f'{number:016x}')
            )

    def test_plan_of_many_tasks_is_made_in_parts(self) -> None:
        plans = [self.leader.plan()]
        while not plans[-1].complete:
            plans.append(self.leader.plan())
        sizes = [len(plan.decided_runs) for plan in plans]
        self.assertEqual([200, 200, 80], sizes)

    def test_one_visit_of_all_runs_serves_all_tasks_of_a_step(self) -> None:
        workers = self.leader.engine.state.workers
        visits = 0

        class CountingRuns(dict[str, _fleet.Run]):
            def values(self):  # type: ignore[no-untyped-def]
                nonlocal visits
                visits += 1
                return super().values()

        for worker in workers.values():
            worker.runs = CountingRuns()
        self.leader.engine.plan(
            self.leader.desired_state, self.leader.now, self.leader.wall
        )
        # A description reads the runs of a worker twice; it is made at first
        # and for each task. Besides, each of the nine steps counts its tasks.
        descriptions = WORKERS + 200
        self.assertLessEqual(visits, 9 * WORKERS + 2 * descriptions)


if __name__ == '__main__':
    unittest.main()
