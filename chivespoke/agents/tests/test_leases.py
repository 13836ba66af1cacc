"""Tests of what a sidecar knows of its worker's leases."""

import contextlib
import unittest

from chivespoke.agents import _leases
from chivespoke import errors

NOW = 100.0
CLOCK_MS = 50_000
MAX_LEASE_SECONDS = 10.0
FENCE = 7


class WorkerLeasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = _leases.WorkerLeases(MAX_LEASE_SECONDS)
        self.leases.record_reading(CLOCK_MS, NOW, NOW)

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
        self.leases.record_reading(CLOCK_MS + 20_000, NOW + 20.0, NOW + 20.0)
        self.assertEqual(CLOCK_MS + 25_000, self.leases.extend(NOW + 20.0))
        self.assertFalse(self.leases.have_expired(NOW + 25.0))
        self.assertTrue(self.leases.have_expired(NOW + 25.5))

    def test_lease_is_not_extended_beyond_the_limit(self) -> None:
        self.assertIsNone(self.leases.extend(NOW))
        self.leases.raise_limit(CLOCK_MS + 1_000)
        self.assertEqual(CLOCK_MS + 1_000, self.leases.extend(NOW))
        self.assertIsNone(self.leases.extend(NOW + 0.5))

    def test_clock_that_began_anew_is_another_life(self) -> None:
        # Regression (review, case 6): a start that the next life answered was
        # counted under the lease of the life before. A life that follows began
        # after the last answered poll was sent.
        for seconds, clock_ms, is_other in (
            (1.0, CLOCK_MS + 1_000, False),
            (1.0, 1_200, False),
            (1.0, 1_000, True),
            (1.0, 1, True),
            (4.0, 3_990, True),
        ):
            with self.subTest(seconds=seconds, clock_ms=clock_ms):
                self.setUp()
                self.assertIs(
                    is_other,
                    self.leases.record_answer(clock_ms, NOW + seconds, FENCE),
                )
                self.assertIs(is_other, self.leases.has_successor)

    def record_start_on_another_life(self) -> None:
        """Let the next life answer a start 4 s after the last poll."""
        self.leases.raise_limit(CLOCK_MS + 60_000)
        self.leases.extend(NOW)
        self.leases.record_answer(300, NOW + 4.0, FENCE)

    def test_lease_on_another_life_is_the_longest(self) -> None:
        # No leader has allowed it, so that none bounds it.
        self.record_start_on_another_life()
        self.leases.bound_others(6_300)
        self.assertIsNone(self.leases.extend(NOW + 4.5))
        for seconds, expired in ((10.2, False), (10.4, True)):
            with self.subTest(seconds=seconds):
                self.assertIs(
                    expired, self.leases.have_expired(NOW + 4.0 + seconds)
                )

    def test_open_call_extends_the_lease_on_another_life(self) -> None:
        # It may be executed up to 14 s after it was sent, unless its token is
        # lower than the one that was accepted.
        for answered, fence, seconds, expired in (
            (True, FENCE, 10.4, True),
            (False, FENCE, 10.4, False),
            (False, FENCE, 22.9, False),
            (False, FENCE, 23.8, True),
            (False, FENCE - 1, 10.4, True),
        ):
            with self.subTest(answered=answered, fence=fence, seconds=seconds):
                self.setUp()
                with contextlib.suppress(errors.UnavailableError):
                    with self.leases.record_call(NOW + 3.0, fence):
                        if not answered:
                            raise errors.UnavailableError('look', 'i-1', '')
                self.record_start_on_another_life()
                self.assertIs(
                    expired, self.leases.have_expired(NOW + 4.0 + seconds)
                )

    def test_answer_of_another_life_ends_the_wait_for_its_call(self) -> None:
        # Several starts are often on their way when a worker comes back.
        with self.leases.record_call(NOW + 3.9, FENCE):
            self.record_start_on_another_life()
            self.assertFalse(self.leases.have_expired(NOW + 14.9))
        self.leases.record_answer(800, NOW + 4.5, FENCE)
        for seconds, expired in ((14.6, False), (14.9, True)):
            with self.subTest(seconds=seconds):
                self.assertIs(expired, self.leases.have_expired(NOW + seconds))

    def test_only_a_poll_that_is_sent_later_denies_another_life(self) -> None:
        for sent_at, is_denied in ((3.9, False), (4.1, True)):
            with self.subTest(sent_at=sent_at):
                self.setUp()
                self.record_start_on_another_life()
                self.leases.record_reading(
                    CLOCK_MS + 4_100, NOW + sent_at, NOW + 4.2
                )
                self.assertIs(not is_denied, self.leases.has_successor)
                self.assertIs(
                    is_denied, self.leases.extend(NOW + 4.2) is not None
                )

    def test_nothing_expires_before_the_first_reading(self) -> None:
        leases = _leases.WorkerLeases(MAX_LEASE_SECONDS)
        self.assertFalse(leases.have_expired(NOW + 100.0))
        self.assertIsNone(leases.extend(NOW))


if __name__ == '__main__':
    unittest.main()
