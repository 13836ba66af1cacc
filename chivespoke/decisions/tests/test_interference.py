"""Tests of handing over learned interference; no I/O."""

import random
import unittest

from chivespoke import decisions
from chivespoke.decisions import _interference

SEED = 7
COEFFICIENTS = {'f1': 0.4, 'f2': 6.0}


def teach(model: decisions.LearnedInterferenceModel, samples: int) -> None:
    """Let a model learn from changes of the use of two filler images."""
    source = random.Random(SEED)
    for _ in range(samples):
        changes = {image: source.uniform(-0.3, 0.3) for image in COEFFICIENTS}
        log_change = sum(
            COEFFICIENTS[image] * share for image, share in changes.items()
        )
        model.learn('s1', log_change + source.gauss(0.0, 0.1), changes)


class HandoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = decisions.LearnedInterferenceModel()

    def hand_over(self, share: float = 1.0) -> None:
        successor = decisions.LearnedInterferenceModel()
        successor.restore(self.model.export(), share)
        self.model = successor

    def measure_errors(self) -> list[float]:
        return [
            abs(self.model.find_coefficient('s1', image) - coefficient)
            for image, coefficient in COEFFICIENTS.items()
        ]

    def test_coefficients_last_over_many_changes_of_leader(self) -> None:
        # Load pattern: the leadership changed six times in 20 s.
        teach(self.model, 400)
        before = self.measure_errors()
        for _ in range(6):
            self.hand_over()
        self.assertLess(max(before), 0.3)
        self.assertLess(max(self.measure_errors()), 0.3)

    def test_weight_is_reduced_once(self) -> None:
        teach(self.model, 400)
        self.hand_over()
        first = self.model.export()
        for _ in range(6):
            self.hand_over()
        for left, right in zip(first, self.model.export(), strict=True):
            self.assertAlmostEqual(left.weight, right.weight)

    def test_share_decides_how_much_a_coefficient_counts(self) -> None:
        teach(self.model, 400)
        states = self.model.export()
        prior = decisions.FixedInterferenceModel().find_coefficient('s', 'f')
        for share, is_kept in ((1.0, True), (1e-6, False)):
            with self.subTest(share=share):
                self.model = decisions.LearnedInterferenceModel()
                self.model.restore(states, share)
                errors = [
                    abs(self.model.find_coefficient('s1', image) - prior)
                    for image in COEFFICIENTS
                ]
                self.assertEqual(is_kept, min(errors) > 1.0)

    def test_successor_learns_on(self) -> None:
        self.model.restore(
            (decisions.CoefficientState('s1', 'f1', 5.0, 0.5),), 1.0
        )
        teach(self.model, 400)
        self.assertLess(max(self.measure_errors()), 0.3)

    def test_number_of_images_handed_over_is_bounded(self) -> None:
        limit = _interference.MAX_EXPORTED_FILLERS
        states = [
            decisions.CoefficientState('s1', f'f{number}', 9.0, 1.0 + number)
            for number in range(3 * limit)
        ]
        self.model.restore(states, 1.0)
        self.assertEqual(
            {state.filler for state in states[-limit:]},
            {state.filler for state in self.model.export()},
        )
        for number in range(3 * limit):
            self.model.learn('s1', 0.1, {f'g{number}': 0.1})
        self.assertEqual(limit, len(self.model.export()))

    def test_model_without_a_predecessor_assumes_the_prior(self) -> None:
        prior = decisions.FixedInterferenceModel().find_coefficient('s', 'f')
        self.model.restore((), 1.0)
        self.assertEqual(prior, self.model.find_coefficient('s1', 'f1'))


if __name__ == '__main__':
    unittest.main()
