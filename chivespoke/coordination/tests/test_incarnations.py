"""Tests of workers that start again, also under the same identifier."""

import unittest

from chivespoke import coordination
from chivespoke.coordination import _fences
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform

FIRST_TASK = engine_case.FIRST_TASK


class IncarnationTest(engine_case.EngineTest):
    def setUp(self) -> None:
        super().setUp()
        self.start_job(engine_case.ONE_TASK_STEP)
        self.leader.report(builders.make_report('side-2'))

    def list_starts_elsewhere(self) -> list[str]:
        """Return the starts on the second worker."""
        self.leader.plan()
        return self.list_starts('side-2')

    def report_restart(self, born_ms: int) -> None:
        """Report an incarnation that has carried out an earlier's order."""
        self.leader.report(
            builders.make_report(
                born_ms=born_ms, running=(builders.make_running(FIRST_TASK),)
            )
        )

    def test_order_carried_out_by_the_next_incarnation_is_stopped_first(
        self,
    ) -> None:
        self.report_restart(born_ms=2)
        self.assertEqual([], self.list_starts_elsewhere())
        stops = self.leader.make_directive().stops
        self.assertEqual([coordination.StopOrder(FIRST_TASK, 1)], list(stops))
        outcome = coordination.OrderOutcome(
            FIRST_TASK, 1, platform.Refusal.SUPERSEDED
        )
        self.leader.report(
            builders.make_report(born_ms=2, outcomes=(outcome,))
        )
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_next_leader_stops_such_an_order_first(self) -> None:
        self.leader = builders.Leader(self.leader.ledger, builders.EPOCH + 1)
        self.leader.report(builders.make_report('side-2'))
        self.report_restart(born_ms=2)
        self.assertEqual([], self.list_starts_elsewhere())
        self.assertEqual(1, len(self.leader.make_directive().stops))

    def test_incarnation_with_an_earlier_start_replaces_the_known_one(
        self,
    ) -> None:
        # The time of day was set back before the worker started again; the
        # sidecar has restarted as well.
        self.leader.report(
            builders.make_report(sidecar_incarnation='b', born_ms=0)
        )
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())

    def test_report_of_an_earlier_session_has_no_effect(self) -> None:
        self.leader.report(builders.make_report(born_ms=2))
        self.report_restart(born_ms=1)
        self.assertEqual([FIRST_TASK], self.list_starts_elsewhere())
        (worker,) = (
            worker
            for worker in self.leader.engine.state.workers.values()
            if worker.sidecar == 'side-1'
        )
        self.assertEqual(2, worker.incarnation.born_ms)


class SessionFencesTest(unittest.TestCase):
    def test_tokens_rise_with_sessions_and_epochs(self) -> None:
        tokens = []
        for epoch in (7, 8):
            fences = _fences.SessionFences(epoch)
            for session in ('a/1', 'a/2', 'b/1'):
                self.assertTrue(fences.admit('side-1', session))
                self.assertTrue(fences.admit('side-1', session))
                tokens.append(fences.find_token('side-1'))
                tokens.append(fences.find_token_end('side-1') - 1)
                self.assertEqual(session, fences.find_session('side-1'))
        self.assertEqual(sorted(set(tokens)), tokens)

    def test_session_that_uses_its_last_token_gets_another(self) -> None:
        fences = _fences.SessionFences(7)
        fences.admit('side-1', 'a/1')
        for _ in range(3):
            end = fences.find_token_end('side-1')
            fences.record_use('side-1', end - 2)
            self.assertEqual(end, fences.find_token_end('side-1'))
            fences.record_use('side-1', end - 1)
            self.assertEqual(end + 1, fences.find_token_end('side-1'))
        fences.admit('side-1', 'a/2')
        self.assertEqual(end + 1, fences.find_token('side-1'))

    def test_raised_tokens_leave_some_of_the_epoch_for_later_sessions(
        self,
    ) -> None:
        fences = _fences.SessionFences(7)
        fences.admit('side-1', 'a/1')
        for _ in range(_fences.TOKENS_PER_EPOCH):
            fences.record_use('side-1', fences.find_token_end('side-1') - 1)
        fences.admit('side-1', 'a/2')
        end = (7 + 1) * _fences.TOKENS_PER_EPOCH
        self.assertLess(fences.find_token_end('side-1'), end)

    def test_earlier_session_that_is_heard_late_is_not_admitted(self) -> None:
        fences = _fences.SessionFences(7)
        self.assertTrue(fences.admit('side-1', 'a/10'))
        self.assertFalse(fences.admit('side-1', 'a/9'))
        self.assertEqual('a/10', fences.find_session('side-1'))

    def test_replaced_session_is_not_admitted(self) -> None:
        fences = _fences.SessionFences(7)
        fences.admit('side-1', 'a/1')
        fences.admit('side-1', 'a/2')
        self.assertFalse(fences.admit('side-1', 'a/1'))
        self.assertEqual('a/2', fences.find_session('side-1'))


if __name__ == '__main__':
    unittest.main()
