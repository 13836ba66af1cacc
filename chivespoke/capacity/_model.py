"""Estimates of the cost of each role at a given fleet size."""

import msgspec

from chivespoke.capacity import _size
from chivespoke.capacity import _slopes

Driver = _slopes.Driver
Role = _slopes.Role


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated value of one measure for one process of a role."""

    role: _slopes.Role
    measure: _slopes.Measure
    # Cost of an idle process, and the cost that each driver adds to it.
    base: float
    parts: dict[_slopes.Driver, float]
    budget: float
    # Largest ratio of an estimated load to the largest load measured for it;
    # above 1, the estimate is an extrapolation.
    stretch: float

    @property
    def total(self) -> float:
        """Return the base cost plus the cost of every driver."""
        return self.base + sum(self.parts.values())

    @property
    def ratio(self) -> float:
        """Return the total as a fraction of the budget."""
        return self.total / self.budget

    def find_dominant_driver(self) -> _slopes.Driver | None:
        """Return the driver with the highest cost; None without drivers."""
        if not self.parts:
            return None
        return max(self.parts, key=lambda driver: self.parts[driver])


def compute_loads(
    size: _size.FleetSize,
) -> dict[_slopes.Role, dict[_slopes.Driver, float]]:
    """Return the load of each driver on one process of each role."""
    layout = size.layout
    tasks = size.latency_critical_tasks + size.batch_tasks
    changes = size.changes_per_day / _size.SECONDS_PER_DAY
    sidecar_connections = (
        size.latency_critical_tasks * layout.entries_per_sidecar
    )
    return {
        Role.ENTRY: {
            Driver.SIDECARS: sidecar_connections / layout.entries,
            Driver.PEERS: layout.peers_per_entry,
            Driver.CHANGES: changes,
        },
        Role.SHARD_OWNER: {
            Driver.WORKERS: size.workers / layout.owners,
            Driver.TASKS: tasks / layout.owners,
            Driver.STARTS: size.peak_starts / layout.owners,
            Driver.CHANGES: changes,
        },
        Role.SIDECAR: {Driver.PEERS: layout.entries_per_sidecar},
        Role.LOG: {Driver.STARTS: size.peak_starts},
        Role.AGENT: {Driver.TASKS: tasks / size.workers},
        Role.COMMAND_LINE: {},
    }


def predict(
    measurements: _slopes.Measurements,
    measure: _slopes.Measure,
    loads: dict[_slopes.Driver, float],
) -> tuple[float, _slopes.Slope] | None:
    """Return the highest prediction for a measure and the slope behind it.

    Returns None if no slope of the measure has one of the given drivers.
    """
    predictions = [
        (slope.intercept + slope.per_unit * loads[slope.driver], slope)
        for slope in measurements.slopes
        if slope.measure is measure and slope.driver in loads
    ]
    return max(predictions, key=lambda pair: pair[0], default=None)


def estimate_roles(
    size: _size.FleetSize, measurements: _slopes.Measurements
) -> list[Estimate]:
    """Return an estimate for each measured combination of role and measure."""
    loads = compute_loads(size)
    budgets = {
        _slopes.Measure.CORE: size.budget.core,
        _slopes.Measure.MEMORY: size.budget.memory,
        _slopes.Measure.TRAFFIC: size.budget.traffic,
    }
    estimates = []
    for role in _slopes.Role:
        for measure in budgets:
            slopes = [
                slope
                for slope in measurements.slopes
                if slope.role is role and slope.measure is measure
            ]
            if slopes:
                estimates.append(
                    _make_estimate(slopes, loads[role], budgets[measure])
                )
    return estimates


def _make_estimate(
    slopes: list[_slopes.Slope],
    loads: dict[_slopes.Driver, float],
    budget: float,
) -> Estimate:
    relevant = [slope for slope in slopes if slope.driver in loads]
    return Estimate(
        role=slopes[0].role,
        measure=slopes[0].measure,
        # Each intercept is the cost of an idle process plus that of the
        # fixed load of its benchmark; the lowest one is closest to idle.
        base=max(min(slope.intercept for slope in slopes), 0.0),
        parts={
            slope.driver: max(slope.per_unit, 0.0) * loads[slope.driver]
            for slope in relevant
        },
        budget=budget,
        stretch=max(
            (
                slope.compute_extrapolation(loads[slope.driver])
                for slope in relevant
            ),
            default=0.0,
        ),
    )
