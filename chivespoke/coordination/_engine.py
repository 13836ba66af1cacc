"""The leader's scheduling: reports in, records and orders out; no I/O."""

import collections.abc

import msgspec

from chivespoke.coordination import _advice_requester
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke.coordination import _learning
from chivespoke.coordination import _load
from chivespoke.coordination import _messages
from chivespoke.coordination import _placer
from chivespoke.coordination import _predecessors
from chivespoke.coordination import _records
from chivespoke.coordination import _reports
from chivespoke.coordination import _silent_sidecars
from chivespoke.coordination import _triage
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# Interval at which new checkpoints are stored, so that they survive the loss
# of all workers. Tasks make checkpoints at about the same interval.
CHECKPOINT_INTERVAL_SECONDS = 1.0


class Plan(msgspec.Struct, frozen=True):
    """Hold records to store and the decisions that depend on them.

    The orders for the decided runs may be sent once the records are stored.
    """

    records: tuple[bytes, ...]
    decided_runs: tuple[_fleet.Run, ...]
    # Number of the last run end that the records cover, by worker key.
    recorded_ends: dict[str, int]
    # Sidecars whose records of silence the records withdraw.
    heard_sidecars: tuple[str, ...] = ()
    # All waiting tasks were considered; otherwise plan again at once.
    complete: bool = True


