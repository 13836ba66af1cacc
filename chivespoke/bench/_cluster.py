"""A log, workers and scheduling processes on one clock moved by hand."""

import asyncio
import collections.abc
import typing
import zlib

import msgspec

from chivespoke.bench import _gates
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import standins
from chivespoke import workers

CAPACITY = resources.Resources(16_000, 61_440, 0)
# Turns of the event loop in which everything that can happen does.
TURNS = 14
# Seconds of one step.
STEP = 0.1
DATA_CENTRES = ('dc1', 'dc2', 'dc3')
WORKERS_PER_RACK = 3


class PolledConfiguration(scheduling.ConfigurationSource):
    """See what operators published as of the last read."""

    __slots__ = (
        'reachable',
        '_published',
        '_version',
        '_document',
        '_last_read_at',
        '_next',
    )

    def __init__(self, published: scheduling.FixedConfiguration) -> None:
        self.reachable = True
        self._published = published
        self._version = identifiers.Version(0)
        self._document = operators.Document()
        self._last_read_at: float | None = None
        self._next: (
            tuple[float, identifiers.Version, operators.Document] | None
        ) = None

    @property
    def version(self) -> identifiers.Version:
        return self._version

    @property
    def document(self) -> operators.Document:
        return self._document

    @property
    def last_read_at(self) -> float | None:
        return self._last_read_at

    def poll(self, now: float) -> None:
        """Take in the read that began a poll ago, and begin another."""
        if not self.reachable:
            self._next = None
            return
        if self._next is not None:
            self._last_read_at, self._version, self._document = self._next
        published = self._published
        self._next = (now, published.version, published.document)


class SchedulerProcess:
    """Hold one process that follows shards and may own them."""

    def __init__(self, cluster: 'Cluster', name: str, life: int) -> None:
        self.name = name
        self.life = life
        self.gate = _gates.Gate()
        self.log = _gates.GatedLog(cluster.log, self.gate)
        clock = _gates.GatedClock(cluster.clock, self.gate)
        self.connector = _gates.GatedConnector(
            cluster.connector, clock, self.gate
        )
        self.configuration = PolledConfiguration(cluster.configuration)
        self.committer = replication.GroupCommitter(
            self.log,
            clock,
            identifiers.Incarnation(f'{name}:{life}'),
            seed=life,
        )
        self.scheduling = scheduling.Scheduling(
            name,
            cluster.shards,
            self.log,
            self.committer,
            self.configuration,
            clock,
            cluster.policies,
            self.connector,
            identifiers.Incarnation(str(life)),
            retention=cluster.retention,
            plan=cluster.plan,
            # Processes that read again at the same time would stay in step.
            seed=zlib.crc32(f'{name}:{life}'.encode()),
        )

    @property
    def api(self) -> scheduling.SchedulingApi:
        """Return what takes jobs and workers."""
        return self.scheduling.api

    def get_owner(self, shard: str = 'default') -> scheduling.ShardOwner:
        """Return the owner of a shard in this process."""
        return self.api.owners[shard]

    async def start(self) -> None:
        """Begin following."""
        await self.scheduling.start()

    async def die(self) -> None:
        """End at once, saying nothing to anybody."""
        await self.scheduling.stop()
        await self.committer.stop()


