"""Tests of the timeout of calls to the store."""

import unittest

from chivespoke import decisions

LARGE_REQUEST_BYTES = 500_000
SLOW_LINK_BYTES_PER_SECOND = 625_000
SLOW_REPLY_SECONDS = 0.4


class AdaptiveTimeoutTest(unittest.TestCase):
    def make_timeout(self, *replies: float) -> decisions.AdaptiveTimeout:
        timeout = decisions.AdaptiveTimeout()
        for seconds in replies:
            timeout.record_reply(seconds)
        return timeout

    def test_timeouts_in_a_row_exceed_the_reply_time_of_a_slow_store(
        self,
    ) -> None:
        # Regression: the factor was limited by a time in seconds, so that the
        # timeout was doubled once at most.
        timeout = self.make_timeout(*[0.005] * 20)
        waits = []
        for _ in range(6):
            waits.append(timeout.seconds)
            timeout.record_timeout()
        for wait, expected in zip(
            waits, (0.15, 0.3, 0.6, 0.6, 0.6, 0.6), strict=True
        ):
            self.assertAlmostEqual(expected, wait)
        self.assertGreater(waits[-1], SLOW_REPLY_SECONDS)

    def test_dead_connections_are_found_before_leases_expire(self) -> None:
        # Regression: with a larger factor, five appends over dead idle
        # connections took longer than the leases last.
        timeout = self.make_timeout(*[0.005] * 20)
        elapsed = 0.0
        for _ in range(5):
            elapsed += timeout.seconds
            timeout.record_timeout()
        self.assertLess(elapsed, 3.0)

    def test_reply_ends_the_back_off(self) -> None:
        timeout = self.make_timeout(*[0.005] * 20)
        for _ in range(6):
            timeout.record_timeout()
        timeout.record_reply(0.005)
        self.assertLess(timeout.seconds, 0.2)

    def test_large_request_gets_the_time_of_its_transfer(self) -> None:
        timeout = self.make_timeout(*[0.005] * 20)
        transfer = LARGE_REQUEST_BYTES / SLOW_LINK_BYTES_PER_SECOND
        self.assertGreater(
            timeout.compute_for_request(LARGE_REQUEST_BYTES), transfer
        )
        self.assertAlmostEqual(timeout.seconds, timeout.compute_for_request(0))


if __name__ == '__main__':
    unittest.main()
