"""Slopes of shard owners, the log and workers' agents."""

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
# Workers whose tasks, or starts, are varied.
WORKERS = 20
# Seconds that cover one renewal of every lease.
LEAST_SECONDS = 20.0
SETTLE_SECONDS = 5.0
POLL_SECONDS = 0.1
# Seconds that a short task and a long one run.
SHORT_TASK = 0.5
LONG_TASK = 3600.0
MEASURE = capacity.Measure


class Site:
    """Hold one entry daemon, the log and workers of this process."""

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
        """Submit a job of equal tasks."""
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
        """Return the tasks that run."""
        return sum(len(worker.agent.runs) for worker in self.workers)

    def list_starts(self) -> list[tuple[str, float]]:
        """Return the task and the time of every start."""
        return [
            (run.command.task_id, run.started_at)
            for worker in self.workers
            for run in worker.agent.history
        ]


@contextlib.asynccontextmanager
async def run_site(
    folder: pathlib.Path, workers: int
) -> collections.abc.AsyncIterator[Site]:
    """Run one entry daemon with so many workers registered."""
    async with contextlib.AsyncExitStack() as stack:
        log = await _slopes_requests.start_log(stack)
        entry = _slopes_requests.make_entry_settings('entry-1', log.address)
        daemon = await _slopes_requests.start_daemon(
            stack, 'entry', entry, folder
        )
        client = demo.EntryClient(entry.http)
        await stack.enter_async_context(client)
        site = Site(log, daemon, entry, client)
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
            site.workers.append(worker)
        await asyncio.gather(
            *(each.registered.wait() for each in site.workers)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        yield site


class ShardWorkers(_slopes.Scenario):
    """Drive a shard's owner with workers that run nothing."""

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.WORKERS
    sizes = (10, 40, 80, 160)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_site(folder, size) as site:
            window = max(seconds, LEAST_SECONDS)
            return _slopes.make_values(await site.daemon.measure(window))


class ShardTasks(_slopes.Scenario):
    """Drive a shard's owner with tasks that run on."""

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.TASKS
    sizes = (0, 80, 160, 320)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_site(folder, WORKERS) as site:
            if size:
                await site.submit('job-1', size, LONG_TASK)
            while site.count_running() < size:
                await asyncio.sleep(POLL_SECONDS)
            await asyncio.sleep(SETTLE_SECONDS)
            window = max(seconds, LEAST_SECONDS)
            return _slopes.make_values(await site.daemon.measure(window))


class ShardStarts(_slopes.Scenario):
    """Drive a shard's owner with jobs of short tasks, one a second."""

    __slots__ = ()

    role = capacity.Role.SHARD_OWNER
    driver = capacity.Driver.STARTS
    sizes = (2, 5, 10, 20, 40)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_site(folder, WORKERS) as site:
            window = max(seconds, LEAST_SECONDS)
            submitting = asyncio.ensure_future(
                self._submit(site, size, window)
            )
            appends = site.log.log.appends
            usage = await site.daemon.measure(window)
            appends = site.log.log.appends - appends
            submitted = await submitting
        delays = sorted(
            started_at - submitted[task_id.partition('/')[0]]
            for task_id, started_at in site.list_starts()
        )
        values = _slopes.make_values(usage)
        values[MEASURE.APPENDS] = appends / window
        values[MEASURE.START_DELAY] = delays[int(0.99 * (len(delays) - 1))]
        return values

    async def _submit(
        self, site: Site, size: int, window: float
    ) -> dict[str, float]:
        clock = clocks.SystemClock()
        submitted = {}
        for number in range(int(window)):
            name = f'job-{number}'
            submitted[name] = clock.read_monotonic()
            await site.submit(name, size, SHORT_TASK)
            elapsed = clock.read_monotonic() - submitted[name]
            await asyncio.sleep(max(0.0, 1.0 - elapsed))
        return submitted


class EntryChanges(_slopes.Scenario):
    """Drive an entry with patches at a steady rate."""

    __slots__ = ()

    role = capacity.Role.ENTRY
    driver = capacity.Driver.CHANGES
    sizes = (0, 1, 2, 4)

    async def run(
        self, size: int, folder: pathlib.Path, seconds: float
    ) -> _slopes.Values:
        async with run_site(folder, 0) as site:
            async with contextlib.AsyncExitStack() as stack:
                other = daemons.Entry(
                    _slopes_requests.make_entry_settings(
                        'entry-2', site.log.address
                    ),
                    clocks.SystemClock(),
                    balancer_notice_seconds=0.0,
                )
                await _slopes_requests.start_component(stack, other)
                await asyncio.sleep(SETTLE_SECONDS)
                patching = asyncio.ensure_future(
                    self._patch(site, other, size, seconds)
                )
                usage = await site.daemon.measure(seconds)
                delays = sorted(await patching)
        values = _slopes.make_values(usage)
        values[MEASURE.CHANGE_DELAY] = delays[-1] if delays else 0.0
        return values

    async def _patch(
        self, site: Site, other: daemons.Entry, size: int, window: float
    ) -> list[float]:
        """Patch at a rate; return the seconds until another entry has it."""
        delays: list[float] = []
        if not size:
            return delays
        clock = clocks.SystemClock()
        configuration = other.context.control.configuration
        path = '/limits/moves_at_once'
        version = 0
        for number in range(int(size * window)):
            begun = clock.read_monotonic()
            decision = await site.client.patch(
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
