"""Measure the work done around a data centre's leaving and return."""

import asyncio
import random
import typing

import msgspec

from chivespoke.bench import _cluster
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _records
from chivespoke import standins
from chivespoke import workers

WORKERS = 18
# Seconds of warming up; then of the measured window, in which the data
# centre leaves and returns.
WARM_UP = 180.0
WINDOW = 600.0
LEAVES_AT = 60.0
RETURNS_AT = 300.0
# Seconds that operators give the work to leave.
LEAVE_WITHIN = 60.0
STEP = 0.25
SERVICE = identifiers.ServiceName('counting')
REPLICAS = 6
TEAM = identifiers.TeamName('billing')
# Jobs that keep the workers busy all the time.
JOBS = 60
TASKS = 12
LEAVING = identifiers.DataCentreName('dc1')


class LeaveResult(msgspec.Struct, kw_only=True):
    """Hold what one way of leaving came to, within the window."""

    # Processor seconds of progress.
    done: float = 0.0
    lost: float = 0.0
    evictions: int = 0
    # Seconds in which the service had too few running replicas, and the
    # replicas that lacked, times seconds.
    short_seconds: float = 0.0
    short_replica_seconds: float = 0.0


class LeaveComparison(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the planned way beside its naive twin."""

    planned: LeaveResult
    naive: LeaveResult
    # The share of the naive twin's lost work that is not lost.
    saved_share: float


def compare_leaves(seed: int) -> LeaveComparison:
    """Run the same work under both plans."""
    planned = asyncio.run(_run(seed, scheduling.make_planners))
    naive = asyncio.run(_run(seed, scheduling.make_naive_planners))
    saved = 1 - planned.lost / naive.lost if naive.lost else 0.0
    return LeaveComparison(
        planned=planned, naive=naive, saved_share=round(saved, 3)
    )


async def _run(seed: int, plan: scheduling.PlannerFactory) -> LeaveResult:
    cluster = _cluster.Cluster(WORKERS, plan=plan)
    document = msgspec.structs.replace(
        _cluster.build_document(),
        services={
            SERVICE: operators.Service(
                team=TEAM,
                replicas=REPLICAS,
                size=resources.Resources(2000, 2048, 0),
            )
        },
    )
    cluster.publish(document)
    process = await cluster.add_process()
    await cluster.register_workers()
    _submit(process, random.Random(seed))
    result = LeaveResult()
    try:
        await cluster.run(WARM_UP, STEP)
        before = _measure(cluster)
        out = _take_out(document)
        for second in range(int(WINDOW)):
            if second == LEAVES_AT:
                cluster.publish(out)
            if second == RETURNS_AT:
                cluster.publish(document)
            await cluster.run(1.0, STEP)
            _watch_service(cluster, result)
        after = _measure(cluster)
    finally:
        await cluster.stop()
    result.done = round(after[0] - before[0], 1)
    result.lost = round(after[1] - before[1], 1)
    report = process.api.report_jobs()
    result.evictions = sum(each.evictions for each in report)
    return result


def _submit(process: _cluster.SchedulerProcess, source: random.Random) -> None:
    for number in range(JOBS):
        seconds = source.uniform(40.0, 240.0)
        process.api.streams['default'].propose(
            _records.JobSubmitted(
                identifiers.JobId(f'job-{number}'),
                _records.JobSpec(
                    kind=workers.TaskKind.BATCH,
                    family=f'family-{number % 7}',
                    team=TEAM,
                    size=resources.Resources(2000, 2048, 0),
                    # Declared run times are off by up to half.
                    run_time=seconds * source.uniform(0.5, 1.5),
                    checkpointing=source.random() < 0.5,
                    payload=msgspec.json.encode(
                        standins.TaskPlan(seconds=seconds)
                    ).decode(),
                ),
                TASKS,
            )
        )


def _take_out(document: operators.Document) -> operators.Document:
    data_centres = dict(document.data_centres)
    data_centres[LEAVING] = operators.DataCentre(
        region='western',
        state=operators.ServiceState.OUT_OF_SERVICE,
        leave_within=LEAVE_WITHIN,
    )
    return msgspec.structs.replace(document, data_centres=data_centres)


def _list_runs(
    cluster: _cluster.Cluster, kind: workers.TaskKind
) -> typing.Iterator[standins.Run]:
    for agent in cluster.agents.values():
        for run in agent.history:
            if run.command.kind is kind:
                yield run


def _measure(cluster: _cluster.Cluster) -> tuple[float, float]:
    """Return processor seconds of kept progress and of lost progress."""
    done, lost = 0.0, 0.0
    for run in _list_runs(cluster, workers.TaskKind.BATCH):
        processors = run.command.size.millicores / 1000
        made = run.progress - run.resumed_from
        stopped = run.ended_at is not None and run.progress < run.plan.seconds
        wasted = run.progress - run.saved if stopped else 0.0
        lost += wasted * processors
        done += (made - wasted) * processors
    return done, lost


def _watch_service(cluster: _cluster.Cluster, result: LeaveResult) -> None:
    running = sum(
        run.command.kind is workers.TaskKind.LATENCY_CRITICAL
        for agent in cluster.agents.values()
        for run in agent.runs.values()
    )
    if running < REPLICAS:
        result.short_seconds += 1.0
        result.short_replica_seconds += REPLICAS - running
