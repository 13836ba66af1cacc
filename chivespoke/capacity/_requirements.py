"""Requirements at a given fleet size and whether each is met."""

import enum
import math

import msgspec

from chivespoke.capacity import _model
from chivespoke.capacity import _size
from chivespoke.capacity import _slopes

Measure = _slopes.Measure
Role = _slopes.Role


class Verdict(enum.Enum):
    """Result of comparing an estimate with its limit."""

    MET = 'met'
    NOT_MET = 'not met'
    NOT_MEASURED = 'not measured'


class Requirement(msgspec.Struct, frozen=True, kw_only=True):
    """One requirement, the mechanism behind it, the data and the verdict."""

    line: str
    carried_by: str
    measured: str
    worked_out: str
    verdict: Verdict


def list_requirements(
    size: _size.FleetSize,
    measurements: _slopes.Measurements,
    estimates: list[_model.Estimate],
) -> list[Requirement]:
    """Return every requirement of the fleet size with its verdict."""
    return [
        *(_check_budget(size, estimate) for estimate in estimates),
        _check_appends(size, measurements),
        _check_starts(size, measurements),
        _check_changes(size, measurements),
        _check_failures(size),
        _check_data_centre(size),
    ]


def _check_budget(
    size: _size.FleetSize, estimate: _model.Estimate
) -> Requirement:
    driver = estimate.find_dominant_driver()
    ratio = estimate.ratio
    dominant = driver.value if driver is not None else 'the idle daemon'
    total = format_amount(estimate.measure, estimate.total)
    verdict = Verdict.MET if ratio <= 1 else Verdict.NOT_MET
    result = f'{total}, {ratio:.2f} of the budget'
    result += _describe_required_owners(size, estimate)
    return Requirement(
        line=f'{estimate.role.value}: {estimate.measure.value}',
        carried_by=MECHANISMS[estimate.role],
        measured=(
            f'idle {format_amount(estimate.measure, estimate.base)}; '
            f'most by {dominant}; stretched {estimate.stretch:.1f} times'
        ),
        worked_out=result,
        verdict=verdict,
    )


# The mechanism that keeps the cost of each role within its budget.
MECHANISMS = {
    Role.ENTRY: 'one heartbeat for all slots of a backend server',
    Role.SHARD_OWNER: 'sharding, one lease renewal for a whole worker',
    Role.SIDECAR: 'one heartbeat to each entry',
    Role.COMMAND_LINE: 'one request, nothing kept',
    Role.LOG: 'group commit, spacing of appends in each stream',
    Role.AGENT: 'one heartbeat for all tasks of a worker',
}


def _describe_required_owners(
    size: _size.FleetSize, estimate: _model.Estimate
) -> str:
    """Describe how many shard owners would meet a budget that is exceeded."""
    if estimate.role is not Role.SHARD_OWNER or estimate.ratio <= 1:
        return ''
    headroom = estimate.budget - estimate.base
    if headroom <= 0:
        return '; no number of owners meets it, the idle daemon is over'
    needed = math.ceil(
        size.layout.owners * sum(estimate.parts.values()) / headroom
    )
    return f'; {needed} owners would meet it'


def _check_appends(
    size: _size.FleetSize, measurements: _slopes.Measurements
) -> Requirement:
    layout = size.layout
    stream_appends = layout.shards * layout.appends_per_stream
    snapshots = layout.shards / layout.snapshot_seconds
    changes = size.changes_per_day / _size.SECONDS_PER_DAY
    total = stream_appends + snapshots + changes
    records_per_append = 2 * size.peak_starts / stream_appends
    return Requirement(
        line=f'appends to the log under {layout.log_appends:.0f} a second',
        carried_by='group commit, spacing of appends in each stream',
        measured=_describe_appends(measurements),
        worked_out=(
            f'{stream_appends:.0f} of {layout.shards} streams, '
            f'{snapshots:.2f} snapshots, {changes:.2f} changes: '
            f'{total:.0f} a second, {records_per_append:.0f} records in each'
        ),
        verdict=Verdict.MET
        if total <= layout.log_appends
        else Verdict.NOT_MET,
    )


def _describe_appends(measurements: _slopes.Measurements) -> str:
    for slope in measurements.slopes:
        if slope.measure is Measure.APPENDS:
            return (
                f'{max(slope.values):.1f} a second of one stream at '
                f'{max(slope.sizes):.0f} {slope.driver.value}'
            )
    return 'not measured'


