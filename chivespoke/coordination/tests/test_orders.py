"""Tests of the limit on the orders on their way to workers; no I/O."""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import workloads


class OrderWindowTest(engine_case.EngineTest):
    """Order many tasks with large payloads at once."""

    SIDECARS = tuple(f'side-{number}' for number in range(8))

    def setUp(self) -> None:
        super().setUp()
        job = msgspec.structs.replace(
            builders.make_job(
                workloads.Step(count=64, cpu_millis=1000, estimated_ms=1000)
            ),
            payload='w' * 4_000,
        )
        for sidecar in self.SIDECARS:
            self.leader.report(builders.make_report(sidecar))
        self.leader.submit(job)
        self.leader.plan()

    def collect_starts(self) -> list[coordination.StartOrder]:
        return [
            start
            for sidecar in self.SIDECARS
            for start in self.leader.make_directive(sidecar).starts
        ]

    def test_orders_wait_for_the_outcomes_of_earlier_ones(self) -> None:
        # Regression: after a restart all orders were sent at once and again
        # after 0.7 s, more than a slow link carries in that time.
        limit = coordination.MAX_UNANSWERED_ORDER_BYTES
        ordered: set[str] = set()
        rounds = 0
        while len(ordered) < 64:
            starts = self.collect_starts()
            self.assertGreater(len(starts), 0)
            size = sum(len(start.payload) for start in starts)
            self.assertLessEqual(size, limit)
            self.assertEqual([], self.collect_starts())
            ordered |= {start.task for start in starts}
            outcomes = tuple(
                coordination.OrderOutcome(start.task, start.run)
                for start in starts
            )
            for sidecar in self.SIDECARS:
                self.leader.report(
                    builders.make_report(sidecar, outcomes=outcomes)
                )
            rounds += 1
        self.assertGreater(rounds, 1)

    def test_lost_orders_are_sent_again(self) -> None:
        first = {start.task for start in self.collect_starts()}
        self.leader.now += coordination.ORDER_RESEND_SECONDS
        for sidecar in self.SIDECARS:
            self.leader.report(builders.make_report(sidecar))
        second = {start.task for start in self.collect_starts()}
        self.assertEqual(len(first), len(second))

    def test_silent_worker_does_not_hold_up_orders_for_others(self) -> None:
        silent = self.SIDECARS[:6]
        seen: set[str] = set()
        for _ in range(8):
            self.leader.now += coordination.ORDER_RESEND_SECONDS
            for sidecar in self.SIDECARS:
                if sidecar not in silent:
                    self.leader.report(builders.make_report(sidecar))
            for sidecar in self.SIDECARS:
                if sidecar not in silent:
                    starts = self.leader.make_directive(sidecar).starts
                    seen |= {start.task for start in starts}
                else:
                    self.leader.make_directive(sidecar)
        self.assertEqual(16, len(seen))


if __name__ == '__main__':
    unittest.main()
