"""Tests of the pace tracker."""

import unittest
from unittest import mock

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


JOBS = {
    decisions.Standing.TIMELY: '00000000000000a1',
    decisions.Standing.DELAYED: '00000000000000b2',
}
TIMELY, DELAYED = (f'{job}.0.0.0' for job in JOBS.values())
STANDINGS = tuple(
    coordination.JobStanding(job, standing)
    for standing, job in JOBS.items()
    if standing is not decisions.Standing.TIMELY
)


class StandingTest(unittest.TestCase):
    """Pace fillers of two jobs beside a serving task with a high tail."""

    def setUp(self) -> None:
        self.instruments = telemetry.Telemetry()
        self.tracker = _paces.PaceTracker('w', self.instruments)
        self.tracker.record_run(make_run(SERVING))
        for task, image in ((TIMELY, 'f1'), (DELAYED, 'f2')):
            self.tracker.record_run(
                coordination.AdoptedRun(task, 1, image, 0, True, 1000)
            )
        self.tracker.update_interference(
            (
                decisions.InterferenceCoefficient('s1', 'f1', 2.0),
                decisions.InterferenceCoefficient('s1', 'f2', 1.0),
            )
        )

    def adjust(self, now: float) -> list[str]:
        """Return the fillers whose paces change."""
        rows = (('serving', 13.0), (TIMELY, 1000.0), (DELAYED, 1000.0))
        status = platform.WorkerStatus(
            0,
            tuple(
                platform.RunningTask(task, 1, '', 50.0, measure)
                for task, measure in rows
            ),
            (),
        )
        return [
            change.task
            for change in self.tracker.adjust(status, CAPACITY_MILLIS, now)
        ]

    def test_filler_of_a_delayed_job_is_throttled_first(self) -> None:
        self.assertEqual([TIMELY], self.adjust(0.0))
        self.tracker.update_standings(STANDINGS, 1.0)
        self.assertEqual([DELAYED], self.adjust(1.0))

    def test_standings_outlast_a_lost_directive(self) -> None:
        self.tracker.update_standings(STANDINGS, 0.0)
        self.assertEqual([DELAYED], self.adjust(1.2))

    def test_standings_end_if_no_leader_is_heard(self) -> None:
        self.tracker.update_standings(STANDINGS, 0.0)
        limit = _paces.MAX_STANDINGS_AGE_SECONDS
        self.assertEqual([DELAYED], self.adjust(limit))
        self.assertEqual([TIMELY], self.adjust(limit + 1.0))

    def test_leader_that_names_none_ends_the_standings(self) -> None:
        # It leads since a moment, or there is room again.
        self.tracker.update_standings(STANDINGS, 0.0)
        self.tracker.update_standings((), 0.4)
        self.assertEqual([TIMELY], self.adjust(1.0))

    def test_change_is_logged_with_the_standings_and_their_age(self) -> None:
        self.tracker.update_standings(STANDINGS, 0.0)
        with mock.patch.object(_paces, 'LOGGER') as log:
            self.adjust(0.5)
        fields = log.info.call_args.kwargs
        self.assertEqual({DELAYED: 'DELAYED'}, fields['standings'])
        self.assertEqual(0.5, fields['standings_age'])

    def test_reduced_paces_of_listed_fillers_are_reported(self) -> None:
        status = make_status(5.0, 'serving')
        rows = tuple(
            platform.RunningTask(task, run, '', 50.0, 0.0)
            for task, run in ((TIMELY, 1), (DELAYED, 2))
        )
        status = platform.WorkerStatus(0, (*status.running, *rows), ())
        self.assertEqual((), self.tracker.list_reduced_paces(status))
        for task in (TIMELY, DELAYED):
            self.tracker.record_pace(decisions.PaceChange(task, 1, 0))
        # The worker lists a later run of the delayed task, whose pace is not
        # known.
        self.assertEqual(
            (coordination.RunPace(TIMELY, 1, 0),),
            self.tracker.list_reduced_paces(status),
        )

    def test_held_fillers_are_counted_by_standing(self) -> None:
        self.tracker.update_standings(STANDINGS, 0.0)
        self.tracker.record_pace(decisions.PaceChange(DELAYED, 1, 5))
        self.adjust(0.5)
        counts = [
            line.split()
            for line in self.instruments.format_metrics().decode().splitlines()
            if line.startswith('chivespoke_filler_polls_total')
        ]
        self.assertEqual(
            [
                ['held="false",standing="timely"', 1.0],
                ['held="true",standing="delayed"', 1.0],
            ],
            sorted(
                [labels.partition('{')[2].rstrip('}'), float(count)]
                for labels, count in counts
            ),
        )


if __name__ == '__main__':
    unittest.main()
