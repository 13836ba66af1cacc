"""The ends of runs, and the steps that follow, without any I/O."""

import unittest

from chivespoke.coordination.tests import builders
from chivespoke.coordination.tests import engine_case
from chivespoke import platform
from chivespoke import workloads


class EndTest(engine_case.EngineTest):
    def test_done_by_an_earlier_run_stops_the_later_one(self) -> None:
        self.begin(engine_case.ONE, workloads.Step(count=1, depends_on=(0,)))
        self.leader.now += 7.0
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        self.assertEqual([engine_case.FIRST], self.list_starts('side-2'))
        end = builders.make_end(1, engine_case.FIRST)
        self.leader.report(builders.make_report(ended=(end,)))
        self.leader.plan()
        stops = self.leader.direct('side-2').stops
        self.assertEqual([engine_case.FIRST], [stop.task for stop in stops])

    def test_only_own_failures_count_as_attempts(self) -> None:
        cases = {
            platform.EndCause.FAILED: workloads.JobPhase.FAILED,
            platform.EndCause.LEASE_EXPIRED: workloads.JobPhase.RUNNING,
            platform.EndCause.STOPPED: workloads.JobPhase.RUNNING,
        }
        for cause, phase in cases.items():
            with self.subTest(cause):
                self.leader = builders.Leader()
                self.begin(engine_case.ONE)
                for run in (1, 2):
                    end = builders.make_end(run, engine_case.FIRST, cause, run)
                    self.leader.report(builders.make_report(ended=(end,)))
                    self.leader.plan()
                self.assertIs(phase, self.leader.find_phase())

    def test_task_goes_on_from_its_checkpoint(self) -> None:
        self.begin(engine_case.ONE)
        end = builders.make_end(
            1,
            engine_case.FIRST,
            platform.EndCause.LEASE_EXPIRED,
            checkpoint='half',
        )
        self.leader.report(builders.make_report(ended=(end,)))
        self.leader.plan()
        starts = self.leader.direct().starts
        self.assertEqual(['half'], [start.checkpoint for start in starts])

    def test_lasting_task_begins_again_however_it_ends(self) -> None:
        self.begin(workloads.Step(count=1, long_running=True))
        for run in range(1, 6):
            end = builders.make_end(
                run, engine_case.FIRST, platform.EndCause.FAILED, run
            )
            self.leader.report(builders.make_report(ended=(end,)))
            self.leader.now += 5.0
            self.leader.report(builders.make_report())
            self.leader.plan()
            starts = self.leader.direct().starts
            self.assertEqual([run + 1], [start.run for start in starts])

    def test_cancelled_job_is_stopped_and_starts_nothing(self) -> None:
        self.begin()
        self.leader.cancel()
        self.leader.plan()
        directive = self.leader.direct()
        self.assertEqual(
            {engine_case.FIRST, engine_case.SECOND},
            {stop.task for stop in directive.stops},
        )
        ended = tuple(
            builders.make_end(number, task, platform.EndCause.STOPPED)
            for number, task in (
                (1, engine_case.FIRST),
                (2, engine_case.SECOND),
            )
        )
        self.leader.report(builders.make_report(ended=ended))
        self.leader.plan()
        self.assertEqual([], self.list_starts())
        self.assertIs(workloads.JobPhase.CANCELLED, self.leader.find_phase())

    def test_run_that_stands_still_is_begun_elsewhere(self) -> None:
        self.begin(engine_case.ONE)
        for number in range(10):
            self.leader.now += 0.4
            self.leader.report(
                builders.make_report(
                    running=(builders.make_running(engine_case.FIRST),),
                    clock_ms=2000 + number,
                )
            )
        stops = self.leader.direct().stops
        self.assertEqual([engine_case.FIRST], [stop.task for stop in stops])

    def test_look_that_is_reported_again_shows_no_run_standing_still(
        self,
    ) -> None:
        # Found by an incident: while a look waited for an answer that never
        # came, heartbeats reported the one before for 1.3 s.
        self.begin(engine_case.ONE)
        for _ in range(10):
            self.leader.now += 0.4
            self.leader.report(
                builders.make_report(
                    running=(builders.make_running(engine_case.FIRST),)
                )
            )
        self.assertEqual((), self.leader.direct().stops)

    def test_worker_that_does_not_answer_has_no_runs_that_stand_still(
        self,
    ) -> None:
        # Found by an incident: reports on a worker that had crashed held its
        # last look, whose runs were all stopped as standing still.
        self.begin(engine_case.ONE)
        running = (builders.make_running(engine_case.FIRST),)
        for answering, seconds in ((False, 4.0), (True, 0.8), (False, 4.0)):
            for _ in range(int(seconds / 0.4)):
                self.leader.now += 0.4
                self.leader.report(
                    builders.make_report(
                        running=running,
                        answering=answering,
                        clock_ms=int(self.leader.now * 1000),
                    )
                )
        self.assertEqual((), self.leader.direct().stops)


