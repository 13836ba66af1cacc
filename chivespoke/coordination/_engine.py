"""The leader's decisions, turned into records and orders; no I/O."""

import msgspec

from chivespoke.coordination import _advising
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke.coordination import _messages
from chivespoke.coordination import _placer
from chivespoke.coordination import _records
from chivespoke.coordination import _reports
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# An order on which nothing was heard is sent again after so many seconds:
# longer than a worker's answer and a report take.
RESEND_SECONDS = 0.7
# New checkpoints are recorded so often, in seconds, for the case that all
# workers are lost at once: work between two checkpoints takes as long.
CHECKPOINT_SECONDS = 1.0


class Plan(msgspec.Struct, frozen=True):
    """Hold what has to be in the store before orders may leave."""

    records: tuple[bytes, ...]
    decided: tuple[_fleet.Run, ...]
    # Numbers of ends, by worker, that the records cover.
    ends: dict[str, int]


class Engine(_advising.AdviceTaker):
    """Decide what runs where, and keep account of it."""

    __slots__ = (
        '_state',
        '_intake',
        '_epoch',
        '_placer',
        '_checkpoints_at',
    )

    def __init__(self, epoch: int, limits: _engine_state.Limits) -> None:
        self._epoch = epoch
        self._state = _engine_state.State(limits)
        self._intake = _reports.Intake(self._state)
        self._placer = _placer.Placer(self._state)
        self._checkpoints_at = 0.0

    @property
    def state(self) -> _engine_state.State:
        """Return what the leader holds, for explanations and tests."""
        return self._state

    def take_entry(
        self, entry: _records.JobEntry, now: float, wall: float
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

    def plan(
        self, orders: _placer.Orders | None, now: float, wall: float
    ) -> Plan:
        """Decide what can be decided; without orders nothing starts."""
        self._state.expire(now)
        decided: tuple[_fleet.Run, ...] = ()
        if orders is not None:
            self._update_terms(orders.configuration)
            decided = self._placer.place(orders, now, wall)
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
                self._state.advice.forget(state.job.identifier)
        ends = {
            worker.incarnation.key: worker.processed
            for worker in self._state.workers.values()
            if worker.processed > worker.acknowledged
        }
        return Plan(tuple(records), decided, ends)

    def find_question(self) -> decisions.Question | None:
        return self._placer.question

    def take_advice(
        self,
        question: decisions.Question,
        advice: platform.Advice,
        asked_at: float,
    ) -> None:
        self._placer.question = None
        self._state.advice.take(
            question, advice.tickets, asked_at, advice.valid_seconds
        )

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
            incarnation=worker.incarnation.key,
            lease_until_ms=worker.lease_from_ms + int(limits.lease * 1000),
            acknowledged=worker.acknowledged,
            starts=tuple(starts),
            stops=tuple(stops),
            interference=self._list_pressures(worker),
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
            ticket=run.ticket,
        )

    def _update_terms(self, configuration: workloads.Configuration) -> None:
        terms = {queue.name: queue.terms for queue in configuration.queues}
        for state in self._state.jobs.values():
            state.terms = terms.get(state.job.queue, state.terms)

    def _is_forgettable(self, state: _jobs.JobState, wall: float) -> bool:
        finished = state.progress.finished_ms / 1000
        return state.final and wall > finished + self._state.limits.kept
