"""Tests of the record of calls that got no answer."""

import asyncio
import unittest

from chivespoke.agents import _unanswered
from chivespoke import clock
from chivespoke import errors

TASK = '00000000000000a1.0.0.0'
LOST = errors.UnavailableError('start', 'i-1', 'lost')
REFUSED = errors.RefusedError('start', 'i-1', 'full')


class UnansweredStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = clock.ManualClock()
        self.starts = _unanswered.UnansweredStarts(self.time)

    def call(
        self, error: BaseException | None, is_first: bool = False
    ) -> None:
        """Make a call with an outcome, for one second."""
        try:
            with self.starts.record_call(TASK, 1, is_first):
                self.time.advance(1.0)
                if error is not None:
                    raise error
        except (errors.ChivespokeError, asyncio.CancelledError):
            pass

    def list_ages(self) -> list[int]:
        """Return the ages of the recorded calls in milliseconds."""
        return [start.age_ms for start in self.starts.list_starts(frozenset())]

    def test_calls_by_their_outcome(self) -> None:
        cancelled = asyncio.CancelledError()
        for name, errors_, expected in (
            ('answered', (None,), []),
            ('refused', (REFUSED,), []),
            ('lost', (LOST,), [1000]),
            ('cancelled with its session', (cancelled,), [1000]),
            ('answered after a lost one', (LOST, None), [2000]),
            ('refused after a lost one', (LOST, REFUSED), [2000]),
            ('lost twice', (LOST, LOST), [1000]),
        ):
            with self.subTest(name):
                self.setUp()
                for error in errors_:
                    self.call(error)
                self.assertEqual(expected, self.list_ages())

    def test_only_call_is_forgotten_once_the_run_is_listed(self) -> None:
        for name, is_first, calls, expected in (
            ('only call', True, (LOST,), []),
            ('after another process', False, (LOST,), [1000]),
            ('answered after a lost one', True, (LOST, None), [2000]),
            ('lost twice', True, (LOST, LOST), [1000]),
        ):
            with self.subTest(name):
                self.setUp()
                for error in calls:
                    self.call(error, is_first)
                self.starts.record_listing(TASK, 1)
                self.assertEqual(expected, self.list_ages())

    def test_call_in_progress_is_listed(self) -> None:
        with self.starts.record_call(TASK, 1):
            self.assertEqual([0], self.list_ages())

    def test_order_in_progress_is_listed_before_its_first_call(self) -> None:
        order = frozenset({(TASK, 1)})
        (start,) = self.starts.list_starts(order)
        self.assertTrue(start.in_progress)
        self.call(LOST)
        (start,) = self.starts.list_starts(order)
        self.assertEqual((1000, True), (start.age_ms, start.in_progress))

    def test_old_calls_are_forgotten(self) -> None:
        self.call(LOST)
        self.time.advance(_unanswered.RETENTION_SECONDS)
        self.assertEqual([], self.list_ages())


if __name__ == '__main__':
    unittest.main()
