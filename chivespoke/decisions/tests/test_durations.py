"""Tests of learned durations; no I/O."""

import collections.abc
import itertools
import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke import decisions
from chivespoke.decisions import _duration_statistics
from chivespoke.decisions import _durations
from chivespoke import workloads

QUEUE = 'q1'
SEED = 20_261_204
STEP = workloads.Step(
    count=4, cpu_millis=1000, estimated_ms=10_000, image='i1'
)
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
# Factors between estimate and work of the images of the replay.
IMAGE_FACTORS = {'i1': 0.3, 'i2': 1.0, 'i3': 3.0}


class ReplayedStep(typing.NamedTuple):
    """Hold a step with the work of its tasks."""

    identifier: str
    step: workloads.Step
    typical_seconds: float
    work_seconds: tuple[float, ...]


def make_steps(
    seed: int, number: int, prefix: str = 'a'
) -> list[ReplayedStep]:
    """Return steps as recorded days have them.

    Estimates are wrong by up to 90%, and some by factors; tasks of a step are
    alike within 30%, but a few take several times as long.
    """
    source = random.Random(seed)
    steps = []
    for index in range(number):
        image = source.choice(sorted(IMAGE_FACTORS))
        typical = math.exp(source.uniform(math.log(0.5), math.log(40.0)))
        error = source.uniform(0.1, 1.9)
        if source.random() < 0.2:
            error = source.choice((0.05, 0.3, 4.0, 8.0))
        declared = typical / IMAGE_FACTORS[image] * error
        count = source.choice((3, 8, 20, 80))
        work = tuple(
            typical
            * source.uniform(0.85, 1.15)
            * (TAIL_FACTOR if source.random() < TAIL_SHARE else 1.0)
            for _ in range(count)
        )
        step = workloads.Step(
            count=count,
            cpu_millis=1000,
            image=image,
            estimated_ms=max(1, int(declared * 1000)),
        )
        identifier = f'{prefix}{index:015x}.0.0'
        steps.append(ReplayedStep(identifier, step, typical, work))
    return steps


def estimate(model: decisions.DurationModel, replayed: ReplayedStep) -> float:
    """Return the duration that a model expects of a task."""
    return model.estimate_seconds(QUEUE, replayed.identifier, replayed.step)


def observe_tasks(
    model: decisions.LearnedDurations, replayed: ReplayedStep, number: int
) -> None:
    """Let a model learn of the first tasks of a step."""
    for index, seconds in enumerate(replayed.work_seconds[:number]):
        model.observe_end(
            QUEUE, replayed.identifier, replayed.step, index, seconds
        )


def measure_log_error(
    steps: list[ReplayedStep], estimates: list[float]
) -> float:
    """Return the mean absolute log error of estimates."""
    return sum(
        abs(math.log(seconds / replayed.typical_seconds))
        for replayed, seconds in zip(steps, estimates, strict=True)
    ) / len(steps)


def measure_order(steps: list[ReplayedStep], estimates: list[float]) -> float:
    """Return the share of pairs of steps that estimates order right."""
    items = [
        (replayed.typical_seconds, seconds)
        for replayed, seconds in zip(steps, estimates, strict=True)
    ]
    right = [
        (left[0] < right[0]) == (left[1] < right[1])
        for left, right in itertools.combinations(items, 2)
    ]
    return sum(right) / len(right)


class ReplayTest(unittest.TestCase):
    """Compare with the declared estimates on the same replay."""

    def test_steps_are_ordered_better_than_by_the_estimates(self) -> None:
        cases: tuple[tuple[str, int], ...] = (
            ('before the first run of a step', 0),
            ('after one task of each step', 1),
            ('after three tasks of each step', 3),
        )
        steps = make_steps(SEED, 300)
        declared = decisions.DeclaredDurations()
        for name, tasks in cases:
            learned = decisions.LearnedDurations()
            for replayed in steps[:100]:
                observe_tasks(learned, replayed, len(replayed.work_seconds))
            later = steps[100:]
            expected, before = [], []
            for replayed in later:
                observe_tasks(learned, replayed, tasks)
                expected.append(estimate(learned, replayed))
                before.append(estimate(declared, replayed))
                observe_tasks(learned, replayed, len(replayed.work_seconds))
            with self.subTest(name):
                self.assertLess(
                    measure_log_error(later, expected),
                    measure_log_error(later, before),
                )
                self.assertGreater(
                    measure_order(later, expected),
                    measure_order(later, before),
                )

    def test_few_steps_improve_the_estimates_of_new_ones(self) -> None:
        declared = decisions.DeclaredDurations()
        for number in (4, 16, 64):
            sums = [0.0] * 4
            for seed in range(20):
                model = decisions.LearnedDurations()
                for replayed in make_steps(SEED + seed, number):
                    observe_tasks(model, replayed, len(replayed.work_seconds))
                new = make_steps(SEED - 1 - seed, 60, 'b')
                for index, each in enumerate((model, declared)):
                    estimates = [estimate(each, replayed) for replayed in new]
                    sums[index] += measure_log_error(new, estimates)
                    sums[2 + index] += measure_order(new, estimates)
            with self.subTest(number=number):
                self.assertLess(sums[0], sums[1])
                self.assertGreater(sums[2], sums[3])

    def test_work_left_of_many_tasks_counts_the_long_tail(self) -> None:
        steps = make_steps(SEED + 1, 300)
        declared = decisions.DeclaredDurations()
        learned = decisions.LearnedDurations()
        errors: dict[str, list[float]] = {'learned': [], 'declared': []}
        for number, replayed in enumerate(steps):
            observe_tasks(learned, replayed, 2)
            if number >= 100 and replayed.step.count == 80:
                left = sum(replayed.work_seconds[2:])
                expected = (
                    78
                    * learned.estimate(
                        QUEUE, replayed.identifier, replayed.step
                    ).mean_seconds
                )
                before = 78 * estimate(declared, replayed)
                errors['learned'].append(abs(math.log(expected / left)))
                errors['declared'].append(abs(math.log(before / left)))
            observe_tasks(learned, replayed, len(replayed.work_seconds))
        self.assertLess(sum(errors['learned']), sum(errors['declared']))


class LearnedDurationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = decisions.LearnedDurations()

    def observe(
        self,
        step_id: str,
        seconds: collections.abc.Iterable[float],
        step: workloads.Step = STEP,
    ) -> None:
        for index, value in enumerate(seconds):
            self.model.observe_run(QUEUE, step_id, step, index, value)

    def test_without_samples_estimates_are_as_declared(self) -> None:
        declared = decisions.DeclaredDurations()
        for estimated_ms in (0, 1, 333, 10_000, 10**12):
            step = msgspec.structs.replace(STEP, estimated_ms=estimated_ms)
            with self.subTest(estimated_ms=estimated_ms):
                expected = declared.estimate_seconds(QUEUE, 'a.0.0', step)
                self.assertEqual(
                    expected, self.model.estimate_seconds(QUEUE, 'a.0.0', step)
                )
                self.assertEqual(
                    decisions.DurationEstimate(
                        expected, expected, expected, 0
                    ),
                    self.model.estimate(QUEUE, 'a.0.0', step),
                )

    def test_samples_of_another_queue_do_not_count(self) -> None:
        self.observe('a.0.0', [1.0] * 4)
        self.assertEqual(
            10.0, self.model.estimate_seconds('q2', 'b.0.0', STEP)
        )

    def test_only_queues_that_call_for_it_are_corrected(self) -> None:
        self.observe('a.0.0', [1.0] * 4)
        for queues, is_corrected in (
            (frozenset(), False),
            (frozenset({'q2'}), False),
            (frozenset({QUEUE}), True),
            (None, True),
        ):
            self.model.applied_queues = queues
            with self.subTest(queues=queues):
                seconds = self.model.estimate_seconds(QUEUE, 'a.0.0', STEP)
                self.assertEqual(is_corrected, seconds != 10.0)

    def test_few_samples_count_less_than_many(self) -> None:
        estimates = []
        for number in range(30):
            estimates.append(
                self.model.estimate_seconds(QUEUE, 'last.0.0', STEP)
            )
            self.observe(f'{number:016x}.0.0', [1.0])
        self.assertEqual(10.0, estimates[0])
        self.assertEqual(sorted(estimates, reverse=True), estimates)
        self.assertLess(estimates[-1], 2.0)

    def test_one_long_task_does_not_count_for_its_step(self) -> None:
        self.observe('a.0.0', [2.0, 14.0, 2.0, 2.0, 2.0])
        seconds = self.model.estimate_seconds(QUEUE, 'a.0.0', STEP)
        self.assertLess(seconds, 3.0)

    def test_one_step_of_many_tasks_counts_little_more_than_a_small_one(
        self,
    ) -> None:
        estimates = []
        for tasks in (8, 80):
            self.model = decisions.LearnedDurations()
            self.observe('a.0.0', [1.0] * tasks)
            estimates.append(self.model.estimate_seconds(QUEUE, 'b.0.0', STEP))
        self.assertEqual(estimates[0], estimates[1])

    def test_latest_forecast_of_a_task_replaces_the_earlier_one(self) -> None:
        self.observe('a.0.0', [20.0])
        self.observe('a.0.0', [4.0])
        estimate_now = self.model.estimate(QUEUE, 'a.0.0', STEP)
        self.assertEqual(1, estimate_now.samples)
        self.assertLess(estimate_now.seconds, 6.0)
        self.assertEqual(1, self.model.samples)

    def test_estimates_follow_a_change_of_the_submitters(self) -> None:
        number = itertools.count()
        for _ in range(300):
            self.observe(f'{next(number):016x}.0.0', [1.0])
        for _ in range(300):
            self.observe(f'{next(number):016x}.0.0', [40.0])
        seconds = self.model.estimate_seconds(QUEUE, 'last.0.0', STEP)
        self.assertGreater(seconds, 20.0)

    def test_steps_without_an_estimate_are_learned_apart(self) -> None:
        step = msgspec.structs.replace(STEP, estimated_ms=0)
        for number in range(50):
            self.observe(f'{number:016x}.0.0', [8.0], step)
        seconds = self.model.estimate_seconds(QUEUE, 'last.0.0', step)
        self.assertAlmostEqual(8.0, seconds, delta=2.0)
        self.assertEqual(
            10.0, self.model.estimate_seconds(QUEUE, 'last.0.0', STEP)
        )

    def test_memory_is_bounded(self) -> None:
        for number in range(_durations.MAX_IMAGES + 10):
            step = msgspec.structs.replace(STEP, image=f'i{number}')
            self.observe('a.0.0', [1.0 + number], step)
            self.observe(f'{number:016x}.0.0', [1.0] * 100, step)
        state = self.model.export()
        self.assertEqual(_durations.MAX_IMAGES, len(state.images))
        for number in range(_durations.MAX_STEPS + 10):
            self.observe(f'{number:016x}.0.1', [1.0])
        steps = self.model.export().steps
        self.assertLessEqual(len(steps), _durations.MAX_STEPS)
        self.assertLessEqual(
            max(item.tasks for item in steps),
            _duration_statistics.MAX_STEP_TASKS,
        )

    def test_steps_are_forgotten_with_their_job(self) -> None:
        self.observe('a.0.0', [1.0])
        self.observe('a.0.1', [1.0])
        self.observe('b.0.0', [1.0])
        self.model.forget_job('a')
        self.model.forget_job('a')
        steps = [item.step_id for item in self.model.export().steps]
        self.assertEqual(['b.0.0'], steps)

    def test_successor_continues_where_the_model_was(self) -> None:
        for replayed in make_steps(SEED, 100):
            observe_tasks(self.model, replayed, 3)
        new_steps = make_steps(SEED + 1, 50, 'b')
        for share in (1.0, 0.5, 0.0):
            successor = decisions.LearnedDurations()
            successor.restore(self.model.export(), share, ())
            distances = [
                abs(
                    math.log(
                        estimate(successor, replayed)
                        / estimate(self.model, replayed)
                    )
                )
                for replayed in new_steps
            ]
            with self.subTest(share=share):
                if share:
                    self.assertLess(max(distances), 0.5)
                    self.assertLess(sum(distances) / 50, 0.1)
                else:
                    self.assertEqual(
                        [
                            replayed.step.estimated_ms / 1000
                            for replayed in new_steps
                        ],
                        [
                            round(estimate(successor, replayed), 6)
                            for replayed in new_steps
                        ],
                    )

    def test_successor_knows_the_steps_of_its_jobs(self) -> None:
        self.observe('a.0.0', [1.0] * 4)
        self.observe('b.0.0', [1.0] * 4)
        successor = decisions.LearnedDurations()
        successor.restore(self.model.export(), 1.0, {'a'})
        self.assertEqual(4, successor.estimate(QUEUE, 'a.0.0', STEP).samples)
        self.assertEqual(0, successor.estimate(QUEUE, 'b.0.0', STEP).samples)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('a.0.0', 'a.0.1', 'b.0.0')),
                strategies.integers(0, 3),
                strategies.floats(),
                strategies.integers(0, 10**13),
                strategies.booleans(),
            ),
            max_size=40,
        ),
        strategies.integers(1, 10**13),
    )
    def test_estimates_are_positive_and_finite(
        self,
        samples: list[tuple[str, int, float, int, bool]],
        estimated_ms: int,
    ) -> None:
        model = decisions.LearnedDurations()
        step = msgspec.structs.replace(STEP, estimated_ms=estimated_ms)
        for step_id, index, seconds, declared_ms, is_end in samples:
            other = msgspec.structs.replace(STEP, estimated_ms=declared_ms)
            observe = model.observe_end if is_end else model.observe_run
            observe(QUEUE, step_id, other, index, seconds)
        for step_id in ('a.0.0', 'c.0.0'):
            expected = model.estimate(QUEUE, step_id, step)
            values = (
                expected.seconds,
                expected.mean_seconds,
                expected.high_seconds,
            )
            for value in values:
                self.assertTrue(math.isfinite(value))
                self.assertGreater(value, 0.0)
            if expected.seconds != step.estimated_ms / 1000:
                self.assertLessEqual(decisions.MIN_SECONDS, expected.seconds)
                self.assertLessEqual(expected.seconds, decisions.MAX_SECONDS)


if __name__ == '__main__':
    unittest.main()
