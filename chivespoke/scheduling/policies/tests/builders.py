"""Builders of test data for the policies."""

import typing

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import workers

CAPACITY = resources.Resources(16000, 61440, 2)
REPORT_SECONDS = 10.0


def make_demand(
    name: str, family: str = '', **changes: typing.Any
) -> scheduling.TaskDemand:
    """Return the demand of a task.

    A name with a slash makes a service replica, any other a batch task.
    """
    is_replica = '/' in name
    values: dict[str, typing.Any] = {
        'task_id': identifiers.TaskId(name),
        'kind': workers.TaskKind.LATENCY_CRITICAL
        if is_replica
        else workers.TaskKind.BATCH,
        'family': family or name.split('/')[0].split('-')[0],
        'team': identifiers.TeamName('team'),
        'size': resources.Resources(2000, 4096, 0),
    }
    return scheduling.TaskDemand(**{**values, **changes})


def make_worker(
    name: str, demands: typing.Iterable[scheduling.TaskDemand] = ()
) -> scheduling.WorkerView:
    """Return a worker with a placed task for each demand."""
    worker = scheduling.WorkerView(
        worker_id=identifiers.WorkerId(name),
        data_centre=identifiers.DataCentreName('dc0'),
        rack=identifiers.RackName('rack0'),
        capacity=CAPACITY,
    )
    for demand in demands:
        add_task(worker, demand)
    return worker


def add_task(
    worker: scheduling.WorkerView, demand: scheduling.TaskDemand
) -> None:
    """Add a placed task to a worker."""
    worker.tasks[demand.task_id] = scheduling.PlacedTask(
        demand=demand, attempt=identifiers.Attempt(1), placed_at=0.0
    )
    worker.committed = worker.committed + demand.size


def make_usage(
    demand: scheduling.TaskDemand, **changes: typing.Any
) -> workers.TaskUsage:
    """Return a measurement of a task without interference."""
    is_batch = demand.kind is workers.TaskKind.BATCH
    values: dict[str, typing.Any] = {
        'task_id': demand.task_id,
        'attempt': identifiers.Attempt(1),
        'use': demand.size,
        'progress': 1.0 if is_batch else None,
        'request_rate': None if is_batch else 100.0,
        'latency_p99': None if is_batch else 10.0,
    }
    return workers.TaskUsage(**{**values, **changes})


def make_report(
    worker: scheduling.WorkerView,
    sequence: int,
    usages: typing.Iterable[workers.TaskUsage] | None = None,
    **changes: typing.Any,
) -> workers.UsageReport:
    """Return a report; the worker's clock starts at 0 with the first.

    The usages default to measurements of all placed tasks.
    """
    if usages is None:
        usages = [make_usage(t.demand) for t in worker.tasks.values()]
    values: dict[str, typing.Any] = {
        'worker_id': worker.worker_id,
        'sequence': sequence,
        'measured_from': (sequence - 1) * REPORT_SECONDS,
        'measured_until': sequence * REPORT_SECONDS,
        'tasks': tuple(usages),
    }
    return workers.UsageReport(**{**values, **changes})
