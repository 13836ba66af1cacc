"""Tests of the evidence of crashes that a sidecar reports."""

import unittest

from chivespoke.agents import _crashes
from chivespoke.agents import _run_ages
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import platform

TASK = 'a.0.0.0'
OTHER_TASK = 'b.0.0.0'
NOW = 100.0
CRASH = coordination.CrashReport('side-1/i-1@1', 500, 2, ())


def make_status(
    *tasks: str, ended: tuple[str, ...] = ()
) -> platform.WorkerStatus:
    return platform.WorkerStatus(
        0,
        tuple(platform.RunningTask(task, 1, '', 0.0, 0.0) for task in tasks),
        tuple(
            platform.EndedRun(number, task, 1, platform.EndCause.DONE, '')
            for number, task in enumerate(ended, 1)
        ),
    )


class RunAgesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ages = _run_ages.RunAges()
        self.ages.record_status(make_status(), NOW)

    def list_suspects(self) -> list[str]:
        return [run.task for run in self.ages.list_suspects()]

    def test_run_is_young_by_the_last_sign_of_the_worker(self) -> None:
        # The worker may have crashed long before a call shows it.
        self.ages.record_order(TASK, 1, NOW)
        self.ages.record_sign(NOW + 0.01)
        (suspect,) = self.ages.list_suspects()
        self.assertEqual(10, suspect.age_ms)

    def test_run_at_work_is_a_suspect(self) -> None:
        self.ages.record_order(TASK, 1, NOW)
        self.ages.record_status(
            make_status(TASK), NOW + decisions.SUSPECT_AGE_SECONDS
        )
        self.assertEqual([], self.list_suspects())

    def test_order_without_an_answer_is_no_suspect(self) -> None:
        self.ages.record_order(TASK, 1, NOW + 5.0)
        self.assertEqual([TASK], self.list_suspects())

    def test_order_without_an_answer_is_proof(self) -> None:
        # The worker may have crashed before it arrived.
        self.ages.record_order(TASK, 1, NOW)
        self.assertFalse(self.ages.list_suspects()[0].begun)

    def test_run_that_has_begun_is_no_proof(self) -> None:
        self.ages.record_order(TASK, 1, NOW)
        self.ages.record_start(TASK, 1, NOW)
        self.ages.record_order(OTHER_TASK, 1, NOW)
        self.ages.record_status(make_status(TASK, OTHER_TASK), NOW)
        for suspect in self.ages.list_suspects():
            with self.subTest(suspect.task):
                self.assertTrue(suspect.begun)

    def test_run_is_as_old_as_its_first_order(self) -> None:
        # The first call was lost; the repeated one started the run.
        self.ages.record_order(TASK, 1, NOW)
        repeated_at = NOW + decisions.SUSPECT_AGE_SECONDS
        self.ages.record_order(TASK, 1, repeated_at)
        self.ages.record_sign(repeated_at + 0.1)
        self.assertEqual([TASK], self.list_suspects())

    def test_run_that_is_listed_is_as_young_as_its_last_order(self) -> None:
        self.ages.record_order(TASK, 1, NOW)
        repeated_at = NOW + decisions.SUSPECT_AGE_SECONDS
        self.ages.record_status(make_status(TASK), NOW + 0.1)
        self.ages.record_order(TASK, 1, repeated_at)
        self.ages.record_status(make_status(TASK), repeated_at + 0.1)
        self.assertEqual([], self.list_suspects())

    def test_runs_that_are_over_are_suspects(self) -> None:
        cases = (
            ('ended', make_status(ended=(TASK,))),
            ('no longer listed', make_status()),
        )
        for name, status in cases:
            with self.subTest(name):
                self.ages.record_order(TASK, 1, NOW)
                self.ages.record_status(make_status(TASK), NOW)
                self.ages.record_status(status, NOW + 0.1)
                self.assertEqual([], self.list_suspects())
        self.ages.record_order(TASK, 1, NOW)
        self.ages.record_refusal(TASK, 1)
        self.assertEqual([], self.list_suspects())

    def test_youngest_suspects_are_cut_off(self) -> None:
        for index in range(coordination.MAX_SUSPECTS):
            self.ages.record_order(f'b.0.0.{index}', 1, NOW)
        self.ages.record_order(TASK, 1, NOW + 0.1)
        self.ages.record_sign(NOW + 0.2)
        suspects = self.list_suspects()
        self.assertEqual(coordination.MAX_SUSPECTS, len(suspects))
        self.assertEqual(TASK, suspects[0])


class CrashLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = _crashes.CrashLog()

    def test_crash_is_reported_for_a_while(self) -> None:
        self.log.record_replacement(CRASH, NOW)
        (report,) = self.log.list_reports('side-1/i-2@2', NOW + 1.0)
        self.assertEqual(1500, report.silent_ms)
        later = NOW + _crashes.REPORT_SECONDS
        self.assertEqual((), self.log.list_reports('side-1/i-2@2', later))

    def test_late_registration_is_taken_for_a_crash(self) -> None:
        # The worker was silent, and a registration of an earlier incarnation
        # arrived late; then it answers again.
        self.log.record_replacement(CRASH, NOW)
        self.assertEqual((), self.log.list_reports(CRASH.worker, NOW))

    def test_departure_is_taken_for_a_crash(self) -> None:
        self.log.record_replacement(None, NOW)
        self.assertEqual((), self.log.list_reports('side-1/i-2@2', NOW))


if __name__ == '__main__':
    unittest.main()
