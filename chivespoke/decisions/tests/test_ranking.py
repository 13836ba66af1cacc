"""Tests of the ranking of many workers for steps of many tasks."""

import random
import unittest

import msgspec

from chivespoke import decisions
from chivespoke.decisions.tests import builders
from chivespoke import workloads

WORKERS = 160
TASKS = 39
SERVING_HEADROOM = decisions.LatencyHeadroom('s1', 0.5)


class WorkerRankingTest(unittest.TestCase):
    """Replay a step of 39 fillers that arrives for 160 workers."""

    def setUp(self) -> None:
        self.interference = builders.CountingInterference()
        generator = random.Random(7)
        self.candidates = {
            f'w{number}': builders.make_candidate(
                f'w{number}',
                generator.randrange(8000),
                (decisions.LatencyHeadroom('s1', generator.random()),),
            )
            for number in range(WORKERS)
        }
        self.filler = builders.make_filler()

    def give_task(self, worker: str) -> decisions.CandidateWorker:
        """Reduce what a worker can offer to further tasks."""
        candidate = msgspec.structs.replace(
            self.candidates[worker],
            spare_millis=self.candidates[worker].spare_millis
            - self.filler.cpu_millis,
        )
        self.candidates[worker] = candidate
        return candidate

    def test_worker_is_scored_again_only_after_it_has_got_a_task(self) -> None:
        ranking = decisions.WorkerRanking(
            self.filler, self.candidates.values(), self.interference
        )
        for _ in range(TASKS):
            found = ranking.choose()
            assert found is not None
            ranking.record_task(found, self.give_task(found.worker))
        self.assertEqual(WORKERS + TASKS, self.interference.lookups)

    def test_ranking_agrees_with_separate_choices(self) -> None:
        ranking = decisions.WorkerRanking(
            self.filler, self.candidates.values(), self.interference
        )
        for idle_seconds in [0.0] * 900 + [5.0] * 100:
            found = ranking.choose(idle_seconds)
            expected = decisions.choose_worker(
                self.filler,
                self.candidates.values(),
                self.interference,
                idle_seconds,
            )
            self.assertEqual(
                expected.worker if expected else '',
                found.worker if found else '',
            )
            if found is not None:
                ranking.record_task(found, self.give_task(found.worker))

    def test_serving_tasks_are_ranked_as_by_separate_choices(self) -> None:
        # Load pattern: dozens of lasting jobs start together. Each task counts
        # for the whole data centre, and all workers were scored for it.
        step = msgspec.structs.replace(builders.make_serving(), count=24)
        candidates = {
            f'w{number}': builders.make_candidate(
                f'w{number}', data_centre=f'zone-{number % 5}'
            )
            for number in range(WORKERS)
        }
        ranking = decisions.WorkerRanking(
            step, candidates.values(), self.interference
        )
        for _ in range(step.count):
            found = ranking.choose()
            assert found is not None
            expected = decisions.choose_worker(
                step, candidates.values(), self.interference
            )
            self.assertEqual(expected, found)
            remaining = msgspec.structs.replace(
                found,
                spare_millis=found.spare_millis - step.cpu_millis,
                same_step_tasks=0,
                same_step_in_data_centre=0,
                headrooms=(*found.headrooms, SERVING_HEADROOM),
            )
            ranking.record_task(found, remaining)
            candidates[found.worker] = msgspec.structs.replace(
                remaining, same_step_tasks=found.same_step_tasks + 1
            )
            for name, candidate in candidates.items():
                if candidate.data_centre == found.data_centre:
                    candidates[name] = msgspec.structs.replace(
                        candidate,
                        same_step_in_data_centre=found.same_step_in_data_centre
                        + 1,
                    )

    def test_worker_without_room_or_removed_is_not_chosen(self) -> None:
        step = workloads.Step(count=2, cpu_millis=1000)
        full = workloads.Resources()
        ranking = decisions.WorkerRanking(
            step,
            [builders.make_candidate('a'), builders.make_candidate('b')],
            self.interference,
        )
        ranking.update(builders.make_candidate('b', free=full))
        found = ranking.choose()
        assert found is not None
        self.assertEqual('a', found.worker)
        ranking.record_task(found, None)
        self.assertIsNone(ranking.choose())


class ShortageTest(unittest.TestCase):
    """Which steps are not tried after another one found no worker."""

    def make_demand(
        self,
        service: str = 's',
        may_wait: bool = False,
        needs_advice: bool = False,
        **fields: int | str | bool,
    ) -> decisions.StepDemand:
        step = workloads.Step(count=1, cpu_millis=1000, memory_mb=100)
        return decisions.StepDemand(
            msgspec.structs.replace(step, **fields),
            service,
            may_wait,
            needs_advice,
        )

    def test_steps_that_ask_for_no_less_are_covered(self) -> None:
        unmet = self.make_demand()
        cases = {
            'the same': ({}, True),
            'more processor time': ({'cpu_millis': 2000}, True),
            'a label': ({'required_label': 'a'}, True),
            'a limit per worker': ({'max_per_worker': 1}, True),
            'advice': ({'needs_advice': True}, True),
            'less processor time': ({'cpu_millis': 900}, False),
            'less memory': ({'memory_mb': 90}, False),
            'another service': ({'service': 't'}, False),
            'fillers reserve no processor time': ({'filler': True}, False),
        }
        tracker = decisions.ShortageTracker()
        tracker.record(unmet)
        for name, (fields, expected) in cases.items():
            with self.subTest(name):
                demand = self.make_demand(**fields)  # type: ignore[arg-type]
                self.assertIs(expected, tracker.covers(demand))

    def test_speed_of_a_filler_depends_on_image_and_idle_time(self) -> None:
        tracker = decisions.ShortageTracker()
        tracker.record(
            self.make_demand(filler=True, image='f1', may_wait=True)
        )
        cases = {('f1', True): True, ('f1', False): False, ('f2', True): False}
        for (image, may_wait), expected in cases.items():
            with self.subTest(image=image, may_wait=may_wait):
                demand = self.make_demand(
                    filler=True, image=image, may_wait=may_wait
                )
                self.assertIs(expected, tracker.covers(demand))

    def test_steps_with_workers_of_their_own_cover_no_others(self) -> None:
        tracker = decisions.ShortageTracker()
        tracker.record(self.make_demand(max_per_worker=1))
        tracker.record(self.make_demand(needs_advice=True))
        tracker.record(self.make_demand(required_label='a'))
        self.assertFalse(tracker.covers(self.make_demand()))
        self.assertTrue(tracker.covers(self.make_demand(required_label='a')))


if __name__ == '__main__':
    unittest.main()
