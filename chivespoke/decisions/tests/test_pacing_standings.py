"""Tests of pacing by the standing of the fillers' jobs."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke import decisions
from chivespoke.decisions.tests import builders
from chivespoke.decisions.tests import paced_worker
from chivespoke.decisions.tests import unranked_pacing

TARGET_MS = 18
CAPACITY_MILLIS = 10000
TIMELY = decisions.Standing.TIMELY
DELAYED = decisions.Standing.DELAYED
EXPIRED = decisions.Standing.EXPIRED
COEFFICIENTS = {
    ('s1', 'f1'): 2.0,
    ('s1', 'f2'): 1.0,
    ('s1', 'f3'): 0.0,
    ('s2', 'f1'): 0.3,
    ('s2', 'f2'): 5.0,
    ('s2', 'f3'): 0.0,
}
INTERFERENCE = decisions.FixedInterferenceModel(
    decisions.InterferenceCoefficient(serving, filler, coefficient)
    for (serving, filler), coefficient in COEFFICIENTS.items()
)
# Pace that a filler which makes room keeps.
TRICKLE_PERCENT = 5
# Objective of a job as a multiple of its work at full speed.
STRETCH = 2.0

FILLERS = strategies.builds(
    decisions.PacedRun,
    task=strategies.just(''),
    run=strategies.just(1),
    image=strategies.sampled_from(['f1', 'f2', 'f3', 'new']),
    filler=strategies.just(True),
    target_latency_ms=strategies.just(0),
    measure=strategies.floats(0.0, 4000.0),
    pace=strategies.integers(0, 100),
    is_new=strategies.integers(0, 9).map(lambda draw: draw == 0),
    standing=strategies.sampled_from(decisions.Standing),
    cpu_millis=strategies.integers(0, 8000),
)
SERVING = strategies.builds(
    decisions.PacedRun,
    task=strategies.just(''),
    run=strategies.just(1),
    image=strategies.sampled_from(['s1', 's2']),
    filler=strategies.just(False),
    target_latency_ms=strategies.just(TARGET_MS),
    measure=strategies.floats(0.0, 40.0),
    pace=strategies.just(100),
    cpu_millis=strategies.integers(0, 4000),
)
# The runs of consecutive polls.
POLLS = strategies.lists(
    strategies.tuples(
        strategies.lists(SERVING, max_size=3),
        strategies.lists(FILLERS, max_size=6),
        strategies.floats(0.1, 2.0),
    ),
    min_size=1,
    max_size=5,
)


def name_runs(*runs: decisions.PacedRun) -> list[decisions.PacedRun]:
    """Give each run a task of its own."""
    return [
        msgspec.structs.replace(run, task=f'{run.image}-{number}')
        for number, run in enumerate(runs)
    ]


def make_filler(
    task: str,
    standing: decisions.Standing,
    pace: int = 100,
    image: str = 'f1',
    cpu_millis: int = 1000,
    is_new: bool = False,
) -> decisions.PacedRun:
    """Return a filler that uses all that its pace allows."""
    return msgspec.structs.replace(
        builders.make_paced(
            task, image, cpu_millis * pace / 100, pace=pace, is_new=is_new
        ),
        standing=standing,
        cpu_millis=cpu_millis,
    )


def make_serving(tail_share: float, image: str = 's1') -> decisions.PacedRun:
    """Return a serving run with a tail as a share of its target."""
    return builders.make_paced(image, image, tail_share * TARGET_MS, TARGET_MS)


def adjust(*runs: decisions.PacedRun) -> dict[str, int]:
    """Return the paces of the fillers after one adjustment."""
    changes = decisions.Pacer().adjust(
        runs, INTERFERENCE, CAPACITY_MILLIS, 100.0
    )
    return {run.task: run.pace for run in runs if run.filler} | {
        change.task: change.percent for change in changes
    }


class EqualStandingTest(unittest.TestCase):
    @hypothesis.given(POLLS, strategies.sampled_from(decisions.Standing))
    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    def test_fillers_of_one_standing_are_paced_as_without_standings(
        self,
        polls: list[
            tuple[list[decisions.PacedRun], list[decisions.PacedRun], float]
        ],
        standing: decisions.Standing,
    ) -> None:
        pacer = decisions.Pacer()
        reference = unranked_pacing.UnrankedPacer()
        now = 0.0
        for serving, fillers, seconds in polls:
            now += seconds
            alike = [
                msgspec.structs.replace(run, standing=standing)
                for run in fillers
            ]
            runs = name_runs(*serving, *alike)
            self.assertEqual(
                reference.adjust(runs, INTERFERENCE, CAPACITY_MILLIS, now),
                pacer.adjust(runs, INTERFERENCE, CAPACITY_MILLIS, now),
            )


class ThrottlingTest(unittest.TestCase):
    def test_late_jobs_are_throttled_before_timely_ones(self) -> None:
        # The timely filler interferes most, so that today it would be first.
        fillers = (
            make_filler('timely', TIMELY),
            make_filler('delayed', DELAYED, image='f2'),
            make_filler('expired', EXPIRED, image='f2'),
        )
        for tail_share, expected in (
            (0.69, {'timely': 100, 'delayed': 100, 'expired': 100}),
            (0.75, {'timely': 100, 'delayed': 100, 'expired': 31}),
            (0.80, {'timely': 100, 'delayed': 66, 'expired': 0}),
            (0.90, {'timely': 74, 'delayed': 0, 'expired': 0}),
        ):
            with self.subTest(tail_share):
                self.assertEqual(
                    expected, adjust(make_serving(tail_share), *fillers)
                )

    def test_gap_that_rounding_leaves_throttles_no_timely_filler(self) -> None:
        timely = make_filler('timely', TIMELY, 1)
        delayed = msgspec.structs.replace(
            make_filler('delayed', DELAYED, 3, image='new'), measure=1560.0
        )
        self.assertEqual(
            {'timely': 1, 'delayed': 1},
            adjust(make_serving(0.88671875), timely, delayed),
        )

    @hypothesis.given(
        strategies.floats(0.71, 1.0), strategies.lists(FILLERS, max_size=6)
    )
    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    def test_no_filler_is_throttled_beside_a_later_one_at_work(
        self, tail_share: float, drawn: list[decisions.PacedRun]
    ) -> None:
        fillers = [
            msgspec.structs.replace(run, is_new=False, cpu_millis=0)
            for run in name_runs(*drawn)
        ]
        paces = adjust(make_serving(tail_share), *fillers)
        disturbing = [
            run
            for run in fillers
            if run.measure > 0
            and INTERFERENCE.find_coefficient('s1', run.image)
            >= unranked_pacing.NEGLIGIBLE_COEFFICIENT
        ]
        for run in disturbing:
            # A delayed filler also makes room, beside a trickle of expired
            # ones.
            least = 0 if run.standing is TIMELY else TRICKLE_PERCENT
            for later in disturbing:
                if later.standing > run.standing and paces[later.task] > least:
                    self.assertEqual(run.pace, paces[run.task])

    def test_persistent_tail_over_target_throttles_all_standings(
        self,
    ) -> None:
        pacer = decisions.Pacer()
        paces = {standing: 100 for standing in decisions.Standing}
        for step in range(10):
            runs = [
                make_serving(2.2),
                *(
                    make_filler(standing.name, standing, pace, image='f3')
                    for standing, pace in paces.items()
                ),
            ]
            for change in pacer.adjust(
                runs, INTERFERENCE, CAPACITY_MILLIS, 0.4 * step
            ):
                paces[decisions.Standing[change.task]] = change.percent
        for standing, pace in paces.items():
            with self.subTest(standing):
                self.assertLess(pace, 10)

    def test_new_filler_of_a_late_job_starts_at_a_trickle(self) -> None:
        serving = make_serving(0.3)
        timely = make_filler('timely', TIMELY)
        new = make_filler('new', DELAYED, is_new=True)
        self.assertEqual(
            {'timely': 100, 'new': 5}, adjust(serving, timely, new)
        )
        self.assertEqual({'new': 30}, adjust(serving, new))


class HeadroomTest(unittest.TestCase):
    def test_late_jobs_get_what_timely_ones_leave_of_the_headroom(
        self,
    ) -> None:
        serving = make_serving(0.5)
        for pace, expected in ((40, (62, 11)), (100, (100, 70))):
            with self.subTest(pace):
                paces = adjust(
                    serving,
                    make_filler('timely', TIMELY, pace, cpu_millis=2000),
                    make_filler('delayed', DELAYED, 40),
                )
                self.assertEqual(expected, (paces['timely'], paces['delayed']))

    def test_throttled_late_filler_keeps_a_trickle_beside_headroom(
        self,
    ) -> None:
        paces = adjust(
            make_serving(0.55),
            make_filler('timely', TIMELY, 40, cpu_millis=4000),
            make_filler('delayed', DELAYED, 0),
        )
        self.assertEqual(5, paces['delayed'])

    def test_late_filler_makes_room_for_a_timely_one(self) -> None:
        # Between the shares at which fillers are sped up and throttled, none
        # of the paces would change otherwise.
        serving = make_serving(0.65)
        self.assertEqual(
            {'timely': 30, 'other': 100},
            adjust(
                serving,
                make_filler('timely', TIMELY, 30),
                make_filler('other', TIMELY, cpu_millis=3000),
            ),
        )
        paces = adjust(
            serving,
            make_filler('timely', TIMELY, 30),
            make_filler('delayed', DELAYED, cpu_millis=3000),
        )
        self.assertEqual(30, paces['timely'])
        self.assertLess(paces['delayed'], 100)
        self.assertGreater(paces['delayed'], 5)

    def test_room_is_made_only_beside_the_task_that_limits(self) -> None:
        # The delayed filler disturbs s1, and s2 holds the timely one down.
        limited = make_filler('timely', TIMELY, 30, image='f2')
        delayed = make_filler('delayed', DELAYED, image='f1')
        for share, expected in ((0.2, 100), (0.68, 7)):
            with self.subTest(share):
                paces = adjust(
                    make_serving(share),
                    make_serving(0.65, 's2'),
                    limited,
                    delayed,
                )
                self.assertEqual(expected, paces['delayed'])


class ProcessorTimeTest(unittest.TestCase):
    def test_late_jobs_get_the_processor_time_that_is_left(self) -> None:
        for timely, delayed, expired, expected in (
            (4000, 4000, 2000, (100, 100, 100)),
            (6000, 8000, 1000, (100, 50, 5)),
            (9000, 4000, 1000, (100, 25, 5)),
            (12000, 4000, 1000, (100, 5, 5)),
            (0, 8000, 4000, (100, 50)),
            (0, 12000, 0, (100,)),
        ):
            with self.subTest((timely, delayed, expired)):
                fillers = [
                    make_filler(name, standing, cpu_millis=cpu_millis)
                    for name, standing, cpu_millis in (
                        ('timely', TIMELY, timely),
                        ('delayed', DELAYED, delayed),
                        ('expired', EXPIRED, expired),
                    )
                    if cpu_millis
                ]
                self.assertEqual(expected, tuple(adjust(*fillers).values()))

    def test_nothing_is_limited_if_a_request_is_unknown(self) -> None:
        # A leader of an earlier version does not tell.
        timely = make_filler('timely', TIMELY, cpu_millis=12000)
        delayed = msgspec.structs.replace(
            make_filler('delayed', DELAYED), cpu_millis=0
        )
        self.assertEqual(
            {'timely': 100, 'delayed': 100}, adjust(timely, delayed)
        )

    def test_limit_of_a_late_job_ends_with_the_timely_one(self) -> None:
        self.assertEqual(
            {'delayed': 55},
            adjust(make_filler('delayed', DELAYED, 25, cpu_millis=4000)),
        )


class ReplayTest(unittest.TestCase):
    """Replay two jobs on one worker, of which one can be in time."""

    def replay(
        self,
        pacer: decisions.Pacer,
        load: paced_worker.Load | None,
        cpu_millis: int,
        work_seconds: float,
        timely_first: bool,
    ) -> paced_worker.Outcome:
        jobs = [
            paced_worker.SimulatedJob(
                standing.name, 3, cpu_millis, work_seconds, standing
            )
            for standing in (TIMELY, DELAYED)
        ]
        if not timely_first:
            jobs.reverse()
        return paced_worker.PacedWorker(pacer, jobs, load).run(60.0)

    def test_timely_job_is_in_time_beside_a_swinging_load(self) -> None:
        work_seconds = 6.0
        objective = STRETCH * work_seconds
        for phase in range(10):
            load = paced_worker.Load(
                base_share=0.4,
                swing=0.25,
                phase_seconds=float(phase),
                coefficient=2.0,
                estimate=2.0,
            )
            for timely_first in (True, False):
                before, after = (
                    self.replay(pacer, load, 1000, work_seconds, timely_first)
                    for pacer in (
                        unranked_pacing.UnrankedPacer(),
                        decisions.Pacer(),
                    )
                )
                with self.subTest(phase=phase, timely_first=timely_first):
                    self.assertLessEqual(after.ends['TIMELY'], objective)
                    self.assertLessEqual(after.over_target, before.over_target)
                    self.assertIn('DELAYED', after.ends)
                    if timely_first:
                        # Today equal fillers are throttled in the order in
                        # which the worker lists them.
                        self.assertGreater(before.ends['TIMELY'], objective)

    def test_timely_job_is_in_time_on_a_worker_with_too_little_time(
        self,
    ) -> None:
        work_seconds = 4.0
        objective = 1.5 * work_seconds
        for timely_first in (True, False):
            with self.subTest(timely_first=timely_first):
                before, after = (
                    self.replay(pacer, None, 3000, work_seconds, timely_first)
                    for pacer in (
                        unranked_pacing.UnrankedPacer(),
                        decisions.Pacer(),
                    )
                )
                self.assertGreater(before.ends['TIMELY'], objective)
                self.assertLessEqual(after.ends['TIMELY'], objective)
                self.assertIn('DELAYED', after.ends)


if __name__ == '__main__':
    unittest.main()
