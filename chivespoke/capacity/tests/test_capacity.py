"""Tests of capacity planning."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from chivespoke import capacity
from chivespoke.capacity.tests import builders

Driver = capacity.Driver
Measure = capacity.Measure
Role = capacity.Role


class FitTest(unittest.TestCase):
    """Linear fits of measured points."""

    @hypothesis.given(
        intercept=strategies.floats(0, 1e6),
        per_unit=strategies.floats(0, 1e4),
    )
    def test_collinear_points_are_fitted_exactly(
        self, intercept: float, per_unit: float
    ) -> None:
        slope = builders.make_slope(
            Role.ENTRY, Driver.PEERS, Measure.TRAFFIC, intercept, per_unit
        )
        scale = 1 + intercept + per_unit
        self.assertLess(abs(slope.intercept - intercept) / scale, 1e-6)
        self.assertLess(abs(slope.per_unit - per_unit) / scale, 1e-6)
        self.assertLess(slope.residual, 1e-6)

    def test_bad_fit_has_large_residual(self) -> None:
        points = ((1.0, 1.0), (2.0, 9.0), (3.0, 1.0), (4.0, 9.0))
        slope = capacity.fit_slope(
            Role.ENTRY, Driver.PEERS, Measure.CORE, points, 'command'
        )
        self.assertGreater(slope.residual, 0.3)


class EstimateTest(unittest.TestCase):
    """Estimates and requirements at the fleet size of the example."""

    def setUp(self) -> None:
        self.size = capacity.read_size(builders.EXAMPLE_SIZE)

    def test_cost_is_load_times_slope(self) -> None:
        measurements = builders.make_measurements(
            builders.make_slope(
                Role.SHARD_OWNER, Driver.WORKERS, Measure.TRAFFIC, 100, 20
            ),
            builders.make_slope(
                Role.SHARD_OWNER, Driver.STARTS, Measure.TRAFFIC, 150, 10
            ),
        )
        (estimate,) = capacity.estimate_roles(self.size, measurements)
        self.assertAlmostEqual(100, estimate.base)
        self.assertAlmostEqual(20 * 250, estimate.parts[Driver.WORKERS])
        self.assertAlmostEqual(10 * 25, estimate.parts[Driver.STARTS])
        self.assertAlmostEqual(5350 / 3000, estimate.ratio)
        self.assertAlmostEqual(250 / 8, estimate.stretch)
        self.assertIs(Driver.WORKERS, estimate.find_dominant_driver())

    def test_exceeded_budget_reports_required_owners(self) -> None:
        cases = (
            (5.0, capacity.Verdict.MET, ''),
            (20.0, capacity.Verdict.NOT_MET, '132 owners would meet it'),
        )
        for per_unit, verdict, remark in cases:
            with self.subTest(per_unit=per_unit):
                measurements = builders.make_measurements(
                    builders.make_slope(
                        Role.SHARD_OWNER,
                        Driver.WORKERS,
                        Measure.TRAFFIC,
                        100,
                        per_unit,
                    )
                )
                estimates = capacity.estimate_roles(self.size, measurements)
                first = capacity.list_requirements(
                    self.size, measurements, estimates
                )[0]
                self.assertIs(verdict, first.verdict)
                self.assertIn(remark, first.worked_out)

    def test_delays_are_compared_with_their_limits(self) -> None:
        for per_unit, verdict in (
            (0.02, capacity.Verdict.MET),
            (0.05, capacity.Verdict.NOT_MET),
        ):
            with self.subTest(per_unit=per_unit):
                measurements = builders.make_measurements(
                    builders.make_slope(
                        Role.SHARD_OWNER,
                        Driver.STARTS,
                        Measure.START_DELAY,
                        0.5,
                        per_unit,
                    )
                )
                requirements = capacity.list_requirements(
                    self.size, measurements, []
                )
                starts = [
                    each for each in requirements if 'urgent' in each.line
                ]
                self.assertIs(verdict, starts[0].verdict)
                worked_out = 0.5 + 25 * per_unit
                self.assertIn(f'{worked_out:.2f} s', starts[0].worked_out)

    def test_plot_is_written(self) -> None:
        measurements = builders.make_measurements(
            builders.make_slope(
                Role.ENTRY, Driver.SIDECARS, Measure.MEMORY, 6e7, 2e3
            )
        )
        estimates = capacity.estimate_roles(self.size, measurements)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'roles.png'
            capacity.draw_estimates(estimates, path)
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))

    def test_packaged_measurements_can_be_read(self) -> None:
        self.assertTrue(capacity.read_measurements().machine)


if __name__ == '__main__':
    unittest.main()
