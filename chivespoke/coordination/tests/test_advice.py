"""Placement of steps that need an advisor's leave, without any I/O."""

import unittest

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

SIDECARS = ('side-1', 'side-2', 'side-3')
FIRST = f'{builders.JOB}.0.0.0'
STEP = workloads.Step(count=1, cpu_millis=1000, estimated_ms=1000)
VALID_SECONDS = 3.0


class AdviceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leader = builders.Leader()
        self.leader.orders = builders.make_orders(
            advice=workloads.AdviceTiming(0.05, 0.01)
        )
        self.report()
        self.leader.submit(builders.make_job(STEP))
        self.leader.plan()

    def report(self) -> None:
        for sidecar in SIDECARS:
            self.leader.report(builders.make_report(sidecar))

    def find_question(self) -> decisions.AdviceRequest:
        question = self.leader.engine.find_question()
        assert question is not None
        return question

    def answer(self, **tickets: str) -> None:
        """Answer the question; keywords are sidecars, with tickets."""
        self.leader.engine.take_advice(
            self.find_question(),
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
            for start in self.leader.direct(sidecar).starts
        }

    def test_step_waits_for_advice_on_all_workers_that_fit(self) -> None:
        self.assertEqual({}, self.list_starts())
        question = self.find_question()
        self.assertEqual(f'{builders.JOB}.0.0', question.step)
        self.assertEqual(
            {'i-side-1', 'i-side-2', 'i-side-3'},
            set(question.workers.values()),
        )
        self.assertAlmostEqual(0.08, question.answer_seconds)

    def test_start_goes_with_its_ticket_where_it_is_allowed(self) -> None:
        self.answer(side_2='ticket-2')
        starts = self.list_starts()
        self.assertEqual(['side-2'], list(starts))
        self.assertEqual('ticket-2', starts['side-2'].ticket)
        self.assertIsNone(self.leader.engine.find_question())

    def test_workers_that_are_not_allowed_are_not_asked_about_again(
        self,
    ) -> None:
        self.answer()
        self.assertEqual({}, self.list_starts())
        self.assertIsNone(self.leader.engine.find_question())

    def test_ticket_that_ran_out_is_asked_for_again(self) -> None:
        self.leader.orders = None
        self.answer(side_2='ticket-2')
        self.leader.now += VALID_SECONDS
        self.report()
        self.leader.orders = builders.make_orders(
            advice=workloads.AdviceTiming(0.05, 0.01)
        )
        self.leader.plan()
        self.assertEqual({}, self.list_starts())
        self.assertEqual(
            ['i-side-2'], list(self.find_question().workers.values())
        )

    def test_refused_ticket_is_asked_for_again(self) -> None:
        self.answer(side_2='ticket-2')
        run = self.list_starts()['side-2'].run
        outcome = coordination.OrderOutcome(
            FIRST, run, platform.Refusal.BAD_TICKET
        )
        self.leader.report(builders.make_report('side-2', outcomes=(outcome,)))
        self.leader.plan()
        self.assertEqual({}, self.list_starts())
        self.assertEqual(
            ['i-side-2'], list(self.find_question().workers.values())
        )

    def test_queue_without_advice_does_not_ask(self) -> None:
        self.leader.orders = builders.make_orders()
        self.leader.plan()
        self.assertIsNone(self.leader.engine.find_question())
        self.assertEqual(1, len(self.list_starts()))


if __name__ == '__main__':
    unittest.main()
