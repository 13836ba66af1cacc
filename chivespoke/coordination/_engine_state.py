"""What the leader holds: jobs, workers, and who has which task."""

import msgspec

from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('leader')


class Limits(msgspec.Struct, frozen=True):
    """Hold the times, in seconds, that the leader goes by."""

    # A worker may renew leases for so long after its sidecar was last heard:
    # rides out a change of leader (about 2.5 s) with time to spare.
    lease: float = 6.0
    # Share by which a worker's clock may be slow.
    clock_drift: float = 0.02
    # How long an earlier leader may have gone on renewing leases.
    predecessor: float = 12.0
    # A final job is kept for so long.
    kept: float = 180.0

    @property
    def lease_bound(self) -> float:
        """Return the time after which leases granted now have run out."""
        return self.lease * (1 + 2 * self.clock_drift)


class Unheard:
    """Hold the runs of a worker that this leader has not heard yet."""

    __slots__ = ('bound', 'runs')

    def __init__(self, bound: float) -> None:
        # By then every lease that an earlier leader granted has run out.
        self.bound = bound
        self.runs: list[_fleet.Run] = []


class State:
    """Hold jobs and workers, and keep their accounts in agreement."""

    __slots__ = (
        'limits',
        'jobs',
        'workers',
        'unheard',
        'conducts',
        'pressures',
        'advice',
    )

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.jobs: dict[str, _jobs.JobState] = {}
        self.workers: dict[str, _fleet.Worker] = {}
        self.unheard: dict[str, Unheard] = {}
        self.conducts: dict[str, decisions.Conduct] = {}
        self.pressures = decisions.PressureModel()
        self.advice = decisions.AdviceBook()

    def load(self, entry: _records.JobEntry, now: float, wall_ms: int) -> None:
        """Take in a job from the ledger, with the runs that it may have."""
        if entry.job is None:
            return
        state = _jobs.JobState(entry.job, entry.copy_progress())
        self.jobs[entry.job.identifier] = state
        bound = now + self.limits.predecessor + self.limits.lease_bound
        for name, task in state.list_assigned():
            run = _fleet.Run(
                name,
                task.run,
                entry.job.steps[name.step],
                _fleet.RunState.ORDERED,
            )
            run.repeated = True
            if state.final:
                run.state = _fleet.RunState.STOPPING
            self.unheard.setdefault(task.worker, Unheard(bound)).runs.append(
                run
            )
        if entry.cancelled:
            self.cancel_job(entry.job.identifier, wall_ms)

    def cancel_job(self, identifier: str, wall_ms: int) -> None:
        """Cancel a job, and stop what runs of it."""
        state = self.jobs[identifier]
        if not state.final:
            state.close(workloads.JobPhase.CANCELLED, wall_ms)
        self.finish_job(state)

    def finish_job(self, state: _jobs.JobState) -> None:
        """Stop what still runs of a final job."""
        LOGGER.info(
            'A job is final.',
            job=state.job.identifier,
            phase=state.progress.phase.value,
        )
        for name, task in state.list_assigned():
            self.stop_run(task.worker, name.format())

    def stop_run(self, worker_key: str, text: str) -> None:
        """Have a run stopped that is, or may be, on a worker."""
        worker = self.workers.get(worker_key)
        runs = list(worker.runs.values()) if worker else []
        if worker_key in self.unheard:
            runs += self.unheard[worker_key].runs
        for run in runs:
            if run.text == text and run.state is not _fleet.RunState.STOPPING:
                run.state = _fleet.RunState.STOPPING
                run.sent_at = None

    def add_worker(self, worker: _fleet.Worker) -> None:
        """Take in a new worker, with the runs recorded for it."""
        self.workers[worker.incarnation.key] = worker
        for key in tuple(self.unheard):
            if _messages.is_earlier_incarnation(key, worker.incarnation):
                self._release_unheard(key, 'a later life began')
        known = self.unheard.pop(worker.incarnation.key, None)
        for run in known.runs if known else ():
            worker.add(run)
        LOGGER.info(
            'A worker is known.',
            worker=worker.incarnation.key,
            sidecar=worker.sidecar,
            service=worker.incarnation.service,
            data_centre=worker.incarnation.data_centre,
            runs=len(worker.runs),
        )

    def find_conduct(self, worker: _fleet.Worker) -> decisions.Conduct:
        """Return what is held against a worker."""
        return self.conducts.setdefault(
            worker.incarnation.key, decisions.Conduct()
        )

    def release_run(self, worker: _fleet.Worker, run: _fleet.Run) -> None:
        """Let the task of a run wait again: the run is surely no more."""
        worker.remove(run.text)
        self._release(run)

    def release_all(self, worker: _fleet.Worker, cause: str) -> None:
        """Let all tasks of a worker wait again."""
        if worker.runs:
            LOGGER.warning(
                'The runs of a worker are over.',
                worker=worker.incarnation.key,
                cause=cause,
                runs=len(worker.runs),
            )
        for run in tuple(worker.runs.values()):
            self.release_run(worker, run)

    def retire_worker(self, worker: _fleet.Worker, cause: str) -> None:
        """Forget a worker whose life is over."""
        self.release_all(worker, cause)
        self.workers.pop(worker.incarnation.key, None)
        self.conducts.pop(worker.incarnation.key, None)

    def expire(self, now: float) -> None:
        """Release the tasks of workers whose leases have surely run out."""
        for worker in tuple(self.workers.values()):
            if now >= worker.lease_bound:
                self.release_all(worker, 'not heard until its leases ran out')
                worker.answering = False
        for key, unheard in tuple(self.unheard.items()):
            if now >= unheard.bound:
                self._release_unheard(key, 'never heard; its leases ran out')

    def _release_unheard(self, key: str, cause: str) -> None:
        unheard = self.unheard.pop(key)
        LOGGER.warning(
            'The runs of a worker are over.',
            worker=key,
            cause=cause,
            runs=len(unheard.runs),
        )
        for run in unheard.runs:
            self._release(run)

    def _release(self, run: _fleet.Run) -> None:
        state = self.jobs.get(run.name.job)
        if state is None or state.final:
            return
        task = state.find(run.name)
        if task is None or task.run != run.number:
            return
        if task.status is workloads.TaskStatus.ASSIGNED:
            state.release(run.name, '')
