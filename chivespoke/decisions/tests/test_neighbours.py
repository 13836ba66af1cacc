"""Tests of the choice of neighbours while the store turns entries away."""

import unittest

from chivespoke import decisions

NAMES = ('e1', 'e2', 'e3')


# Version of the answer, whether it rests on that, the newest version known,
# and whether the answer is passed on.
ANSWERS = (
    ('older denial', 4, True, 5, False),
    ('denial from the newest version', 5, True, 5, True),
    ('denial from a version that is new here', 6, True, 5, True),
    ('denial, nothing known here', 1, True, 0, True),
    ('denial without a version', 0, True, 5, False),
    ('denial without a version, nothing known here', 0, True, 0, False),
    ('older answer that rests on the ledger', 4, False, 5, True),
    ('answer without a version that rests on the ledger', 0, False, 5, True),
)


class NeighbourAnswerTest(unittest.TestCase):
    def test_what_newer_versions_may_forbid_is_not_passed_on(self) -> None:
        for name, version, rests_on_version, newest, expected in ANSWERS:
            with self.subTest(name):
                answer = decisions.NeighbourAnswer(version, rests_on_version)
                self.assertEqual(
                    expected, decisions.may_pass_on(answer, newest)
                )


class NeighbourSelectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = decisions.NeighbourSelector()

    def test_a_request_is_handed_to_a_few_neighbours_only(self) -> None:
        selected = self.selector.select(NAMES, 0.0)
        self.assertEqual(decisions.MAX_NEIGHBOURS, len(selected))
        self.assertEqual([], self.selector.select((), 0.0))

    def test_the_latest_helper_comes_first(self) -> None:
        self.selector.record_served('e3')
        self.assertEqual('e3', self.selector.select(NAMES, 1.0)[0])
        self.assertEqual('e1', self.selector.select(('e1', 'e2'), 1.0)[0])

    def test_neighbours_that_refused_or_were_silent_are_left_out(self) -> None:
        self.selector.record_refused('e1', 0.0)
        self.selector.record_silent('e2', 0.0)
        for now, expected in (
            (0.1, ['e3']),
            (2.0, ['e1', 'e3']),
            (11.0, ['e1', 'e2']),
        ):
            with self.subTest(now=now):
                self.assertEqual(expected, self.selector.select(NAMES, now))

    def test_requests_are_refused_at_once_while_nobody_is_served(self) -> None:
        # Load pattern: the store is down for all, and each entry would hand
        # each request to its neighbours.
        self.selector.record_exhausted(0.0)
        self.assertEqual([], self.selector.select(NAMES, 0.4))
        self.assertNotEqual([], self.selector.select(NAMES, 0.6))

    def test_a_helper_that_refuses_is_no_longer_preferred(self) -> None:
        self.selector.record_served('e3')
        self.selector.record_refused('e3', 0.0)
        self.assertEqual(['e1', 'e2'], self.selector.select(NAMES, 5.0))


if __name__ == '__main__':
    unittest.main()
