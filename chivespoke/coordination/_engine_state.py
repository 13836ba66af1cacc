"""The leader's state: jobs, workers and the assignment of tasks."""

import enum

import msgspec

from chivespoke.coordination import _fences
from chivespoke.coordination import _fleet
from chivespoke.coordination import _idle_tasks
from chivespoke.coordination import _jobs
from chivespoke.coordination import _late_starts
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke.coordination import _suspects
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')


# Longest time from the beginning of a call that gets no answer to its
# execution by a worker: 1 s for the call, 12 s on its way, and a margin.
LATE_CALL_SECONDS = 14.0
# Time after which an order is sent again if no outcome was reported. It is
# longer than the worker's answer and the next report take together.
ORDER_RESEND_SECONDS = 0.7
# Maximum size of the start orders without an outcome. A link of 5 Mbit/s
# carries as much in 0.2 s, so that appends and renewals of the membership of
# the group, which time out after 0.25 to 1 s, are not held up.
MAX_UNANSWERED_ORDER_BYTES = 131_072


class LeaderTimeouts(msgspec.Struct, frozen=True):
    """Hold the leader's lease and retention times."""

    # Time after a sidecar's last report up to which leases on its worker may
    # last. Covers a change of leader, which takes about 2.5 s, with a margin.
    lease_seconds: float = 6.0
    # Share by which a worker's clock may run slow.
    clock_drift_share: float = 0.02
    # Longest time for which an earlier leader may continue to renew leases.
    predecessor_renewal_seconds: float = 12.0
    # As LATE_CALL_SECONDS.
    late_call_seconds: float = LATE_CALL_SECONDS
    # Longest time from a start order to the sidecar's last call for it.
    start_order_seconds: float = 2.5
    # Time for which the records of a final job are kept.
    final_job_retention_seconds: float = 180.0

    @property
    def max_lease_seconds(self) -> float:
        """Return the time after which leases granted now have expired."""
        return self.measure_lease(int(self.lease_seconds * 1000))

    @property
    def max_wait_seconds(self) -> float:
        """Return the time after which leases of earlier leaders are past."""
        return self.predecessor_renewal_seconds + self.max_lease_seconds

    def measure_lease(self, clock_ms: int) -> float:
        """Return the seconds after which a worker's clock has advanced."""
        return clock_ms / 1000 * (1 + 2 * self.clock_drift_share)


class CrashBlame(enum.Enum):
    """What the crash of a worker is put down to."""

    ONE_JOB = 'one-job'
    # There are suspects, but something else may have caused it.
    INCONCLUSIVE = 'inconclusive'
    # Many workers near it crashed at the same time.
    OUTAGE = 'outage'
    # No task had just started there.
    NONE = 'none'


class UnreportedWorker:
    """Hold the recorded runs of a worker that has not reported yet."""

    __slots__ = ('expires_at', 'runs')

    def __init__(self, expires_at: float) -> None:
        # Monotonic time at which every lease that an earlier leader granted
        # has expired.
        self.expires_at = expires_at
        self.runs: list[_fleet.Run] = []


class StartWait(msgspec.Struct, frozen=True):
    """Hold how long a job has waited until its first task began."""

    queue: str
    seconds: float


