"""Tests of tasks that crash the workers that start them."""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke.coordination.tests import fleet
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

OTHER_JOB = '00000000000000b2'
THIRD_JOB = '00000000000000c3'
FIRST_TASK = engine_case.FIRST_TASK
SECOND_TASK = engine_case.SECOND_TASK
OTHER_TASK = f'{OTHER_JOB}.0.0.0'
WORKERS = 6
# A deadly task may be started twice after three workers have crashed.
MAX_STARTS = 5
# The limit of the store on a record.
MAX_RECORD_BYTES = 262_144
LASTING_STEP = workloads.Step(count=2, cpu_millis=1000, long_running=True)
GANG_STEP = workloads.Step(
    count=3, cpu_millis=1000, estimated_ms=1000, gang=True
)


class DeadlyTaskTest(unittest.TestCase):
    """Let a small fleet meet deadly tasks."""

    def make_fleet(self, *deadly: str) -> fleet.Fleet:
        return fleet.Fleet(WORKERS, frozenset(deadly))

    def assert_given_up(
        self, world: fleet.Fleet, identifier: str, deadly: str
    ) -> None:
        world.run_until(
            lambda: (
                world.leader.find_phase(identifier)
                is workloads.JobPhase.FAILED
            )
        )
        starts = [task for task, _ in world.started if task == deadly]
        self.assertLessEqual(len(starts), MAX_STARTS)

    def test_deadly_tasks_go_on_crashing_workers(self) -> None:
        later_step = workloads.Step(
            count=1, cpu_millis=1000, estimated_ms=1000, depends_on=(0,)
        )
        cases = (
            ('batch', (engine_case.ONE_TASK_STEP,)),
            ('steps wait', (engine_case.ONE_TASK_STEP, later_step)),
            ('lasting', (LASTING_STEP,)),
            ('gang', (GANG_STEP,)),
        )
        for name, steps in cases:
            with self.subTest(name):
                world = self.make_fleet(FIRST_TASK)
                if name == 'gang':
                    world.gang_jobs = frozenset((builders.JOB,))
                world.run(1)
                world.leader.submit(builders.make_job(*steps))
                self.assert_given_up(world, builders.JOB, FIRST_TASK)
                world.run(5)
                self.assertEqual(
                    [], [key for key in world.running.values() if key]
                )

    def test_jobs_beside_a_deadly_task_are_given_up(self) -> None:
        step = workloads.Step(count=8, cpu_millis=1000, estimated_ms=2000)
        world = self.make_fleet(FIRST_TASK)
        world.run(1)
        for identifier in (builders.JOB, OTHER_JOB, THIRD_JOB):
            world.leader.submit(builders.make_job(step, identifier=identifier))
        self.assert_given_up(world, builders.JOB, FIRST_TASK)
        for identifier in (OTHER_JOB, THIRD_JOB):
            world.run_until(
                lambda job=identifier: (  # type: ignore[misc]
                    world.leader.find_phase(job)
                    is workloads.JobPhase.COMPLETED
                )
            )

    def test_two_deadly_tasks_are_told_apart(self) -> None:
        world = self.make_fleet(FIRST_TASK, OTHER_TASK)
        world.run(1)
        for identifier in (builders.JOB, OTHER_JOB, THIRD_JOB):
            world.leader.submit(
                builders.make_job(
                    engine_case.ONE_TASK_STEP, identifier=identifier
                )
            )
        self.assert_given_up(world, builders.JOB, FIRST_TASK)
        self.assert_given_up(world, OTHER_JOB, OTHER_TASK)
        world.run(20)
        self.assertIs(
            workloads.JobPhase.COMPLETED, world.leader.find_phase(THIRD_JOB)
        )

    def test_change_of_leader_forgets_the_crashes(self) -> None:
        world = self.make_fleet(FIRST_TASK)
        world.run(1)
        world.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        for count in range(1, MAX_STARTS + 1):
            world.run_until(
                lambda expected=count: (  # type: ignore[misc]
                    len(world.crashes) >= expected
                    or world.leader.find_phase() is workloads.JobPhase.FAILED
                )
            )
            world.replace_leader()
        self.assert_given_up(world, builders.JOB, FIRST_TASK)

    def test_worker_that_crashes_by_itself_fails_jobs(self) -> None:
        world = self.make_fleet()
        world.run(1)
        step = workloads.Step(count=12, cpu_millis=1000, estimated_ms=2000)
        world.leader.submit(builders.make_job(step))
        for _ in range(40):
            world.run(3)
            if world.running['side-0']:
                world.crash('side-0')
        self.assertIs(workloads.JobPhase.COMPLETED, world.leader.find_phase())