class StepTest(engine_case.EngineTest):
    def test_later_step_waits_for_the_earlier_one(self) -> None:
        self.begin(engine_case.ONE, workloads.Step(count=1, depends_on=(0,)))
        self.leader.plan()
        self.assertEqual([], self.list_starts())
        self.leader.report(
            builders.make_report(
                ended=(builders.make_end(1, engine_case.FIRST),)
            )
        )
        self.leader.plan()
        self.assertEqual([f'{builders.JOB}.0.1.0'], self.list_starts())

    def test_gang_starts_whole_with_one_run_number(self) -> None:
        gang = workloads.Step(count=9, cpu_millis=1000, gang=True)
        self.leader.report(builders.make_report())
        self.leader.submit(builders.make_job(gang))
        self.leader.plan()
        self.assertEqual([], self.list_starts(), 'eight fit, not nine')
        self.leader.report(builders.make_report('side-2'))
        self.leader.plan()
        starts = [
            *self.leader.direct().starts,
            *self.leader.direct('side-2').starts,
        ]
        self.assertEqual(9, len(starts))
        self.assertEqual({1}, {start.run for start in starts})

    def test_one_end_speaks_for_a_gang(self) -> None:
        self.begin(workloads.Step(count=3, cpu_millis=1000, gang=True))
        self.leader.report(
            builders.make_report(
                ended=(builders.make_end(1, engine_case.FIRST),)
            )
        )
        self.leader.plan()
        self.assertIs(workloads.JobPhase.COMPLETED, self.leader.find_phase())

    def test_rest_of_a_gang_is_not_ordered_again_once_one_has_ended(
        self,
    ) -> None:
        self.begin(workloads.Step(count=2, cpu_millis=1000, gang=True))
        ended = (builders.make_end(1, engine_case.FIRST),)
        self.leader.report(builders.make_report(ended=ended))
        self.leader.plan()
        self.leader.report(
            builders.make_report(
                incarnation='b',
                running=(builders.make_running(engine_case.SECOND),),
            )
        )
        directive = self.leader.direct()
        self.assertEqual((), directive.starts)
        self.assertEqual(
            [engine_case.SECOND], [stop.task for stop in directive.stops]
        )

    def test_occurrence_begins_when_it_is_due(self) -> None:
        job = builders.make_job(
            engine_case.ONE,
            occurrences=2,
            first_due_ms=int((builders.WALL + 5) * 1000),
            interval_ms=3000,
        )
        self.leader.report(builders.make_report())
        self.leader.submit(job)
        began = []
        for _ in range(10):
            self.leader.now += 1.0
            self.leader.report(builders.make_report())
            self.leader.plan()
            began += [
                (start.task, self.leader.now - builders.NOW)
                for start in self.leader.direct().starts
                if not start.repeated
            ]
        self.assertEqual(
            [(engine_case.FIRST, 5.0), (f'{builders.JOB}.1.0.0', 8.0)], began
        )


if __name__ == '__main__':
    unittest.main()
