"""Observation of the lasting tasks that have nothing running; no I/O."""

import enum

import msgspec

from chivespoke.coordination import _fleet
from chivespoke import logs

LOGGER = logs.make_logger('idle')

# Time for which a task is idle before a line says why, and between two lines
# on one task.
LOG_DELAY_SECONDS = 1.0


class IdleCause(enum.Enum):
    """Name why a task has nothing running."""

    LEASES = 'leases on its worker have not expired'
    EARLIER_LEADER = 'an earlier leader may renew leases on its worker'
    NO_VIEW = 'no current configuration'
    NO_WORKER = 'no worker accepts tasks'
    NOT_ALLOWED = 'no worker is allowed'
    NO_ROOM = 'no room'
    SPREAD = 'too many tasks of its step on each worker'
    SUSPICION = 'suspected of crashes'
    RECORD = 'decision not stored'
    ORDER = 'not listed by its worker'


class Restart(msgspec.Struct, frozen=True):
    """Hold the parts of the time for which a task had nothing running.

    In seconds, each from the end of the part before; None if this leader has
    not seen it.
    """

    total: float
    # From the last sign of the earlier run until its worker was known to be
    # silent, until no earlier leader could renew its leases, and until no call
    # could revive the run.
    noticed: float | None
    succeeded: float | None
    released: float | None
    decided: float | None
    stored: float | None
    ordered: float | None
    listed: float | None


class _IdleTask:
    """Hold since when a task is idle, and why."""

    __slots__ = (
        'since',
        'noticed_at',
        'succeeded_at',
        'released_at',
        'release',
        'decided_at',
        'stored_at',
        'ordered_at',
        'worker',
        'cause',
        'details',
        'logged_cause',
        'logged_at',
        'is_restart',
    )

    def __init__(self, since: float) -> None:
        # Time of the last sign of the earlier run.
        self.since = since
        self.noticed_at: float | None = None
        # Last time at which an earlier leader could renew the leases.
        self.succeeded_at: float | None = None
        self.released_at: float | None = None
        # Evidence that released the earlier run.
        self.release = ''
        self.decided_at: float | None = None
        self.stored_at: float | None = None
        self.ordered_at: float | None = None
        self.worker = ''
        self.cause: IdleCause | None = None
        self.details: dict[str, object] = {}
        self.logged_cause: IdleCause | None = None
        self.logged_at = float('-inf')
        # Its earlier run was released.
        self.is_restart = False

    def forget_next_run(self) -> None:
        """Forget the decision for a run that came to nothing."""
        self.decided_at = self.stored_at = self.ordered_at = None