class BlameTest(engine_case.EngineTest):
    """Report crashes of workers to a leader."""

    def setUp(self) -> None:
        super().setUp()
        self.start_job()

    def report_crash(
        self, *suspects: tuple[str, int], age_ms: int = 10
    ) -> None:
        crash = coordination.CrashReport(
            builders.make_incarnation().key,
            3000,
            len(suspects),
            tuple(
                coordination.SuspectRun(task, run, age_ms)
                for task, run in suspects
            ),
        )
        self.leader.report(builders.make_report(born_ms=2, crashes=(crash,)))

    def survive(self, progress: float) -> None:
        """Start the tasks again, and let them stay for a while."""
        self.leader.plan()
        running = tuple(
            platform.RunningTask(start.task, start.run, '', progress, progress)
            for start in self.leader.make_directive().starts
        )
        for clock_ms in (2000, 3000):
            self.leader.report(
                builders.make_report(
                    born_ms=2, running=running, clock_ms=clock_ms
                )
            )
            self.leader.now += decisions.SUSPECT_AGE_SECONDS

    def list_crashes(self, index: int = 0) -> tuple[workloads.Crash, ...]:
        self.leader.plan()
        progress = self.leader.ledger.entries[builders.JOB].progress
        assert progress is not None
        return progress.tasks[0][0][index].crashes

    def test_old_runs_are_blamed(self) -> None:
        age_ms = int(decisions.SUSPECT_AGE_SECONDS * 1000)
        self.report_crash((FIRST_TASK, 1), age_ms=age_ms)
        self.assertEqual((), self.list_crashes())

    def test_crash_that_is_reported_again_counts_twice(self) -> None:
        for _ in range(2):
            self.report_crash((FIRST_TASK, 1))
        self.assertEqual(1, len(self.list_crashes()))
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        self.report_crash((FIRST_TASK, 1))
        self.assertEqual(1, len(self.list_crashes()))

    def test_crash_after_the_release_of_the_run_is_not_counted(self) -> None:
        self.leader.report(builders.make_report('side-2'))
        self.leader.report(builders.make_report(lapsed=True, answering=False))
        self.leader.plan()
        self.assertEqual([FIRST_TASK, SECOND_TASK], self.list_starts('side-2'))
        self.report_crash((FIRST_TASK, 1))
        (crash,) = self.list_crashes()
        self.assertEqual('side-1', crash.place)

    def test_outage_of_a_data_centre_proves_tasks_guilty(self) -> None:
        for number in range(2, 5):
            sidecar = f'side-{number}'
            self.leader.report(builders.make_report(sidecar))
            self.leader.report(builders.make_report(sidecar, answering=False))
        self.leader.report(builders.make_report(answering=False))
        self.leader.now += 3.0
        self.report_crash((FIRST_TASK, 1))
        (crash,) = self.list_crashes()
        self.assertFalse(crash.conclusive)

    def test_sidecar_that_was_lost_too_hides_the_crash(self) -> None:
        for sidecar_incarnation, expected in (('a', 0), ('b', 1)):
            with self.subTest(sidecar_incarnation):
                self.setUp()
                self.leader.report(
                    builders.make_report(
                        born_ms=2, sidecar_incarnation=sidecar_incarnation
                    )
                )
                crashes = self.list_crashes()
                self.assertEqual(expected, len(crashes))
                self.assertFalse(any(crash.conclusive for crash in crashes))

    def test_many_suspects_hide_the_other_jobs(self) -> None:
        # The report lists the youngest runs, and these may be of one job.
        self.report_crash(
            *((FIRST_TASK, 1) for _ in range(coordination.MAX_SUSPECTS))
        )
        (crash,) = self.list_crashes()
        self.assertFalse(crash.conclusive)

    def test_task_at_work_stays_suspect(self) -> None:
        self.report_crash((FIRST_TASK, 1), (SECOND_TASK, 1))
        self.survive(progress=10.0)
        self.assertEqual(
            [(), ()], [self.list_crashes(index) for index in range(2)]
        )

    def test_next_leader_blames_a_task_that_was_cleared(self) -> None:
        # The sidecar reports a crash for longer than a task is suspected.
        self.report_crash((FIRST_TASK, 1))
        self.survive(progress=10.0)
        self.assertEqual((), self.list_crashes())
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        self.report_crash((FIRST_TASK, 1))
        self.assertEqual((), self.list_crashes())

    def test_task_that_stands_still_is_cleared(self) -> None:
        self.report_crash((FIRST_TASK, 1), (SECOND_TASK, 1))
        self.survive(progress=0.0)
        self.assertEqual(1, len(self.list_crashes()))


