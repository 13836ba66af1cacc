"""Fleet sizes and slopes for tests."""

import pathlib

from chivespoke import capacity

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLE_SIZE = ROOT / 'examples' / 'size-letter-1.yaml'


def make_slope(
    role: capacity.Role,
    driver: capacity.Driver,
    measure: capacity.Measure,
    intercept: float,
    per_unit: float,
) -> capacity.Slope:
    """Return a slope fitted to points that lie exactly on a line."""
    points = [
        (float(size), intercept + per_unit * size) for size in (1, 2, 4, 8)
    ]
    return capacity.fit_slope(role, driver, measure, points, 'command')


def make_measurements(*slopes: capacity.Slope) -> capacity.Measurements:
    """Return measurements with the given slopes."""
    return capacity.Measurements(
        machine='machine',
        measured_on='day',
        window_seconds=1.0,
        slopes=slopes,
    )
