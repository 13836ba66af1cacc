"""Build simulated workers' agents and requests to them."""

import typing

import msgspec

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import standins
from chivespoke import workers

WORKER = identifiers.WorkerId('worker-1')
INCARNATION = identifiers.Incarnation('a')
TASK = identifiers.TaskId('job-1/0')
SIZE = resources.Resources(1_000, 1_024, 0)


def build_agent(clock: clocks.Clock) -> standins.WorkerAgent:
    """Return the agent of a worker that can hold one task."""
    registration = workers.Registration(
        worker_id=WORKER,
        incarnation=INCARNATION,
        data_centre=identifiers.DataCentreName('dc1'),
        rack=identifiers.RackName('rack-1'),
        capacity=SIZE,
    )
    return standins.WorkerAgent(registration, clock)


def build_renewal(
    clock: clocks.Clock, **changes: typing.Any
) -> workers.LeaseRenewal:
    """Return a renewal for the worker by a minute."""
    renewal = workers.LeaseRenewal(
        worker_id=WORKER,
        epoch=1,
        lease_until=clock.read_monotonic() + 60.0,
        incarnation=INCARNATION,
    )
    return msgspec.structs.replace(renewal, **changes)


def build_start(
    clock: clocks.Clock, **changes: typing.Any
) -> workers.StartCommand:
    """Return a command to start the first attempt of a task."""
    command = workers.StartCommand(
        task_id=TASK,
        attempt=identifiers.Attempt(1),
        fencing_token=identifiers.Offset(1),
        kind=workers.TaskKind.BATCH,
        size=SIZE,
        payload='',
        permit_until=clock.read_monotonic() + 2.0,
        epoch=2,
        incarnation=INCARNATION,
    )
    return msgspec.structs.replace(command, **changes)


def build_stop(**changes: typing.Any) -> workers.StopCommand:
    """Return a command to stop the first attempt of a task."""
    command = workers.StopCommand(
        task_id=TASK,
        attempt=identifiers.Attempt(1),
        epoch=2,
        incarnation=INCARNATION,
    )
    return msgspec.structs.replace(command, **changes)
