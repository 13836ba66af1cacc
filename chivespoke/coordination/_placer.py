"""Which waiting tasks go where; no I/O."""

import collections.abc

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# A worker gets nothing new once its sidecar was silent for so many seconds:
# two heartbeats and a half.
SILENCE_SECONDS = 1.0


class Orders(msgspec.Struct, frozen=True):
    """Hold what the operator has in force."""

    configuration: workloads.Configuration
    evacuating: frozenset[str]


class Placer:
    """Assign waiting tasks to workers."""

    __slots__ = ('question', '_state', '_decided', '_now', '_version')

    def __init__(self, state: _engine_state.State) -> None:
        # What the advisor is to be asked for the first step that lacks it.
        self.question: decisions.Question | None = None
        self._state = state
        self._decided: list[_fleet.Run] = []
        self._now = 0.0
        # Version of the configuration that decisions are made under.
        self._version = 0

    def place(
        self, orders: Orders, now: float, wall: float
    ) -> tuple[_fleet.Run, ...]:
        """Assign what can be assigned; return the runs to be ordered."""
        self._now = now
        self._decided = []
        self.question = None
        self._version = orders.configuration.version
        demands = sorted(
            self._list_demands(wall),
            key=lambda item: decisions.rank(item[0], wall),
        )
        if not demands:
            return ()
        sites = {
            worker.incarnation.key: _fleet.describe(
                worker, self._state.pressures
            )
            for worker in self._state.workers.values()
            if self._is_open(worker, orders, now)
        }
        for _, state, occurrence, number in demands:
            self._place_step(state, occurrence, number, sites)
        return tuple(self._decided)

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
                    priority=state.terms.priority,
                    long_running=step.long_running,
                    due=max(state.due, begun + state.objective),
                    left=step.estimated_ms / 1000,
                    objective=state.objective,
                )
                yield demand, state, occurrence, number

    def _is_open(
        self, worker: _fleet.Worker, orders: Orders, now: float
    ) -> bool:
        conduct = self._state.conducts.get(worker.incarnation.key)
        return (
            worker.answering
            and not worker.draining
            and not worker.foreign
            and worker.incarnation.data_centre not in orders.evacuating
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
                self._note_question(state, step, name, sites)
                return
            self._assign(state, step, name, site, sites, 0)

    def _choose(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        sites: dict[str, decisions.Site],
    ) -> decisions.Site | None:
        found = self._list_sites(state, sites)
        if state.terms.advice is not None:
            found = [
                site
                for site in found
                if self._find_ticket(name, site.worker) is not None
            ]
        return self._choose_among(state, step, name, found)

    def _list_sites(
        self, state: _jobs.JobState, sites: dict[str, decisions.Site]
    ) -> list[decisions.Site]:
        return [
            site
            for key, site in sites.items()
            if self._state.workers[key].incarnation.service
            == state.terms.service
        ]

    def _find_ticket(
        self, name: workloads.TaskName, worker: str
    ) -> str | None:
        return self._state.advice.find_ticket(
            name.format_step(), worker, self._now
        )

    def _note_question(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        sites: dict[str, decisions.Site],
    ) -> None:
        terms = state.terms.advice
        if terms is None or self.question is not None:
            return
        text = name.format_step()
        unknown = [
            site
            for site in self._list_sites(state, sites)
            if decisions.can_take(step, site)
            and self._find_ticket(name, site.worker) is None
            and not self._state.advice.is_barred(text, site.worker)
        ]
        if self._choose_among(state, step, name, unknown) is None:
            # The step would not be placed on any of them.
            return
        unknown.sort(key=lambda site: (-site.spare_millis, site.worker))
        named = {
            site.worker: self._state.workers[
                site.worker
            ].incarnation.identifier
            for site in unknown[: decisions.QUESTION_SIZE]
        }
        self.question = decisions.Question(
            text, named, terms.measure_answer(len(named))
        )

    def _choose_among(
        self,
        state: _jobs.JobState,
        step: workloads.Step,
        name: workloads.TaskName,
        found: list[decisions.Site],
    ) -> decisions.Site | None:
        if step.max_per_worker or step.long_running:
            found = [
                msgspec.structs.replace(
                    site,
                    same_step=site.same_step
                    + self._count_step(site.worker, name),
                )
                for site in found
            ]
        return decisions.choose_site(
            step,
            found,
            self._state.pressures,
            state.measure_idle(self._now),
        )

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
                self._note_question(state, step, name, trial)
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
        if state.terms.advice is not None:
            run.ticket = self._find_ticket(name, site.worker) or ''
        worker.add(run)
        self._decided.append(run)
        sites[site.worker] = _fleet.describe(worker, self._state.pressures)
        conduct = self._state.conducts.get(site.worker)
        if conduct is not None and conduct.is_suspect:
            # On probation, one task at a time.
            conduct.note_trial(self._now)
            del sites[site.worker]
        LOGGER.info(
            'A task is assigned.',
            task=run.text,
            run=number,
            worker=site.worker,
            spare_millis=site.spare_millis,
            version=self._version,
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
