"""Tests of the leader's choice of jobs that are served in time; no I/O."""

import unittest

import msgspec

from chivespoke import coordination
from chivespoke.coordination.tests import builders
from chivespoke import decisions
from chivespoke import platform
from chivespoke import workloads

SMALL = '00000000000000a1'
LARGE = '00000000000000b1'
LATER = '00000000000000c1'


def make_filler(count: int) -> workloads.Step:
    """Return a step of fillers that take 4 s each on two cores."""
    return workloads.Step(
        count=count,
        cpu_millis=2000,
        estimated_ms=4000,
        filler=True,
        image='f1',
        checkpointing=True,
    )


def make_contended_state() -> coordination.DesiredState:
    """Return a desired state in which two priorities share the service."""
    state = builders.make_desired_state()
    urgent = msgspec.structs.replace(
        state.configuration.queues[0], name='q0', path_prefix='/urgent/'
    )
    normal = msgspec.structs.replace(
        state.configuration.queues[0],
        terms=msgspec.structs.replace(builders.TERMS, priority=2),
    )
    configuration = msgspec.structs.replace(
        state.configuration, queues=(urgent, normal)
    )
    return msgspec.structs.replace(state, configuration=configuration)


class TriageTest(unittest.TestCase):
    """Replay fillers that want twice the cores that one worker has."""

    def setUp(self) -> None:
        self.leader = builders.Leader(delays_jobs=True)
        self.leader.desired_state = make_contended_state()
        self.clock_ms = 1000
        # In the order of their starts.
        self.started: dict[str, None] = {}
        self.leader.report(builders.make_report())

    def pass_time(self, steps: int, share: float) -> None:
        """Report all runs at a share of full speed, and plan."""
        for _ in range(steps):
            self.leader.now += 0.5
            self.clock_ms += 500
            running = tuple(
                platform.RunningTask(task, 1, '', 10.0, share * 2000.0)
                for task in self.started
            )
            self.leader.report(
                builders.make_report(running=running, clock_ms=self.clock_ms)
            )
            self.leader.plan()
            self.started |= {
                start.task: None
                for start in self.leader.make_directive().starts
            }

    def find_standing(self, job: str) -> decisions.Standing:
        return self.leader.engine.state.find_standing(job)

    def submit_both(self) -> None:
        self.leader.submit(
            builders.make_job(make_filler(16), identifier=LARGE)
        )
        self.leader.submit(builders.make_job(make_filler(2), identifier=SMALL))

    def test_large_job_is_delayed_while_there_is_too_little_room(self) -> None:
        self.submit_both()
        self.pass_time(6, 0.5)
        self.assertIs(decisions.Standing.DELAYED, self.find_standing(LARGE))
        self.assertIs(decisions.Standing.TIMELY, self.find_standing(SMALL))

    def test_nothing_is_delayed_while_jobs_get_what_they_want(self) -> None:
        self.leader.submit(builders.make_job(make_filler(2), identifier=SMALL))
        self.pass_time(6, 1.0)
        self.assertEqual({}, self.leader.engine.state.ranks)

    def test_nothing_is_delayed_where_all_queues_are_alike(self) -> None:
        self.leader.desired_state = builders.make_desired_state()
        self.submit_both()
        self.pass_time(6, 0.5)
        self.assertEqual({}, self.leader.engine.state.ranks)
        self.assertEqual({}, self.leader.engine.state.outlooks)

    def test_nothing_is_delayed_unless_the_settings_call_for_it(self) -> None:
        self.leader = builders.Leader()
        self.leader.desired_state = make_contended_state()
        self.leader.report(builders.make_report())
        self.submit_both()
        self.pass_time(6, 0.5)
        self.assertEqual({}, self.leader.engine.state.ranks)
        self.assertEqual({}, self.leader.engine.state.outlooks)

    def test_tasks_of_timely_jobs_are_placed_before_earlier_deadlines(
        self,
    ) -> None:
        self.submit_both()
        self.pass_time(6, 0.5)
        self.leader.submit(builders.make_job(make_filler(2), identifier=LATER))
        self.pass_time(1, 0.5)
        # A second worker has room for four tasks at full speed.
        self.leader.report(
            builders.make_report('side-2', clock_ms=self.clock_ms)
        )
        self.leader.plan()
        starts = self.leader.make_directive('side-2').starts
        self.assertEqual(
            [LATER] * 2, [start.task.split('.')[0] for start in starts[:2]]
        )

    def test_next_leader_chooses_again_from_the_records(self) -> None:
        self.submit_both()
        self.pass_time(1, 0.5)
        now = self.leader.now
        self.leader = builders.Leader(
            self.leader.ledger, builders.EPOCH + 1, delays_jobs=True
        )
        self.leader.desired_state = make_contended_state()
        self.leader.now = now
        self.assertEqual({}, self.leader.engine.state.ranks)
        self.pass_time(2, 0.5)
        self.assertEqual({}, self.leader.engine.state.ranks)
        self.pass_time(4, 0.5)
        self.assertIs(decisions.Standing.DELAYED, self.find_standing(LARGE))
        self.assertIs(decisions.Standing.TIMELY, self.find_standing(SMALL))

    def test_outlook_sums_up_the_work_that_is_left(self) -> None:
        self.submit_both()
        self.pass_time(6, 0.5)
        outlook = self.leader.engine.state.outlooks[builders.SERVICE]
        self.assertGreater(outlook.throughput_cores, 0.0)
        self.assertLess(
            outlook.timely_core_seconds, outlook.total_core_seconds
        )
        # 18 tasks of 2 cores for 4 s, some of which have done a tenth.
        self.assertLessEqual(outlook.total_core_seconds, 144.0)
        self.assertGreaterEqual(outlook.total_core_seconds, 0.9 * 144.0)
