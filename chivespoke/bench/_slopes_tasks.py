"""Slope scenarios of shard owners and of configuration changes."""

import asyncio
import collections.abc
import contextlib
import pathlib

import msgspec

from chivespoke.bench import _processes
from chivespoke.bench import _slopes
from chivespoke.bench import _slopes_requests
from chivespoke import capacity
from chivespoke import clock as clocks
from chivespoke import daemons
from chivespoke import demo
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import settings
from chivespoke import standins

DATA_CENTRE = _slopes_requests.DATA_CENTRE
CAPACITY = resources.Resources(16_000, 61_440, 0)
TASK_SIZE = resources.Resources(100, 128, 0)
TEAM = identifiers.TeamName('team-1')
# Number of workers in scenarios that vary tasks or starts.
WORKER_COUNT = 20
# Shortest measurement window; every lease is renewed at least once in it.
MIN_WINDOW_SECONDS = 20.0
SETTLE_SECONDS = 5.0
POLL_SECONDS = 0.1
# Run times: short tasks end during the measurement, long ones do not.
SHORT_TASK_SECONDS = 0.5
LONG_TASK_SECONDS = 3600.0
MEASURE = capacity.Measure


class Deployment:
    """An entry daemon with a log and workers that run in this process."""

    __slots__ = ('log', 'daemon', 'entry', 'client', 'workers')

    def __init__(
        self,
        log: standins.LogServer,
        daemon: _processes.Daemon,
        entry: settings.EntrySettings,
        client: demo.EntryClient,
    ) -> None:
        self.log = log
        self.daemon = daemon
        self.entry = entry
        self.client = client
        self.workers: list[standins.WorkerServer] = []

    async def submit(self, name: str, tasks: int, seconds: float) -> None:
        """Submit a job of identical tasks."""
        plan = standins.TaskPlan(seconds=seconds)
        await self.client.submit(
            scheduling.JobRequest(
                id=name,
                team=TEAM,
                tasks=tasks,
                size=TASK_SIZE,
                run_time=seconds,
                payload=msgspec.json.encode(plan).decode(),
            )
        )

    def count_running(self) -> int:
        """Return the number of running tasks."""
        return sum(len(worker.agent.runs) for worker in self.workers)

    def list_starts(self) -> list[tuple[str, float]]:
        """Return the task identifier and the time of every start."""
        return [
            (run.command.task_id, run.started_at)
            for worker in self.workers
            for run in worker.agent.history
        ]


