"""Tests of what a sidecar knows of its worker's leases."""

import unittest

from chivespoke.agents import _leases

NOW = 100.0
CLOCK_MS = 50_000
MAX_LEASE_SECONDS = 10.0


class WorkerLeasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = _leases.WorkerLeases(MAX_LEASE_SECONDS)
        self.leases.record_reading(CLOCK_MS, NOW)

    def test_leases_of_an_earlier_process_are_waited_for(self) -> None:
        # A restarted sidecar does not know what was renewed before.
        for seconds, expired in ((0.5, False), (9.9, False), (10.4, True)):
            with self.subTest(seconds=seconds):
                self.assertIs(expired, self.leases.have_expired(NOW + seconds))

    def test_sidecar_that_has_just_begun_waits_for_leases_that_none_granted(
        self,
    ) -> None:
        # Regression (soak, seed 5007): leases of the longest kind
        # were waited for, which the leader had never allowed.
        self.leases.bound_others(CLOCK_MS + 6_000)
        for seconds, expired in ((5.9, False), (6.3, True)):
            with self.subTest(seconds=seconds):
                self.assertIs(expired, self.leases.have_expired(NOW + seconds))

    def test_bound_on_others_leaves_own_leases(self) -> None:
        self.leases.raise_limit(CLOCK_MS + 60_000)
        self.assertEqual(CLOCK_MS + 5_000, self.leases.extend(NOW))
        self.leases.bound_others(CLOCK_MS + 1_000)
        self.assertFalse(self.leases.have_expired(NOW + 5.0))
        self.assertTrue(self.leases.have_expired(NOW + 5.5))

    def test_slow_clock_of_the_worker_is_waited_for(self) -> None:
        self.assertFalse(
            self.leases.have_expired(NOW + MAX_LEASE_SECONDS * 1.02)
        )

    def test_renewed_lease_is_waited_for(self) -> None:
        self.leases.raise_limit(CLOCK_MS + 60_000)
        self.leases.record_reading(CLOCK_MS + 20_000, NOW + 20.0)
        self.assertEqual(CLOCK_MS + 25_000, self.leases.extend(NOW + 20.0))
        self.assertFalse(self.leases.have_expired(NOW + 25.0))
        self.assertTrue(self.leases.have_expired(NOW + 25.5))

    def test_lease_is_not_extended_beyond_the_limit(self) -> None:
        self.assertIsNone(self.leases.extend(NOW))
        self.leases.raise_limit(CLOCK_MS + 1_000)
        self.assertEqual(CLOCK_MS + 1_000, self.leases.extend(NOW))
        self.assertIsNone(self.leases.extend(NOW + 0.5))

    def test_nothing_expires_before_the_first_reading(self) -> None:
        leases = _leases.WorkerLeases(MAX_LEASE_SECONDS)
        self.assertFalse(leases.have_expired(NOW + 100.0))
        self.assertIsNone(leases.extend(NOW))


if __name__ == '__main__':
    unittest.main()
