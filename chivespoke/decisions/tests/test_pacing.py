"""Tests of pacing, interference models, stall detection and timeouts."""

import math
import random
import unittest

from chivespoke import decisions
from chivespoke.decisions.tests import builders

TARGET_MS = 18
# True coefficients of the simulated worker, by filler image.
TRUE_COEFFICIENTS = {'light': 0.0, 'heavy': 8.0}
CAPACITY_MILLIS = 10000


class PacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.interference = decisions.FixedInterferenceModel(
            [
                decisions.InterferenceCoefficient('s1', 'light', 0.0),
                decisions.InterferenceCoefficient('s1', 'heavy', 5.0),
            ]
        )

    def adjust(
        self, tail: float, light: int = 100, heavy: int = 100
    ) -> dict[str, int]:
        runs = [
            builders.make_paced('serving', 's1', tail, TARGET_MS),
            builders.make_paced('light', 'light', 10.0 * light, 0, light),
            builders.make_paced('heavy', 'heavy', 10.0 * heavy, 0, heavy),
        ]
        changes = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY_MILLIS, 100.0
        )
        return {change.task: change.percent for change in changes}

    def test_only_the_interfering_filler_is_throttled(self) -> None:
        self.assertEqual({}, self.adjust(tail=10.0))
        throttled = self.adjust(tail=15.0)
        self.assertEqual(['heavy'], list(throttled))
        self.assertLess(throttled['heavy'], 100)

    def test_measures_too_small_to_divide_are_paced(self) -> None:
        for serving, filler in ((5e-324, 1000.0), (5.0, 5e-324)):
            with self.subTest(serving=serving, filler=filler):
                changes = decisions.Pacer().adjust(
                    [
                        builders.make_paced('s', 's1', serving, TARGET_MS),
                        builders.make_paced('f', 'heavy', filler, 0, 50),
                    ],
                    self.interference,
                    CAPACITY_MILLIS,
                    100.0,
                )
                self.assertEqual(
                    [('f', 80)],
                    [(change.task, change.percent) for change in changes],
                )

    def test_throttled_fillers_speed_up_only_below_the_release_share(
        self,
    ) -> None:
        self.assertEqual({}, self.adjust(tail=11.5, heavy=50))
        self.assertGreater(self.adjust(tail=6.0, heavy=50)['heavy'], 50)

    def test_tail_over_target_throttles_fillers_with_zero_coefficient(
        self,
    ) -> None:
        # Learned coefficients may be wrong: with a learned coefficient of 0.0,
        # fillers of one image on 8 cores kept a tail at 110 ms, with a target
        # of 45 ms, for 1.5 s.
        runs = [
            builders.make_paced('serving', 's1', 20.0, TARGET_MS),
            builders.make_paced('light', 'light', 5000.0),
        ]
        changes = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY_MILLIS, 100.0
        )
        self.assertEqual(['light'], [change.task for change in changes])

    def test_persistent_tail_over_target_throttles_all_fillers(self) -> None:
        # A tail may be over its target for 4 s at most, even if the model
        # expects no interference.
        pacer = decisions.Pacer()
        paces = {'light': 100}
        for step in range(10):
            runs = [
                builders.make_paced('serving', 's1', 40.0, TARGET_MS),
                builders.make_paced('light', 'light', 1e3, 0, paces['light']),
            ]
            for change in pacer.adjust(
                runs, self.interference, CAPACITY_MILLIS, 0.4 * step
            ):
                paces[change.task] = change.percent
        self.assertLess(paces['light'], 10)

    def test_fillers_speed_up_without_a_serving_task(self) -> None:
        runs = [builders.make_paced('heavy', 'heavy', 100.0, 0, 40)]
        changes = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY_MILLIS, 100.0
        )
        self.assertGreater(changes[0].percent, 40)

    def test_new_filler_starts_slowly_beside_a_task_that_it_disturbs(
        self,
    ) -> None:
        # Load pattern: a burst of fillers. Each one started at full speed, and
        # half of a job's serving tasks were over their target at once (217,
        # 59 and 61 ms, with a target of 50 ms).
        serving = builders.make_paced('serving', 's1', 6.0, TARGET_MS)
        for image, beside, expected in (
            ('heavy', [serving], {'new': 30}),
            ('light', [serving], {}),
            ('heavy', [], {}),
        ):
            with self.subTest(image=image, beside=bool(beside)):
                new = builders.make_paced('new', image, 1.0, is_new=True)
                changes = decisions.Pacer().adjust(
                    [*beside, new], self.interference, CAPACITY_MILLIS, 100.0
                )
                self.assertEqual(
                    expected,
                    {change.task: change.percent for change in changes},
                )


