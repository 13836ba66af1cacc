"""Builders of jobs and configurations for tests of scheduling."""

import typing

import msgspec

from chivespoke.bench import _cluster
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _records
from chivespoke import standins
from chivespoke import workers

SIZE = resources.Resources(4_000, 4_096, 0)
TEAM = identifiers.TeamName('billing')
DC1 = identifiers.DataCentreName('dc1')


def build_plan(seconds: float = 10.0, fails: bool = False) -> str:
    """Return a payload that the stand-in acts out."""
    plan = standins.TaskPlan(seconds=seconds, fails=fails)
    return msgspec.json.encode(plan).decode()


def build_spec(**changes: typing.Any) -> _records.JobSpec:
    """Return the spec of a batch job."""
    spec = _records.JobSpec(
        kind=workers.TaskKind.BATCH,
        family='statements',
        team=TEAM,
        size=SIZE,
        run_time=10.0,
        payload=build_plan(),
    )
    return msgspec.structs.replace(spec, **changes)


def build_submission(
    job_id: str, tasks: int, **changes: typing.Any
) -> _records.JobSubmitted:
    """Return the record of a submitted job."""
    return _records.JobSubmitted(
        identifiers.JobId(job_id), build_spec(**changes), tasks
    )


def take_out(
    document: operators.Document, *names: str, **changes: typing.Any
) -> operators.Document:
    """Return the document with data centres out of service."""
    data_centres = dict(document.data_centres)
    for name in names:
        key = identifiers.DataCentreName(name)
        data_centres[key] = operators.DataCentre(
            region='western',
            state=operators.ServiceState.OUT_OF_SERVICE,
            **changes,
        )
    return msgspec.structs.replace(document, data_centres=data_centres)


def build_document(**changes: typing.Any) -> operators.Document:
    """Return a document with three data centres."""
    return msgspec.structs.replace(_cluster.build_document(), **changes)


async def build_cluster(
    workers_count: int = 3, processes: int = 1, **options: typing.Any
) -> _cluster.Cluster:
    """Return a running cluster whose workers are registered."""
    cluster = _cluster.Cluster(workers_count, **options)
    for number in range(processes):
        await cluster.add_process(f'entry-{number + 1}')
    await cluster.register_workers()
    return cluster


async def submit(
    cluster: _cluster.Cluster, job_id: str, tasks: int, **changes: typing.Any
) -> None:
    """Submit a job through the first process."""
    process = next(iter(cluster.processes.values()))
    stream = process.desk.choose_stream(identifiers.JobId(job_id))
    stream.propose(build_submission(job_id, tasks, **changes))
    await cluster.run(0.5)
