"""Tests of the decision to refuse jobs at too much load."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from chivespoke import decisions
from chivespoke.decisions.tests import arrivals

ROOM = decisions.AdmissionCause.ROOM
IN_TIME = decisions.AdmissionCause.IN_TIME
IN_VALUE = decisions.AdmissionCause.IN_VALUE
OVERLOAD = decisions.AdmissionCause.OVERLOAD
DEMAND = decisions.JobDemand('a' * 16, 1, 30.0, 4.0, 12.0)
AMOUNTS = strategies.floats(0.1, 1e5)
SIZES = strategies.lists(AMOUNTS, max_size=30).map(decisions.classify_sizes)
LOADS = strategies.builds(
    decisions.ServiceLoad,
    strategies.builds(decisions.ServiceOutlook, AMOUNTS, AMOUNTS, AMOUNTS),
    strategies.lists(
        strategies.builds(
            decisions.PriorityLoad, strategies.integers(0, 3), SIZES, SIZES
        ),
        unique_by=lambda load: load.priority,
        max_size=4,
    ).map(tuple),
)
DEMANDS = strategies.builds(
    decisions.JobDemand,
    strategies.text('0123456789abcdef', min_size=16, max_size=16),
    strategies.integers(0, 3),
    AMOUNTS,
    strategies.floats(0.1, 100),
    strategies.floats(0.1, 300),
)


def make_load(
    *priorities: tuple[int, tuple[float, ...], tuple[float, ...]],
    throughput: float = 10.0,
) -> decisions.ServiceLoad:
    """Return the load of a crowded service.

    By priority the work of each job in time, and of each delayed one.
    """
    timely = sum(sum(works) for _, works, _ in priorities)
    return decisions.ServiceLoad(
        decisions.ServiceOutlook(throughput, timely, timely + 1000.0),
        tuple(
            decisions.PriorityLoad(
                priority,
                decisions.classify_sizes(timely_works),
                decisions.classify_sizes(delayed_works),
            )
            for priority, timely_works, delayed_works in priorities
        ),
    )


TIMELY = (30.0,) * 10
DELAYED = (20.0,) * 20
# Name, load, age of the summary in seconds, and cause of the decision.
CASES = (
    ('no summary', None, 0.0, decisions.AdmissionCause.NO_SUMMARY),
    (
        'old summary',
        make_load((1, TIMELY, DELAYED)),
        5.1,
        decisions.AdmissionCause.OLD_SUMMARY,
    ),
    (
        'unknown throughput',
        make_load((1, TIMELY, DELAYED), throughput=0.0),
        0.0,
        decisions.AdmissionCause.UNKNOWN_LOAD,
    ),
    ('overload', make_load((1, TIMELY, DELAYED)), 5.0, OVERLOAD),
    ('more urgent', make_load((0, TIMELY, DELAYED)), 0.0, OVERLOAD),
    ('less urgent', make_load((2, TIMELY, DELAYED)), 0.0, IN_TIME),
    ('one large job', make_load((1, (1200.0,), ())), 0.0, IN_TIME),
    ('large delayed jobs', make_load((1, TIMELY, (90.0,) * 9)), 0.0, IN_VALUE),
    ('late, but of value', make_load((1, TIMELY, ())), 0.0, IN_VALUE),
    ('room soon', make_load((1, (14.0,) * 10, ())), 0.0, ROOM),
)


class AdmissionTest(unittest.TestCase):
    def test_jobs_are_refused_only_for_certain_overload(self) -> None:
        for name, load, age, cause in CASES:
            with self.subTest(name):
                admission = decisions.decide_admission(DEMAND, load, age)
                self.assertIs(cause, admission.cause)
                self.assertEqual(cause is not OVERLOAD, admission.admitted)

    def test_refused_jobs_would_have_been_served_in_vain(self) -> None:
        # Load pattern: bursts of five times the throughput. With everything
        # taken in, many callers wait for results without value.
        refusals = 0
        for seed in (34, 35, 36):
            with self.subTest(seed=seed):
                jobs = arrivals.make_arrivals(seed)
                before = arrivals.replay(jobs, admits_all=True)
                after = arrivals.replay(jobs, admits_all=False)
                self.assertGreaterEqual(after.value, before.value)
                self.assertGreaterEqual(after.in_time, before.in_time)
                if after.refusals:
                    self.assertLess(after.vain_seconds, before.vain_seconds)
                else:
                    self.assertEqual(before, after)
                refusals += after.refusals
        self.assertGreater(refusals, 0)

    @hypothesis.given(DEMANDS, LOADS)
    def test_nothing_is_refused_while_room_is_free(
        self, demand: decisions.JobDemand, load: decisions.ServiceLoad
    ) -> None:
        admission = decisions.decide_admission(demand, load, 0.0)
        outlook = load.outlook
        before = [
            priority_load
            for priority_load in load.priorities
            if priority_load.priority <= demand.priority
        ]
        work = sum(
            size.core_seconds
            for priority_load in before
            for size in (*priority_load.timely, *priority_load.delayed)
        )
        share = sum(
            size.count * demand.core_seconds
            if priority_load.priority == demand.priority
            else size.core_seconds
            for priority_load in before
            for size in priority_load.timely
        )
        room = outlook.throughput_cores * demand.objective_seconds
        path = outlook.throughput_cores * demand.path_seconds
        if (
            outlook.total_core_seconds <= outlook.timely_core_seconds
            or work <= room
            or share + path <= room
        ):
            self.assertTrue(admission.admitted)
        self.assertEqual(admission.admitted, admission.retry_seconds == 0)

    @hypothesis.given(DEMANDS, LOADS)
    def test_less_urgent_work_changes_no_decision(
        self, demand: decisions.JobDemand, load: decisions.ServiceLoad
    ) -> None:
        without = msgspec.structs.replace(
            load,
            priorities=tuple(
                priority_load
                for priority_load in load.priorities
                if priority_load.priority <= demand.priority
            ),
        )
        self.assertEqual(
            decisions.decide_admission(demand, without, 0.0),
            decisions.decide_admission(demand, load, 0.0),
        )

    def test_callers_return_at_different_times_in_the_order_of_cost(
        self,
    ) -> None:
        load = make_load(
            (0, TIMELY, (30.0,) * 5),
            (1, (10.0,) * 10, (5.0,) * 10 + (25.0,) * 8),
        )

        def find_retry(**fields: object) -> int:
            demand = msgspec.structs.replace(DEMAND, **fields)
            return decisions.decide_admission(demand, load, 0.0).retry_seconds

        jobs = [f'{number:016x}' for number in range(100)]
        returns = {find_retry(job=job) for job in jobs}
        self.assertGreater(len(returns), 10)
        self.assertGreater(min(returns), 0)
        # The same job is told the same.
        self.assertEqual(find_retry(), find_retry())
        # Each comes before the job that has only the default values.
        fields: tuple[dict[str, float], ...] = (
            {'priority': 0},
            {'objective_seconds': 6.0},
            {'core_seconds': 20.0},
        )
        for changed in fields:
            with self.subTest(changed=changed):
                self.assertGreater(find_retry(**changed), 0)
                self.assertLess(find_retry(**changed), find_retry())

    def test_size_classes_keep_the_number_of_jobs_and_their_work(
        self,
    ) -> None:
        works = (0.01, 0.5, 3.0, 3.9, 4.0, 700.0, 0.0)
        sizes = decisions.classify_sizes(works)
        self.assertEqual(6, sum(size.count for size in sizes))
        self.assertAlmostEqual(
            sum(works), sum(size.core_seconds for size in sizes), places=1
        )


if __name__ == '__main__':
    unittest.main()
