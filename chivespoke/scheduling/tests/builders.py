"""Builders of shards, owners and workers for tests."""

import asyncio

import msgspec

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import platform
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _records
from chivespoke import standins
from chivespoke import workers

CAPACITY = resources.Resources(16_000, 61_440, 0)
SIZE = resources.Resources(4_000, 4_096, 0)
TEAM = identifiers.TeamName('billing')
# Turns of the event loop in which everything that can happen does.
TURNS = 16
STEP = 0.1


def build_plan(seconds: float = 10.0, fails: bool = False) -> str:
    """Return a payload that the stand-in acts out."""
    plan = standins.TaskPlan(seconds=seconds, fails=fails)
    return msgspec.json.encode(plan).decode()


def build_spec(**changes: object) -> _records.JobSpec:
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


def build_document(**changes: object) -> operators.Document:
    """Return a document with three data centres."""
    document = operators.Document(
        data_centres={
            identifiers.DataCentreName(name): operators.DataCentre(
                region='western'
            )
            for name in ('dc1', 'dc2', 'dc3')
        }
    )
    return msgspec.structs.replace(document, **changes)


def take_out(
    document: operators.Document, *names: str, **changes: object
) -> operators.Document:
    """Return the document with data centres out of service."""
    data_centres = dict(document.data_centres)
    for name in names:
        key = identifiers.DataCentreName(name)
        data_centres[key] = msgspec.structs.replace(
            data_centres[key],
            state=operators.ServiceState.OUT_OF_SERVICE,
            **changes,
        )
    return msgspec.structs.replace(document, data_centres=data_centres)


class SkewedClock(clocks.Clock):
    """Run beside another clock with an offset and a drift."""

    __slots__ = ('_base', '_origin', '_offset', '_rate')

    def __init__(
        self, base: clocks.Clock, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        self._base = base
        self._origin = base.read_monotonic()
        self._offset = offset
        self._rate = 1 + drift

    def read_monotonic(self) -> float:
        elapsed = self._base.read_monotonic() - self._origin
        return self._offset + elapsed * self._rate

    def convert(self, reading: float) -> float:
        """Return the base clock's time of an own reading."""
        return self._origin + (reading - self._offset) / self._rate

    def read_wall(self) -> float:
        return self._base.read_wall()

    async def sleep(self, seconds: float) -> None:
        await self._base.sleep(seconds / self._rate)


class SchedulerProcess:
    """Hold one process that may own a shard."""

    def __init__(
        self,
        cluster: 'Cluster',
        name: str,
        life: int = 1,
        shard: str = 'default',
    ) -> None:
        self.name = name
        self.life = life
        self.identity = identifiers.Incarnation(f'{name}:{life}')
        self.committer = platform.GroupCommitter(
            cluster.log, cluster.clock, self.identity, seed=1
        )
        self.stream = scheduling.ShardStream(
            shard, cluster.log, self.committer, cluster.clock
        )
        self.configuration = cluster.configuration
        self.owner = scheduling.ShardOwner(
            self.identity,
            self.stream,
            cluster.configuration,
            cluster.connector,
            cluster.clock,
            planners=scheduling.make_planners(),
        )

    async def start(self) -> None:
        await self.stream.start()
        await self.owner.start()

    async def die(self) -> None:
        """Stop at once, saying nothing to anybody."""
        await self.owner.stop()
        await self.stream.stop()
        await self.committer.stop()


class Cluster:
    """Hold a log, workers and processes on one clock."""

    def __init__(self, count: int = 3, **log_options: float) -> None:
        self.clock = clocks.ManualClock()
        self.log = standins.MemoryLog(self.clock, **log_options)
        self.configuration = scheduling.FixedConfiguration()
        self.configuration.set(build_document())
        # Without this the proof follows the clock, as a live reader's.
        self.frozen_proof = False
        self.connector = standins.MemoryWorkerConnector()
        self.agents: list[standins.WorkerAgent] = []
        self.processes: list[SchedulerProcess] = []
        for number in range(count):
            self.add_worker(number)

    def add_worker(
        self, number: int, drift: float = 0.0, life: int = 1
    ) -> standins.WorkerAgent:
        """Add a worker; three to a rack, data centres in turn."""
        registration = workers.Registration(
            worker_id=identifiers.WorkerId(f'worker-{number}'),
            incarnation=identifiers.Incarnation(f'w{number}:{life}'),
            data_centre=identifiers.DataCentreName(f'dc{number % 3 + 1}'),
            rack=identifiers.RackName(f'rack-{number % 3}-{number // 9}'),
            capacity=CAPACITY,
            address=f'memory://{number}',
        )
        clock = SkewedClock(self.clock, 500.0 * number, drift)
        agent = standins.WorkerAgent(registration, clock)
        self.agents.append(agent)
        self.connector.add(agent)
        return agent

    async def add_process(
        self, name: str = 'entry-1', life: int = 1, shard: str = 'default'
    ) -> SchedulerProcess:
        """Start a process."""
        process = SchedulerProcess(self, name, life, shard)
        self.processes.append(process)
        await process.start()
        return process

    async def register_workers(self) -> None:
        """Register every worker in the first process's shard."""
        for agent in self.agents:
            self.processes[0].stream.propose(
                scheduling.make_registration(agent.registration)
            )
        await self.run(1.0)

    async def run(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(max(1, round(seconds / STEP))):
            await self.step()

    async def step(self, seconds: float = STEP) -> None:
        """Move the clock once and let everything happen."""
        self.clock.advance(seconds)
        if not self.frozen_proof:
            self.configuration.proof = self.clock.read_monotonic()
        for agent in self.agents:
            agent.settle()
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def submit(self, job_id: str, tasks: int, **changes: object) -> None:
        """Submit a job and wait until it is read."""
        self.processes[0].stream.propose(
            _records.JobSubmitted(
                identifiers.JobId(job_id), build_spec(**changes), tasks
            )
        )
        await self.run(0.5)

    async def stop(self) -> None:
        """Stop every process."""
        for process in self.processes:
            await process.die()
