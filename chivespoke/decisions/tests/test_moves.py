"""Tests of the forecast of runs and of moves to faster workers."""

import unittest

from chivespoke import decisions


def observe(
    cpu_share: float, seconds: float = 3.0, percent_per_second: float = 0.0
) -> decisions.SpeedTracker:
    """Return a tracker of a run that was observed twice a second from 0."""
    tracker = decisions.SpeedTracker(0.0, 0.0)
    for count in range(1, int(seconds * 2) + 1):
        now = count / 2
        tracker.observe(percent_per_second * now, cpu_share, now)
    return tracker


class SpeedTrackerTest(unittest.TestCase):
    def test_run_is_not_judged_before_it_was_observed_for_a_while(
        self,
    ) -> None:
        self.assertIsNone(observe(0.0, 1.5).forecast(5.0, True, 1.5))
        self.assertIsNotNone(observe(0.0, 2.5).forecast(5.0, True, 2.5))

    def test_time_without_answers_does_not_count(self) -> None:
        tracker = observe(1.0, 1.0)
        tracker.skip(4.0)
        self.assertIsNone(tracker.forecast(5.0, True, 4.5))

    def test_progress_of_the_run_replaces_the_estimate(self) -> None:
        forecast = observe(1.0, 3.0, 10.0).forecast(50.0, True, 3.0)
        assert forecast is not None
        self.assertAlmostEqual(7.0, forecast.work_seconds)
        self.assertAlmostEqual(7.0, forecast.remaining_seconds, delta=0.1)

    def test_only_runs_with_checkpoints_keep_their_work(self) -> None:
        for checkpointing, expected in ((True, 0.0), (False, 3.0)):
            with self.subTest(checkpointing=checkpointing):
                forecast = observe(1.0).forecast(5.0, checkpointing, 3.0)
                assert forecast is not None
                self.assertAlmostEqual(expected, forecast.repeated_seconds)


class HeldRunTest(unittest.TestCase):
    """Judge runs by their pace, without the time of an observation."""

    def test_run_that_a_pace_holds_down_is_judged_after_a_second(self) -> None:
        tracker = observe(1.0, 1.0)
        for pace, held_seconds, expected in (
            (0, 0.8, None),
            (0, 1.0, 0.0),
            (5, 1.0, 0.05),
            (30, 60.0, None),
            (100, 60.0, None),
        ):
            with self.subTest(pace=pace, held_seconds=held_seconds):
                self.assertIsNone(tracker.forecast(5.0, True, 1.0))
                forecast = tracker.forecast_held(5.0, True, pace, held_seconds)
                self.assertEqual(
                    expected, None if forecast is None else forecast.speed
                )
                self.assertTrue(forecast is None or forecast.is_held)

    def test_gain_is_weighed_against_the_restart_as_for_others(self) -> None:
        for checkpointing, work, worked, expected in (
            (True, 5.0, 1.0, True),
            (False, 5.0, 1.0, True),
            # Nearly done: 0.02 s of work are left.
            (True, 0.02, 0.0, False),
            # More is repeated than pacing can cost.
            (False, 0.02, 2.0, False),
        ):
            with self.subTest((checkpointing, work, worked)):
                tracker = observe(1.0, worked)
                forecast = tracker.forecast_held(work, checkpointing, 0, 1.0)
                assert forecast is not None
                self.assertEqual(
                    expected, decisions.is_move_worthwhile(forecast, 1.0)
                )

    def test_progress_replaces_the_estimate(self) -> None:
        forecast = observe(1.0, 1.0, 10.0).forecast_held(50.0, True, 0, 1.0)
        assert forecast is not None
        self.assertAlmostEqual(9.0, forecast.work_seconds)


class MoveTest(unittest.TestCase):
    def test_moves_that_gain_much_are_worthwhile(self) -> None:
        cases = {
            'held down': (5.0, 0.0, 0.0, 1.0, True),
            'half speed, much work left': (8.0, 0.4, 0.0, 1.0, True),
            'half speed, little work left': (1.0, 0.5, 0.0, 1.0, False),
            'full speed': (60.0, 1.0, 0.0, 1.0, False),
            'no faster elsewhere': (60.0, 0.5, 0.0, 0.6, False),
            'much work to repeat': (5.0, 0.4, 10.0, 1.0, False),
            'held down, much work to repeat': (5.0, 0.0, 10.0, 1.0, True),
        }
        for name, (
            work,
            speed,
            repeated,
            elsewhere,
            expected,
        ) in cases.items():
            with self.subTest(name):
                forecast = decisions.RunForecast(work, speed, repeated)
                self.assertEqual(
                    expected, decisions.is_move_worthwhile(forecast, elsewhere)
                )


if __name__ == '__main__':
    unittest.main()
