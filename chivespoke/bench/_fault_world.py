"""The platform that a random run of faults works on."""

import collections
import collections.abc
import random
import typing

import msgspec

from chivespoke.bench import _cluster
from chivespoke.bench import _fault_actions
from chivespoke.bench import _fault_audit
from chivespoke.bench import _fault_checks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import _records
from chivespoke import standins
from chivespoke import workers

Kind = _fault_actions.ActionKind
WORKERS = 18
PROCESSES = ('entry-1', 'entry-2', 'entry-3')
SHARDS = ('default', 'second')
STEP_SECONDS = (0.05, 0.4)
TEAM = identifiers.TeamName('billing')
SERVICE = identifiers.ServiceName('counting')
# Seconds in which everything must finish once all is well.
FINISH_LIMIT = 9000.0
FINISH_STEP = 0.5
MILLISECONDS = 1000
# Seconds after which a worker that a task crashed is back.
CRASH_SECONDS = 3.4
# Share of the restarts after which a worker is what it was.
UNCHANGED_SHARE = 0.5
# Holds a task of any size that is submitted.
MIN_MILLICORES = 8000
NO_CHANGES: dict[str, typing.Any] = {}
# Time until the owner of a worker notices a crash: between two renewals.
MAX_NOTICE_MS = 25_000
# Starts of a task that crashes its workers.
MAX_DEADLY_STARTS = 5