class Engine(_advice_requester.AdviceConsumer):
    """Assign tasks to workers and track their runs."""

    __slots__ = (
        '_state',
        '_report_handler',
        '_epoch',
        '_placer',
        '_triage_planner',
        '_learning_keeper',
        '_load_reporter',
        '_silent_sidecars',
        '_predecessors',
        '_desired_state',
        '_checkpoints_marked_at',
    )

    def __init__(
        self,
        epoch: int,
        timeouts: _engine_state.LeaderTimeouts,
        delays_jobs: bool = False,
    ) -> None:
        self._epoch = epoch
        self._state = _engine_state.State(epoch, timeouts, delays_jobs)
        self._report_handler = _reports.ReportHandler(self._state)
        self._placer = _placer.Placer(self._state)
        self._triage_planner = _triage.TriagePlanner(self._state)
        self._learning_keeper = _learning.LearningKeeper(self._state)
        self._load_reporter = _load.LoadReporter(self._state, epoch)
        self._silent_sidecars = _silent_sidecars.SilentSidecars(self._state)
        self._predecessors = _predecessors.Predecessors(self._state)
        # That of the latest plan; None if it was outdated.
        self._desired_state: _placer.DesiredState | None = None
        self._checkpoints_marked_at = 0.0

    @property
    def state(self) -> _engine_state.State:
        """Return the leader's state, for explanations and tests."""
        return self._state

    @property
    def learned_record_age(self) -> float | None:
        """Return the age in seconds of the learned state taken up, if any."""
        return self._learning_keeper.record_age

    def take_learned_samples(self) -> dict[str, int]:
        """Return the samples learned since the last call, by model."""
        return self._learning_keeper.take_samples()

    def offer_learned(self, encoded: bytes) -> None:
        """Provide what an earlier leader has recorded as learned."""
        self._learning_keeper.offer(encoded)

    def apply_entry(
        self, entry: _records.JobEntry, now: float, wall: float
    ) -> None:
        """Add a newly accepted job or cancel a known one."""
        if entry.job is None:
            return
        existing = self._state.jobs.get(entry.job.identifier)
        wall_ms = int(wall * 1000)
        if existing is None:
            self._state.load_job(entry, now, wall_ms)
        elif entry.cancelled and not existing.final:
            self._state.cancel_job(entry.job.identifier, wall_ms)

    def handle_ended_worker(self, worker: str) -> None:
        """Requeue the tasks of a worker that its sidecar recorded as ended."""
        self._state.release_ended_worker(worker)

    def load_silent_sidecar(
        self, sidecar: str, silence: _records.KnownSilence, now: float
    ) -> None:
        """Take over the record of a sidecar that earlier leaders lost."""
        self._silent_sidecars.load(sidecar, silence, now)

    def load_leaders(
        self,
        leaders: collections.abc.Mapping[int, _records.LeaderRecord],
        now: float,
    ) -> dict[int, _records.LeaderRecord]:
        """Take over the records of leaders; return those before this one."""
        earlier = {
            epoch: leader
            for epoch, leader in leaders.items()
            if epoch < self._epoch
        }
        self._predecessors.load(
            earlier, self._silent_sidecars.list_recorded(), now
        )
        return earlier

    def record_leader_end(
        self, epoch: int, end: _predecessors.LeaderEnd, now: float
    ) -> None:
        """Record that an earlier leader renews no leases any more."""
        self._predecessors.record_end(epoch, end, now)

    def describe_leases(self, now: float) -> dict[str, _records.SilentSidecar]:
        """Return what is left of the leases, by sidecar with runs.

        Of leases that only earlier leaders can have granted, these tell.
        """
        return self._silent_sidecars.describe_all(
            now, with_unreported=not self._predecessors.are_on_record
        )

    def may_renew_leases(self, sidecar: str) -> bool:
        """Return whether leases may be renewed on a sidecar's worker."""
        return self._silent_sidecars.may_renew(sidecar)

    def handle_report(
        self, report: _messages.Report, now: float, wall: float
    ) -> _fleet.Worker | None:
        """Apply a sidecar's report; return the worker that it describes.

        Returns None if the report names no worker or an earlier session.
        """
        if not self._state.fences.admit(report.sidecar, report.session):
            return None
        self._state.idle_tasks.advance(now)
        self._state.fences.record_use(report.sidecar, report.fence)
        self._state.late_starts.record_report(report, now)
        self._silent_sidecars.record_report(report.sidecar, now)
        if report.incarnation is None and report.epoch == self._epoch:
            self._state.limit_unreported_leases(report.sidecar, now)
        return self._report_handler.handle(report, now, int(wall * 1000))

    def plan(
        self,
        desired_state: _placer.DesiredState | None,
        now: float,
        wall: float,
    ) -> Plan:
        """Expire leases, place waiting tasks and collect records to store.

        Without a desired state no task is placed.
        """
        self._state.idle_tasks.advance(now)
        self._state.observe_idle_tasks(now)
        self._state.expire_leases(now)
        self._desired_state = desired_state
        decided_runs: tuple[_fleet.Run, ...] = ()
        if desired_state is not None:
            self._update_terms(desired_state.configuration)
            self._learning_keeper.apply_configuration(
                desired_state.configuration, wall
            )
            self._triage_planner.update(desired_state.configuration, now, wall)
            decided_runs = self._placer.place(desired_state, now, wall)
        else:
            self._placer.record_lack_of_view(wall)
        self._state.idle_tasks.report_waits()
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
            elif self._is_retention_over(state, wall):
                # Joined, so that one append holds all of them.
                records.append(
                    b''.join(_records.encode_removal(state.job.identifier))
                )
                del self._state.jobs[state.job.identifier]
                self._state.advice_cache.forget_job(state.job.identifier)
                self._state.durations.forget_job(state.job.identifier)
        learned = self._learning_keeper.make_record(now, wall)
        if learned is not None:
            records.append(learned)
        if desired_state is not None:
            load_record = self._load_reporter.make_record(
                desired_state.configuration, now, wall
            )
            if load_record is not None:
                records.append(load_record)
        records += self._predecessors.make_tombstones(now)
        silences, heard_sidecars = self._silent_sidecars.make_records(now)
        records += silences
        recorded_ends = {
            worker.incarnation.key: worker.processed_end
            for worker in self._state.workers.values()
            if worker.processed_end > worker.acknowledged
        }
        return Plan(
            tuple(records),
            (*decided_runs, *self._state.take_unsettled_runs()),
            recorded_ends,
            heard_sidecars,
            self._placer.complete,
        )

    def find_advice_request(self) -> decisions.AdviceRequest | None:
        return self._placer.advice_request

    def apply_advice(
        self,
        advice_request: decisions.AdviceRequest,
        advice: platform.Advice,
        requested_at: float,
    ) -> None:
        self._placer.advice_request = None
        self._state.advice_cache.add_answer(
            advice_request, advice.tickets, requested_at, advice.valid_seconds
        )

    def _mark_checkpoints(self, now: float) -> None:
        if now < self._checkpoints_marked_at + CHECKPOINT_INTERVAL_SECONDS:
            return
        self._checkpoints_marked_at = now
        for state in self._state.jobs.values():
            if state.has_new_checkpoint and not state.final:
                state.dirty = True

    def confirm(self, plan: Plan, now: float) -> None:
        """Release the orders of a plan whose records are stored."""
        self._state.idle_tasks.advance(now)
        for run in plan.decided_runs:
            self._state.idle_tasks.record_stored(run)
            if run.state is _fleet.RunState.DECIDED:
                run.state = _fleet.RunState.ORDERED
        self._silent_sidecars.confirm_withdrawn(plan.heard_sidecars)
        for key, number in plan.recorded_ends.items():
            worker = self._state.workers.get(key)
            if worker is not None:
                worker.acknowledged = max(worker.acknowledged, number)

    def select_orders(self, worker: _fleet.Worker, now: float) -> bool:
        """Select the orders for the next directive to a worker.

        Returns whether there are any.
        """
        for run in worker.runs.values():
            if not run.selected and self._is_order_due(run, now):
                run.selected = self._may_send_order(worker, run, now)
        return any(run.selected for run in worker.runs.values())

    def _is_order_due(self, run: _fleet.Run, now: float) -> bool:
        return run.state in (
            _fleet.RunState.ORDERED,
            _fleet.RunState.STOPPING,
        ) and (
            run.sent_at is None
            or now >= run.sent_at + _engine_state.ORDER_RESEND_SECONDS
        )

    def _may_send_order(
        self, worker: _fleet.Worker, run: _fleet.Run, now: float
    ) -> bool:
        if run.state is _fleet.RunState.ORDERED and self._is_obsolete(run):
            # The run is obsolete, for example because another member has
            # completed the gang.
            run.state = _fleet.RunState.STOPPING
        if (
            run.state is _fleet.RunState.ORDERED
            and run.last_listing is None
            and self._is_evacuating(worker)
        ):
            # The evacuation was requested after the decision.
            run.state = _fleet.RunState.STOPPING
        if (
            run.state is _fleet.RunState.STOPPING
            or run.last_listing is not None
        ):
            return True
        if not self._is_start_permitted(worker, now):
            return False
        if self._state.unsettle(run):
            return False
        if not worker.has_recent_report(now):
            # The order may not arrive, and must not hold up the orders for
            # other workers.
            return False
        size = len(self._state.jobs[run.name.job].job.payload)
        return self._state.order_window.admit(run.order_key, size, now)

    def _is_evacuating(self, worker: _fleet.Worker) -> bool:
        desired_state = self._desired_state
        return (
            desired_state is not None
            and worker.incarnation.data_centre in desired_state.evacuating
        )

    def _is_start_permitted(self, worker: _fleet.Worker, now: float) -> bool:
        """Return whether a decision to use a worker still holds.

        Between the decision and the order the store may be slow, or this
        process paused.
        """
        desired_state = self._desired_state
        return (
            desired_state is not None
            and now < desired_state.valid_until
            and not self._is_evacuating(worker)
        )

    def make_directive(
        self, worker: _fleet.Worker, now: float
    ) -> _messages.Directive:
        """Return the lease and the orders to send to a worker now.

        Marks the included orders as sent.
        """
        if not self.may_renew_leases(worker.sidecar):
            return self.make_empty_directive(worker.sidecar)
        self.select_orders(worker, now)
        timeouts = self._state.timeouts
        worker.directives += 1
        session = self._state.fences.find_session(worker.sidecar)
        starts = []
        stops = []
        adopted = []
        for run in worker.runs.values():
            if not run.selected:
                continue
            run.selected = False
            if run.state is _fleet.RunState.STOPPING:
                stops.append(_messages.StopOrder(run.task_id, run.number))
            elif run.state is not _fleet.RunState.ORDERED:
                continue
            elif run.last_listing is not None:
                adopted.append(make_adopted_run(run))
            elif self._is_start_permitted(worker, now):
                starts.append(self._make_start_order(run))
                run.ordered_in = worker.directives
                self._state.idle_tasks.advance(now)
                self._state.idle_tasks.record_order(run)
                self._state.late_starts.record_order(
                    run, worker.sidecar, session, worker.directives, now
                )
            else:
                # Selected before a pause of this process; due again.
                continue
            run.sent_at = now
            run.repeated = True
        for task_id, number in worker.unrecorded_runs.items():
            stops.append(_messages.StopOrder(task_id, number))
        lease_until_ms = worker.worker_clock_ms + int(
            timeouts.lease_seconds * 1000
        )
        worker.granted_until_ms = max(worker.granted_until_ms, lease_until_ms)
        return _messages.Directive(
            epoch=self._epoch,
            incarnation=worker.incarnation.key,
            lease_until_ms=lease_until_ms,
            acknowledged=worker.acknowledged,
            starts=tuple(starts),
            stops=tuple(stops),
            interference=self._list_interference(worker),
            adopted=tuple(adopted),
            number=worker.directives,
            session=session,
            fence=self._state.fences.find_token(worker.sidecar),
            reserved=self._measure_reserved(worker),
            standings=self._list_standings(worker),
            fence_end=self._state.fences.find_token_end(worker.sidecar),
            granted_until_ms=worker.granted_until_ms
            if now >= self._state.earlier_leases_end_at
            else 0,
        )

    def _measure_reserved(self, worker: _fleet.Worker) -> workloads.Resources:
        """Return what the runs on a worker may hold, ordered ones included."""
        reserved = worker.reserved
        for task_id in worker.unrecorded_runs:
            step = self._state.find_step(task_id)
            reserved = reserved.add(
                workloads.compute_reservation(step)
                if step is not None
                else worker.incarnation.capacity
            )
        return reserved

    def make_empty_directive(self, sidecar: str) -> _messages.Directive:
        """Return a directive to a sidecar whose worker is not known."""
        return _messages.Directive(
            self._epoch,
            '',
            0,
            0,
            session=self._state.fences.find_session(sidecar),
            fence=self._state.fences.find_token(sidecar),
            fence_end=self._state.fences.find_token_end(sidecar),
        )

    def find_session(self, sidecar: str) -> str:
        """Return the current session of a sidecar, empty if none is known."""
        return self._state.fences.find_session(sidecar)

    def _list_interference(
        self, worker: _fleet.Worker
    ) -> tuple[decisions.InterferenceCoefficient, ...]:
        steps = [run.step for run in worker.runs.values()]
        serving_images = {
            step.image for step in steps if step.target_latency_ms
        }
        filler_images = {step.image for step in steps if step.filler}
        return tuple(
            decisions.InterferenceCoefficient(
                serving_image,
                filler_image,
                self._state.interference.find_coefficient(
                    serving_image, filler_image
                ),
            )
            for serving_image in sorted(serving_images)
            for filler_image in sorted(filler_images)
        )

    def _list_standings(
        self, worker: _fleet.Worker
    ) -> tuple[_messages.JobStanding, ...]:
        if not self._state.ranks:
            return ()
        jobs = {
            run.name.job for run in worker.runs.values() if run.step.filler
        }
        return tuple(
            _messages.JobStanding(job, self._state.find_standing(job))
            for job in sorted(jobs)
            if self._state.find_standing(job) is not decisions.Standing.TIMELY
        )

    def _is_obsolete(self, run: _fleet.Run) -> bool:
        state = self._state.jobs.get(run.name.job)
        task = state.find_task(run.name) if state else None
        if state is None or task is None:
            return True
        return state.final or task.status is workloads.TaskStatus.DONE

    def _make_start_order(self, run: _fleet.Run) -> _messages.StartOrder:
        state = self._state.jobs[run.name.job]
        task = state.find_task(run.name)
        errors.check_invariant(
            task is not None and task.run == run.number,
            'orders follow the record',
            run.task_id,
        )
        return _messages.StartOrder(
            task=run.task_id,
            run=run.number,
            payload=state.job.payload,
            checkpoint=task.checkpoint if task else '',
            image=run.step.image,
            target_latency_ms=run.step.target_latency_ms,
            filler=run.step.filler,
            repeated=run.repeated,
            ticket=run.ticket,
            cpu_millis=run.step.cpu_millis,
        )

    def _update_terms(self, configuration: workloads.Configuration) -> None:
        terms = {queue.name: queue.terms for queue in configuration.queues}
        for state in self._state.jobs.values():
            state.terms = terms.get(state.job.queue, state.terms)

    def _is_retention_over(self, state: _jobs.JobState, wall: float) -> bool:
        finished = state.progress.finished_ms / 1000
        return (
            state.final
            and wall
            > finished + self._state.timeouts.final_job_retention_seconds
        )


def make_adopted_run(run: _fleet.Run) -> _messages.AdoptedRun:
    """Return what the sidecar needs to know of a run that it lists."""
    return _messages.AdoptedRun(
        run.task_id,
        run.number,
        run.step.image,
        run.step.target_latency_ms,
        run.step.filler,
        run.step.cpu_millis,
    )
