"""Build jobs, configurations and clusters for tests of scheduling."""

import asyncio
import collections.abc
import typing

import msgspec

from chivespoke.bench import _cluster
from chivespoke.bench import _fault_checks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _records
from chivespoke import standins
from chivespoke import workers

SIZE = resources.Resources(4_000, 4_096, 0)
TEAM = identifiers.TeamName('billing')
DC1 = identifiers.DataCentreName('dc1')


# Seconds after which a worker that crashed is back.
RESTART_SECONDS = 3.4


def build_payload(
    seconds: float = 10.0, fails: bool = False, crashes: bool = False
) -> str:
    """Return a payload that specifies how the stand-in runs a task."""
    plan = standins.TaskPlan(seconds=seconds, fails=fails, crashes=crashes)
    return msgspec.json.encode(plan).decode()


def build_spec(**changes: typing.Any) -> _records.JobSpec:
    """Return the specification of a batch job."""
    spec = _records.JobSpec(
        kind=workers.TaskKind.BATCH,
        family='statements',
        team=TEAM,
        size=SIZE,
        run_time=10.0,
        payload=build_payload(),
    )
    return msgspec.structs.replace(spec, **changes)


def build_submission(
    job_id: str, tasks: int, **changes: typing.Any
) -> _records.JobSubmitted:
    """Return the record that submits a job."""
    return _records.JobSubmitted(
        identifiers.JobId(job_id), build_spec(**changes), tasks
    )


def take_out(
    document: operators.Document, *names: str, **changes: typing.Any
) -> operators.Document:
    """Return the document with some data centres out of service."""
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


class CheckedCluster(_cluster.Cluster):
    """Check the invariants that span all workers after each step."""

    def __init__(self, workers_count: int, **options: typing.Any) -> None:
        super().__init__(workers_count, **options)
        self.witness = _fault_checks.Witness(self)
        # Numbers of the workers that crashed, in order.
        self.crashes: list[int] = []
        # Ages in seconds of the tasks that each crash ended.
        self.lost: list[dict[identifiers.TaskId, float]] = []
        self._restarts: list[tuple[float, int]] = []

    async def step(self, seconds: float = _cluster.STEP) -> None:
        await super().step(seconds)
        self.witness.check()
        for number, agent in self.agents.items():
            if agent.crashed and agent.runs:
                self.crash(number)
        due = [item for item in self._restarts if item[0] <= self.now()]
        for item in due:
            self._restarts.remove(item)
            self.restart_worker(item[1], 1 + len(self.crashes))

    def crash(self, *numbers: int) -> None:
        """Crash workers; they are back at their addresses soon."""
        for number in numbers:
            agent = self.agents[number]
            if agent.crashed and not agent.runs:
                continue
            agent.crashed = True
            now = agent.clock.read_monotonic()
            self.lost.append(
                {
                    task_id: now - run.started_at
                    for task_id, run in agent.runs.items()
                }
            )
            self.witness.note_killed(agent)
            self.crashes.append(number)
            restart_at = self.now() + RESTART_SECONDS
            self._restarts.append((restart_at, number))

    def publish(self, document: operators.Document) -> None:
        super().publish(document)
        self.witness.note_published(document)

    def get_report(self, job_id: str = 'job-1') -> scheduling.JobReport:
        """Return a job's report from the newest process."""
        process = list(self.processes.values())[-1]
        report = process.api.report_job(identifiers.JobId(job_id))
        assert report is not None
        return report

    def set_reachable(self, reachable: bool, *numbers: int) -> None:
        """Make workers unreachable, or reachable again."""
        for number in numbers:
            self.connector.clients[f'memory://{number}'].reachable = reachable

    async def register_elsewhere(
        self, number: int, life: int
    ) -> standins.WorkerAgent:
        """Register another incarnation of a worker at another address.

        The earlier one goes on; the checks see both.
        """
        earlier = self.agents[number]
        registration = msgspec.structs.replace(
            earlier.registration,
            incarnation=identifiers.Incarnation(f'{number}.{life}'),
            address=f'memory://{number}.{life}',
        )
        agent = standins.WorkerAgent(registration, earlier.clock)
        self.agents[1000 * life + number] = agent
        self.connector.add(agent)
        await self.register(registration)
        return agent

    async def register(self, registration: workers.Registration) -> None:
        """Register a worker with the first process."""
        process = next(iter(self.processes.values()))
        work = process.api.register(registration)
        await run_concurrently(self, work, 1.0)

    def list_runs(self) -> list[standins.Run]:
        """Return all runs on the current workers."""
        return [run for agent in self.agents.values() for run in agent.history]


async def build_cluster(
    workers_count: int = 3, processes: int = 1, **options: typing.Any
) -> CheckedCluster:
    """Return a running cluster whose workers are registered."""
    cluster = CheckedCluster(workers_count, **options)
    for number in range(processes):
        await cluster.add_process(f'entry-{number + 1}')
    await cluster.register_workers()
    return cluster


async def submit(
    cluster: _cluster.Cluster,
    tasks: int,
    job_id: str = 'job-1',
    **changes: typing.Any,
) -> None:
    """Submit a job through the first process."""
    process = next(iter(cluster.processes.values()))
    stream = process.api.choose_stream(identifiers.JobId(job_id))
    stream.propose(build_submission(job_id, tasks, **changes))
    await cluster.run(0.5)


async def run_concurrently(
    cluster: _cluster.Cluster,
    work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    seconds: float,
) -> None:
    """Run a coroutine while simulated time advances."""
    future = asyncio.ensure_future(work)
    await cluster.run(seconds, 0.25)
    await future
