"""Test that bad reports are refused, counted, and teach nothing."""

import dataclasses
import math
import typing
import unittest

import msgspec

from chivespoke import resources
from chivespoke.scheduling import policies
from chivespoke.scheduling.policies.tests import builders
from chivespoke import workers

NOW = 1000.0


@dataclasses.dataclass(slots=True)
class Case:
    """Hold one bad report or part of one, and its refusal."""

    refusal: policies.RejectionReason
    usage: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    header: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    is_replica: bool = True


MALFORMED = policies.RejectionReason.MALFORMED
CASES = (
    Case(MALFORMED, {'latency_p99': math.nan}),
    Case(MALFORMED, {'latency_p99': math.inf}),
    Case(MALFORMED, {'latency_p99': -1.0}),
    Case(MALFORMED, {'latency_p99': 0.0}),
    Case(MALFORMED, {'request_rate': -5.0}),
    Case(MALFORMED, {'use': resources.Resources(-1, 0, 0)}),
    Case(MALFORMED, {'use': resources.Resources(10**9, 0, 0)}),
    Case(MALFORMED, {'progress': math.nan}, is_replica=False),
    Case(policies.RejectionReason.MISSING, {'latency_p99': None}),
    Case(policies.RejectionReason.MISSING, {'request_rate': None}),
    Case(
        policies.RejectionReason.MISSING, {'progress': None}, is_replica=False
    ),
    Case(policies.RejectionReason.UNKNOWN_TASK, {'attempt': 7}),
    Case(policies.RejectionReason.DUPLICATE, header={'sequence': 1}),
    Case(policies.RejectionReason.FUTURE, header={'measured_until': 2000.0}),
    Case(
        policies.RejectionReason.MALFORMED, header={'measured_from': math.nan}
    ),
    Case(policies.RejectionReason.MALFORMED, header={'measured_from': 500.0}),
    Case(
        policies.RejectionReason.STALE,
        header={'measured_from': 0.0, 'measured_until': 5.0},
    ),
)


class BadReportTest(unittest.TestCase):
    def test_bad_parts_are_refused_and_counted(self) -> None:
        for case in CASES:
            with self.subTest(case=case):
                self._check(case)

    def _check(self, case: Case) -> None:
        is_replica = builders.make_demand('main/0')
        batch = builders.make_demand('noisy-1')
        worker = builders.make_worker('w0', [is_replica, batch])
        matcher = policies.ReportMatcher()
        matcher.observe_clock(NOW, worker.worker_id, NOW - 900.0)
        first = builders.make_report(worker, 1)
        self.assertIsNotNone(matcher.match_report(NOW, first, worker))
        matcher.rejections.clear()
        victim = is_replica if case.is_replica else batch
        usages = [
            builders.make_usage(d, **(case.usage if d is victim else {}))
            for d in (is_replica, batch)
        ]
        bad = msgspec.structs.replace(
            builders.make_report(worker, 2, usages), **case.header
        )
        matched = matcher.match_report(NOW, bad, worker)
        self.assertEqual(matcher.rejections[case.refusal], 1)
        if case.header:
            self.assertIsNone(matched)
        else:
            assert matched is not None
            # The rest of the report still counts for sizes, but an
            # incomplete co-location teaches the model nothing.
            self.assertEqual(len(matched.observations), 1)
            self.assertFalse(matched.is_colocation_stable)


class MatchTest(unittest.TestCase):
    def test_lagging_report_is_not_blamed_on_the_newcomer(self) -> None:
        is_replica = builders.make_demand('main/0')
        departed = builders.make_demand('old-1')
        arrived = builders.make_demand('new-1')
        worker = builders.make_worker('w0', [is_replica, departed])
        matcher = policies.ReportMatcher()
        matcher.match_report(NOW, builders.make_report(worker, 1), worker)
        delayed = builders.make_report(worker, 2)
        del worker.tasks[departed.task_id]
        builders.add_task(worker, arrived)
        matched = matcher.match_report(NOW, delayed, worker)
        assert matched is not None
        families = {each.demand.family for each in matched.observations}
        self.assertEqual(families, {'main', 'old'})
        self.assertTrue(matched.is_colocation_stable)
        spanning = builders.make_report(worker, 3)
        matched = matcher.match_report(NOW, spanning, worker)
        assert matched is not None
        self.assertFalse(matched.is_colocation_stable)
        self.assertEqual(
            matcher.rejections[policies.RejectionReason.SPANS_CHANGE], 2
        )

    def test_slow_reports_after_a_move_leave_the_newcomer_clean(self) -> None:
        """Blame stays with the family that was there when it was slow."""
        estimator = policies.WorkloadEstimator(
            policies.PairwiseRegressionModel(), policies.LearnedSizes()
        )
        is_replica = builders.make_demand('main/0')
        noisy = builders.make_demand('noisy-1')
        calm = builders.make_demand('calm-1')
        worker = builders.make_worker('w0', [is_replica, noisy])
        in_flight: list[workers.UsageReport] = []
        for sequence in range(1, 601):
            # The two families take turns of 20 reports each.
            if sequence % 20 == 0:
                departing, arriving = (
                    (noisy, calm)
                    if noisy.task_id in worker.tasks
                    else (calm, noisy)
                )
                del worker.tasks[departing.task_id]
                builders.add_task(worker, arriving)
            latency = 30.0 if noisy.task_id in worker.tasks else 10.0
            usages = [
                builders.make_usage(
                    placed.demand,
                    **(
                        {'latency_p99': latency}
                        if placed.demand is is_replica
                        else {}
                    ),
                )
                for placed in worker.tasks.values()
            ]
            in_flight.append(builders.make_report(worker, sequence, usages))
            # Reports come five intervals late, when the other may be there.
            if len(in_flight) > 5:
                estimator.observe_report(NOW, in_flight.pop(0), worker)
        share = policies.make_share(noisy.size, worker.capacity)
        slowdowns = {
            family: estimator.model.predict_slowdown(
                'main', family, share, 1.0
            ).mean
            for family in ('noisy', 'calm')
        }
        self.assertGreater(slowdowns['noisy'], 0.7)
        self.assertLess(slowdowns['calm'], 0.2)