@contextlib.asynccontextmanager
async def run_deployment(
    folder: pathlib.Path, workers: int
) -> collections.abc.AsyncIterator[Deployment]:
    """Run an entry daemon with the given number of registered workers."""
    async with contextlib.AsyncExitStack() as stack:
        log = await _slopes_requests.start_log(stack)
        entry = _slopes_requests.make_entry_settings('entry-1', log.address)
        daemon = await _slopes_requests.start_daemon(
            stack, 'entry', entry, folder
        )
        client = demo.EntryClient(entry.http)
        await stack.enter_async_context(client)
        deployment = Deployment(log, daemon, entry, client)
        for index in range(workers):
            worker = standins.WorkerServer(
                standins.make_worker_registration(
                    f'worker-{index}',
                    DATA_CENTRE,
                    f'rack-{index // standins.WORKERS_PER_RACK}',
                    CAPACITY,
                ),
                settings.Address(),
                entry.http,
                clocks.SystemClock(),
            )
            await _slopes_requests.start_component(stack, worker)
            deployment.workers.append(worker)
        await asyncio.gather(
            *(each.registered.wait() for each in deployment.workers)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        yield deployment


class ShardWorkers(_slopes.Scenario):
    """Measures a shard owner with a varying number of idle workers."""

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.WORKERS
    sizes = (10, 40, 80, 160)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_deployment(folder, size) as deployment:
            window = max(seconds, MIN_WINDOW_SECONDS)
            return _slopes.make_values(await deployment.daemon.measure(window))


class ShardTasks(_slopes.Scenario):
    """Measures a shard owner with a varying number of running tasks."""

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.TASKS
    sizes = (0, 80, 160, 320)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_deployment(folder, WORKER_COUNT) as deployment:
            if size:
                await deployment.submit('job-1', size, LONG_TASK_SECONDS)
            while deployment.count_running() < size:
                await asyncio.sleep(POLL_SECONDS)
            await asyncio.sleep(SETTLE_SECONDS)
            window = max(seconds, MIN_WINDOW_SECONDS)
            return _slopes.make_values(await deployment.daemon.measure(window))


class ShardStarts(_slopes.Scenario):
    """Measures a shard owner at varying start rates.

    One job per second is submitted, with as many short tasks as the size.
    """

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.STARTS
    sizes = (2, 5, 10, 20, 40)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_deployment(folder, WORKER_COUNT) as deployment:
            window = max(seconds, MIN_WINDOW_SECONDS)
            submission = asyncio.ensure_future(
                self._submit(deployment, size, window)
            )
            appends = deployment.log.log.appends
            usage = await deployment.daemon.measure(window)
            appends = deployment.log.log.appends - appends
            submitted = await submission
        delays = sorted(
            started_at - submitted[task_id.partition('/')[0]]
            for task_id, started_at in deployment.list_starts()
        )
        values = _slopes.make_values(usage)
        values[MEASURE.APPENDS] = appends / window
        values[MEASURE.START_DELAY] = delays[int(0.99 * (len(delays) - 1))]
        return values

    async def _submit(
        self, deployment: Deployment, size: int, window: float
    ) -> dict[str, float]:
        clock = clocks.SystemClock()
        submitted = {}
        for number in range(int(window)):
            name = f'job-{number}'
            submitted[name] = clock.read_monotonic()
            await deployment.submit(name, size, SHORT_TASK_SECONDS)
            elapsed = clock.read_monotonic() - submitted[name]
            await asyncio.sleep(max(0.0, 1.0 - elapsed))
        return submitted


class EntryChanges(_slopes.Scenario):
    """Measures an entry at varying rates of configuration changes."""

    __slots__ = ()

    role = capacity.Role.ENTRY
    driver = capacity.Driver.CHANGES
    sizes = (0, 1, 2, 4)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_deployment(folder, 0) as deployment:
            async with contextlib.AsyncExitStack() as stack:
                other = daemons.Entry(
                    _slopes_requests.make_entry_settings(
                        'entry-2', deployment.log.address
                    ),
                    clocks.SystemClock(),
                    balancer_notice_seconds=0.0,
                )
                await _slopes_requests.start_component(stack, other)
                await asyncio.sleep(SETTLE_SECONDS)
                patches = asyncio.ensure_future(
                    self._patch(deployment, other, size, seconds)
                )
                usage = await deployment.daemon.measure(seconds)
                delays = sorted(await patches)
        values = _slopes.make_values(usage)
        values[MEASURE.CHANGE_DELAY] = delays[-1] if delays else 0.0
        return values

    async def _patch(
        self,
        deployment: Deployment,
        other: daemons.Entry,
        size: int,
        window: float,
    ) -> list[float]:
        """Submit patches at a constant rate.

        Returns the delays, in seconds, until each patch is in force at
        another entry.
        """
        delays: list[float] = []
        if not size:
            return delays
        clock = clocks.SystemClock()
        configuration = other.context.control.configuration
        path = '/limits/moves_at_once'
        version = 0
        for number in range(int(size * window)):
            begun = clock.read_monotonic()
            decision = await deployment.client.patch(
                version,
                [{'op': 'add', 'path': path, 'value': number + 1}],
                'bench',
            )
            version = int(decision.version)
            while configuration.version < version:
                await asyncio.sleep(0.01)
            elapsed = clock.read_monotonic() - begun
            delays.append(elapsed)
            await asyncio.sleep(max(0.0, 1 / size - elapsed))
        return delays
