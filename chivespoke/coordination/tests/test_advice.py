"""Tests of placement of steps that need the advisor's permission; no I/O."""

import unittest

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

SIDECARS = ('side-1', 'side-2', 'side-3')
FIRST_TASK = f'{builders.JOB}.0.0.0'
STEP = workloads.Step(count=1, cpu_millis=1000, estimated_ms=1000)
VALID_SECONDS = 3.0


class AdviceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.leader.desired_state = builders.make_desired_state(
            advice=workloads.AdviceTiming(0.05, 0.01)
        )
        self.report()
        self.leader.submit(builders.make_job(STEP))
        self.leader.plan()

    def report(self) -> None:
        for sidecar in SIDECARS:
            self.leader.report(builders.make_report(sidecar))

    def find_advice_request(self) -> decisions.AdviceRequest:
        advice_request = self.leader.engine.find_advice_request()
        assert advice_request is not None
        return advice_request

    def answer(self, **tickets: str) -> None:
        """Answer the request with a ticket for each sidecar named."""
        self.leader.engine.apply_advice(
            self.find_advice_request(),
            platform.Advice(
                {
                    f'i-{sidecar.replace("_", "-")}': ticket
                    for sidecar, ticket in tickets.items()
                },
                VALID_SECONDS,
            ),
            self.leader.now,
        )
        self.leader.plan()

    def list_starts(self) -> dict[str, coordination.StartOrder]:
        return {
            sidecar: start
            for sidecar in SIDECARS
            for start in self.leader.make_directive(sidecar).starts
        }

    def test_step_waits_for_advice_on_all_feasible_workers(self) -> None:
        self.assertEqual({}, self.list_starts())
        advice_request = self.find_advice_request()
        self.assertEqual(f'{builders.JOB}.0.0', advice_request.step)
        self.assertEqual(
            {'i-side-1', 'i-side-2', 'i-side-3'},
            set(advice_request.workers.values()),
        )
        self.assertAlmostEqual(0.08, advice_request.answer_seconds)

    def test_task_starts_with_ticket_on_allowed_worker(self) -> None:
        self.answer(side_2='ticket-2')
        starts = self.list_starts()
        self.assertEqual(['side-2'], list(starts))
        self.assertEqual('ticket-2', starts['side-2'].ticket)
        self.assertIsNone(self.leader.engine.find_advice_request())

    def test_denied_workers_are_not_requested_again(self) -> None:
        self.answer()
        self.assertEqual({}, self.list_starts())
        self.assertIsNone(self.leader.engine.find_advice_request())

    def test_expired_ticket_is_requested_again(self) -> None:
        self.leader.desired_state = None
        self.answer(side_2='ticket-2')
        self.leader.now += VALID_SECONDS
        self.report()
        self.leader.desired_state = builders.make_desired_state(
            advice=workloads.AdviceTiming(0.05, 0.01)
        )
        self.leader.plan()
        self.assertEqual({}, self.list_starts())
        self.assertEqual(
            ['i-side-2'], list(self.find_advice_request().workers.values())
        )

    def test_refused_ticket_is_requested_again(self) -> None:
        self.answer(side_2='ticket-2')
        run = self.list_starts()['side-2'].run
        outcome = coordination.OrderOutcome(
            FIRST_TASK, run, platform.Refusal.BAD_TICKET
        )
        self.leader.report(builders.make_report('side-2', outcomes=(outcome,)))
        self.leader.plan()
        self.assertEqual({}, self.list_starts())
        self.assertEqual(
            ['i-side-2'], list(self.find_advice_request().workers.values())
        )

    def test_queue_without_advice_makes_no_request(self) -> None:
        self.leader.desired_state = builders.make_desired_state()
        self.leader.plan()
        self.assertIsNone(self.leader.engine.find_advice_request())
        self.assertEqual(1, len(self.list_starts()))


if __name__ == '__main__':
    unittest.main()
