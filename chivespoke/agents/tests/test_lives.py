"""Property test of expected leases, against a model of a worker's lives."""

import contextlib
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from chivespoke.agents import _leases
from chivespoke import errors

BOOT_AGE_SECONDS = 50.0
MAX_LEASE_SECONDS = 10.0
# Shorter than the longest time until a call without an answer is executed.
MAX_DELAY_SECONDS = 13.0
FENCE = 7
FAR_MS = 3_600_000


@dataclasses.dataclass
class Worker:
    """Model the clock and the lease of a worker that may start again."""

    booted_at: float
    lease_end_at: float = 0.0

    def read_clock(self, now: float) -> int:
        return int((now - self.booted_at) * 1000)

    def extend(self, now: float, lease_end_ms: int) -> None:
        requested_at = self.booted_at + lease_end_ms / 1000
        self.lease_end_at = max(
            self.lease_end_at, min(requested_at, now + MAX_LEASE_SECONDS)
        )


class LivesTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('poll', 'lose', 'wait')),
                strategies.floats(0.05, 3.0),
                strategies.floats(0.0, MAX_DELAY_SECONDS),
            ),
            max_size=12,
        ),
        strategies.floats(0.0, 3.0),
        strategies.floats(0.02, 3.0),
    )
    def test_expired_leases_hold_on_no_life(
        self,
        steps: list[tuple[str, float, float]],
        dark_seconds: float,
        start_seconds: float,
    ) -> None:
        # Regression (review, case 6): runs of the next life went on under a
        # lease that was expected to have expired. It answers a start before
        # any poll; calls without an answer are executed late.
        now = 100.0
        worker = Worker(now - BOOT_AGE_SECONDS)
        leases = _leases.WorkerLeases(MAX_LEASE_SECONDS)
        leases.raise_limit(FAR_MS)
        leases.record_reading(worker.read_clock(now), now, now)
        leases.bound_others(0)
        late: list[tuple[float, int]] = []
        for step, seconds, delay in steps:
            now += seconds
            for executed_at, end_ms in late:
                if executed_at <= now:
                    worker.extend(executed_at, end_ms)
            late = [call for call in late if call[0] > now]
            if step == 'wait':
                continue
            leases.extend(now)
            if step == 'poll':
                worker.extend(now, leases.sent_ms)
                leases.record_reading(worker.read_clock(now), now, now)
                continue
            with contextlib.suppress(errors.UnavailableError):
                with leases.record_call(now, FENCE):
                    late.append((now + delay, leases.sent_ms))
                    raise errors.UnavailableError('look', 'i-1', 'lost')
        worker = Worker(now + dark_seconds)
        now = worker.booted_at + start_seconds
        leases.extend(now)
        worker.extend(now, leases.sent_ms)
        self.assertTrue(
            leases.record_answer(worker.read_clock(now), now, FENCE)
        )
        for executed_at, end_ms in sorted(late):
            if executed_at > worker.booted_at:
                worker.extend(executed_at, end_ms)
        while not leases.have_expired(now):
            now += 0.05
        self.assertGreaterEqual(now, worker.lease_end_at)
