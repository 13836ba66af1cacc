"""Tests of what a new leader knows of those before it; no I/O."""

import typing
import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination import _handover
from chivespoke.coordination import _predecessors
from chivespoke.coordination import _records
from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import errors
from chivespoke import platform
from chivespoke import workloads

# A task that lasts may be idle for so long.
MAX_IDLE_SECONDS = 9.0
# The same from the return of the store on: 4 s until all is calm, and 3 s.
MAX_IDLE_AFTER_RETURN_SECONDS = 7.0
STEP_SECONDS = 0.2
LASTING = workloads.Step(count=1, cpu_millis=1000, long_running=True)


class PredecessorTest(engine_case.EngineTest):
    """Lose a machine with a lasting task, and the leader.

    The store takes no record meanwhile, so that the next leader has only
    those of before.
    """

    def setUp(self) -> None:
        super().setUp()
        self.leader.announce()
        self.start_job(LASTING)
        self.leader.plan()
        self.lost_at = self.leader.now

    def take_over(self, seconds: float = 0.0) -> None:
        """Let another leader take over some seconds later."""
        self.leader = builders.Leader(
            self.leader.ledger,
            self.leader.epoch + 1,
            now=self.leader.now + seconds,
        )
        self.leader.announce()

    def end_leader(
        self,
        ended_at: float,
        sidecars: dict[str, _records.SilentSidecar] | None = None,
        epoch: int = builders.EPOCH,
    ) -> None:
        """Let the leader learn that an earlier one has ended."""
        self.leader.engine.record_leader_end(
            epoch,
            _predecessors.LeaderEnd(ended_at, sidecars or {}),
            self.leader.now,
        )

    def pass_time(self, seconds: float) -> None:
        """Let the leader hear another sidecar only."""
        until = self.leader.now + seconds
        while self.leader.now < until:
            self.leader.now += STEP_SECONDS
            self.leader.report(
                builders.make_report(
                    'side-2', clock_ms=int(self.leader.now * 1000)
                )
            )
            self.leader.plan()

    def measure_idle_time(self, limit: float = 40.0) -> float:
        """Return for how long the task has been idle once it starts."""
        while self.leader.now < self.lost_at + limit:
            self.pass_time(STEP_SECONDS)
            if self.list_starts('side-2'):
                return self.leader.now - self.lost_at
        return limit

    @property
    def timeouts(self) -> coordination.LeaderTimeouts:
        return self.leader.engine.state.timeouts

    def test_lasting_task_waits_for_a_leader_whose_process_has_ended(
        self,
    ) -> None:
        # Regression (issue 50): 18 s from the take-over on.
        self.take_over(3.0)
        self.end_leader(self.lost_at + 1.0)
        self.assertLess(self.measure_idle_time(), MAX_IDLE_SECONDS)

    def test_lasting_task_waits_for_a_leader_that_has_stopped(self) -> None:
        # Regression (issue 50): the leader before lives, and says what is left
        # of the leases.
        self.leader.now += 4.5
        leases = self.leader.engine.describe_leases(self.leader.now)
        self.take_over()
        self.end_leader(self.leader.now, leases)
        returned_at = self.leader.now
        idle_seconds = self.measure_idle_time() - (returned_at - self.lost_at)
        self.assertLess(idle_seconds, MAX_IDLE_AFTER_RETURN_SECONDS / 2)

    def test_leases_granted_up_to_the_end_are_waited_for(self) -> None:
        for sidecars in (
            {},
            {'side-2': _records.SilentSidecar(1)},
            {'side-1': _records.SilentSidecar(6240)},
        ):
            with self.subTest(sidecars):
                self.setUp()
                self.take_over(3.0)
                self.end_leader(self.lost_at + 2.0, sidecars)
                self.assertGreaterEqual(
                    self.measure_idle_time(),
                    2.0 + self.timeouts.max_lease_seconds,
                )

    def test_each_leader_on_record_must_have_ended(self) -> None:
        self.take_over(1.0)
        self.take_over(1.0)
        taken_over_at = self.leader.now
        self.end_leader(self.leader.now, epoch=builders.EPOCH + 1)
        self.assertGreaterEqual(
            self.measure_idle_time(),
            taken_over_at - self.lost_at + self.timeouts.max_wait_seconds,
        )

    def test_wait_for_a_leader_ends_though_the_next_one_did_not_know(
        self,
    ) -> None:
        # Regression (soak, seed 5001): what the second leader said of the
        # leases counted its own wait for the first one, of which the third
        # knew that it had ended.
        self.take_over(1.0)
        leases = self.leader.engine.describe_leases(self.leader.now)
        self.take_over(1.0)
        self.end_leader(self.leader.now, leases, builders.EPOCH + 1)
        self.end_leader(self.lost_at + 0.5)
        self.assertLess(self.measure_idle_time(), MAX_IDLE_SECONDS)

    def test_leader_without_a_record_is_waited_for_by_later_ones(self) -> None:
        self.leader.write(_records.encode_past_leader(builders.EPOCH))
        self.take_over()
        leases = self.leader.engine.describe_leases(self.leader.now)
        self.take_over(1.0)
        self.end_leader(self.leader.now, leases, builders.EPOCH + 1)
        self.assertGreaterEqual(
            self.measure_idle_time(), self.timeouts.max_wait_seconds
        )

    def test_last_end_counts(self) -> None:
        self.take_over(1.0)
        self.take_over(1.0)
        self.end_leader(self.lost_at + 1.5, epoch=builders.EPOCH + 1)
        self.end_leader(self.lost_at)
        idle_seconds = self.measure_idle_time()
        self.assertGreaterEqual(
            idle_seconds, 1.5 + self.timeouts.max_lease_seconds
        )
        self.assertLess(idle_seconds, MAX_IDLE_SECONDS)

    def test_start_that_may_be_executed_late_is_waited_for(self) -> None:
        # The leader ended before it knew the outcome of an order.
        job = builders.make_job(LASTING, identifier='00000000000000b1')
        self.leader.submit(job)
        self.leader.plan()
        (start,) = self.leader.make_directive().starts
        self.take_over(2.0)
        self.end_leader(self.lost_at + 1.0)
        starts: dict[str, float] = {}
        while self.leader.now < self.lost_at + 20.0:
            self.pass_time(STEP_SECONDS)
            for each in self.leader.make_directive('side-2').starts:
                starts.setdefault(each.task, self.leader.now - self.lost_at)
        self.assertLess(starts[engine_case.FIRST_TASK], MAX_IDLE_SECONDS)
        self.assertGreaterEqual(
            starts[start.task],
            1.0
            + self.timeouts.start_order_seconds
            + self.timeouts.late_call_seconds,
        )

    def test_late_starts_of_a_leader_count_after_its_record_is_gone(
        self,
    ) -> None:
        # The second leader on record tells once the first one's is past.
        job = builders.make_job(LASTING, identifier='00000000000000b1')
        self.leader.submit(job)
        self.leader.plan()
        (start,) = self.leader.make_directive().starts
        self.take_over()
        self.take_over()
        self.end_leader(self.lost_at)
        self.pass_time(self.timeouts.max_lease_seconds + STEP_SECONDS)
        self.assertNotIn(builders.EPOCH, self.leader.ledger.leaders)
        self.end_leader(
            self.leader.now,
            {'side-1': _records.SilentSidecar(1)},
            builders.EPOCH + 1,
        )
        starts = []
        while self.leader.now < self.lost_at + (
            self.timeouts.late_call_seconds
        ):
            self.pass_time(STEP_SECONDS)
            starts += self.list_starts('side-2')
        self.assertIn(engine_case.FIRST_TASK, starts)
        self.assertNotIn(start.task, starts)

    def test_record_of_a_silent_sidecar_names_all_late_starts(self) -> None:
        # The run was not listed before the sidecar fell silent, but the
        # leader knew that no call could start it.
        self.setUp()
        self.leader.engine.state.jobs[builders.JOB].progress.tasks[0][0][
            0
        ].settled_run = 0
        self.leader.engine.state.jobs[builders.JOB].dirty = True
        self.pass_time(3.0)
        self.assertIn('side-1', self.leader.ledger.silent_sidecars)
        self.take_over()
        self.end_leader(self.leader.now)
        self.assertLess(self.measure_idle_time(), MAX_IDLE_SECONDS)

    def test_order_for_a_settled_run_waits_for_its_record(self) -> None:
        # The worker has lost the run; the call that repeats the order may get
        # no answer.
        self.leader.report(builders.make_report(clock_ms=2000))
        self.assertEqual([], self.list_starts())
        self.leader.plan()
        self.assertEqual([engine_case.FIRST_TASK], self.list_starts())
        self.take_over(2.0)
        self.end_leader(self.lost_at + 1.0)
        self.assertGreaterEqual(
            self.measure_idle_time(), self.timeouts.late_call_seconds
        )

    def test_records_go_once_the_leases_are_past(self) -> None:
        for ended_at, seconds in (
            (self.lost_at, self.timeouts.max_lease_seconds),
            (None, self.timeouts.max_wait_seconds),
        ):
            with self.subTest(ended_at):
                self.setUp()
                self.take_over()
                if ended_at is not None:
                    self.end_leader(ended_at)
                self.pass_time(seconds - 2 * STEP_SECONDS)
                self.assertIn(builders.EPOCH, self.leader.ledger.leaders)
                self.pass_time(4 * STEP_SECONDS)
                self.assertEqual(
                    [builders.EPOCH + 1], list(self.leader.ledger.leaders)
                )

    def test_grants_are_told_once_those_of_earlier_leaders_are_past(
        self,
    ) -> None:
        self.take_over()
        self.end_leader(self.lost_at)
        self.leader.report(builders.make_report(clock_ms=5000))
        self.assertEqual(0, self.leader.make_directive().granted_until_ms)
        self.leader.now += self.timeouts.max_lease_seconds
        first = self.leader.make_directive()
        self.assertEqual(first.lease_until_ms, first.granted_until_ms)
        # The worker's clock is read anew, by another process.
        self.leader.report(
            builders.make_report(clock_ms=4000, sidecar_incarnation='b')
        )
        self.assertEqual(
            first.granted_until_ms,
            self.leader.make_directive().granted_until_ms,
        )

    def test_leader_waits_for_leases_that_no_leader_allowed(self) -> None:
        # Regression (soak, seed 5007): the sidecar had just begun, and was
        # lost before it heard of the leader.
        for seconds, expected in (
            (0.0, 10.4),
            (self.timeouts.max_lease_seconds, self.timeouts.max_lease_seconds),
        ):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.take_over()
                self.end_leader(self.lost_at)
                self.leader.now += seconds
                self.leader.report(
                    builders.make_report(clock_ms=5000, lease_end_ms=15_000)
                )
                worker = self.leader.engine.state.find_worker_of('side-1')
                assert worker is not None
                self.assertAlmostEqual(
                    expected, worker.leases_expire_at - self.leader.now
                )

    def test_without_a_record_of_the_leader_before_the_wait_is_full(
        self,
    ) -> None:
        # An entry of an earlier version leaves none.
        self.leader.write(_records.encode_past_leader(builders.EPOCH))
        self.take_over()
        self.end_leader(self.lost_at)
        self.assertGreaterEqual(
            self.measure_idle_time(), self.timeouts.max_wait_seconds
        )


