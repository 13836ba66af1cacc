"""Tests of workers that are back under their identifiers; no I/O.

Calls that were built on the clock and the numbers of the earlier incarnation
may have been executed by the new one, until it is polled with a later token.
"""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination import _predecessors
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform
from chivespoke import workloads

FIRST_TASK = engine_case.FIRST_TASK
OTHER_JOB = '00000000000000b2'
LASTING = workloads.Step(count=1, cpu_millis=1000, long_running=True)
# The longest lease that a worker grants.
MAX_LEASE_MS = 10_000
# The worker's clock: late in the first incarnation, and early in the second.
LATE_CLOCK_MS = 500_000
EARLY_CLOCK_MS = 1_200


class ReturnedWorkerTest(engine_case.EngineTest):
    """Let a worker start again once the leases of earlier leaders are past."""

    def setUp(self) -> None:
        super().setUp()
        self.leader.announce()
        self.leader.now += self.timeouts.max_wait_seconds
        self.leader.report(builders.make_report(clock_ms=LATE_CLOCK_MS))
        self.leader.submit(builders.make_job(engine_case.ONE_TASK_STEP))
        self.leader.plan()
        self.leader.make_directive()
        self.leader.report(
            builders.make_report(
                clock_ms=LATE_CLOCK_MS + 100,
                running=(builders.make_running(FIRST_TASK),),
            )
        )

    @property
    def timeouts(self) -> coordination.LeaderTimeouts:
        return self.leader.engine.state.timeouts

    def take_over(self, ended_at: float, seconds: float) -> None:
        """Let another leader take over, which knows when this one ended."""
        self.leader = builders.Leader(
            self.leader.ledger,
            self.leader.epoch + 1,
            now=ended_at + seconds,
        )
        self.leader.announce()
        for epoch in range(builders.EPOCH, self.leader.epoch):
            self.leader.engine.record_leader_end(
                epoch,
                _predecessors.LeaderEnd(ended_at, {}),
                self.leader.now,
            )

    def report_return(
        self,
        answering: bool = True,
        ended: tuple[platform.EndedRun, ...] = (),
        running: tuple[platform.RunningTask, ...] = (),
    ) -> None:
        """Report the first poll of the second incarnation."""
        report = builders.make_report(
            born_ms=2,
            clock_ms=EARLY_CLOCK_MS,
            lease_end_ms=EARLY_CLOCK_MS + MAX_LEASE_MS,
            answering=answering,
            ended=ended,
            running=running,
        )
        self.leader.report(
            msgspec.structs.replace(report, epoch=self.leader.epoch)
        )

    def measure_lease(self) -> float:
        """Return for how long the leader waits for the worker's leases."""
        worker = self.leader.engine.state.find_worker_of('side-1')
        assert worker is not None
        self.assertEqual(2, worker.incarnation.born_ms)
        return worker.leases_expire_at - self.leader.now

    def test_leases_are_those_of_the_new_clock(self) -> None:
        self.leader.make_directive()
        self.report_return()
        self.assertEqual(
            EARLY_CLOCK_MS + int(self.timeouts.lease_seconds * 1000),
            self.leader.make_directive().lease_until_ms,
        )

    def test_acknowledged_ends_are_those_of_the_new_incarnation(self) -> None:
        for next_leader in (False, True):
            with self.subTest(next_leader=next_leader):
                self.setUp()
                self.leader.report(
                    builders.make_report(
                        clock_ms=LATE_CLOCK_MS + 200,
                        ended=(
                            builders.make_end(
                                57, FIRST_TASK, platform.EndCause.FAILED
                            ),
                        ),
                    )
                )
                self.leader.plan()
                self.assertEqual(57, self.leader.make_directive().acknowledged)
                if next_leader:
                    self.take_over(self.leader.now, 1.0)
                self.report_return()
                self.leader.plan()
                self.assertEqual(0, self.leader.make_directive().acknowledged)
                self.report_return(
                    ended=(
                        builders.make_end(
                            1, FIRST_TASK, platform.EndCause.FAILED, run=2
                        ),
                    )
                )
                self.leader.plan()
                self.assertEqual(1, self.leader.make_directive().acknowledged)

    def test_leader_waits_for_leases_by_calls_to_the_earlier_incarnation(
        self,
    ) -> None:
        # The longest lease lasts longer than any that this leader allows.
        self.report_return()
        self.assertGreaterEqual(
            self.measure_lease(), self.timeouts.measure_lease(MAX_LEASE_MS)
        )

    def test_next_leader_waits_for_leases_by_such_calls(self) -> None:
        # Of the leases of earlier leaders, it only knows that they are past.
        self.take_over(self.leader.now, self.timeouts.max_lease_seconds)
        self.report_return()
        self.assertGreaterEqual(
            self.measure_lease(), self.timeouts.measure_lease(MAX_LEASE_MS)
        )

    def test_wait_does_not_end_early_once_earlier_leases_are_past(
        self,
    ) -> None:
        self.take_over(self.leader.now, 3.0)
        self.leader.now += 2.0
        self.report_return()
        polled_at = self.leader.now
        for _ in range(10):
            self.leader.now += 0.4
            self.report_return(answering=False)
            self.assertGreaterEqual(
                self.leader.now + self.measure_lease(),
                polled_at + self.timeouts.measure_lease(MAX_LEASE_MS),
            )

    def test_leases_that_no_leader_allowed_are_waited_for(self) -> None:
        # Regression (review, case 6): the next life has answered a start, and
        # no poll. What leaders have allowed does not bound its lease.
        for takes_over in (False, True):
            with self.subTest(takes_over=takes_over):
                self.setUp()
                if takes_over:
                    self.take_over(
                        self.leader.now, self.timeouts.max_lease_seconds
                    )
                report = builders.make_report(
                    clock_ms=EARLY_CLOCK_MS,
                    lease_end_ms=EARLY_CLOCK_MS + MAX_LEASE_MS,
                    answering=False,
                    has_successor=True,
                )
                self.leader.report(
                    msgspec.structs.replace(report, epoch=self.leader.epoch)
                )
                worker = self.leader.engine.state.find_worker_of('side-1')
                assert worker is not None
                self.leader.make_directive()
                self.leader.report(
                    msgspec.structs.replace(report, epoch=self.leader.epoch)
                )
                self.assertGreaterEqual(
                    worker.leases_expire_at - self.leader.now,
                    self.timeouts.measure_lease(MAX_LEASE_MS),
                )

    def test_runs_wait_for_leases_that_their_leader_was_told_of(self) -> None:
        # The next leader took over before the worker came back, and knows no
        # run of its earlier incarnation. It is lost soon after.
        self.leader.report(
            builders.make_report(
                clock_ms=LATE_CLOCK_MS + 200,
                ended=(builders.make_end(1, FIRST_TASK),),
            )
        )
        self.leader.plan()
        self.take_over(self.leader.now, 1.0)
        self.report_return()
        polled_at = self.leader.now
        self.leader.submit(builders.make_job(LASTING, identifier=OTHER_JOB))
        ordered: tuple[coordination.StartOrder, ...] = ()
        while not ordered and self.leader.now < polled_at + 5.0:
            self.leader.plan()
            ordered = self.leader.make_directive().starts
            if not ordered:
                self.leader.now += 0.4
                self.report_return()
        self.report_return(running=(builders.make_running(ordered[0].task),))
        self.leader.plan()
        self.take_over(self.leader.now, 1.0)
        while not self.leader.find_waiting(OTHER_JOB):
            self.leader.now += 0.1
            self.leader.plan()
        self.assertGreaterEqual(
            self.leader.now - polled_at,
            self.timeouts.measure_lease(MAX_LEASE_MS),
        )


if __name__ == '__main__':
    unittest.main()