class State:
    """Hold jobs and workers and keep their task assignments consistent."""

    __slots__ = (
        'epoch',
        'timeouts',
        'delays_jobs',
        'jobs',
        'workers',
        'unreported',
        'quarantines',
        'interference',
        'durations',
        'ranks',
        '_standing_changes',
        'outlooks',
        'advice_cache',
        'order_window',
        'fences',
        'suspects',
        '_crash_blames',
        '_start_waits',
        'late_starts',
        'idle_tasks',
        '_unsettled_runs',
        'earlier_leases_end_at',
    )

    def __init__(
        self, epoch: int, timeouts: LeaderTimeouts, delays_jobs: bool = False
    ) -> None:
        self.epoch = epoch
        self.timeouts = timeouts
        # Jobs are delayed by what that costs while there is too little room.
        self.delays_jobs = delays_jobs
        self.fences = _fences.SessionFences(epoch)
        self.suspects = _suspects.SuspectTasks()
        # What the crashes since the last look were put down to.
        self._crash_blames: list[CrashBlame] = []
        # Of the jobs that have begun since the last look.
        self._start_waits: list[StartWait] = []
        self.late_starts = _late_starts.LateStarts(
            timeouts.late_call_seconds, timeouts.start_order_seconds
        )
        self.idle_tasks = _idle_tasks.IdleTasks()
        # Time at which all leases that earlier leaders may have allowed are
        # past; infinite before the take-over.
        self.earlier_leases_end_at = float('inf')
        # Runs to be ordered once it is stored that calls may start them.
        self._unsettled_runs: list[_fleet.Run] = []
        self.jobs: dict[str, _jobs.JobState] = {}
        self.workers: dict[str, _fleet.Worker] = {}
        self.unreported: dict[str, UnreportedWorker] = {}
        self.quarantines: dict[str, decisions.WorkerQuarantine] = {}
        self.interference = decisions.LearnedInterferenceModel()
        # Estimates are corrected once a configuration calls for it.
        self.durations = decisions.LearnedDurations(frozenset())
        # Set while a service has too little room, by job; other jobs are
        # served in time.
        self.ranks: dict[str, decisions.Rank] = {}
        # New standings of jobs since the last look, for the metrics.
        self._standing_changes: list[decisions.Standing] = []
        # By service.
        self.outlooks: dict[str, decisions.ServiceOutlook] = {}
        self.advice_cache = decisions.AdviceCache()
        # Start orders carry the payload of the job, so those of all workers
        # together may fill the leader's link.
        self.order_window = decisions.SendWindow(
            MAX_UNANSWERED_ORDER_BYTES, ORDER_RESEND_SECONDS
        )

    def load_job(
        self, entry: _records.JobEntry, now: float, wall_ms: int
    ) -> None:
        """Load a job from the ledger, with the runs recorded for it."""
        if entry.job is None:
            return
        try:
            progress = entry.copy_progress()
        except errors.RefusedError as error:
            # Its tasks may run or have ended.
            LOGGER.error(
                'The progress of a job cannot be read; it is left alone.',
                job=entry.job.identifier,
                error=error,
            )
            return
        state = _jobs.JobState(entry.job, progress)
        self.jobs[entry.job.identifier] = state
        self.suspects.load(state)
        expires_at = now + self.timeouts.max_wait_seconds
        for name, task in state.list_assigned():
            run = _fleet.Run(
                name,
                task.run,
                entry.job.steps[name.step],
                _fleet.RunState.ORDERED,
            )
            run.repeated = True
            run.inherited = True
            if state.final:
                run.state = _fleet.RunState.STOPPING
            self.unreported.setdefault(
                task.worker, UnreportedWorker(expires_at)
            ).runs.append(run)
        if entry.cancelled:
            self.cancel_job(entry.job.identifier, wall_ms)

    def record_start(self, task_id: str, wall_ms: int) -> None:
        """Record that a run of a task has begun on a worker."""
        name = workloads.parse_task_name(task_id)
        state = self.jobs.get(name.job) if name else None
        if state is None or not state.record_start():
            return
        seconds = max(0, wall_ms - state.job.accepted_ms) / 1000
        LOGGER.info(
            'The first task of a job has begun.',
            task=task_id,
            queue=state.job.queue,
            wait_seconds=seconds,
        )
        self._start_waits.append(StartWait(state.job.queue, seconds))

    def is_settled(self, run: _fleet.Run) -> bool:
        """Return whether it is on record that no call can start a run."""
        state = self.jobs.get(run.name.job)
        task = state.find_task(run.name) if state else None
        return task is not None and task.settled_run == run.number

    def settle(self, run: _fleet.Run, now: float) -> None:
        """Note that no call can start a listed run of a lasting task any more.

        If this leader and the sidecar are lost, the task need not wait for
        such calls.
        """
        if not run.step.long_running:
            return
        state = self.jobs.get(run.name.job)
        task = state.find_task(run.name) if state else None
        if (
            state is None
            or task is None
            or task.run != run.number
            or task.settled_run == run.number
            or self.late_starts.may_begin(run, now)
        ):
            return
        task.settled_run = run.number
        state.dirty = True

    def unsettle(self, run: _fleet.Run) -> bool:
        """Hold the order for a settled run until the note is withdrawn.

        Returns whether there was one.
        """
        if not self.is_settled(run):
            return False
        state = self.jobs[run.name.job]
        task = state.find_task(run.name)
        assert task is not None
        LOGGER.info(
            'A start order for a run that was listed is to be repeated.',
            task=run.task_id,
            run=run.number,
            worker=task.worker,
        )
        task.settled_run = 0
        state.dirty = True
        run.state = _fleet.RunState.DECIDED
        self._unsettled_runs.append(run)
        return True

    def take_unsettled_runs(self) -> tuple[_fleet.Run, ...]:
        """Return and forget the runs whose notes were withdrawn."""
        runs = tuple(self._unsettled_runs)
        self._unsettled_runs.clear()
        return runs

    def take_start_waits(self) -> tuple[StartWait, ...]:
        """Return and forget the waits of the jobs that have begun."""
        waits = tuple(self._start_waits)
        self._start_waits.clear()
        return waits

    def cancel_job(self, identifier: str, wall_ms: int) -> None:
        """Cancel a job and stop its runs."""
        state = self.jobs[identifier]
        if not state.final:
            state.finalize(workloads.JobPhase.CANCELLED, wall_ms)
        self.handle_final_job(state)

    def handle_final_job(self, state: _jobs.JobState) -> None:
        """Stop the remaining runs of a final job."""
        LOGGER.info(
            'Job reached its final phase.',
            job=state.job.identifier,
            phase=state.progress.phase.value,
        )
        self.durations.forget_job(state.job.identifier)
        self.idle_tasks.forget_job(state.job.identifier)
        for name, task in state.list_assigned():
            self.stop_run(task.worker, name.format(), 'the job is final')

    def stop_run(self, worker_key: str, task_id: str, cause: str) -> None:
        """Mark the runs of a task on a worker for stopping."""
        worker = self.workers.get(worker_key)
        runs = list(worker.runs.values()) if worker else []
        if worker_key in self.unreported:
            runs += self.unreported[worker_key].runs
        for run in runs:
            if (
                run.task_id == task_id
                and run.state is not _fleet.RunState.STOPPING
            ):
                LOGGER.info(
                    'A run is to be stopped.',
                    task=task_id,
                    run=run.number,
                    worker=worker_key,
                    state=run.state.value,
                    cause=cause,
                )
                run.state = _fleet.RunState.STOPPING
                run.sent_at = None

    def add_worker(
        self,
        worker: _fleet.Worker,
        running: dict[str, int],
        clock_ms: int = 0,
        lease_end_ms: int = 0,
    ) -> None:
        """Add a new worker with the runs recorded for it.

        A machine has one worker at a time, so the tasks of earlier
        incarnations are requeued. running holds the run number of each task
        that the worker lists.
        """
        for other in tuple(self.workers.values()):
            if other.sidecar == worker.sidecar:
                self._inherit_runs(worker, other.runs, running)
                self.remove_worker(other, 'replaced by another incarnation')
        self.workers[worker.incarnation.key] = worker
        recorded = self.unreported.pop(worker.incarnation.key, None)
        for run in recorded.runs if recorded else ():
            worker.add(run)
        for key in tuple(self.unreported):
            if _messages.is_worker_of(key, worker.sidecar):
                runs = {run.task_id: run for run in self.unreported[key].runs}
                self._inherit_runs(worker, runs, running)
                self.unreported[key].runs = list(runs.values())
                self._release_unreported(
                    key, 'replaced by another incarnation'
                )
        LOGGER.info(
            'Worker added.',
            worker=worker.incarnation.key,
            sidecar=worker.sidecar,
            service=worker.incarnation.service,
            data_centre=worker.incarnation.data_centre,
            runs=len(worker.runs),
            clock_ms=clock_ms,
            lease_end_ms=lease_end_ms,
        )

    def _inherit_runs(
        self,
        worker: _fleet.Worker,
        runs: dict[str, _fleet.Run],
        running: dict[str, int],
    ) -> None:
        """Move the runs that a worker lists over from an earlier incarnation.

        An order for the earlier incarnation may be carried out by a later one
        under the same identifier. Such a run is stopped before its task starts
        again.
        """
        for task_id, run in tuple(runs.items()):
            if running.get(task_id) != run.number:
                continue
            LOGGER.warning(
                'An order was carried out by a later incarnation.',
                task=task_id,
                run=run.number,
                worker=worker.incarnation.key,
            )
            del runs[task_id]
            run.state = _fleet.RunState.STOPPING
            run.sent_at = None
            run.ordered_in = 0
            run.last_listing = None
            worker.add(run)

    def find_step(self, task_id: str) -> workloads.Step | None:
        """Return the step of a task; None if it is not known."""
        name = workloads.parse_task_name(task_id)
        state = self.jobs.get(name.job) if name else None
        if name is None or state is None:
            return None
        steps = state.job.steps
        return steps[name.step] if name.step < len(steps) else None

    def find_quarantine(
        self, worker: _fleet.Worker
    ) -> decisions.WorkerQuarantine:
        """Return the quarantine state of a worker."""
        return self.quarantines.setdefault(
            worker.incarnation.key, decisions.WorkerQuarantine()
        )

    def release_run(
        self, worker: _fleet.Worker, run: _fleet.Run, cause: str
    ) -> None:
        """Remove a run that has certainly ended and requeue its task."""
        worker.remove(run.task_id)
        self._requeue_task(run, cause)

    def release_runs(
        self,
        worker: _fleet.Worker,
        cause: str,
        covered: int | None = None,
        late: frozenset[str] = frozenset(),
    ) -> None:
        """Remove the runs of a worker and requeue their tasks.

        If the number of a directive is given, the evidence for the release
        does not cover the runs ordered later, which are kept. So are the runs
        of the tasks that may start late.
        """
        released = [
            run
            for run in worker.runs.values()
            if (covered is None or run.ordered_in <= covered)
            and run.task_id not in late
        ]
        if released:
            LOGGER.warning(
                'All runs of a worker ended; their tasks are requeued.',
                worker=worker.incarnation.key,
                cause=cause,
                runs=len(released),
                kept=len(worker.runs) - len(released),
                clock_ms=worker.worker_clock_ms,
                granted_until_ms=worker.granted_until_ms,
                answering=worker.answering,
            )
        for run in released:
            self.release_run(worker, run, cause)

    def release_lapsed_runs(
        self,
        worker: _fleet.Worker,
        covered: int | None,
        now: float,
        refuses_connections: bool,
    ) -> None:
        """Requeue the tasks of a worker whose sidecar says leases expired.

        A call may start a run late on a worker that is silent, or has started
        again unnoticed, but not where no process listens. The first poll that
        a later incarnation answers bars the call.
        """
        if refuses_connections:
            self.release_runs(
                worker, 'leases expired, and nothing listens there', covered
            )
            return
        late = self._stop_late_runs(
            worker.incarnation.key,
            [
                run
                for run in worker.runs.values()
                if covered is None or run.ordered_in <= covered
            ],
            now,
        )
        self.release_runs(worker, 'leases expired', covered, late)

    def _stop_late_runs(
        self, key: str, runs: list[_fleet.Run], now: float
    ) -> frozenset[str]:
        """Stop those of the runs that may start late; return their tasks.

        The worker that answers the stop executes no call for the run any more.
        """
        late = [run for run in runs if self.late_starts.may_begin(run, now)]
        for run in late:
            if run.state is not _fleet.RunState.STOPPING:
                LOGGER.warning(
                    'A run may start late; its task waits.',
                    task=run.task_id,
                    run=run.number,
                    worker=key,
                )
                run.state = _fleet.RunState.STOPPING
                run.sent_at = None
        return frozenset(run.task_id for run in late)

    def remove_worker(self, worker: _fleet.Worker, cause: str) -> None:
        """Remove a worker incarnation that has ended and requeue its tasks."""
        self.release_runs(worker, cause)
        self.workers.pop(worker.incarnation.key, None)
        self.quarantines.pop(worker.incarnation.key, None)

    def find_worker_of(self, sidecar: str) -> _fleet.Worker | None:
        """Return the worker beside a sidecar, None if none is known."""
        for worker in self.workers.values():
            if worker.sidecar == sidecar:
                return worker
        return None

    def list_former_identifiers(
        self, incarnation: _messages.WorkerIncarnation
    ) -> frozenset[str]:
        """Return the identifiers of the known lives before an incarnation."""
        keys = {
            worker.incarnation.key
            for worker in self.workers.values()
            if worker.sidecar == incarnation.sidecar
        } | {
            key
            for key in self.unreported
            if _messages.is_worker_of(key, incarnation.sidecar)
        }
        return frozenset(
            _messages.find_identifier(key) for key in keys - {incarnation.key}
        )

    def record_crash(
        self, is_outage: bool, suspect_count: int, is_conclusive: bool
    ) -> None:
        """Record the crash of a worker for the metrics."""
        if is_outage:
            blame = CrashBlame.OUTAGE
        elif is_conclusive:
            blame = CrashBlame.ONE_JOB
        elif suspect_count:
            blame = CrashBlame.INCONCLUSIVE
        else:
            blame = CrashBlame.NONE
        self._crash_blames.append(blame)

    def take_crash_blames(self) -> tuple[CrashBlame, ...]:
        """Return and forget what the latest crashes were put down to."""
        blames = tuple(self._crash_blames)
        self._crash_blames.clear()
        return blames

    def find_standing(self, job: str) -> decisions.Standing:
        """Return the standing of a job; TIMELY unless it has another."""
        rank = self.ranks.get(job)
        return rank.standing if rank else decisions.Standing.TIMELY

    def take_standing_changes(self) -> tuple[decisions.Standing, ...]:
        """Return and forget the new standings of jobs."""
        changes = tuple(self._standing_changes)
        self._standing_changes.clear()
        return changes

    def record_standing_change(self, standing: decisions.Standing) -> None:
        """Record the new standing of a job for the metrics."""
        self._standing_changes.append(standing)

    def release_ended_worker(self, key: str) -> None:
        """Requeue the tasks of a worker that has ended and was not reported.

        Of one that was reported, the reports tell the same.
        """
        if key in self.unreported:
            self._release_unreported(key, 'its sidecar has recorded its end')

    def limit_unreported_leases(self, sidecar: str, now: float) -> None:
        """Bound the wait for a worker whose sidecar reports without it.

        The sidecar obeys this leader, so that no earlier one can have a lease
        renewed any more. It renews none itself before it describes the worker.
        """
        self.bound_unreported_leases(
            sidecar, now + self.timeouts.max_lease_seconds
        )

    def bound_unreported_leases(self, sidecar: str, expires_at: float) -> None:
        """Bound the wait for the workers of a sidecar by their leases."""
        for key, unreported in self.unreported.items():
            if _messages.is_worker_of(key, sidecar):
                unreported.expires_at = min(unreported.expires_at, expires_at)

    def observe_idle_tasks(self, now: float) -> None:
        """Record the runs of lasting tasks whose workers are silent."""
        for worker in self.workers.values():
            if not worker.is_heard(now):
                self.idle_tasks.record_silence(worker)
        for key, unreported in self.unreported.items():
            for run in unreported.runs:
                self.idle_tasks.record_unreported(
                    run,
                    key,
                    unreported.expires_at - now,
                    self.timeouts.max_lease_seconds,
                )

    def expire_leases(self, now: float) -> None:
        """Requeue the tasks of workers whose leases have certainly expired."""
        for worker in tuple(self.workers.values()):
            if now >= worker.leases_expire_at:
                late = self._stop_late_runs(
                    worker.incarnation.key, list(worker.runs.values()), now
                )
                self.release_runs(
                    worker, 'its leases expired without a report', late=late
                )
                worker.answering = False
        for key, unreported in tuple(self.unreported.items()):
            if now >= unreported.expires_at:
                late = self._stop_late_runs(key, unreported.runs, now)
                self._release_unreported(
                    key, 'its leases expired without a first report', late
                )
        self.late_starts.forget_past(now)

    def _release_unreported(
        self, key: str, cause: str, late: frozenset[str] = frozenset()
    ) -> None:
        unreported = self.unreported[key]
        released = [run for run in unreported.runs if run.task_id not in late]
        unreported.runs = [
            run for run in unreported.runs if run.task_id in late
        ]
        if not unreported.runs:
            del self.unreported[key]
        if released:
            LOGGER.warning(
                'All runs of a worker ended; their tasks are requeued.',
                worker=key,
                cause=cause,
                runs=len(released),
                kept=len(unreported.runs),
            )
        for run in released:
            self._requeue_task(run, cause)

    def _requeue_task(self, run: _fleet.Run, cause: str) -> None:
        state = self.jobs.get(run.name.job)
        if state is None or state.final:
            return
        task = state.find_task(run.name)
        if task is None or task.run != run.number:
            return
        if task.status is workloads.TaskStatus.ASSIGNED:
            state.requeue(run.name, '')
            self.idle_tasks.record_release(run, cause)