class LeaderRecordTest(unittest.TestCase):
    def test_records_of_another_writer_are_refused(self) -> None:
        ledger = _records.Ledger()
        good = {'member': 'm', 'address': '127.0.0.1:1'}
        for key, content in (
            ('leader/x', good),
            ('leader/' + '9' * 400, good),
            ('leader/7', {'member': 'm'}),
            ('leader/7', {**good, 'address': 'nowhere'}),
        ):
            with (
                self.subTest(key=key, content=content),
                self.assertRaises(errors.RefusedError),
            ):
                ledger.apply(
                    platform.Record(0, key, msgspec.msgpack.encode(content))
                )
        self.assertEqual({}, ledger.leaders)

    def test_full_read_drops_past_leaders(self) -> None:
        ledger = _records.Ledger()
        record = _records.LeaderRecord('m', '127.0.0.1:1')
        for encoded in platform.decode_records(
            _records.encode_leader(7, record), 0
        ):
            ledger.apply(encoded)
        ledger.retain(frozenset(('leader/7',)))
        self.assertEqual({7: record}, ledger.leaders)
        ledger.retain(frozenset())
        self.assertEqual({}, ledger.leaders)


class InterpretTest(unittest.TestCase):
    def test_answers(self) -> None:
        leader = _records.LeaderRecord('m', '127.0.0.1:1')
        left = {'side-1': _records.SilentSidecar(100)}
        cases: tuple[tuple[_handover.Handover, typing.Any], ...] = (
            # The term goes on, or is not known.
            (_handover.Handover('m', 5000), None),
            (
                _handover.Handover('m', 5000, 1000, left),
                _predecessors.LeaderEnd(99.0, left),
            ),
            # Another process has its address.
            (
                _handover.Handover('n', 5000),
                _predecessors.LeaderEnd(95.0, {}),
            ),
            (
                _handover.Handover('n', 5000, 1000, left),
                _predecessors.LeaderEnd(95.0, {}),
            ),
        )
        for handover, expected in cases:
            with self.subTest(handover):
                self.assertEqual(
                    expected, _handover.interpret(handover, leader, 100.0, 0.0)
                )

    def test_clock_that_is_fast_ends_no_leader_early(self) -> None:
        leader = _records.LeaderRecord('m', '127.0.0.1:1')
        end = _handover.interpret(
            _handover.Handover('n', 10_000), leader, 100.0, 0.02
        )
        assert end is not None
        self.assertAlmostEqual(90.2, end.ended_at)
