"""Pacing of fillers, learning of pressure, stalls and waits."""

import math
import random
import unittest

from chivespoke import decisions
from chivespoke.decisions.tests import builders

TARGET = 18
# The truth of the replayed worker: log tail for a worker full of an image.
TRUTH = {'light': 0.0, 'heavy': 8.0}
CAPACITY = 10000


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
            builders.make_paced('serving', 's1', tail, TARGET),
            builders.make_paced('light', 'light', 10.0 * light, 0, light),
            builders.make_paced('heavy', 'heavy', 10.0 * heavy, 0, heavy),
        ]
        orders = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY, 100.0
        )
        return {order.task: order.percent for order in orders}

    def test_only_the_filler_that_presses_is_slowed(self) -> None:
        self.assertEqual({}, self.adjust(tail=10.0))
        slowed = self.adjust(tail=15.0)
        self.assertEqual(['heavy'], list(slowed))
        self.assertLess(slowed['heavy'], 100)

    def test_slowed_fillers_are_let_go_below_the_release_only(self) -> None:
        self.assertEqual({}, self.adjust(tail=11.5, heavy=50))
        self.assertGreater(self.adjust(tail=6.0, heavy=50)['heavy'], 50)

    def test_tail_over_target_slows_also_who_is_thought_harmless(
        self,
    ) -> None:
        # Learnt pressures may be wrong: 8 cores of an image at a learnt 0.0
        # held a tail at 110 ms against 45 for 1.5 s.
        runs = [
            builders.make_paced('serving', 's1', 20.0, TARGET),
            builders.make_paced('light', 'light', 5000.0),
        ]
        orders = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY, 100.0
        )
        self.assertEqual(['light'], [order.task for order in orders])

    def test_tail_that_stays_over_target_slows_all(self) -> None:
        # Whatever the model says, four seconds are not to pass.
        pacer = decisions.Pacer()
        paces = {'light': 100}
        for step in range(10):
            runs = [
                builders.make_paced('serving', 's1', 40.0, TARGET),
                builders.make_paced('light', 'light', 1e3, 0, paces['light']),
            ]
            for order in pacer.adjust(
                runs, self.interference, CAPACITY, 0.4 * step
            ):
                paces[order.task] = order.percent
        self.assertLess(paces['light'], 10)

    def test_no_serving_task_no_limit(self) -> None:
        runs = [builders.make_paced('heavy', 'heavy', 100.0, 0, 40)]
        orders = decisions.Pacer().adjust(
            runs, self.interference, CAPACITY, 100.0
        )
        self.assertGreater(orders[0].percent, 40)


class PressureTest(unittest.TestCase):
    def test_unknown_pairs_have_the_prior(self) -> None:
        model = decisions.LearnedInterferenceModel()
        self.assertGreater(model.find_coefficient('s1', 'f1'), 0.0)

    def test_learns_who_presses_while_the_load_swings(self) -> None:
        model = decisions.LearnedInterferenceModel()
        source = random.Random(7)
        before: dict[str, float] = {}
        last = 0.0
        for step in range(600):
            uses = {image: source.choice((0.0, 0.1, 0.2)) for image in TRUTH}
            load = 0.3 * math.sin(step / 16)
            tail = load + sum(
                TRUTH[image] * share for image, share in uses.items()
            )
            if step:
                changes = {
                    image: uses[image] - before[image] for image in TRUTH
                }
                noise = source.gauss(0.0, 0.1)
                model.learn('s1', tail - last + noise, changes)
            before, last = uses, tail
        self.assertAlmostEqual(
            8.0, model.find_coefficient('s1', 'heavy'), delta=1.0
        )
        self.assertLess(model.find_coefficient('s1', 'light'), 0.8)


class StallTest(unittest.TestCase):
    def watch(self, progress: list[float], use: float) -> list[bool]:
        watch = decisions.StallDetector(0.0)
        return [
            watch.observe(value, use, 2.0, 0.4 * step)
            for step, value in enumerate(progress)
        ]

    def test_run_that_uses_its_time_and_stands_still_is_found(self) -> None:
        found = self.watch([10.0] * 6, use=1.0)
        self.assertEqual([False, False, False], found[:3])
        self.assertTrue(found[-1])

    def test_run_that_advances_or_is_paced_to_nothing_is_sound(self) -> None:
        advancing = [float(step) for step in range(20)]
        self.assertFalse(any(self.watch(advancing, use=1.0)))
        self.assertFalse(any(self.watch([10.0] * 20, use=0.0)))
        self.assertFalse(any(self.watch([100.0] * 20, use=1.0)))


class PatienceTest(unittest.TestCase):
    def test_wait_follows_the_answers(self) -> None:
        patience = decisions.AdaptiveTimeout()
        for _ in range(50):
            patience.record_reply(0.006)
        quick = patience.seconds
        for _ in range(50):
            patience.record_reply(0.4)
        self.assertLess(quick, 0.4)
        self.assertGreater(patience.seconds, 0.4)

    def test_silence_doubles_the_wait_up_to_a_limit(self) -> None:
        patience = decisions.AdaptiveTimeout()
        waits = []
        for _ in range(12):
            waits.append(patience.seconds)
            patience.record_timeout()
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(2 * waits[0], waits[1])
        self.assertLessEqual(waits[-1], 2.0)


if __name__ == '__main__':
    unittest.main()