class OutageTest(unittest.TestCase):
    """Crash all workers of a data centre at once, each with one task."""

    def setUp(self) -> None:
        self.sidecars = [f'side-{number}' for number in range(4)]
        self.leader = builders.Leader()
        self.started: list[str] = []
        for sidecar in self.sidecars:
            self.leader.report(builders.make_report(sidecar))

    def submit(self, gang: bool) -> None:
        step = workloads.Step(
            count=len(self.sidecars), cpu_millis=8000, gang=gang
        )
        self.leader.submit(builders.make_job(step))

    def lose_workers(self, born_ms: int, is_leader_lost: bool) -> None:
        """Start the tasks, lose all workers, and report their crashes."""
        self.leader.plan()
        starts = {
            sidecar: self.leader.make_directive(sidecar).starts
            for sidecar in self.sidecars
        }
        self.started += [
            start.task for orders in starts.values() for start in orders
        ]
        self.leader.now += 0.1
        if is_leader_lost:
            self.leader = builders.Leader(
                self.leader.ledger, builders.EPOCH + born_ms
            )
        else:
            for sidecar in self.sidecars:
                self.leader.report(
                    builders.make_report(sidecar, born_ms, answering=False)
                )
        self.leader.now += 3.0
        for sidecar in self.sidecars:
            suspects = [(start.task, start.run) for start in starts[sidecar]]
            crash = builders.make_crash(sidecar, *suspects, born_ms=born_ms)
            self.leader.report(
                builders.make_report(sidecar, born_ms + 1, crashes=(crash,))
            )
        self.leader.plan()

    def test_deadly_gang_is_taken_for_an_outage(self) -> None:
        self.submit(gang=True)
        for born_ms in range(1, MAX_STARTS + 1):
            self.lose_workers(born_ms, is_leader_lost=False)
        self.assertIs(workloads.JobPhase.FAILED, self.leader.find_phase())

    def test_deadly_jobs_that_crash_workers_at_once_start_for_ever(
        self,
    ) -> None:
        jobs = [f'{number:016x}' for number in range(len(self.sidecars))]
        for identifier in jobs:
            step = workloads.Step(count=1, cpu_millis=8000)
            self.leader.submit(builders.make_job(step, identifier=identifier))
        # Suspects start on half of the workers at a time.
        for born_ms in range(1, 3 * MAX_STARTS):
            self.lose_workers(born_ms, is_leader_lost=False)
        self.assertEqual(
            {workloads.JobPhase.FAILED},
            {self.leader.find_phase(identifier) for identifier in jobs},
        )
        for identifier in jobs:
            starts = self.started.count(f'{identifier}.0.0.0')
            self.assertLessEqual(starts, MAX_STARTS)

    def test_outages_that_take_the_leader_along_fail_a_job(self) -> None:
        self.submit(gang=False)
        for born_ms in (1, 2):
            self.lose_workers(born_ms, is_leader_lost=True)
        self.assertIs(workloads.JobPhase.RUNNING, self.leader.find_phase())


class ProgressRecordTest(unittest.TestCase):
    """Read the records of entries of another version."""

    def test_progress_of_an_earlier_version_is_unreadable(self) -> None:
        job = builders.make_job(engine_case.ONE_TASK_STEP)
        leader = builders.Leader()
        leader.write(coordination.encode_job(job))
        task = [0, 3, '', 1, 'c']
        record = platform.encode_record(
            f'progress/{builders.JOB}',
            coordination.ENCODER.encode(['running', [[[task]]], 0]),
        )
        leader.write(record)
        progress = leader.ledger.entries[builders.JOB].progress
        assert progress is not None
        self.assertEqual((), progress.tasks[0][0][0].crashes)
        self.assertEqual('', progress.reason)

    def test_crashes_exceed_the_size_of_a_record(self) -> None:
        # Larger jobs are refused, as their progress could not be stored.
        worker = 'side-zone-1-rack-1/i-0123456789@1700000000000'
        crash = workloads.Crash(
            worker, 'side-zone-1-rack-1', int(builders.WALL * 1000), 1, True
        )
        task = workloads.TaskProgress(
            workloads.TaskStatus.ASSIGNED,
            run=decisions.MAX_CRASHES,
            worker=worker,
            checkpoint='0' * 16,
        )
        suspect = msgspec.structs.replace(
            task, crashes=(crash,) * decisions.MAX_CRASHES
        )
        tasks = coordination.compute_max_job_tasks(MAX_RECORD_BYTES)
        suspects = coordination.MAX_JOB_SUSPECTS
        progress = workloads.JobProgress(
            tasks=[[[suspect] * suspects + [task] * (tasks - suspects)]]
        )
        self.assertLessEqual(
            len(coordination.ENCODER.encode(progress)), MAX_RECORD_BYTES
        )

    def test_all_tasks_of_a_large_job_are_recorded_as_suspects(self) -> None:
        world = fleet.Fleet(WORKERS, frozenset())
        world.run(1)
        step = workloads.Step(count=100, cpu_millis=10, estimated_ms=2000)
        world.leader.submit(builders.make_job(step))
        world.run(2)
        for sidecar in world.running:
            world.crash(sidecar)
        world.run(fleet.STEPS_DOWN + 1)
        state = world.leader.engine.state.jobs[builders.JOB]
        self.assertLessEqual(
            state.count_suspects(), coordination.MAX_JOB_SUSPECTS
        )


if __name__ == '__main__':
    unittest.main()
