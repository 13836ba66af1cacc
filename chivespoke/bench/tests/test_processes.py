"""Tests of measuring processes."""

import unittest

from chivespoke.bench import _processes

SOCKETS = """\
ESTAB 0 0 127.0.0.1:5000 127.0.0.1:40000 users:(("python",pid=7,fd=3)) \
cubic bytes_sent:100 bytes_acked:100 bytes_received:20 segs_out:3
ESTAB 0 0 127.0.0.1:40000 127.0.0.1:5000 users:(("python",pid=77,fd=3)) \
cubic bytes_sent:20 bytes_acked:20 bytes_received:100 segs_out:3
ESTAB 0 0 127.0.0.1:5000 127.0.0.1:40001 users:(("python",pid=7,fd=4)) \
cubic bytes_received:5 segs_in:3
"""


class ConnectionsTest(unittest.TestCase):
    """Count bytes of connections."""

    def test_only_the_process_and_both_ways(self) -> None:
        self.assertEqual(
            {
                '127.0.0.1:5000 127.0.0.1:40000': 120,
                '127.0.0.1:5000 127.0.0.1:40001': 5,
            },
            _processes.parse_connections(SOCKETS, 7),
        )

    def test_rates_between_samples(self) -> None:
        before = _processes.Sample(10.0, 1.0, 50, {'a': 100, 'closed': 9})
        after = _processes.Sample(14.0, 3.0, 60, {'a': 500, 'new': 40})
        self.assertEqual(
            _processes.Usage(0.5, 60.0, 115.0),
            _processes.compare_samples(before, after, {'a': 90, 'gone': 20}),
        )


if __name__ == '__main__':
    unittest.main()
