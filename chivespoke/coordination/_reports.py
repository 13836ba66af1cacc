"""Taking in what sidecars report."""

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _messages
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('reports')

# A worker that refused for want of room is asked again after so many seconds:
# about the time in which a report on its room arrives.
ROOM_PAUSE = 0.3
# A worker that called itself unhealthy is left alone for so many seconds.
UNHEALTHY_PAUSE = 1.0


class Intake:
    """Bring the leader's state up to date with reports."""

    __slots__ = ('_state',)

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state

    def take(
        self, report: _messages.Report, now: float, wall_ms: int
    ) -> _fleet.Worker | None:
        """Take in a report; return the worker that it is about."""
        if report.incarnation is None:
            return None
        worker = self._find_worker(report, report.incarnation, now)
        if worker is None:
            return None
        worker.heard_at = now
        worker.draining = report.draining
        worker.answering = report.answering and not report.lapsed
        # A heartbeat may repeat the look before, which shows nothing new.
        has_new_look = report.clock_ms != worker.lease_from_ms
        worker.lease_from_ms = report.clock_ms
        worker.lease_bound = now + self._state.limits.lease_bound
        if worker.sidecar_incarnation != report.sidecar_incarnation:
            worker.sidecar_incarnation = report.sidecar_incarnation
            self._resend(worker)
        for end in report.ended:
            self._take_end(worker, end, now, wall_ms)
        if report.lapsed:
            self._state.release_all(worker, 'lease lapsed')
        self._take_running(worker, report.running)
        self._stop_stalled(worker, has_new_look)
        if report.answering and has_new_look:
            _fleet.learn_tails(worker, self._state.pressures)
        for outcome in report.outcomes:
            self._take_outcome(worker, outcome, now)
        return worker

    def _find_worker(
        self,
        report: _messages.Report,
        incarnation: _messages.WorkerIncarnation,
        now: float,
    ) -> _fleet.Worker | None:
        known = self._state.workers.get(incarnation.key)
        if known is not None:
            return known
        for other in tuple(self._state.workers.values()):
            if other.sidecar != report.sidecar:
                continue
            if other.incarnation.born_ms > incarnation.born_ms:
                return None
            self._state.retire_worker(other, 'replaced by a new life')
        worker = _fleet.Worker(
            incarnation, report.sidecar, report.sidecar_incarnation, now
        )
        self._state.add_worker(worker)
        return worker

    def _resend(self, worker: _fleet.Worker) -> None:
        # The sidecar has forgotten all orders, and what pacing must know.
        for run in worker.runs.values():
            if run.state is _fleet.RunState.RUNNING:
                run.state = _fleet.RunState.ORDERED
            if run.sent_at is not None:
                run.sent_at = None
                run.repeated = True

    def _take_end(
        self,
        worker: _fleet.Worker,
        end: platform.EndedRun,
        now: float,
        wall_ms: int,
    ) -> None:
        if end.number <= worker.processed:
            return
        worker.processed = end.number
        worker.foreign.pop(end.task, None)
        run = worker.runs.get(end.task)
        if run is None or run.number != end.run:
            LOGGER.info(
                'An end of a run that is not the current one.',
                task=end.task,
                run=end.run,
                worker=worker.incarnation.key,
                cause=end.cause.value,
            )
            self._take_stale_end(end, wall_ms)
            return
        worker.remove(end.task)
        LOGGER.info(
            'A run ended.',
            task=end.task,
            run=end.run,
            worker=worker.incarnation.key,
            cause=end.cause.value,
            seconds=now - (run.began_at or now),
        )
        self._apply_end(worker, run, end, now, wall_ms)

    def _take_stale_end(self, end: platform.EndedRun, wall_ms: int) -> None:
        # Work that is done is done, whichever run did it.
        name = workloads.parse_task_name(end.task)
        state = self._state.jobs.get(name.job) if name else None
        if state is None or name is None or state.final:
            return
        task = state.find(name)
        if task is None or end.cause is not platform.EndCause.DONE:
            return
        if task.status is workloads.TaskStatus.DONE:
            return
        worker = task.worker
        state.finish(name, wall_ms)
        self._state.stop_run(worker, end.task)

    def _apply_end(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        end: platform.EndedRun,
        now: float,
        wall_ms: int,
    ) -> None:
        conduct = self._state.find_conduct(worker)
        if end.cause is platform.EndCause.DONE:
            conduct.note_success()
        elif end.cause is platform.EndCause.FAILED:
            if conduct.note_failure(now):
                LOGGER.warning(
                    'A worker fails what it starts; it is left out.',
                    worker=worker.incarnation.key,
                )
        state = self._state.jobs.get(run.name.job)
        if state is None or state.final:
            return
        if end.cause is platform.EndCause.DONE and not run.step.long_running:
            state.finish(run.name, wall_ms)
        else:
            state.release(run.name, end.checkpoint)
            if end.cause is platform.EndCause.FAILED:
                state.fail(run.name, wall_ms)
        if state.final:
            self._state.finish_job(state)

    def _take_running(
        self,
        worker: _fleet.Worker,
        running: tuple[platform.RunningTask, ...],
    ) -> None:
        listed = {row.task: row for row in running}
        for text, run in worker.runs.items():
            row = listed.get(text)
            if row is not None and row.run == run.number:
                self._note_listed(worker, run, row)
            elif run.listing is not None:
                # Neither listed nor ended: order it once more, which tells.
                run.listing = None
                if run.state is _fleet.RunState.RUNNING:
                    run.state = _fleet.RunState.ORDERED
                run.sent_at = None
                run.repeated = True
        worker.foreign = {
            row.task: row.run
            for row in running
            if row.task not in worker.runs
            or worker.runs[row.task].number != row.run
        }

    def _note_listed(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        row: platform.RunningTask,
    ) -> None:
        run.listing = row
        if run.began_at is None:
            run.began_at = worker.heard_at
        if run.state is _fleet.RunState.ORDERED and run.sent_at is not None:
            run.state = _fleet.RunState.RUNNING
        state = self._state.jobs.get(run.name.job)
        task = state.find(run.name) if state else None
        if state is None or task is None:
            return
        if row.checkpoint and row.checkpoint != task.checkpoint:
            task.checkpoint = row.checkpoint
            state.has_new_checkpoint = True

    def _stop_stalled(self, worker: _fleet.Worker, has_new_look: bool) -> None:
        for run in worker.runs.values():
            if run.state is not _fleet.RunState.RUNNING:
                continue
            if run.listing is None or run.step.long_running:
                continue
            if not worker.answering:
                if run.watch is not None:
                    run.watch.skip(worker.heard_at)
            elif has_new_look and self._stands_still(
                run, run.listing, worker.heard_at
            ):
                self._stop_run(worker, run)

    def _stands_still(
        self, run: _fleet.Run, row: platform.RunningTask, now: float
    ) -> bool:
        if run.watch is None:
            run.watch = decisions.ProgressWatch(now)
        use = min(1.0, row.measure / max(1, run.step.cpu_millis))
        estimated = run.step.estimated_ms / 1000
        return run.watch.note(row.progress, use, estimated, now)

    def _stop_run(self, worker: _fleet.Worker, run: _fleet.Run) -> None:
        LOGGER.warning(
            'A run stands still; its task begins elsewhere.',
            task=run.text,
            run=run.number,
            worker=worker.incarnation.key,
            progress=run.listing.progress if run.listing else 0,
        )
        self._state.find_conduct(worker).note_stall(worker.heard_at)
        run.state = _fleet.RunState.STOPPING
        run.sent_at = None

    def _take_outcome(
        self,
        worker: _fleet.Worker,
        outcome: _messages.OrderOutcome,
        now: float,
    ) -> None:
        run = worker.runs.get(outcome.task)
        if run is None or run.number != outcome.run:
            return
        if outcome.refusal is None:
            if run.state is _fleet.RunState.ORDERED:
                run.state = _fleet.RunState.RUNNING
                run.began_at = run.began_at or now
            return
        LOGGER.info(
            'An order did not take effect.',
            task=outcome.task,
            run=outcome.run,
            worker=worker.incarnation.key,
            refusal=outcome.refusal.value,
        )
        pause = ROOM_PAUSE
        if outcome.refusal is platform.Refusal.BAD_TICKET:
            # Says nothing of the worker; the advisor is asked again.
            self._state.advice.drop_ticket(
                run.name.format_step(), worker.incarnation.key
            )
            pause = 0.0
        if outcome.refusal is platform.Refusal.UNHEALTHY:
            pause = UNHEALTHY_PAUSE
        worker.blocked_until = now + pause
        self._state.release_run(worker, run)