class IdleTasks:
    """Track each lasting task from the last sign of a run to the next run."""

    __slots__ = ('_now', '_idle', '_restarts')

    def __init__(self) -> None:
        self._now = 0.0
        # By task id.
        self._idle: dict[str, _IdleTask] = {}
        # Since the last look.
        self._restarts: list[Restart] = []

    def advance(self, now: float) -> None:
        """Set the time of what is recorded next."""
        self._now = now

    def measure_oldest(self, now: float) -> float:
        """Return for how long the task is idle that is so the longest."""
        return max(
            (now - idle.since for idle in self._idle.values()), default=0
        )

    def take_restarts(self) -> tuple[Restart, ...]:
        """Return and forget the restarts since the last look."""
        restarts = tuple(self._restarts)
        self._restarts.clear()
        return restarts

    def forget_job(self, job: str) -> None:
        """Forget the tasks of a job that is over."""
        for task_id in tuple(self._idle):
            if task_id.partition('.')[0] == job:
                del self._idle[task_id]

    def record_silence(self, worker: _fleet.Worker) -> None:
        """Record that the runs of a worker have given no sign for a while."""
        for run in worker.runs.values():
            if run.step.long_running and run.started_at is not None:
                idle = self._find_or_add(run.task_id, worker.answered_at)
                if idle.noticed_at is None:
                    idle.noticed_at = self._now
                self._set_cause(
                    idle,
                    IdleCause.LEASES,
                    {
                        'seconds_left': round(
                            worker.leases_expire_at - self._now, 1
                        ),
                        'heard': worker.has_recent_report(self._now),
                        'worker': worker.incarnation.key,
                    },
                )

    def record_unreported(
        self,
        run: _fleet.Run,
        worker: str,
        seconds_left: float,
        max_lease_seconds: float,
    ) -> None:
        """Record a run on a worker that this leader has not heard."""
        if not run.step.long_running:
            return
        idle = self._find_or_add(run.task_id, self._now)
        is_renewable = seconds_left > max_lease_seconds
        if is_renewable:
            idle.succeeded_at = self._now
        self._set_cause(
            idle,
            IdleCause.EARLIER_LEADER if is_renewable else IdleCause.LEASES,
            {
                'seconds_left': round(seconds_left, 1),
                'heard': False,
                'worker': worker,
            },
        )

    def record_release(self, run: _fleet.Run, evidence: str) -> None:
        """Record that a run has certainly ended."""
        if not run.step.long_running:
            return
        idle = self._find_or_add(run.task_id, self._now)
        idle.forget_next_run()
        if idle.released_at is None:
            idle.released_at = self._now
            idle.release = evidence
        # A run that was refused has never begun.
        idle.is_restart |= run.started_at is not None or run.inherited

    def record_wait(
        self, task_id: str, cause: IdleCause, **details: object
    ) -> None:
        """Record why a task is not assigned to a worker."""
        idle = self._find_or_add(task_id, self._now)
        idle.forget_next_run()
        self._set_cause(idle, cause, details)

    def record_decision(self, run: _fleet.Run, worker: str) -> None:
        """Record that a task is assigned to a worker."""
        if not run.step.long_running:
            return
        idle = self._find_or_add(run.task_id, self._now)
        idle.decided_at = self._now
        idle.worker = worker
        self._set_cause(idle, IdleCause.RECORD, {'worker': worker})

    def record_stored(self, run: _fleet.Run) -> None:
        """Record that the decision for a run is stored."""
        idle = self._idle.get(run.task_id)
        if idle is not None:
            idle.stored_at = self._now
            self._set_cause(idle, IdleCause.ORDER, {'worker': idle.worker})

    def record_order(self, run: _fleet.Run) -> None:
        """Record that the order to start a run is sent."""
        idle = self._idle.get(run.task_id)
        if idle is not None and idle.ordered_at is None:
            idle.ordered_at = self._now

    def record_listing(self, run: _fleet.Run, worker: str) -> None:
        """Record that an answering worker lists a run."""
        idle = self._idle.pop(run.task_id, None)
        if idle is None:
            return
        restart = self._measure(idle)
        if idle.is_restart:
            self._restarts.append(restart)
        if idle.is_restart or restart.total >= LOG_DELAY_SECONDS:
            LOGGER.info(
                'A lasting task runs.',
                task=run.task_id,
                run=run.number,
                worker=worker,
                is_restart=idle.is_restart,
                release=idle.release,
                **{
                    name: None if seconds is None else round(seconds, 3)
                    for name, seconds in msgspec.structs.asdict(
                        restart
                    ).items()
                },
            )

    def report_waits(self) -> None:
        """Log why tasks are idle that are so for a while, once for a cause."""
        for task_id, idle in self._idle.items():
            if (
                idle.cause is not None
                and idle.cause is not idle.logged_cause
                and self._now >= idle.since + LOG_DELAY_SECONDS
                and self._now >= idle.logged_at + LOG_DELAY_SECONDS
            ):
                idle.logged_cause = idle.cause
                idle.logged_at = self._now
                LOGGER.warning(
                    'A lasting task is idle.',
                    task=task_id,
                    seconds=round(self._now - idle.since, 1),
                    cause=idle.cause.value,
                    details=idle.details,
                )

    def _measure(self, idle: _IdleTask) -> Restart:
        parts: list[float | None] = []
        reached = idle.since
        for at in (
            idle.noticed_at,
            idle.succeeded_at,
            idle.released_at,
            idle.decided_at,
            idle.stored_at,
            idle.ordered_at,
            self._now,
        ):
            parts.append(None if at is None else max(0.0, at - reached))
            reached = reached if at is None else at
        return Restart(self._now - idle.since, *parts)

    def _find_or_add(self, task_id: str, since: float) -> _IdleTask:
        return self._idle.setdefault(task_id, _IdleTask(since))

    def _set_cause(
        self, idle: _IdleTask, cause: IdleCause, details: dict[str, object]
    ) -> None:
        idle.cause = cause
        idle.details = details
