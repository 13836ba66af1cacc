"""Tests of the pace tracker."""

import unittest

from chivespoke.agents import _paces
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import platform
from chivespoke import telemetry

FILLER = coordination.StartOrder('filler', 1, '', '', 'f1', 0, True, False)
SERVING = coordination.StartOrder('serving', 1, '', '', 's1', 18, False, False)
CAPACITY_MILLIS = 10000
EMPTY = platform.WorkerStatus(0, (), ())


def make_run(order: coordination.StartOrder) -> coordination.AdoptedRun:
    return coordination.AdoptedRun(
        order.task,
        order.run,
        order.image,
        order.target_latency_ms,
        order.filler,
    )


def make_status(tail: float, *tasks: str) -> platform.WorkerStatus:
    measures = {'serving': tail, 'filler': 2000.0}
    return platform.WorkerStatus(
        0,
        tuple(
            platform.RunningTask(task, 1, '', 50.0, measures[task])
            for task in tasks
        ),
        (),
    )


class PaceTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = _paces.PaceTracker('w', telemetry.Telemetry())
        self.tracker.record_start_order(SERVING)
        self.tracker.record_start_order(FILLER)

    def adjust(self, status: platform.WorkerStatus, now: float) -> list[str]:
        return [
            change.task
            for change in self.tracker.adjust(status, CAPACITY_MILLIS, now)
        ]

    def test_run_missing_from_one_poll_is_still_paced(self) -> None:
        # Regression: such runs were dropped and never paced, because a poll
        # sent before a run started does not list it.
        self.assertEqual([], self.adjust(EMPTY, 0.0))
        both = make_status(40.0, 'serving', 'filler')
        self.assertEqual(['filler'], self.adjust(both, 1.0))

    def test_run_unlisted_for_too_many_polls_is_dropped(self) -> None:
        for step in range(_paces.MAX_UNLISTED_POLLS + 1):
            self.adjust(EMPTY, 0.1 * step)
        both = make_status(40.0, 'serving', 'filler')
        self.assertEqual([], self.adjust(both, 10.0))

    def test_unchanged_pace_is_not_set_again(self) -> None:
        low = make_status(11.5, 'serving', 'filler')
        self.tracker.record_pace(decisions.PaceChange('filler', 1, 60))
        self.assertEqual([], self.adjust(low, 1.0))

    def test_fillers_are_throttled_by_their_share_of_the_current_capacity(
        self,
    ) -> None:
        # Regression: the capacity at the begin of the session counted for
        # good, so that fillers on a worker that shrank were throttled too far.
        percents = {}
        for capacity_millis in (10000, 2000):
            tracker = _paces.PaceTracker('w', telemetry.Telemetry())
            tracker.record_run(make_run(SERVING))
            tracker.record_run(make_run(FILLER))
            tracker.update_interference(
                (decisions.InterferenceCoefficient('s1', 'f1', 2.0),)
            )
            (change,) = tracker.adjust(
                make_status(14.0, 'serving', 'filler'), capacity_millis, 1.0
            )
            percents[capacity_millis] = change.percent
        self.assertEqual({10000: 73, 2000: 94}, percents)


if __name__ == '__main__':
    unittest.main()
