"""Tests of placement, order of waiting steps, and quarantine."""

import typing
import unittest

import msgspec

from chivespoke import decisions
from chivespoke.decisions.tests import builders
from chivespoke import workloads

NO_INTERFERENCE = decisions.FixedInterferenceModel(
    [
        decisions.InterferenceCoefficient('s1', 'f1', 0.0),
        decisions.InterferenceCoefficient('s2', 'f1', 0.0),
    ]
)
INTERFERENCE = decisions.FixedInterferenceModel(
    [
        decisions.InterferenceCoefficient('s1', 'f1', 10.0),
        decisions.InterferenceCoefficient('s2', 'f1', 0.0),
    ]
)


def choose(
    step: workloads.Step,
    *candidates: decisions.CandidateWorker,
    interference: decisions.InterferenceModel = NO_INTERFERENCE,
) -> str:
    found = decisions.choose_worker(step, candidates, interference)
    return found.worker if found else ''


class FeasibilityTest(unittest.TestCase):
    def test_only_feasible_workers_are_chosen(self) -> None:
        step = workloads.Step(count=1, cpu_millis=1000, memory_mb=100)
        narrow = workloads.Resources(999, 32000)
        cases: dict[str, typing.Any] = {
            'enough resources': (step, {}, 'w1'),
            'too little processor time': (step, {'free': narrow}, ''),
            'too little memory': (
                step,
                {'free': workloads.Resources(8000, 99)},
                '',
            ),
            'label present': (
                workloads.Step(count=1, required_label='a'),
                {},
                'w1',
            ),
            'label missing': (
                workloads.Step(count=1, required_label='b'),
                {},
                '',
            ),
            'maximum per worker reached': (
                workloads.Step(count=3, max_per_worker=2),
                {'same_step_tasks': 2},
                '',
            ),
            'below maximum per worker': (
                workloads.Step(count=3, max_per_worker=2),
                {'same_step_tasks': 1},
                'w1',
            ),
        }
        for name, (requested, fields, expected) in cases.items():
            with self.subTest(name):
                candidate = builders.make_candidate(**fields)
                self.assertEqual(expected, choose(requested, candidate))

    def test_preferred_rack_precedes_spare_processor_time(self) -> None:
        step = workloads.Step(count=1, cpu_millis=100, preferred_rack='r2')
        near = builders.make_candidate('near', 500, rack='r2')
        self.assertEqual('near', choose(step, builders.make_candidate(), near))


class ChooseWorkerTest(unittest.TestCase):
    def test_filler_waits_if_its_speed_would_be_too_low(self) -> None:
        filler = builders.make_filler()
        for spare, expected in ((1000, 'w1'), (600, 'w1'), (599, '')):
            with self.subTest(spare=spare):
                candidate = builders.make_candidate(spare_millis=spare)
                self.assertEqual(expected, choose(filler, candidate))

    def test_filler_avoids_workers_with_an_image_it_interferes_with(
        self,
    ) -> None:
        filler = builders.make_filler()
        tight = decisions.LatencyHeadroom('s1', 0.3)
        other = decisions.LatencyHeadroom('s2', 0.3)
        affected = builders.make_candidate('affected', 8000, (tight,))
        calm = builders.make_candidate('calm', 2000, (other,))
        found = choose(filler, affected, calm, interference=INTERFERENCE)
        self.assertEqual('calm', found)
        self.assertEqual(
            '', choose(filler, affected, interference=INTERFERENCE)
        )

    def test_filler_of_an_idle_job_waits_only_for_a_short_time(self) -> None:
        # Without this limit the last task of a job was never started.
        filler = builders.make_filler()
        worse, bad = (
            decisions.LatencyHeadroom('s1', -0.5),
            decisions.LatencyHeadroom('s1', 0.1),
        )
        candidates = (
            builders.make_candidate('worse', headrooms=(worse,)),
            builders.make_candidate('bad', headrooms=(bad,)),
        )
        cases = {0.0: '', 1.0: '', 2.0: 'bad', 60.0: 'bad'}
        for idle_seconds, expected in cases.items():
            with self.subTest(idle_seconds=idle_seconds):
                found = decisions.choose_worker(
                    filler, candidates, INTERFERENCE, idle_seconds
                )
                self.assertEqual(expected, found.worker if found else '')

    def test_filler_prefers_a_fast_worker_without_serving_tasks(self) -> None:
        roomy = decisions.LatencyHeadroom('s1', 9)
        mixed = builders.make_candidate('mixed', 8000, (roomy,))
        for spare, expected in ((1000, 'pure'), (700, 'mixed')):
            with self.subTest(spare=spare):
                pure = builders.make_candidate('pure', spare)
                self.assertEqual(
                    expected, choose(builders.make_filler(), mixed, pure)
                )

    def test_serving_tasks_of_one_image_are_colocated(self) -> None:
        same = builders.make_candidate(
            'same', 2000, (decisions.LatencyHeadroom('s1', 1),)
        )
        other = builders.make_candidate(
            'other', 8000, (decisions.LatencyHeadroom('s2', 1),)
        )
        self.assertEqual(
            'same', choose(builders.make_serving('s1'), same, other)
        )

    def test_serving_tasks_are_packed_within_each_data_centre(self) -> None:
        # Load pattern: serving tasks reserve half of the processors. Spread
        # over all workers, they slowed down every filler.
        serving = builders.make_serving('s1')
        other_image = decisions.LatencyHeadroom('s2', 1)
        empty = builders.make_candidate('empty', 8000, data_centre='z1')
        used = builders.make_candidate(
            'used', 2000, (other_image,), data_centre='z1'
        )
        self.assertEqual('used', choose(serving, empty, used))
        elsewhere = builders.make_candidate('elsewhere', data_centre='z2')
        used = msgspec.structs.replace(used, same_step_in_data_centre=1)
        self.assertEqual('elsewhere', choose(serving, used, elsewhere))