class Cluster:
    """Hold everything of one small platform."""

    def __init__(
        self,
        workers_count: int = 3,
        shards: collections.abc.Sequence[str] = ('default',),
        policies: scheduling.OwnerPolicies | None = None,
        retention: float = float('inf'),
        plan: scheduling.PlannerFactory = scheduling.make_planners,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.log = standins.MemoryLog(self.clock, retention)
        self.configuration = scheduling.FixedConfiguration()
        self.configuration.set(build_document(shards))
        self.shards = tuple(shards)
        self.retention = None if retention == float('inf') else retention
        self.policies = policies
        self.plan = plan
        self.connector = standins.MemoryWorkerConnector()
        self.agents: dict[int, standins.WorkerAgent] = {}
        # Lives that go on beside a later one.
        self.replaced: list[standins.WorkerAgent] = []
        self.processes: dict[str, SchedulerProcess] = {}
        self._steps = 0
        for number in range(workers_count):
            self.add_worker(number)

    def now(self) -> float:
        """Return the common clock's seconds."""
        return self.clock.read_monotonic()

    def add_worker(
        self,
        number: int,
        life: int = 1,
        drift: float = 0.0,
        capacity: resources.Resources = CAPACITY,
        address: str = '',
    ) -> standins.WorkerAgent:
        """Add a worker, or its next life; data centres go in turn."""
        place = number % len(DATA_CENTRES)
        rack = number // (len(DATA_CENTRES) * WORKERS_PER_RACK)
        group = self.shards[number // len(DATA_CENTRES) % len(self.shards)]
        agent = standins.WorkerAgent(
            workers.Registration(
                worker_id=identifiers.WorkerId(f'worker-{number}'),
                incarnation=identifiers.Incarnation(f'{number}.{life}'),
                data_centre=identifiers.DataCentreName(DATA_CENTRES[place]),
                rack=identifiers.RackName(f'rack-{place}-{rack}'),
                capacity=capacity,
                group=group,
                address=address or f'memory://{number}',
            ),
            _gates.SkewedClock(self.clock, 500.0 * number + life, drift),
        )
        self.agents[number] = agent
        self.connector.add(agent)
        return agent

    def restart_worker(
        self, number: int, life: int, **changes: typing.Any
    ) -> None:
        """Put the next life of a worker in the place of the present one.

        The changes are to its registration.
        """
        address = self.agents[number].registration.address
        # Who is connected to the address now meets the new incarnation there.
        client = self.connector.clients[address]
        client.agent = self.add_worker(number, life, address=address)
        client.agent.registration = msgspec.structs.replace(
            client.agent.registration, **changes
        )
        self.connector.clients[address] = client

    def add_worker_elsewhere(
        self, number: int, life: int
    ) -> standins.WorkerAgent:
        """Add a worker's next life at another address; the earlier goes on."""
        self.replaced.append(self.agents[number])
        return self.add_worker(
            number, life, address=f'memory://{number}.{life}'
        )

    def remove_agent(self, agent: standins.WorkerAgent) -> None:
        """Let a replaced life of a worker be gone."""
        self.replaced.remove(agent)
        self.connector.clients[agent.registration.address].ended = True

    def list_agents(self) -> list[standins.WorkerAgent]:
        """Return the agents of all lives that may be at work."""
        return [*self.agents.values(), *self.replaced]

    async def add_process(
        self,
        name: str = 'entry-1',
        life: int = 1,
        reads_configuration: bool = True,
    ) -> SchedulerProcess:
        """Start a process, or its next life."""
        process = SchedulerProcess(self, name, life)
        process.configuration.reachable = reads_configuration
        # The first read does not wait.
        process.configuration.poll(self.now())
        process.configuration.poll(self.now())
        self.processes[name] = process
        await process.start()
        return process

    async def register_workers(self) -> None:
        """Register every worker through the first process."""
        process = next(iter(self.processes.values()))
        for agent in self.agents.values():
            process.api.streams[agent.registration.group].propose(
                scheduling.make_registration(agent.registration)
            )
        await self.run(1.0)

    async def run(self, seconds: float, step: float = STEP) -> None:
        """Let time pass in small steps."""
        for _ in range(max(1, round(seconds / step))):
            await self.step(step)

    async def step(self, seconds: float = STEP) -> None:
        """Move the clock once and let everything happen."""
        self.clock.advance(seconds)
        now = self.now()
        for process in self.processes.values():
            if process.gate.is_open and process.log.reachable:
                if not self.log.faults.read_down:
                    process.configuration.poll(now)
        for agent in self.list_agents():
            running = len(agent.runs)
            agent.advance_runs()
            if len(agent.runs) < running:
                self._tell_news(agent)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    def _tell_news(self, agent: standins.WorkerAgent) -> None:
        """Tell the processes, as a worker does, that something ended."""
        registration = agent.registration
        if not self.connector.clients[registration.address].reachable:
            return
        for process in self.processes.values():
            if process.gate.is_open:
                process.api.request_heartbeat(
                    registration.group, registration.worker_id
                )

    def find_owner(
        self, shard: str = 'default'
    ) -> scheduling.ShardOwner | None:
        """Return the owner by the newest state that any process has."""
        owners = [
            process.get_owner(shard)
            for process in self.processes.values()
            if process.get_owner(shard).epoch
        ]
        return max(owners, key=lambda owner: owner.epoch, default=None)

    def publish(self, document: operators.Document) -> None:
        """Accept a configuration."""
        self.configuration.set(document)

    async def stop(self) -> None:
        """End every process."""
        for process in self.processes.values():
            process.gate.open()
            await process.die()


def build_document(
    shards: collections.abc.Sequence[str] = ('default',),
) -> operators.Document:
    """Return a configuration with three data centres."""
    return operators.Document(
        data_centres={
            identifiers.DataCentreName(name): operators.DataCentre(
                region='western'
            )
            for name in DATA_CENTRES
        },
        shards={
            name: operators.ShardGroup(mints_quotas=index == 0)
            for index, name in enumerate(shards)
        },
    )
