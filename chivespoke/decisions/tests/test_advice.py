"""Tests of the cache of the advisor's answers."""

import unittest

from chivespoke import decisions

STEP = 'a1.0.0'
OTHER_STEP = 'a1.0.1'
REQUEST = decisions.AdviceRequest(
    STEP, {'worker-1': 'i-1', 'worker-2': 'i-2'}, 0.1
)
REQUESTED_AT = 100.0


class AdviceCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = decisions.AdviceCache()
        self.cache.add_answer(REQUEST, {'i-1': 'ticket-1'}, REQUESTED_AT, 3.0)

    def find_ticket_after(
        self, worker: str, elapsed_seconds: float, step: str = STEP
    ) -> str | None:
        return self.cache.find_ticket(
            step, worker, REQUESTED_AT + elapsed_seconds
        )

    def test_ticket_is_used_until_shortly_before_it_expires(self) -> None:
        cases = {0.0: 'ticket-1', 2.4: 'ticket-1', 2.6: None, 9.0: None}
        for elapsed_seconds, expected in cases.items():
            with self.subTest(elapsed_seconds=elapsed_seconds):
                self.assertEqual(
                    expected,
                    self.find_ticket_after('worker-1', elapsed_seconds),
                )

    def test_ticket_is_for_one_step_on_one_worker_incarnation(self) -> None:
        self.assertIsNone(self.find_ticket_after('worker-1', 0.0, OTHER_STEP))
        self.assertIsNone(self.find_ticket_after('worker-2', 0.0))
        self.assertIsNone(self.find_ticket_after('worker-9', 0.0))

    def test_worker_without_ticket_is_denied_for_the_step(self) -> None:
        self.assertTrue(self.cache.is_denied(STEP, 'worker-2'))
        self.assertFalse(self.cache.is_denied(STEP, 'worker-1'))
        self.assertFalse(self.cache.is_denied(OTHER_STEP, 'worker-2'))

    def test_refused_ticket_is_not_used_again(self) -> None:
        self.cache.drop_ticket(STEP, 'worker-1')
        self.assertIsNone(self.find_ticket_after('worker-1', 0.0))
        self.assertFalse(self.cache.is_denied(STEP, 'worker-1'))

    def test_forget_job_removes_its_steps(self) -> None:
        self.cache.forget_job('a1')
        self.assertIsNone(self.find_ticket_after('worker-1', 0.0))
        self.assertFalse(self.cache.is_denied(STEP, 'worker-2'))


if __name__ == '__main__':
    unittest.main()