class SortKeyTest(unittest.TestCase):
    """Order of steps in a burst of more work than can be done in time."""

    def test_jobs_that_can_be_in_time_precede_late_ones(self) -> None:
        pending = [
            builders.make_pending_step(
                'hopeless', deadline=60.0, objective_seconds=5.0
            ),
            builders.make_pending_step('late', deadline=99.0),
            builders.make_pending_step('soon', deadline=104.0),
            builders.make_pending_step('later', deadline=110.0),
        ]
        ranked = sorted(
            pending, key=lambda item: decisions.make_sort_key(item, 100.0)
        )
        self.assertEqual(
            ['soon', 'later', 'late', 'hopeless'],
            [pending_step.job for pending_step in ranked],
        )

    def test_urgent_queues_precede_others_even_if_their_jobs_are_late(
        self,
    ) -> None:
        pending = [
            builders.make_pending_step('batch', deadline=104.0, priority=2),
            builders.make_pending_step('urgent', deadline=60.0, priority=0),
            builders.make_pending_step('usual', deadline=101.0, priority=1),
        ]
        ranked = sorted(
            pending, key=lambda item: decisions.make_sort_key(item, 100.0)
        )
        self.assertEqual(
            ['urgent', 'usual', 'batch'],
            [pending_step.job for pending_step in ranked],
        )

    def test_critical_path_is_the_longest_path(self) -> None:
        job = workloads.Job(
            identifier='j',
            queue='q',
            terms=workloads.QueueTerms(service='s'),
            payload='',
            steps=(
                workloads.Step(count=1, estimated_ms=1000),
                workloads.Step(count=1, estimated_ms=3000),
                workloads.Step(count=1, estimated_ms=500, depends_on=(0, 1)),
            ),
            accepted_ms=0,
        )
        self.assertEqual(3.5, decisions.measure_critical_path(job))
        self.assertEqual(
            (1.5, 3.5, 0.5), decisions.measure_remaining_paths(job)
        )


class WorkerQuarantineTest(unittest.TestCase):
    def test_worker_that_fails_all_tasks_is_quarantined_for_a_while(
        self,
    ) -> None:
        quarantine = decisions.WorkerQuarantine()
        self.assertFalse(quarantine.record_failure(1.0))
        self.assertFalse(quarantine.record_failure(1.0))
        self.assertTrue(quarantine.allows_task(1.0))
        self.assertTrue(quarantine.record_failure(1.0))
        self.assertFalse(quarantine.allows_task(1.5))
        self.assertTrue(quarantine.allows_task(5.0))
        quarantine.record_probe(5.0)
        self.assertFalse(
            quarantine.allows_task(5.5),
            'a second task was allowed on probation',
        )
        quarantine.record_failure(5.5)
        self.assertFalse(quarantine.allows_task(5.6))
        quarantine.record_success()
        self.assertTrue(quarantine.allows_task(5.7))

    def test_probe_that_does_not_fail_clears_a_worker_with_other_runs(
        self,
    ) -> None:
        # Regression (cedarhollow-booking, workers-stand-still, seed
        # 209492465316): the only worker with enough free resources for a task
        # always ran other, long tasks. It was never idle, so it never got
        # another probe.
        quarantine = decisions.WorkerQuarantine()
        for _ in range(3):
            quarantine.record_failure(1.0)
        quarantine.record_probe(5.0)
        self.assertFalse(quarantine.allows_task(6.0))
        self.assertTrue(quarantine.allows_task(7.5))
        self.assertFalse(quarantine.is_quarantined)

    def test_failures_between_successes_do_not_quarantine(self) -> None:
        quarantine = decisions.WorkerQuarantine()
        for _ in range(20):
            self.assertFalse(quarantine.record_failure(1.0))
            quarantine.record_success()


if __name__ == '__main__':
    unittest.main()
