"""Processing of the sidecars' reports."""

import msgspec

from chivespoke.coordination import _crashes
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _learning
from chivespoke.coordination import _messages
from chivespoke.coordination import _suspects
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('reports')

# Back-off after a worker refused an order for lack of capacity: about the time
# until its next report arrives.
NO_CAPACITY_BACKOFF_SECONDS = 0.3
# Back-off after a worker refused an order because it is unhealthy.
UNHEALTHY_BACKOFF_SECONDS = 1.0


class ReportHandler:
    """Apply reports to the leader's state."""

    __slots__ = ('_state', '_crash_handler')

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        self._crash_handler = _crashes.CrashHandler(state)

    def handle(
        self, report: _messages.Report, now: float, wall_ms: int
    ) -> _fleet.Worker | None:
        """Apply a report; return the worker that it describes.

        Returns None if the report names no worker.
        """
        if report.incarnation is None:
            return None
        replaced = self._find_replaced(report, report.incarnation)
        # Described before its runs are released.
        lost = _crashes.describe_crash(replaced, now) if replaced else None
        worker = self._find_worker(report, report.incarnation, now)
        self._crash_handler.handle(report, now, wall_ms)
        if replaced is not None and lost is not None:
            self._crash_handler.handle_replacement(
                replaced, lost, report, now, wall_ms
            )
        timeouts = self._state.timeouts
        worker.reported_at = now
        worker.draining = report.draining
        if worker.answering and not report.answering:
            self._crash_handler.record_silence(worker, now)
        worker.answering = report.answering and not report.lapsed
        # A heartbeat may repeat the result of the previous poll.
        is_new_poll = report.clock_ms != worker.worker_clock_ms
        worker.worker_clock_ms = report.clock_ms
        lease_end_ms = report.lease_end_ms
        if (
            now >= self._state.earlier_leases_end_at
            and not report.has_successor
        ):
            # A sidecar that has just begun expects leases of the longest kind.
            lease_end_ms = min(lease_end_ms, worker.granted_until_ms)
        worker.leases_expire_at = now + max(
            timeouts.max_lease_seconds,
            timeouts.measure_lease(lease_end_ms - report.clock_ms),
        )
        if worker.session != report.session:
            worker.session = report.session
            self._resend_orders(worker)
        for end in void_ends_before_lapse(report.ended):
            self._handle_end(worker, end, now, wall_ms)
        if report.lapsed:
            if worker.runs:
                LOGGER.warning(
                    'A sidecar reports that all leases have expired.',
                    worker=worker.incarnation.key,
                    clock_ms=report.clock_ms,
                    lease_end_ms=report.lease_end_ms,
                    applied=report.applied,
                    sent=worker.directives,
                )
            self._state.release_lapsed_runs(
                worker, report.covered, now, report.refuses_connections
            )
        # Once all leases have expired, nothing of the last listing is left.
        running = () if report.lapsed else report.running
        self._reconcile_runs(worker, running, wall_ms)
        add_unrecorded_starts(worker, report.unanswered)
        if report.answering and report.epoch == self._state.epoch:
            self._settle_runs(worker, now)
        record_paces(worker, report.paces)
        self._observe_runs(worker, is_new_poll)
        if report.answering and is_new_poll:
            worker.answered_at = now
            _fleet.learn_tails(worker, self._state.interference)
            worker.candidate = None
        for outcome in report.outcomes:
            self._handle_outcome(worker, outcome, report.covered, now, wall_ms)
        return worker

    def _find_replaced(
        self,
        report: _messages.Report,
        incarnation: _messages.WorkerIncarnation,
    ) -> _fleet.Worker | None:
        """Return the worker that a new incarnation replaces, if any."""
        if incarnation.key in self._state.workers:
            return None
        return self._state.find_worker_of(report.sidecar)

    def _find_worker(
        self,
        report: _messages.Report,
        incarnation: _messages.WorkerIncarnation,
        now: float,
    ) -> _fleet.Worker:
        existing = self._state.workers.get(incarnation.key)
        if existing is not None:
            if existing.incarnation.capacity != incarnation.capacity:
                LOGGER.info(
                    'The capacity of a worker changed.',
                    worker=incarnation.key,
                    before=existing.incarnation.capacity,
                    capacity=incarnation.capacity,
                    reserved=existing.reserved,
                )
                existing.change_capacity(incarnation)
            return existing
        worker = _fleet.Worker(
            incarnation, report.sidecar, report.session, now
        )
        self._bound_former_leases(worker, report, now)
        self._state.add_worker(
            worker,
            {row.task: row.run for row in report.running},
            report.clock_ms,
            report.lease_end_ms,
        )
        return worker

    def _bound_former_leases(
        self, worker: _fleet.Worker, report: _messages.Report, now: float
    ) -> None:
        """Take over how far calls of others may have extended leases.

        This leader knows what it allows on this life of the worker only. A
        call for a former life under the same identifier may have granted the
        longest lease. Tasks wait until no lease is longer than any that a
        leader allows, so that this holds for each life with runs on record.
        """
        former = self._state.list_former_identifiers(worker.incarnation)
        identifier = worker.incarnation.identifier
        if worker.incarnation.key in self._state.unreported or (
            # Calls for another identifier are refused.
            former and identifier not in former
        ):
            return
        worker.granted_until_ms = report.lease_end_ms
        timeouts = self._state.timeouts
        excess_seconds = (
            timeouts.measure_lease(report.lease_end_ms - report.clock_ms)
            - timeouts.max_lease_seconds
        )
        if identifier in former and excess_seconds > 0:
            worker.blocked_until = now + excess_seconds
            LOGGER.info(
                'A worker that started again gets no tasks for a while.',
                worker=worker.incarnation.key,
                seconds=round(excess_seconds, 1),
                clock_ms=report.clock_ms,
                lease_end_ms=report.lease_end_ms,
            )

    def _resend_orders(self, worker: _fleet.Worker) -> None:
        # A new session has lost all orders and the details that pacing needs.
        for run in worker.runs.values():
            if run.state is _fleet.RunState.RUNNING:
                run.state = _fleet.RunState.ORDERED
            if run.sent_at is not None:
                run.sent_at = None
                run.repeated = True

    def _handle_end(
        self,
        worker: _fleet.Worker,
        end: platform.EndedRun,
        now: float,
        wall_ms: int,
    ) -> None:
        if end.number <= worker.processed_end:
            return
        worker.processed_end = end.number
        worker.unrecorded_runs.pop(end.task, None)
        self._state.record_start(end.task, wall_ms)
        run = worker.runs.get(end.task)
        if run is None or run.number != end.run:
            LOGGER.info(
                'A run ended that is no longer the current run of its task.',
                task=end.task,
                run=end.run,
                worker=worker.incarnation.key,
                cause=end.cause.value,
            )
            self._handle_stale_end(end, wall_ms)
            return
        worker.remove(end.task)
        LOGGER.info(
            'Run ended.',
            task=end.task,
            run=end.run,
            worker=worker.incarnation.key,
            cause=end.cause.value,
            seconds=now - (run.started_at or now),
        )
        self._apply_end(worker, run, end, now, wall_ms)

    def _handle_stale_end(self, end: platform.EndedRun, wall_ms: int) -> None:
        # A task is done once any of its runs has completed it.
        name = workloads.parse_task_name(end.task)
        state = self._state.jobs.get(name.job) if name else None
        if state is None or name is None or state.final:
            return
        task = state.find_task(name)
        if task is None or end.cause is not platform.EndCause.DONE:
            return
        step = state.job.steps[name.step]
        if task.status is workloads.TaskStatus.DONE or step.long_running:
            return
        later_runs = [
            (other, assigned.worker)
            for other, assigned in state.list_assigned()
            if other == name or (step.gang and other.is_same_step(name))
        ]
        state.complete_task(name, wall_ms)
        for other, worker in later_runs:
            self._state.stop_run(worker, other.format(), 'another run is done')

    def _apply_end(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        end: platform.EndedRun,
        now: float,
        wall_ms: int,
    ) -> None:
        quarantine = self._state.find_quarantine(worker)
        if end.cause is platform.EndCause.DONE:
            quarantine.record_success()
        elif end.cause is platform.EndCause.FAILED:
            if quarantine.record_failure(now):
                LOGGER.warning(
                    'A worker is quarantined after repeated failures.',
                    worker=worker.incarnation.key,
                )
        state = self._state.jobs.get(run.name.job)
        if state is None or state.final:
            return
        task = state.find_task(run.name)
        if task is None or task.status is workloads.TaskStatus.DONE:
            # Another run, or another member of the gang, has completed it.
            return
        if end.cause is platform.EndCause.DONE and not run.step.long_running:
            _learning.observe_end(self._state.durations, state, run, now)
            state.complete_task(run.name, wall_ms)
        else:
            state.requeue(run.name, end.checkpoint)
            self._state.idle_tasks.record_release(run, end.cause.value)
            if end.cause is platform.EndCause.FAILED:
                state.count_failure(run.name, wall_ms)
        if state.final:
            self._state.handle_final_job(state)

    def _reconcile_runs(
        self,
        worker: _fleet.Worker,
        running: tuple[platform.RunningTask, ...],
        wall_ms: int,
    ) -> None:
        listed = {row.task: row for row in running}
        for task_id, run in worker.runs.items():
            row = listed.get(task_id)
            if row is not None and row.run == run.number:
                if run.started_at is None:
                    run.started_at = worker.reported_at
                    self._state.record_start(task_id, wall_ms)
                if worker.answering:
                    self._state.idle_tasks.record_listing(
                        run, worker.incarnation.key
                    )
                self._update_listed_run(run, row)
            elif run.last_listing is not None:
                # The worker no longer lists the run but has not reported its
                # end. The reply to a repeated order shows the run's state.
                run.last_listing = None
                if run.state is _fleet.RunState.RUNNING:
                    run.state = _fleet.RunState.ORDERED
                run.sent_at = None
                run.repeated = True
        worker.unrecorded_runs = {
            row.task: row.run
            for row in running
            if row.task not in worker.runs
            or worker.runs[row.task].number != row.run
        }
        for task_id in worker.unrecorded_runs:
            self._state.record_start(task_id, wall_ms)

    def _settle_runs(self, worker: _fleet.Worker, now: float) -> None:
        for run in worker.runs.values():
            if (
                run.state is _fleet.RunState.RUNNING
                and run.last_listing is not None
            ):
                self._state.settle(run, now)

    def _update_listed_run(
        self, run: _fleet.Run, row: platform.RunningTask
    ) -> None:
        run.last_listing = row
        if run.state is _fleet.RunState.ORDERED and run.sent_at is not None:
            run.state = _fleet.RunState.RUNNING
        state = self._state.jobs.get(run.name.job)
        task = state.find_task(run.name) if state else None
        if state is None or task is None:
            return
        if row.checkpoint and row.checkpoint != task.checkpoint:
            task.checkpoint = row.checkpoint
            state.has_new_checkpoint = True

    def _observe_runs(self, worker: _fleet.Worker, is_new_poll: bool) -> None:
        """Track the speed of runs and stop those that are stalled."""
        now = worker.reported_at
        for run in worker.runs.values():
            row = run.last_listing
            if run.state is not _fleet.RunState.RUNNING or row is None:
                continue
            if is_new_poll and worker.answering and row.progress:
                self._clear_survivor(run, now)
            if run.step.long_running:
                continue
            if run.speed_tracker is None or run.stall_detector is None:
                run.speed_tracker = decisions.SpeedTracker(now, row.progress)
                run.stall_detector = decisions.StallDetector(now)
            if not worker.answering:
                run.speed_tracker.skip(now)
                run.stall_detector.skip(now)
            elif is_new_poll:
                cpu_share = min(1.0, row.measure / max(1, run.step.cpu_millis))
                run.speed_tracker.observe(row.progress, cpu_share, now)
                _learning.observe_progress(
                    self._state.durations,
                    self._state.jobs.get(run.name.job),
                    run,
                )
                if run.stall_detector.observe(
                    row.progress, cpu_share, run.step.estimated_ms / 1000, now
                ):
                    self._stop_stalled_run(worker, run)

    def _clear_survivor(self, run: _fleet.Run, now: float) -> None:
        """Drop the suspicion against a task that is at work for a while."""
        if not self._state.suspects or _suspects.is_young(run, now):
            return
        state = self._state.jobs.get(run.name.job)
        task = state.find_task(run.name) if state else None
        if state is None or task is None or not task.crashes:
            return
        LOGGER.info(
            'A task is not suspected of crashes any more.',
            task=run.task_id,
            run=run.number,
            crashes=len(task.crashes),
        )
        self._state.suspects.clear(state, run)

    def _stop_stalled_run(
        self, worker: _fleet.Worker, run: _fleet.Run
    ) -> None:
        LOGGER.warning(
            'A run is stalled; its task will be restarted.',
            task=run.task_id,
            run=run.number,
            worker=worker.incarnation.key,
            progress=run.last_listing.progress if run.last_listing else 0,
        )
        self._state.find_quarantine(worker).record_stall(worker.reported_at)
        run.state = _fleet.RunState.STOPPING
        run.sent_at = None

    def _handle_outcome(
        self,
        worker: _fleet.Worker,
        outcome: _messages.OrderOutcome,
        covered: int | None,
        now: float,
        wall_ms: int,
    ) -> None:
        if outcome.refusal is None:
            self._state.record_start(outcome.task, wall_ms)
        run = worker.runs.get(outcome.task)
        if run is None or run.number != outcome.run:
            return
        if (
            outcome.refusal is not None
            and covered is not None
            and run.ordered_in > covered
        ):
            LOGGER.info(
                'A refused order was repeated; the run is stopped.',
                task=outcome.task,
                run=outcome.run,
                worker=worker.incarnation.key,
                refusal=outcome.refusal.value,
                ordered_in=run.ordered_in,
                applied=covered,
            )
            # Further repetitions could cross each refusal. The outcome of the
            # stop covers all of them.
            if run.state is not _fleet.RunState.STOPPING:
                run.state = _fleet.RunState.STOPPING
                run.sent_at = None
            return
        self._state.order_window.release(run.order_key)
        if outcome.refusal is None:
            if run.state is _fleet.RunState.ORDERED:
                run.state = _fleet.RunState.RUNNING
                run.started_at = run.started_at or now
            return
        LOGGER.info(
            'A worker refused an order.',
            task=outcome.task,
            run=outcome.run,
            worker=worker.incarnation.key,
            refusal=outcome.refusal.value,
            ordered_in=run.ordered_in,
        )
        backoff_seconds = NO_CAPACITY_BACKOFF_SECONDS
        if outcome.refusal is platform.Refusal.BAD_TICKET:
            # The refusal concerns the ticket, so the worker is not blocked.
            # Without the ticket the leader asks the advisor again.
            self._state.advice_cache.drop_ticket(
                run.name.format_step(), worker.incarnation.key
            )
            backoff_seconds = 0.0
        if outcome.refusal is platform.Refusal.UNHEALTHY:
            backoff_seconds = UNHEALTHY_BACKOFF_SECONDS
        worker.blocked_until = max(worker.blocked_until, now + backoff_seconds)
        self._state.release_run(
            worker, run, f'refused: {outcome.refusal.value}'
        )


