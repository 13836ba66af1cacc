"""Tests of the schedule of faults."""

import unittest

from chivespoke.bench.soak import _schedule

ENTRIES = ('entry-0', 'entry-1')
SIDECARS = ('sidecar-0', 'sidecar-1', 'sidecar-2')
SECONDS = 20.0
LONG_SECONDS = 60.0
SEEDS = range(30)
WORKER_FAULTS = (
    _schedule.FaultKind.RUNNER_RETURNS,
    _schedule.FaultKind.RUNNER_CUT,
    _schedule.FaultKind.RUNNER_GONE,
)


def make_schedule(
    seed: int, seconds: float = SECONDS
) -> tuple[_schedule.Fault, ...]:
    """Return a schedule for a few processes."""
    return _schedule.make_schedule(seed, seconds, ENTRIES, SIDECARS)


class ScheduleTest(unittest.TestCase):
    """Make schedules for a few processes."""

    def test_seed_replays_the_schedule(self) -> None:
        for seed in SEEDS:
            self.assertEqual(make_schedule(seed), make_schedule(seed))
        self.assertNotEqual(make_schedule(1), make_schedule(2))

    def test_faults_end_before_the_run(self) -> None:
        for seed in SEEDS:
            for fault in make_schedule(seed):
                self.assertLessEqual(
                    fault.at + fault.seconds, SECONDS - _schedule.CALM_SECONDS
                )

    def test_all_kinds_come_and_overlap(self) -> None:
        faults = [fault for seed in SEEDS for fault in make_schedule(seed)]
        self.assertEqual(
            set(_schedule.FaultKind), {fault.kind for fault in faults}
        )
        schedule = make_schedule(2)
        self.assertTrue(
            any(
                later.at < earlier.at + earlier.seconds
                for earlier, later in zip(schedule, schedule[1:], strict=False)
            )
        )

    def test_workers_return_and_are_cut_off_soon_after(self) -> None:
        returns, cuts, again = 0, 0, 0
        for seed in SEEDS:
            for name in SIDECARS:
                faults = [
                    fault
                    for fault in make_schedule(seed)
                    if fault.target == name and fault.kind in WORKER_FAULTS
                ]
                kinds = [fault.kind for fault in faults]
                again += kinds.count(_schedule.FaultKind.RUNNER_RETURNS) > 1
                if _schedule.FaultKind.RUNNER_GONE in kinds:
                    self.assertEqual(1, len(faults))
                    continue
                for number, fault in enumerate(faults):
                    if fault.kind is _schedule.FaultKind.RUNNER_RETURNS:
                        returns += 1
                        self.assertLessEqual(fault.seconds, 2.0)
                        continue
                    cuts += 1
                    back = faults[number - 1]
                    self.assertIs(
                        _schedule.FaultKind.RUNNER_RETURNS, back.kind
                    )
                    gap = fault.at - back.at - back.seconds
                    self.assertTrue(0.49 <= gap <= 3.01, gap)
        self.assertGreater(cuts, returns / 2)
        self.assertGreater(again, 0)

    def test_faults_of_one_worker_do_not_overlap(self) -> None:
        for seed in SEEDS:
            ends_at: dict[str, float] = {}
            for fault in make_schedule(seed):
                if fault.kind in WORKER_FAULTS:
                    self.assertLessEqual(
                        ends_at.get(fault.target, 0.0), fault.at
                    )
                    ends_at[fault.target] = fault.at + fault.seconds

    def test_long_run_leaves_entries_alone_while_workers_return(self) -> None:
        lulls = 0
        for seed in SEEDS:
            begin = _schedule._find_lull(seed, LONG_SECONDS)
            if begin is None:
                continue
            lulls += 1
            end = begin + _schedule.LULL_SECONDS
            near = [
                fault
                for fault in make_schedule(seed, LONG_SECONDS)
                if fault.at < end and fault.at + fault.seconds > begin
            ]
            self.assertLessEqual({fault.target for fault in near}, {*SIDECARS})
            self.assertIn(
                _schedule.FaultKind.RUNNER_RETURNS,
                {fault.kind for fault in near},
            )
        self.assertTrue(0 < lulls < len(SEEDS))


if __name__ == '__main__':
    unittest.main()
