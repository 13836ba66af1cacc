"""What each role spends at a fleet's size, worked out from slopes."""

import msgspec

from chivespoke.capacity import _size
from chivespoke.capacity import _slopes

Driver = _slopes.Driver
Role = _slopes.Role


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one measure of one role at the fleet's size."""

    role: _slopes.Role
    measure: _slopes.Measure
    # What an idle daemon spends, and what each driver adds.
    base: float
    parts: dict[_slopes.Driver, float]
    budget: float
    # The largest stretch of a slope beyond its measured sizes.
    stretch: float

    @property
    def total(self) -> float:
        """Return what the role spends in all."""
        return self.base + sum(self.parts.values())

    @property
    def ratio(self) -> float:
        """Return the total over the budget."""
        return self.total / self.budget

    def find_driver(self) -> _slopes.Driver | None:
        """Return the driver that adds most."""
        if not self.parts:
            return None
        return max(self.parts, key=lambda driver: self.parts[driver])


def find_loads(
    size: _size.FleetSize,
) -> dict[_slopes.Role, dict[_slopes.Driver, float]]:
    """Return what drives one daemon of each role at the fleet's size."""
    layout = size.layout
    tasks = size.latency_critical_tasks + size.batch_tasks
    changes = size.changes_per_day / _size.SECONDS_PER_DAY
    sidecars = size.latency_critical_tasks * layout.entries_per_sidecar
    return {
        Role.ENTRY: {
            Driver.SIDECARS: sidecars / layout.entries,
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
    """Return the largest value on the lines of a measure, and its line."""
    found = [
        (slope.intercept + slope.per_unit * loads[slope.driver], slope)
        for slope in measurements.slopes
        if slope.measure is measure and slope.driver in loads
    ]
    return max(found, key=lambda pair: pair[0], default=None)


def estimate_roles(
    size: _size.FleetSize, measurements: _slopes.Measurements
) -> list[Estimate]:
    """Return every measure of every role that was measured."""
    loads = find_loads(size)
    budgets = {
        _slopes.Measure.CORE: size.budget.core,
        _slopes.Measure.MEMORY: size.budget.memory,
        _slopes.Measure.TRAFFIC: size.budget.traffic,
    }
    found = []
    for role in _slopes.Role:
        for measure in budgets:
            slopes = [
                slope
                for slope in measurements.slopes
                if slope.role is role and slope.measure is measure
            ]
            if slopes:
                found.append(_estimate(slopes, loads[role], budgets[measure]))
    return found


def _estimate(
    slopes: list[_slopes.Slope],
    loads: dict[_slopes.Driver, float],
    budget: float,
) -> Estimate:
    relevant = [slope for slope in slopes if slope.driver in loads]
    return Estimate(
        role=slopes[0].role,
        measure=slopes[0].measure,
        # Every line's intercept holds the idle daemon; the least is
        # nearest to it, as the others hold fixed loads of their runs.
        base=max(min(slope.intercept for slope in slopes), 0.0),
        parts={
            slope.driver: max(slope.per_unit, 0.0) * loads[slope.driver]
            for slope in relevant
        },
        budget=budget,
        stretch=max(
            (slope.find_stretch(loads[slope.driver]) for slope in relevant),
            default=0.0,
        ),
    )
