"""Tests of the blame for crashes of workers."""

import unittest

from chivespoke import decisions
from chivespoke import workloads

JOB = 'a'
OTHER_JOB = 'b'
WALL_MS = 1_790_000_000_000


def make_crash(place: str, conclusive: bool) -> workloads.Crash:
    """Return a crash of the worker at a place."""
    return workloads.Crash(f'{place}/worker@1', place, WALL_MS, 1, conclusive)


class SuspectsTest(unittest.TestCase):
    """Select suspects by their age."""

    def test_run_that_was_at_work_for_long_is_blamed(self) -> None:
        young = decisions.LostRun(JOB, 'a.0.0.0', 1, 0.01)
        old = decisions.LostRun(OTHER_JOB, 'b.0.0.0', 1, 5.0)
        self.assertEqual((young,), decisions.find_suspects([old, young]))

    def test_run_that_never_began_is_proof(self) -> None:
        late = decisions.LostRun(JOB, 'a.0.0.0', 1, 0.0, begun=False)
        begun = decisions.LostRun(JOB, 'a.0.0.1', 1, 0.0)
        self.assertFalse(decisions.is_conclusive([late]))
        self.assertTrue(decisions.is_conclusive([late, begun]))

    def test_crash_is_conclusive_without_suspects_of_other_jobs(self) -> None:
        cases = (
            ((JOB,), True),
            ((JOB, JOB), True),
            ((JOB, OTHER_JOB), False),
            ((), False),
        )
        for jobs, expected in cases:
            suspects = [
                decisions.LostRun(job, f'{job}.0.0.{index}', 1, 0.0)
                for index, job in enumerate(jobs)
            ]
            with self.subTest(jobs=jobs):
                self.assertEqual(expected, decisions.is_conclusive(suspects))


class HopelessTest(unittest.TestCase):
    """Tell tasks that crash workers from tasks that were beside them."""

    def test_task_is_given_up_on_proof_only(self) -> None:
        # Place and conclusiveness of each crash.
        cases: tuple[tuple[tuple[tuple[str, bool], ...], bool], ...] = (
            ((), False),
            ((('d-1', True),), False),
            ((('d-1', False), ('d-2', False)), False),
            ((('d-1', False), ('d-2', True)), True),
            ((('d-1', True), ('d-2', False)), False),
            # A worker that crashes by itself.
            ((('d-1', True), ('d-1', True), ('d-1', True)), False),
            ((('d-1', False),) * decisions.MAX_CRASHES, True),
        )
        for crashes, expected in cases:
            with self.subTest(crashes=crashes):
                self.assertEqual(
                    expected,
                    decisions.is_hopeless(
                        [make_crash(*crash) for crash in crashes]
                    ),
                )

    def test_reason_names_workers_and_times(self) -> None:
        reason = decisions.describe_crashes(
            'a.0.0.0', [make_crash('d-1', False), make_crash('d-2', True)]
        )
        self.assertEqual(
            'task a.0.0.0 crashed 2 workers: '
            'd-1/worker@1 at 2026-09-21T14:13:20.000Z, '
            'd-2/worker@1 at 2026-09-21T14:13:20.000Z',
            reason,
        )


if __name__ == '__main__':
    unittest.main()
