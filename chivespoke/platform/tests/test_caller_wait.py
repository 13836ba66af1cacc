"""Tests of the time for which callers wait."""

import unittest

from chivespoke import platform

# Value of the header, None for no header, and seconds.
CASES = (
    (None, 3.0),
    ('', 3.0),
    ('soon', 3.0),
    ('0', 3.0),
    ('-5', 3.0),
    ('nan', 3.0),
    ('inf', 3.0),
    ('1300', 1.3),
    ('600000', 10.0),
)


class CallerWaitTest(unittest.TestCase):
    def test_header_tells_how_long_a_caller_waits(self) -> None:
        for value, seconds in CASES:
            with self.subTest(value=value):
                headers = {}
                if value is not None:
                    headers['Chivespoke-Deadline-Ms'] = value
                self.assertEqual(seconds, platform.read_caller_wait(headers))

    def test_wait_is_handed_on(self) -> None:
        headers = platform.encode_caller_wait(1.25)
        self.assertEqual(1.25, platform.read_caller_wait(headers))


if __name__ == '__main__':
    unittest.main()