class FaultWorld:
    """Carry out actions, let faults end, and check."""

    def __init__(self, source: random.Random) -> None:
        self.cluster = _cluster.Cluster(0, SHARDS)
        self.witness = _fault_checks.Witness(self.cluster)
        self.injected: collections.Counter[str] = collections.Counter()
        self.submitted: dict[identifiers.JobId, tuple[typing.Any, int]] = {}
        self.audit = _fault_audit.FaultAudit(
            self.cluster, self.witness, self.submitted, PROCESSES[0], SHARDS
        )
        self._random = source
        self._lives: collections.Counter[str] = collections.Counter()
        # Jobs whose tasks crash their workers.
        self._deadly: set[identifiers.JobId] = set()
        # Workers that each of them has crashed.
        self.crashes: collections.Counter[str] = collections.Counter()
        # Workers that crashed by themselves, and when.
        self.own_crashes: list[tuple[str, int]] = []
        # When workers that were crashed are back, by number.
        self._back_at: dict[int, float] = {}
        self._endings: list[
            tuple[float, collections.abc.Callable[[], None]]
        ] = []
        self._document = _cluster.build_document(SHARDS)
        # The largest quota ever published; less holds for new work only.
        self._largest_quota = 0
        for number in range(WORKERS):
            drift = source.uniform(-4e-4, 4e-4)
            self.cluster.add_worker(number, drift=drift)

    async def start(self) -> None:
        """Start the processes and register the workers."""
        for name in PROCESSES:
            self._lives[name] = 1
            await self.cluster.add_process(name)
        self._publish(
            services={
                SERVICE: operators.Service(
                    team=TEAM,
                    replicas=4,
                    size=resources.Resources(2000, 2048, 0),
                )
            },
            teams={
                TEAM: operators.Team(
                    quota=resources.Resources(150_000, 600_000, 0)
                )
            },
        )
        await self.cluster.register_workers()

    async def stop(self) -> None:
        """End every process."""
        await self.cluster.stop()

    async def step(self) -> None:
        """Let a little time pass and check."""
        now = self.cluster.now()
        due = [ending for ending in self._endings if ending[0] <= now]
        self._endings = [end for end in self._endings if end[0] > now]
        for _, restore in due:
            restore()
        await self.cluster.step(self._random.uniform(*STEP_SECONDS))
        self.witness.check()
        self._handle_crashes()
        self._check_quota()

    def _check_quota(self) -> None:
        running = sum(
            agent.compute_committed_resources().millicores
            for agent in self.cluster.list_agents()
        )
        self.witness.checks['quota never over-run'] += 1
        errors.check_invariant(
            running <= self._largest_quota,
            'quota never over-run',
            TEAM,
            f'{running} of {self._largest_quota}',
        )

    async def act(self, action: _fault_actions.Action) -> None:
        """Carry one action out."""
        self.injected[action.kind.value] += 1
        match action.kind:
            case Kind.SUBMIT:
                self._submit(action)
            case Kind.SUBMIT_DEADLY:
                self._submit_deadly(action)
            case Kind.REPEAT_SUBMIT:
                self._submit_again(action)
            case Kind.CANCEL_WAVE:
                self._cancel(action)
            case Kind.KILL_PROCESS:
                await self._kill_process(action)
            case Kind.PAUSE_PROCESS | Kind.CUT_PROCESS | Kind.SLOW_COMMANDS:
                self._disturb_process(action)
            case Kind.JUMP:
                until = self.cluster.now() + action.duration
                while self.cluster.now() < until:
                    await self.step()
            case (
                Kind.TAKE_OUT
                | Kind.TAKE_OUT_TWO
                | Kind.RETURN
                | Kind.SCALE_SERVICE
                | Kind.ROLL_SERVICE
                | Kind.CHANGE_QUOTA
            ):
                self._configure(action)
            case (
                Kind.LOG_DOWN
                | Kind.LOG_APPENDS_DOWN
                | Kind.LOG_SLOW
                | Kind.LOSE_LOG_ANSWERS
                | Kind.DUPLICATE_APPENDS
            ):
                self._disturb_log(action)
            case _:
                self._disturb_worker(action)

    # Requests.

    def _pick_process(self, choice: float) -> _cluster.SchedulerProcess:
        processes = list(self.cluster.processes.values())
        return processes[int(choice * len(processes))]

    def _submit(self, action: _fault_actions.Action) -> None:
        job_id = identifiers.JobId(f'job-{len(self.submitted)}')
        seconds = 1.0 + action.duration
        spec = _records.JobSpec(
            kind=workers.TaskKind.BATCH,
            family=f'family-{int(action.choice * 5)}',
            team=TEAM,
            size=resources.Resources(
                1000 + 1000 * int(action.size * 6), 2048, 0
            ),
            priority=int(action.choice > 0.2),
            data_centres=(
                (identifiers.DataCentreName('dc1'),)
                if action.size > 0.9
                else ()
            ),
            run_time=seconds * (0.2 + 2 * action.choice),
            checkpointing=action.choice > 0.4,
            payload=msgspec.json.encode(
                standins.TaskPlan(seconds=seconds, fails=action.choice > 0.95)
            ).decode(),
        )
        tasks = 1 + int(action.size * 30)
        self.submitted[job_id] = (spec, tasks)
        self._propose_job(job_id, action.choice)

    def _submit_deadly(self, action: _fault_actions.Action) -> None:
        job_id = identifiers.JobId(f'job-{len(self.submitted)}')
        spec = _records.JobSpec(
            kind=workers.TaskKind.BATCH,
            family='deadly',
            team=TEAM,
            size=resources.Resources(1000, 2048, 0),
            payload=msgspec.json.encode(
                standins.TaskPlan(crashes=True)
            ).decode(),
        )
        self.submitted[job_id] = (spec, 1)
        self._deadly.add(job_id)
        self._propose_job(job_id, action.choice)

    def _submit_again(self, action: _fault_actions.Action) -> None:
        if self.submitted:
            names = list(self.submitted)
            self._propose_job(
                names[int(action.size * len(names))], action.choice
            )

    def _propose_job(self, job_id: identifiers.JobId, choice: float) -> None:
        spec, tasks = self.submitted[job_id]
        process = self._pick_process(choice)
        stream = process.api.choose_stream(job_id)
        stream.propose(_records.JobSubmitted(job_id, spec, tasks))

    def _cancel(self, action: _fault_actions.Action) -> None:
        api = self._pick_process(action.choice).api
        names = list(self.submitted)[-int(1 + action.size * 6) :]
        for name in names:
            stream = api.choose_stream(name)
            number = stream.fold.shard.job_numbers.get(name)
            if number is not None:
                stream.propose(_records.JobCancelled(number))

    # The configuration.

    def _publish(self, **changes: typing.Any) -> None:
        self._document = msgspec.structs.replace(self._document, **changes)
        quota = self._document.teams[TEAM].quota.millicores
        self._largest_quota = max(self._largest_quota, quota)
        self.cluster.publish(self._document)
        self.witness.note_published(self._document)

    def _configure(self, action: _fault_actions.Action) -> None:
        names = list(self._document.data_centres)
        first = int(action.choice * len(names))
        match action.kind:
            case Kind.TAKE_OUT:
                self._set_out([names[first]], action)
            case Kind.TAKE_OUT_TWO:
                self._set_out([names[first], names[first - 1]], action)
            case Kind.RETURN:
                self._publish(
                    data_centres={
                        name: operators.DataCentre(region='western')
                        for name in names
                    }
                )
            case Kind.CHANGE_QUOTA:
                size = 60_000 + int(action.size * 200_000)
                quota = resources.Resources(size, 600_000, 0)
                self._publish(teams={TEAM: operators.Team(quota=quota)})
            case Kind.SCALE_SERVICE:
                self._change_service(replicas=int(action.size * 9))
            case _:
                self._change_service(revision=str(action.step))

    def _set_out(
        self,
        names: list[identifiers.DataCentreName],
        action: _fault_actions.Action,
    ) -> None:
        data_centres = dict(self._document.data_centres)
        for name in names:
            data_centres[name] = operators.DataCentre(
                region='western',
                state=operators.ServiceState.OUT_OF_SERVICE,
                leave_within=action.duration if action.size > 0.5 else 0.0,
            )
        self._publish(data_centres=data_centres)

    def _change_service(self, **changes: typing.Any) -> None:
        service = msgspec.structs.replace(
            self._document.services[SERVICE], **changes
        )
        self._publish(services={SERVICE: service})

    # Faults.

    def _end_after(
        self, seconds: float, restore: collections.abc.Callable[[], None]
    ) -> None:
        self._endings.append((self.cluster.now() + seconds, restore))

    async def _kill_process(self, action: _fault_actions.Action) -> None:
        process = self._pick_process(action.choice)
        await process.die()
        del self.cluster.processes[process.name]
        self._lives[process.name] += 1
        await self.cluster.add_process(process.name, self._lives[process.name])

    def _disturb_process(self, action: _fault_actions.Action) -> None:
        process = self._pick_process(action.choice)
        if action.kind is Kind.PAUSE_PROCESS:
            process.gate.close()
            self._end_after(action.duration, process.gate.open)
            return
        if action.kind is Kind.SLOW_COMMANDS:
            process.connector.delay = 4 * action.size
        else:
            process.log.reachable = False

        def restore() -> None:
            process.connector.delay = 0.0
            process.log.reachable = True

        self._end_after(action.duration, restore)

    def _disturb_log(self, action: _fault_actions.Action) -> None:
        faults = self.cluster.log.faults
        match action.kind:
            case Kind.LOSE_LOG_ANSWERS:
                faults.lost_answers += 1 + int(action.size * 4)
            case Kind.DUPLICATE_APPENDS:
                faults.duplicates += 1 + int(action.size * 3)
            case Kind.LOG_SLOW:
                faults.append_delay = action.size * 3
                faults.read_delay = action.choice
            case Kind.LOG_APPENDS_DOWN:
                faults.append_down = True
            case _:
                faults.append_down = True
                faults.read_down = True
        self._end_after(action.duration, self._repair_log)

    def _repair_log(self) -> None:
        faults = self.cluster.log.faults
        faults.append_down = False
        faults.read_down = False
        faults.append_delay = 0.0
        faults.read_delay = 0.0

    def _disturb_worker(self, action: _fault_actions.Action) -> None:
        number = int(action.choice * WORKERS)
        agent = self.cluster.agents[number]
        client = self.cluster.connector.clients[agent.registration.address]
        match action.kind:
            case Kind.CUT_WORKER:
                self._cut([number], action.duration)
            case Kind.CUT_RACK:
                rack = agent.registration.rack
                self._cut(
                    [
                        other
                        for other, each in self.cluster.agents.items()
                        if each.registration.rack == rack
                    ],
                    action.duration,
                )
            case Kind.RESTART_WORKER:
                self.own_crashes.append(
                    (str(agent.registration.worker_id), self._read_wall_ms())
                )
                self._restart_worker(number, self._draw_changes(action.size))
            case Kind.REPLACE_WORKER:
                self._replace_worker(number, action.duration)
            case Kind.LOSE_WORKER_ANSWERS:
                client.lost_answers += 1 + int(action.size * 4)
            case Kind.BREAK_WORKER:
                agent.fails_everything = True
            case _:
                for each in self.cluster.agents.values():
                    each.fails_everything = False

    def _cut(self, numbers: list[int], seconds: float) -> None:
        for number in numbers:
            address = self.cluster.agents[number].registration.address
            clients = self.cluster.connector.clients
            clients[address].reachable = False

            def restore(address: str = address) -> None:
                clients[address].reachable = True

            self._end_after(seconds, restore)

    def _draw_changes(self, size: float) -> dict[str, typing.Any]:
        """Return what is different about the next life of a worker."""
        if size < UNCHANGED_SHARE:
            return {}
        names = _cluster.DATA_CENTRES
        return {
            'capacity': resources.Resources(
                MIN_MILLICORES + int(size * MIN_MILLICORES), 30_720, 0
            ),
            'data_centre': identifiers.DataCentreName(
                names[int(size * 1000) % len(names)]
            ),
        }

    def _restart_worker(
        self, number: int, changes: dict[str, typing.Any] = NO_CHANGES
    ) -> None:
        old = self.cluster.agents[number]
        self.witness.note_killed(old)
        key = str(old.registration.worker_id)
        self._lives[key] += 1
        self.cluster.restart_worker(number, 1 + self._lives[key], **changes)

    def _handle_crashes(self) -> None:
        """End what ran on crashed workers, and start these again later."""
        now = self.cluster.now()
        for number, agent in self.cluster.agents.items():
            if agent.crashed and number not in self._back_at:
                self._back_at[number] = now + CRASH_SECONDS
        for agent in self.cluster.list_agents():
            if agent.crashed and agent.runs:
                self.crashes.update(
                    run.command.task_id.rpartition('/')[0]
                    for run in agent.runs.values()
                    if run.plan.crashes
                )
                self.witness.note_killed(agent)
        due = [number for number, at in self._back_at.items() if at <= now]
        for number in due:
            del self._back_at[number]
            if self.cluster.agents[number].crashed:
                self._restart_worker(number)

    def _replace_worker(self, number: int, seconds: float) -> None:
        """Register another incarnation; the earlier one dies only later."""
        old = self.cluster.agents[number]
        key = str(old.registration.worker_id)
        self._lives[key] += 1
        agent = self.cluster.add_worker_elsewhere(number, 1 + self._lives[key])
        self._register_elsewhere(agent)

        def kill() -> None:
            self.witness.note_killed(old)
            self.cluster.remove_agent(old)
            self._register_elsewhere(agent)

        self._end_after(seconds, kill)

    def _register_elsewhere(self, agent: standins.WorkerAgent) -> None:
        registration = agent.registration
        for process in self.cluster.processes.values():
            process.api.streams[registration.group].propose(
                _records.WorkerAddressChanged(
                    registration.worker_id,
                    registration.address,
                    registration.incarnation,
                )
            )

    # Checks.

    async def heal_and_finish(self) -> None:
        """End every fault, wait for all work, and count it."""
        for _, restore in self._endings:
            restore()
        self._endings = []
        self._repair_log()
        for agent in self.cluster.agents.values():
            agent.fails_everything = False
        quota = resources.Resources(1_000_000, 4_000_000, 0)
        self._publish(
            data_centres={
                name: operators.DataCentre(region='western')
                for name in self._document.data_centres
            },
            teams={TEAM: operators.Team(quota=quota)},
        )
        for name in self.submitted:
            self._propose_job(name, 0.0)
        deadline = self.cluster.now() + FINISH_LIMIT
        while self.cluster.now() < deadline and not self._is_finished():
            await self.cluster.step(FINISH_STEP)
            self.witness.check()
            self._handle_crashes()
        self.audit.check_counts()
        self._check_blame()
        await self.audit.replay()

    def _check_blame(self) -> None:
        """Check that deadly jobs were given up soon, and no others."""
        api = self.cluster.processes[PROCESSES[0]].api
        for job_id in self.submitted:
            report = api.report_job(job_id)
            if report is None:
                continue
            is_deadly = job_id in self._deadly
            kind = 'deadly jobs given up soon, no others'
            self.witness.checks[kind] += 1
            errors.check_invariant(
                self.crashes[job_id] <= MAX_DEADLY_STARTS
                if is_deadly
                else 'crashed' not in report.reason
                or self._has_own_crash(job_id),
                kind,
                job_id,
                str(report),
            )

    def _has_own_crash(self, job_id: identifiers.JobId) -> bool:
        """Return whether a worker crashed by itself as the job started.

        Nothing distinguishes that from a crash that the job caused.
        """
        crashes = [
            crash
            for fold in self.list_parts(job_id)
            for blamed in fold.shard.suspects.get(
                fold.shard.job_numbers[job_id], {}
            ).values()
            for crash in blamed
        ]
        return any(
            crash.worker == worker
            and 0 <= crash.at_ms - at_ms <= MAX_NOTICE_MS
            for crash in crashes
            for worker, at_ms in self.own_crashes
        )

    def _read_wall_ms(self) -> int:
        return int(self.cluster.clock.read_wall() * MILLISECONDS)

    def list_parts(
        self, job_id: identifiers.JobId
    ) -> list[scheduling.ShardFold]:
        """Return the folds, of one process, that know a job."""
        process = self.cluster.processes[PROCESSES[0]]
        return [
            stream.fold
            for stream in process.api.streams.values()
            if job_id in stream.fold.shard.job_numbers
        ]

    def _is_finished(self) -> bool:
        api = self.cluster.processes[PROCESSES[0]].api
        if not all(stream.is_loaded for stream in api.streams.values()):
            return False
        for job_id in self.submitted:
            try:
                report = api.report_job(job_id)
            except errors.NotLoadedError:
                # The process has not read the newest records yet.
                return False
            if report is None or report.waiting or report.placed:
                return False
        return not any(
            queue
            for stream in api.streams.values()
            for queue in stream.fold.shard.outbox.values()
        )