def _check_starts(
    size: _size.FleetSize, measurements: _slopes.Measurements
) -> Requirement:
    starts_per_owner = size.peak_starts / size.layout.owners
    prediction = _model.predict(
        measurements,
        Measure.START_DELAY,
        {_slopes.Driver.STARTS: starts_per_owner},
    )
    return _check_delay(
        line=(
            f'{size.peak_starts:.0f} starts a second, urgent ones within '
            f'{size.urgent_start_seconds:g} s'
        ),
        carried_by='sharding, group commit of 0.25 s, permits',
        prediction=prediction,
        limit=size.urgent_start_seconds,
        load=f'{starts_per_owner:.0f} starts a second of one owner',
    )


def _check_changes(
    size: _size.FleetSize, measurements: _slopes.Measurements
) -> Requirement:
    rate = size.changes_per_day / _size.SECONDS_PER_DAY
    prediction = _model.predict(
        measurements, Measure.CHANGE_DELAY, {_slopes.Driver.CHANGES: rate}
    )
    return _check_delay(
        line=(
            f'{size.changes_per_day:.0f} changes a day, in force within '
            f'{size.change_seconds:g} s'
        ),
        carried_by='one stream that every entry polls; notices to sidecars',
        prediction=prediction,
        limit=size.change_seconds,
        load=f'{rate:.2f} changes a second',
    )


def _check_delay(
    line: str,
    carried_by: str,
    prediction: tuple[float, _slopes.Slope] | None,
    limit: float,
    load: str,
) -> Requirement:
    if prediction is None:
        return Requirement(
            line=line,
            carried_by=carried_by,
            measured='not measured',
            worked_out=load,
            verdict=Verdict.NOT_MEASURED,
        )
    seconds, slope = prediction
    return Requirement(
        line=line,
        carried_by=carried_by,
        measured=(
            f'up to {max(slope.values):.2f} s at {max(slope.sizes):g} '
            f'{slope.driver.value}, on one machine'
        ),
        worked_out=f'{seconds:.2f} s at {load}',
        verdict=Verdict.MET if seconds <= limit else Verdict.NOT_MET,
    )


def _check_failures(size: _size.FleetSize) -> Requirement:
    failures = size.failures
    day = _size.SECONDS_PER_DAY
    tasks = size.latency_critical_tasks + size.batch_tasks
    tasks_per_worker = tasks / size.workers
    losses_per_day = (
        failures.instance_failures_per_day + failures.replacements_per_day
    )
    tasks_per_rack = size.layout.workers_per_rack * tasks_per_worker
    moves_per_second = losses_per_day * tasks_per_worker / day
    return Requirement(
        line='instances that fail or are replaced, and racks',
        carried_by='leases, fences and placing again',
        measured='by arithmetic only',
        worked_out=(
            f'{losses_per_day:.0f} a day place {moves_per_second:.2f} tasks '
            f'a second again, {moves_per_second / size.peak_starts:.2%} of '
            f'the peak; a rack places {tasks_per_rack:.0f} at once'
        ),
        verdict=Verdict.MET
        if moves_per_second + tasks_per_rack <= size.peak_starts
        else Verdict.NOT_MET,
    )


def _check_data_centre(size: _size.FleetSize) -> Requirement:
    tasks = size.latency_critical_tasks + size.batch_tasks
    moved_tasks = tasks / size.data_centres
    seconds = moved_tasks / size.peak_starts
    return Requirement(
        line='a data centre fails or is taken out',
        carried_by='starts of every other shard, services first',
        measured='by arithmetic only',
        worked_out=(
            f'{moved_tasks:.0f} tasks, {seconds:.0f} s at the peak rate '
            f'of starts'
        ),
        verdict=Verdict.NOT_MEASURED,
    )


def format_amount(measure: _slopes.Measure, amount: float) -> str:
    """Format a value in the unit of its measure."""
    if measure is Measure.CORE:
        return f'{amount:.2%} of a core'
    if measure is Measure.MEMORY:
        return f'{amount / 1e6:.0f} MB'
    if measure is Measure.TRAFFIC:
        return f'{amount / 1e3:.2f} KB/s'
    return f'{amount:.1f} a second'