def add_unrecorded_starts(
    worker: _fleet.Worker, unanswered: tuple[_messages.UnansweredStart, ...]
) -> None:
    """Add the starts in progress that are not assigned to the worker.

    An earlier leader may have ordered them and withdrawn them since.
    """
    for start in unanswered:
        run = worker.runs.get(start.task)
        if start.in_progress and (run is None or run.number != start.run):
            worker.unrecorded_runs.setdefault(start.task, start.run)


def record_paces(
    worker: _fleet.Worker, paces: tuple[_messages.RunPace, ...]
) -> None:
    """Record the paces of a worker's fillers; others are at full speed.

    The time in which the worker does not answer does not count as held down.
    """
    percents = {(pace.task, pace.run): pace.percent for pace in paces}
    for run in worker.runs.values():
        if not run.step.filler:
            continue
        run.record_pace(
            percents.get(
                (run.task_id, run.number), decisions.FULL_PACE_PERCENT
            )
            if worker.answering
            else decisions.FULL_PACE_PERCENT,
            worker.reported_at,
        )


def void_ends_before_lapse(
    ended: tuple[platform.EndedRun, ...],
) -> tuple[platform.EndedRun, ...]:
    """Return the unacknowledged ends, without the results that do not count.

    The contract with the platform drops the result of a run for good if the
    leases of its worker expired before the end was acknowledged. The task has
    to run again, as if the run had still been at work.
    """
    last_lapse = max(
        (
            end.number
            for end in ended
            if end.cause is platform.EndCause.LEASE_EXPIRED
        ),
        default=0,
    )
    return tuple(
        msgspec.structs.replace(end, cause=platform.EndCause.LEASE_EXPIRED)
        if end.number < last_lapse
        else end
        for end in ended
    )
