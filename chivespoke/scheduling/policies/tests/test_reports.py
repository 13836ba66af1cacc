"""Test the validation of reports and their match to tasks."""

import dataclasses
import math
import typing
import unittest

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import policies
from chivespoke.scheduling.policies.tests import builders
from chivespoke import workers

NOW = 1000.0


@dataclasses.dataclass(slots=True)
class Case:
    """Hold an invalid report, or part of one, and the reason to reject it.

    The usage or the header is changed by the given fields.
    """

    reason: policies.RejectionReason
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


class InvalidReportTest(unittest.TestCase):
    def test_invalid_parts_are_rejected_and_counted(self) -> None:
        for case in CASES:
            with self.subTest(case=case):
                self._check(case)

    def _check(self, case: Case) -> None:
        replica = builders.make_demand('main/0')
        batch = builders.make_demand('noisy-1')
        worker = builders.make_worker('w0', [replica, batch])
        matcher = policies.ReportMatcher()
        matcher.observe_clock(NOW, worker.worker_id, NOW - 900.0)
        first = builders.make_report(worker, 1)
        self.assertIsNotNone(matcher.match_report(NOW, first, worker))
        matcher.rejections.clear()
        changed = replica if case.is_replica else batch
        usages = [
            builders.make_usage(d, **(case.usage if d is changed else {}))
            for d in (replica, batch)
        ]
        invalid = msgspec.structs.replace(
            builders.make_report(worker, 2, usages), **case.header
        )
        matched = matcher.match_report(NOW, invalid, worker)
        self.assertEqual(matcher.rejections[case.reason], 1)
        if case.header:
            self.assertIsNone(matched)
        else:
            assert matched is not None
            # The valid part is kept, but neither the model nor the sizes
            # learn from a report with invalid parts.
            self.assertEqual(len(matched.observations), 1)
            self.assertFalse(matched.is_colocation_stable)


class MatchTest(unittest.TestCase):
    def test_delayed_report_is_matched_to_measured_tasks(self) -> None:
        replica = builders.make_demand('main/0')
        departed = builders.make_demand('old-1')
        arrived = builders.make_demand('new-1')
        worker = builders.make_worker('w0', [replica, departed])
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

    def test_reports_of_a_restarted_worker_are_taken_for_old_ones(
        self,
    ) -> None:
        worker = builders.make_worker('w0', [builders.make_demand('main/0')])
        matcher = policies.ReportMatcher()
        worker.incarnation = identifiers.Incarnation('earlier')
        for sequence in range(1, 5):
            report = builders.make_report(worker, sequence)
            self.assertIsNotNone(matcher.match_report(NOW, report, worker))
        # Its numbers and its clock start anew.
        worker.incarnation = identifiers.Incarnation('later')
        for sequence in (1, 2):
            report = builders.make_report(worker, sequence)
            self.assertIsNotNone(matcher.match_report(NOW, report, worker))

    def test_delayed_reports_are_not_attributed_to_arrived_family(
        self,
    ) -> None:
        """The slowdown is attributed to the family that ran meanwhile."""
        estimator = policies.WorkloadEstimator(
            policies.PairwiseRegressionModel(), policies.LearnedSizes()
        )
        replica = builders.make_demand('main/0')
        noisy = builders.make_demand('noisy-1')
        calm = builders.make_demand('calm-1')
        worker = builders.make_worker('w0', [replica, noisy])
        in_flight: list[workers.UsageReport] = []
        for sequence in range(1, 601):
            # The two families alternate every 20 reports.
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
                        if placed.demand is replica
                        else {}
                    ),
                )
                for placed in worker.tasks.values()
            ]
            in_flight.append(builders.make_report(worker, sequence, usages))
            # Reports arrive five intervals late, when the other family may be
            # running.
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
