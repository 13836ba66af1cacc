"""The leader's decisions, turned into records and orders; no I/O."""

import collections.abc

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke.coordination import _reports
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# An order on which nothing was heard is sent again after so many seconds:
# longer than a worker's answer and a report take.
RESEND_SECONDS = 0.7
# A worker gets nothing new once its sidecar was silent for so many seconds:
# two heartbeats and a half.
SILENCE_SECONDS = 1.0
# New checkpoints are recorded so often, in seconds, for the case that all
# workers are lost at once: work between two checkpoints takes as long.
CHECKPOINT_SECONDS = 1.0


class Orders(msgspec.Struct, frozen=True):
    """Hold what the operator has in force."""

    configuration: workloads.Configuration | None
    evacuating: frozenset[str]


class Plan(msgspec.Struct, frozen=True):
    """Hold what has to be in the store before orders may leave."""

    records: tuple[bytes, ...]
    decided: tuple[_fleet.Run, ...]
    # Numbers of ends, by worker, that the records cover.
    ends: dict[str, int]


class Engine:
    """Decide what runs where, and keep account of it."""

    __slots__ = (
        '_state',
        '_intake',
        '_epoch',
        '_decided',
        '_checkpoints_at',
        '_version',
        '_planned_at',
    )

    def __init__(self, epoch: int, limits: _engine_state.Limits) -> None:
        self._epoch = epoch
        self._state = _engine_state.State(limits)
        self._intake = _reports.Intake(self._state)
        self._decided: list[_fleet.Run] = []
        self._checkpoints_at = 0.0
        # Version of the configuration that decisions are made under.
        self._version = 0
        self._planned_at = 0.0

    @property
    def state(self) -> _engine_state.State:
        """Return what the leader holds, for explanations and tests."""
        return self._state

    def take_entry(
        self, entry: _records.Entry, now: float, wall: float
    ) -> None:
        """Take in a job that was accepted or cancelled."""
        if entry.job is None:
            return
        known = self._state.jobs.get(entry.job.identifier)
        wall_ms = int(wall * 1000)
        if known is None:
            self._state.load(entry, now, wall_ms)
        elif entry.cancelled and not known.final:
            self._state.cancel_job(entry.job.identifier, wall_ms)

    def take_report(
        self, report: _messages.Report, now: float, wall: float
    ) -> _fleet.Worker | None:
        """Take in a sidecar's report."""
        return self._intake.take(report, now, int(wall * 1000))

    def plan(self, orders: Orders | None, now: float, wall: float) -> Plan:
        """Decide what can be decided; without orders nothing starts."""
        self._planned_at = now
        self._state.expire(now)
        if orders is not None and orders.configuration is not None:
            self._update_terms(orders.configuration)
            self._place(orders, now, wall)
        records: list[bytes] = []
        self._mark_checkpoints(now)
        for state in tuple(self._state.jobs.values()):
            if state.dirty:
                state.dirty = False
                state.has_new_checkpoint = False
                records.append(
                    _records.encode_progress(
                        state.job.identifier, state.progress
                    )
                )
            elif self._is_forgettable(state, wall):
                records += _records.encode_removal(state.job.identifier)
                del self._state.jobs[state.job.identifier]
        decided = tuple(self._decided)
        self._decided.clear()
        self._state.unrecorded_ends = False
        ends = {
            worker.life.key: worker.processed
            for worker in self._state.workers.values()
            if worker.processed > worker.acknowledged
        }
        return Plan(tuple(records), decided, ends)

    def _mark_checkpoints(self, now: float) -> None:
        if now < self._checkpoints_at + CHECKPOINT_SECONDS:
            return
        self._checkpoints_at = now
        for state in self._state.jobs.values():
            if state.has_new_checkpoint and not state.final:
                state.dirty = True

    def confirm(self, plan: Plan) -> None:
        """Let the orders of a plan leave: its records are in the store."""
        for run in plan.decided:
            if run.state is _fleet.RunState.DECIDED:
                run.state = _fleet.RunState.ORDERED
        for key, number in plan.ends.items():
            worker = self._state.workers.get(key)
            if worker is not None:
                worker.acknowledged = max(worker.acknowledged, number)

    def make_directive(
        self, worker: _fleet.Worker, now: float
    ) -> _messages.Directive:
        """Return what a sidecar has to be told now."""
        limits = self._state.limits
        starts = []
        stops = []
        for run in worker.runs.values():
            if run.sent_at is not None and now < run.sent_at + RESEND_SECONDS:
                continue
            if run.state is _fleet.RunState.ORDERED and self._is_over(run):
                # The rest of a gang of which one member has ended.
                run.state = _fleet.RunState.STOPPING
            if run.state is _fleet.RunState.ORDERED:
                starts.append(self._make_start(run))
            elif run.state is _fleet.RunState.STOPPING:
                stops.append(_messages.StopOrder(run.text, run.number))
            else:
                continue
            run.sent_at = now
            run.repeated = True
        for text, number in worker.foreign.items():
            stops.append(_messages.StopOrder(text, number))
        return _messages.Directive(
            epoch=self._epoch,
            life=worker.life.key,
            lease_until_ms=worker.lease_from_ms + int(limits.lease * 1000),
            acknowledged=worker.acknowledged,
            starts=tuple(starts),
            stops=tuple(stops),
            pressures=self._list_pressures(worker),
        )

    def _list_pressures(
        self, worker: _fleet.Worker
    ) -> tuple[decisions.Pressure, ...]:
        steps = [run.step for run in worker.runs.values()]
        serving = {step.image for step in steps if step.target_latency_ms}
        fillers = {step.image for step in steps if step.filler}
        return tuple(
            decisions.Pressure(
                image, other, self._state.pressures.find(image, other)
            )
            for image in sorted(serving)
            for other in sorted(fillers)
        )

    def _is_over(self, run: _fleet.Run) -> bool:
        state = self._state.jobs.get(run.name.job)
        task = state.find(run.name) if state else None
        if state is None or task is None:
            return True
        return state.final or task.status is workloads.TaskStatus.DONE

    def has_orders(self, worker: _fleet.Worker, now: float) -> bool:
        """Tell whether a worker is to be told something at once."""
        return any(
            run.state in (_fleet.RunState.ORDERED, _fleet.RunState.STOPPING)
            and (run.sent_at is None or now >= run.sent_at + RESEND_SECONDS)
            for run in worker.runs.values()
        )

    def measure_capacity(self) -> int:
        """Return the processor time of the workers that answer."""
        return sum(
            worker.life.capacity.cpu_millis
            for worker in self._state.workers.values()
            if worker.answering
        )

    def _make_start(self, run: _fleet.Run) -> _messages.StartOrder:
        state = self._state.jobs[run.name.job]
        task = state.find(run.name)
        errors.check_invariant(
            task is not None and task.run == run.number,
            'orders follow the record',
            run.text,
        )
        return _messages.StartOrder(
            task=run.text,
            run=run.number,
            payload=state.job.payload,
            checkpoint=task.checkpoint if task else '',
            image=run.step.image,
            target_latency_ms=run.step.target_latency_ms,
            filler=run.step.filler,
            repeated=run.repeated,
        )

    def _update_terms(self, configuration: workloads.Configuration) -> None:
        self._version = configuration.version
        terms = {queue.name: queue.terms for queue in configuration.queues}
        for state in self._state.jobs.values():
            state.terms = terms.get(state.job.queue, state.terms)

    def _is_forgettable(self, state: _jobs.JobState, wall: float) -> bool:
        finished = state.progress.finished_ms / 1000
        return state.final and wall > finished + self._state.limits.kept

    def _place(self, orders: Orders, now: float, wall: float) -> None:
        demands = sorted(
            self._list_demands(wall),
            key=lambda item: decisions.rank(item[0], wall),
        )
        if not demands:
            return
        sites = {
            worker.life.key: _fleet.describe(worker, self._state.pressures)
            for worker in self._state.workers.values()
            if self._is_open(worker, orders, now)
        }
        for _, state, occurrence, number in demands:
            self._place_step(state, occurrence, number, sites)

    def _list_demands(
        self, wall: float
    ) -> collections.abc.Iterator[
        tuple[decisions.Demand, _jobs.JobState, int, int]
    ]:
        for state in self._state.jobs.values():
            if state.final:
                continue
            for occurrence, number in state.list_ready(wall):
                step = state.job.steps[number]
                begun = state.measure_due(occurrence)
                demand = decisions.Demand(
                    job=state.job.identifier,
                    long_running=step.long_running,
                    filler=step.filler,
                    due=max(state.due, begun + state.objective),
                    left=step.estimated_ms / 1000,
                    objective=state.objective,
                )
                yield demand, state, occurrence, number

    def _is_open(
        self, worker: _fleet.Worker, orders: Orders, now: float
    ) -> bool:
        conduct = self._state.conducts.get(worker.life.key)
        return (
            worker.answering
            and not worker.draining
            and not worker.foreign
            and worker.life.data_centre not in orders.evacuating
            and now >= worker.blocked_until
            and now < worker.heard_at + SILENCE_SECONDS
            and (conduct is None or conduct.allows(now))
        )

    def _place_step(
        self,
        state: _jobs.JobState,
        occurrence: int,
        number: int,
        sites: dict[str, decisions.Site],
    ) -> None:
        step = state.job.steps[number]
        names = state.list_waiting(occurrence, number)
        if step.gang:
            if len(names) == step.count:
                self._place_gang(state, step, names, sites)
            return
        for name in names:
            site = self._choose(state, step, name, sites)
            if site is None:
                return
            self._assign(state, step, name, site, sites, 0)

    def _choose(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        sites: dict[str, decisions.Site],
    ) -> decisions.Site | None:
        service = state.terms.service
        found = [
            site
            for key, site in sites.items()
            if self._state.workers[key].life.service == service
        ]
        if step.max_per_worker or step.long_running:
            found = [
                msgspec.structs.replace(
                    site,
                    same_step=site.same_step
                    + self._count_step(site.worker, name),
                )
                for site in found
            ]
        return decisions.choose_site(step, found, self._state.pressures)

    def _count_step(self, key: str, name: workloads.TaskName) -> int:
        return sum(
            run.name.is_beside(name)
            for run in self._state.workers[key].runs.values()
        )

    def _place_gang(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        names: list[workloads.TaskName],
        sites: dict[str, decisions.Site],
    ) -> None:
        tasks = state.progress.tasks[names[0].occurrence][names[0].step]
        number = max(task.run for task in tasks) + 1
        # The checkpoint of any member is good for all; all get the same.
        checkpoint = max((task.checkpoint for task in tasks), default='')
        trial = dict(sites)
        chosen = []
        for name in names:
            site = self._choose(state, step, name, trial)
            if site is None:
                return
            chosen.append(site)
            trial[site.worker] = take_room(site, step)
        for task in tasks:
            task.checkpoint = checkpoint
        for name, site in zip(names, chosen, strict=True):
            self._assign(state, step, name, site, sites, number)

    def _assign(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        site: decisions.Site,
        sites: dict[str, decisions.Site],
        number: int,
    ) -> None:
        task = state.find(name)
        number = number or (task.run if task else 0) + 1
        worker = self._state.workers[site.worker]
        state.assign(name, site.worker, number)
        run = _fleet.Run(name, number, step, _fleet.RunState.DECIDED)
        worker.add(run)
        self._decided.append(run)
        sites[site.worker] = _fleet.describe(worker, self._state.pressures)
        conduct = self._state.conducts.get(site.worker)
        if conduct is not None and conduct.is_suspect:
            # On probation, one task at a time.
            conduct.note_trial(self._planned_at)
            del sites[site.worker]
        LOGGER.info(
            'A task is assigned.',
            task=run.text,
            run=number,
            worker=site.worker,
            spare_millis=site.spare_millis,
        )


def take_room(site: decisions.Site, step: workloads.Step) -> decisions.Site:
    """Return a site as it is with one more task of a step."""
    taken = step.cpu_millis
    return msgspec.structs.replace(
        site,
        free=site.free.add(workloads.measure_need(step), -1),
        spare_millis=site.spare_millis - taken,
        same_step=site.same_step + 1,
    )