class InterferenceModelTest(unittest.TestCase):
    def test_unknown_pairs_have_a_positive_coefficient(self) -> None:
        model = decisions.LearnedInterferenceModel()
        self.assertGreater(model.find_coefficient('s1', 'f1'), 0.0)

    def test_learns_coefficients_while_the_load_varies(self) -> None:
        model = decisions.LearnedInterferenceModel()
        rng = random.Random(7)
        previous_uses: dict[str, float] = {}
        previous_tail = 0.0
        for step in range(600):
            uses = {
                image: rng.choice((0.0, 0.1, 0.2))
                for image in TRUE_COEFFICIENTS
            }
            load = 0.3 * math.sin(step / 16)
            tail = load + sum(
                TRUE_COEFFICIENTS[image] * share
                for image, share in uses.items()
            )
            if step:
                share_changes = {
                    image: uses[image] - previous_uses[image]
                    for image in TRUE_COEFFICIENTS
                }
                noise = rng.gauss(0.0, 0.1)
                model.learn('s1', tail - previous_tail + noise, share_changes)
            previous_uses, previous_tail = uses, tail
        self.assertAlmostEqual(
            8.0, model.find_coefficient('s1', 'heavy'), delta=1.0
        )
        self.assertLess(model.find_coefficient('s1', 'light'), 0.8)


class StallDetectorTest(unittest.TestCase):
    def detect(self, progress: list[float], cpu_share: float) -> list[bool]:
        detector = decisions.StallDetector(0.0)
        return [
            detector.observe(value, cpu_share, 2.0, 0.4 * step)
            for step, value in enumerate(progress)
        ]

    def test_run_that_uses_its_time_without_progress_is_stalled(self) -> None:
        found = self.detect([10.0] * 6, cpu_share=1.0)
        self.assertEqual([False, False, False], found[:3])
        self.assertTrue(found[-1])

    def test_advancing_throttled_or_complete_run_is_not_stalled(self) -> None:
        advancing = [float(step) for step in range(20)]
        self.assertFalse(any(self.detect(advancing, cpu_share=1.0)))
        self.assertFalse(any(self.detect([10.0] * 20, cpu_share=0.0)))
        self.assertFalse(any(self.detect([100.0] * 20, cpu_share=1.0)))


class AdaptiveTimeoutTest(unittest.TestCase):
    def test_timeout_follows_the_reply_times(self) -> None:
        timeout = decisions.AdaptiveTimeout()
        for _ in range(50):
            timeout.record_reply(0.006)
        fast_timeout = timeout.seconds
        for _ in range(50):
            timeout.record_reply(0.4)
        self.assertLess(fast_timeout, 0.4)
        self.assertGreater(timeout.seconds, 0.4)

    def test_timed_out_call_doubles_the_timeout_up_to_a_limit(self) -> None:
        timeout = decisions.AdaptiveTimeout()
        timeouts = []
        for _ in range(12):
            timeouts.append(timeout.seconds)
            timeout.record_timeout()
        self.assertEqual(sorted(timeouts), timeouts)
        self.assertEqual(2 * timeouts[0], timeouts[1])
        self.assertLessEqual(timeouts[-1], 2.0)


if __name__ == '__main__':
    unittest.main()
