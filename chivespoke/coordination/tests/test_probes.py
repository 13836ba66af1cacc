"""Tests of the starts of suspects."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke.coordination.tests import fleet
from chivespoke import decisions
from chivespoke import workloads

WORKERS = 6
FIRST_TASK = engine_case.FIRST_TASK
STEP = workloads.Step(count=4, cpu_millis=500, estimated_ms=2000)


class ProbesTest(unittest.TestCase):
    """Crash a worker beside much other work."""

    def setUp(self) -> None:
        self.world = fleet.Fleet(WORKERS, frozenset((FIRST_TASK,)))
        self.world.run(1)
        self.count = 0

    def submit(self) -> str:
        """Submit a job and return its identifier."""
        self.count += 1
        identifier = f'{self.count:016x}'
        self.world.leader.submit(
            builders.make_job(STEP, identifier=identifier)
        )
        return identifier

    def submit_deadly(self) -> None:
        self.world.leader.submit(builders.make_job(STEP))

    def find_suspect_places(self) -> list[str]:
        """Return the places where suspects have just started."""
        state = self.world.leader.engine.state
        held = state.suspects.find_held_workers(
            state.jobs, state.workers, self.world.leader.now
        )
        return [state.workers[key].sidecar for key in held]

    def test_suspects_start_beside_young_tasks_of_other_jobs(self) -> None:
        self.submit_deadly()
        for _ in range(40):
            self.submit()
            self.world.step()
            for sidecar in self.find_suspect_places():
                self.assertLessEqual(self.world.count_young_jobs(sidecar), 1)

    def test_suspects_wait_for_ever_under_load(self) -> None:
        # New tasks start on all workers in each step.
        jobs = []
        self.submit_deadly()
        for _ in range(60):
            jobs.append(self.submit())
            self.world.step()
        self.assertIs(
            workloads.JobPhase.FAILED, self.world.leader.find_phase()
        )
        self.world.run_until(
            lambda: all(
                self.world.leader.find_phase(job)
                is workloads.JobPhase.COMPLETED
                for job in jobs
            )
        )

    def test_suspects_take_all_workers(self) -> None:
        self.submit_deadly()
        for _ in range(8):
            self.submit()
        while not self.world.crashes:
            self.world.step()
        for _ in range(20):
            self.world.step()
            kept = len(self.find_suspect_places())
            self.assertLessEqual(kept, WORKERS // 2)

    def test_suspect_starts_again_at_the_same_place(self) -> None:
        self.submit_deadly()
        self.world.run_until(lambda: len(self.world.crashes) >= 2)
        places = [sidecar for _, sidecar in self.world.crashes]
        self.assertEqual(len(places), len(set(places)))

    def test_worker_stays_reserved_for_a_task_that_ended(self) -> None:
        self.submit_deadly()
        self.world.run_until(
            lambda: self.world.leader.find_phase() is workloads.JobPhase.FAILED
        )
        self.world.run(
            int(decisions.SUSPECT_AGE_SECONDS / fleet.STEP_SECONDS) + 10
        )
        job = self.submit()
        self.world.run_until(
            lambda: (
                self.world.leader.find_phase(job)
                is workloads.JobPhase.COMPLETED
            )
        )
        self.assertEqual([], self.find_suspect_places())


if __name__ == '__main__':
    unittest.main()
