"""Tests of the limit on unanswered messages."""

import unittest

from chivespoke import decisions


class SendWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.window = decisions.SendWindow(100, 1.0)

    def test_messages_beyond_the_limit_wait_for_answers(self) -> None:
        self.assertTrue(self.window.admit('a', 60, 0.0))
        self.assertFalse(self.window.admit('b', 60, 0.1))
        self.assertTrue(self.window.admit('c', 40, 0.1))
        self.window.release('a')
        self.assertTrue(self.window.admit('b', 60, 0.2))
        self.assertFalse(self.window.admit('d', 1, 0.2))

    def test_lost_message_makes_room_after_the_timeout(self) -> None:
        self.assertTrue(self.window.admit('a', 100, 0.0))
        self.assertFalse(self.window.admit('b', 1, 0.9))
        self.assertTrue(self.window.admit('b', 100, 1.0))

    def test_message_larger_than_the_limit_is_sent_alone(self) -> None:
        self.assertTrue(self.window.admit('a', 500, 0.0))
        self.assertFalse(self.window.admit('b', 1, 0.1))
        self.window.release('a')
        self.assertTrue(self.window.admit('b', 1, 0.1))
        self.assertFalse(self.window.admit('a', 500, 0.1))

    def test_repeated_message_counts_once(self) -> None:
        for now in (0.0, 0.1, 0.2):
            self.assertTrue(self.window.admit('a', 100, now))
        self.window.release('a')
        self.window.release('a')
        self.assertTrue(self.window.admit('b', 100, 0.3))
        self.assertFalse(self.window.admit('c', 1, 0.3))


if __name__ == '__main__':
    unittest.main()
