"""The scenario of the demonstration: typical operations of one user."""

import asyncio
import collections

import msgspec

from chivespoke import clock as clocks
from chivespoke.demo import _client
from chivespoke.demo import _cluster
from chivespoke.demo import _report
from chivespoke.demo import _settings
from chivespoke import errors
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import standins

MILLISECONDS = 1000
AUTHOR = 'demo'
POLL_SECONDS = 0.1
# Concurrent calls.
CONCURRENT_CALLS = 4
# Seconds after a data centre is taken out until no task may start there.
START_GRACE_SECONDS = 3.0
# Seconds that the scenario waits while the data centre is out of service.
OUTAGE_SECONDS = 7.0
# Seconds that the whole scenario may take before it is aborted.
SCENARIO_TIMEOUT = 60.0


class Story:
    """Run the scenario of one user against a cluster."""

    __slots__ = ('_cluster', '_demo', '_reporter', '_clock', 'measures')

    def __init__(
        self,
        cluster: _cluster.Cluster,
        demo: _settings.DemoSettings,
        reporter: _report.Reporter,
        clock: clocks.Clock,
    ) -> None:
        self._cluster = cluster
        self._demo = demo
        self._reporter = reporter
        self._clock = clock
        self.measures = _report.Measures(user=demo.user)

    async def run(self) -> None:
        """Run every step; raise UnavailableError after SCENARIO_TIMEOUT."""
        async with _client.EntryClient(self._cluster.balancer) as client:
            try:
                async with asyncio.timeout(SCENARIO_TIMEOUT):
                    await self._run_steps(client)
            except TimeoutError as error:
                raise errors.UnavailableError(
                    'demonstration', self._demo.user, 'the scenario timed out'
                ) from error

    async def _run_steps(self, client: _client.EntryClient) -> None:
        await self._prepare(client)
        self._reporter.begin_step('Callers are served')
        before = await self._send_calls(client)
        self._record_latencies(before, 'before')
        submitted_at = await self._submit(client)
        await self._take_out_and_return(client)
        await self._finish_job(client, submitted_at)

    async def _prepare(self, client: _client.EntryClient) -> None:
        demo = self._demo
        self._reporter.begin_step(
            f'{demo.user}: {demo.workers.count} workers, '
            f'{demo.service.runners} backend servers, '
            f'{len(demo.data_centres)} data centres, {demo.entries} entries'
        )
        await self._cluster.wait_ready()
        address = self._cluster.balancer.format_http()
        self._reporter.report_result(f'Everything is up behind {address}.')
        decision = await client.patch(0, self._make_document(), AUTHOR)
        self._reporter.report_result(
            f'A first patch was accepted: version {decision.version}.'
        )

    def _make_document(self) -> list[dict[str, object]]:
        demo = self._demo
        document = operators.Document(
            data_centres={
                name: operators.DataCentre(region=demo.region)
                for name in demo.data_centres
            },
            teams={demo.team: operators.Team(quota=resources.NOTHING)},
            weights=demo.weights,
        )
        tree = msgspec.to_builtins(document)
        return [
            {'op': 'add', 'path': f'/{name}', 'value': tree[name]}
            for name in ('data_centres', 'teams', 'weights')
        ]

    async def _send_calls(self, client: _client.EntryClient) -> list[float]:
        """Send concurrent calls; return their latencies in milliseconds."""
        service = self._demo.service
        query = f'?ms={service.work_seconds * MILLISECONDS:g}'
        pending = collections.deque(range(self._demo.calls))
        latencies: list[float] = []
        runs_before = self._count_runs()

        async def send_pending_calls() -> None:
            while pending:
                number = pending.popleft()
                started_at = self._clock.read_monotonic()
                outcome = await client.call(
                    service.name, f'/count/{number}{query}'
                )
                elapsed = self._clock.read_monotonic() - started_at
                latencies.append(elapsed * MILLISECONDS)
                outcomes = self.measures.outcomes
                outcomes[outcome] = outcomes.get(outcome, 0) + 1

        await asyncio.gather(
            *(send_pending_calls() for _ in range(CONCURRENT_CALLS))
        )
        runs = self._count_runs() - runs_before
        self.measures.calls += len(latencies)
        self.measures.runs_beyond_calls += max(runs - len(latencies), 0)
        return latencies

    def _record_latencies(self, latencies: list[float], when: str) -> None:
        p50 = _report.compute_percentile(latencies, 0.5)
        p99 = _report.compute_percentile(latencies, 0.99)
        setattr(self.measures, f'p50_{when}', p50)
        setattr(self.measures, f'p99_{when}', p99)
        answered = self.measures.outcomes.get('answered', 0)
        self._reporter.report_result(
            f'{len(latencies)} calls to {self._demo.service.name}: half '
            f'within {p50:.1f} ms, 99% within {p99:.1f} ms; '
            f'{answered} of {self.measures.calls} calls so far answered.'
        )

    def _count_runs(self) -> int:
        return sum(
            sum(server.runs.values())
            for server in self._cluster.backend_servers
        )

    async def _submit(self, client: _client.EntryClient) -> float:
        job = self._demo.job
        self._reporter.begin_step('A batch job is submitted')
        plan = standins.TaskPlan(seconds=job.task_seconds)
        (answer,) = await client.submit(
            scheduling.JobRequest(
                id=job.name,
                team=self._demo.team,
                tasks=job.tasks,
                size=job.size,
                run_time=job.task_seconds,
                checkpointing=True,
                payload=msgspec.json.encode(plan).decode(),
            )
        )
        if not answer.accepted:
            raise errors.RefusedError('submit', answer.id, answer.reason)
        submitted_at = self._clock.read_monotonic()
        while (await client.show_job(job.name)).placed == 0:
            await asyncio.sleep(POLL_SECONDS)
        report = await client.show_job(job.name)
        while self._count_all_running_tasks() < report.placed:
            await asyncio.sleep(POLL_SECONDS)
        seconds = self._clock.read_monotonic() - submitted_at
        self._reporter.report_result(
            f'{report.placed} of {job.tasks} tasks of {job.name} run on '
            f'workers after {seconds:.1f} s.'
        )
        return submitted_at

    async def _take_out_and_return(self, client: _client.EntryClient) -> None:
        # The data centre with the most running tasks.
        name = max(self._demo.data_centres, key=self._count_running_tasks)
        self._reporter.begin_step(f'Operators take {name} out')
        before = await client.show_job(self._demo.job.name)
        self.measures.tasks_there = self._count_running_tasks(name)
        version = await self._set_data_centre_state(
            client, name, 'out-of-service'
        )
        out_at = self._clock.read_monotonic()
        self._reporter.report_result(
            f'Version {version} is accepted; {self.measures.tasks_there} '
            'tasks were running there.'
        )
        self._record_latencies(await self._send_calls(client), 'during')
        await asyncio.sleep(OUTAGE_SECONDS)
        self.measures.late_starts = self._count_late_starts(name, out_at)
        after = await client.show_job(self._demo.job.name)
        self.measures.completed_while_out = after.completed - before.completed
        self._reporter.report_result(
            f'{self._count_running_tasks(name)} tasks run there now; '
            f'{self.measures.late_starts} were started there later than '
            f'{START_GRACE_SECONDS:g} s after; '
            f'{self.measures.completed_while_out} tasks were completed '
            'meanwhile.'
        )
        version = await self._set_data_centre_state(client, name, 'in-service')
        self._reporter.report_result(f'{name} is back with version {version}.')

    async def _set_data_centre_state(
        self, client: _client.EntryClient, name: str, state: str
    ) -> int:
        path = f'/data_centres/{name}/state'
        current = await client.show_configuration()
        decision = await client.patch(
            current.version,
            [{'op': 'replace', 'path': path, 'value': state}],
            AUTHOR,
        )
        return int(decision.version)

    def _list_runs(self, data_centre: str) -> list[standins.Run]:
        return [
            run
            for worker in self._cluster.workers
            if worker.agent.registration.data_centre == data_centre
            for run in worker.agent.history
        ]

    def _count_all_running_tasks(self) -> int:
        return sum(map(self._count_running_tasks, self._demo.data_centres))

    def _count_running_tasks(self, data_centre: str) -> int:
        return sum(
            run.ended_at is None for run in self._list_runs(data_centre)
        )

    def _count_late_starts(self, data_centre: str, out_at: float) -> int:
        # All workers read the clock of this process, so the readings compare.
        latest = out_at + START_GRACE_SECONDS
        return sum(
            run.started_at > latest for run in self._list_runs(data_centre)
        )

    async def _finish_job(
        self, client: _client.EntryClient, submitted_at: float
    ) -> None:
        job = self._demo.job
        self._reporter.begin_step('The job is finished')
        while True:
            report = await client.show_job(job.name)
            if report.completed + report.failed >= job.tasks:
                break
            await asyncio.sleep(POLL_SECONDS)
        measures = self.measures
        measures.tasks = job.tasks
        measures.tasks_completed = report.completed
        measures.attempts = report.attempts
        measures.evictions = report.evictions
        measures.job_seconds = self._clock.read_monotonic() - submitted_at
        self._reporter.report_result(
            f'{report.completed} of {job.tasks} tasks completed in '
            f'{report.attempts} attempts; {report.evictions} were evicted; '
            f'{measures.job_seconds:.1f} s in all.'
        )
