"""A simulated worker agent; it starts no processes."""

import msgspec

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import workers

# Seconds that a final status is kept after its acknowledgement, which means
# that the log holds it; far longer than a start command may be in transit.
TOMBSTONE_SECONDS = 60.0
# Speed of a throttled task, as a share of the full speed.
THROTTLED_SPEED = 0.5
TERMINAL_PHASES = frozenset(
    (
        workers.TaskPhase.STOPPED,
        workers.TaskPhase.COMPLETED,
        workers.TaskPhase.FAILED,
        workers.TaskPhase.NOT_STARTED,
    )
)


class TaskPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe how a task is simulated; sent as the payload of a job."""

    # Seconds of work at full speed; 0 runs until stopped.
    seconds: float = 0.0
    # Whether the task fails after that work instead of completing.
    fails: bool = False
    # Whether the worker crashes as soon as it has started the task.
    crashes: bool = False


class Run(msgspec.Struct, kw_only=True):
    """Hold a running or ended attempt on the worker."""

    command: workers.StartCommand
    plan: TaskPlan
    # Readings of the worker's clock; ``settled_at`` is the time up to which
    # the progress is computed.
    started_at: float
    settled_at: float
    ended_at: float | None = None
    # Seconds of work, those of earlier attempts included, and the part of
    # them that the last checkpoint holds.
    progress: float = 0.0
    saved: float = 0.0
    resumed_from: float = 0.0
    throttled: bool = False
    status: workers.TaskStatus | None = None


class WorkerAgent:
    """Simulate tasks under a lease, on the worker's own clock."""

    __slots__ = (
        'registration',
        'clock',
        'epoch',
        'lease_until',
        'runs',
        'history',
        'fails_everything',
        'crashed',
        'late_starts_refused',
        '_tombstones',
    )

    def __init__(
        self, registration: workers.Registration, clock: clocks.Clock
    ) -> None:
        self.registration = registration
        self.clock = clock
        self.epoch = 0
        self.lease_until = float('-inf')
        self.runs: dict[identifiers.TaskId, Run] = {}
        # All runs, running or ended, for checks across workers.
        self.history: list[Run] = []
        self.fails_everything = False
        # Whether a task has crashed the worker; nobody reaches it any more.
        self.crashed = False
        self.late_starts_refused = 0
        # Final statuses of attempts, and the clock's reading from which they
        # may be dropped; None until they are acknowledged.
        self._tombstones: dict[
            tuple[identifiers.TaskId, identifiers.Attempt],
            tuple[workers.TaskStatus, float | None],
        ] = {}

    def renew(self, renewal: workers.LeaseRenewal) -> workers.Heartbeat:
        """Extend the lease; refuse a stale owner.

        The owner of another worker's shard, or of that of an earlier
        incarnation, only learns who answers here.
        """
        self.advance_runs()
        if renewal.worker_id != self.registration.worker_id:
            return self.make_heartbeat()
        if renewal.incarnation != self.registration.incarnation:
            return msgspec.structs.replace(
                self.make_heartbeat(), registration=self.registration
            )
        self._check_epoch(renewal.epoch)
        self.lease_until = max(self.lease_until, renewal.lease_until)
        now = self.clock.read_monotonic()
        for key in renewal.acknowledged:
            if key in self._tombstones:
                status, _ = self._tombstones[key]
                self._tombstones[key] = (status, now + TOMBSTONE_SECONDS)
        self._drop_expired_tombstones(now)
        return self.make_heartbeat()

    def make_heartbeat(self) -> workers.Heartbeat:
        """Report the clock, running attempts and unacknowledged ends."""
        running = [self._make_status(run) for run in self.runs.values()]
        ended = [
            status
            for status, drop_at in self._tombstones.values()
            if drop_at is None
        ]
        return workers.Heartbeat(
            worker_id=self.registration.worker_id,
            incarnation=self.registration.incarnation,
            clock=self.clock.read_monotonic(),
            statuses=(*running, *ended),
            lease_until=self.lease_until,
        )

    def start(self, command: workers.StartCommand) -> workers.TaskStatus:
        """Start an attempt, or record that it will never start."""
        self.advance_runs()
        self._check_sender(command.incarnation, command.epoch)
        key = (command.task_id, command.attempt)
        if key in self._tombstones:
            return self._tombstones[key][0]
        run = self.runs.get(command.task_id)
        if run is not None and run.command.attempt == command.attempt:
            return self._make_status(run)
        reason = self._find_refusal_reason(command)
        if reason:
            return self._record_final_status(
                workers.TaskStatus(
                    task_id=command.task_id,
                    attempt=command.attempt,
                    phase=workers.TaskPhase.NOT_STARTED,
                    checkpoint=command.checkpoint,
                    detail=reason,
                )
            )
        return self._make_status(self._start_run(command))

    def stop(self, command: workers.StopCommand) -> workers.TaskStatus:
        """Stop an attempt; an unknown attempt is barred from starting."""
        self.advance_runs()
        self._check_sender(command.incarnation, command.epoch)
        key = (command.task_id, command.attempt)
        if key in self._tombstones:
            return self._tombstones[key][0]
        run = self.runs.get(command.task_id)
        if run is None or run.command.attempt != command.attempt:
            return self._record_final_status(
                workers.TaskStatus(
                    task_id=command.task_id,
                    attempt=command.attempt,
                    phase=workers.TaskPhase.NOT_STARTED,
                    detail='never started here',
                )
            )
        if command.checkpoint:
            run.saved = run.progress
        now = self.clock.read_monotonic()
        return self._end_run(run, now, workers.TaskPhase.STOPPED)

    def checkpoint(
        self, command: workers.CheckpointCommand
    ) -> workers.TaskStatus:
        """Save the progress of an attempt, which keeps running."""
        run = self._get_run(command)
        run.saved = run.progress
        return self._make_status(run)

    def throttle(self, command: workers.ThrottleCommand) -> workers.TaskStatus:
        """Throttle an attempt, or restore its full speed."""
        run = self._get_run(command)
        run.throttled = command.throttled
        return self._make_status(run)

    def advance_runs(self) -> None:
        """Advance all runs to the current time; stop them on lease expiry."""
        now = self.clock.read_monotonic()
        for run in tuple(self.runs.values()):
            self._advance_run(run, min(now, self.lease_until))
        if now > self.lease_until:
            for run in tuple(self.runs.values()):
                self._end_run(
                    run,
                    max(self.lease_until, run.started_at),
                    workers.TaskPhase.STOPPED,
                    'the lease lapsed',
                )

    def holds_lease(self) -> bool:
        """Return whether a scheduler has renewed the lease lately."""
        return self.clock.read_monotonic() <= self.lease_until

    def compute_committed_resources(self) -> resources.Resources:
        """Return the sum of the sizes of the running attempts."""
        return sum(
            (run.command.size for run in self.runs.values()),
            resources.NOTHING,
        )

    def _find_refusal_reason(self, command: workers.StartCommand) -> str:
        now = self.clock.read_monotonic()
        if now > command.permit_until:
            self.late_starts_refused += 1
            return 'the permit has lapsed'
        if now > self.lease_until:
            return 'no lease is held'
        current = self.runs.get(command.task_id)
        if current is not None:
            return f'attempt {current.command.attempt} runs here'
        return ''

    def _start_run(self, command: workers.StartCommand) -> Run:
        total = self.compute_committed_resources() + command.size
        errors.check_invariant(
            total.fits_within(self.registration.capacity),
            'never over-committed',
            self.registration.worker_id,
            f'{total} of {self.registration.capacity}',
        )
        now = self.clock.read_monotonic()
        saved = float(command.checkpoint) if command.checkpoint else 0.0
        run = Run(
            command=command,
            plan=decode_plan(command.payload),
            started_at=now,
            settled_at=now,
            progress=saved,
            saved=saved,
            resumed_from=saved,
        )
        self.runs[command.task_id] = run
        self.history.append(run)
        self.crashed = self.crashed or run.plan.crashes
        return run

    def _advance_run(self, run: Run, now: float) -> None:
        if now <= run.settled_at:
            return
        speed = THROTTLED_SPEED if run.throttled else 1.0
        work = (now - run.settled_at) * speed
        total = run.plan.seconds
        if total and run.progress + work >= total:
            ended_at = run.settled_at + (total - run.progress) / speed
            run.progress = total
            failed = run.plan.fails or self.fails_everything
            self._end_run(
                run,
                ended_at,
                workers.TaskPhase.FAILED
                if failed
                else workers.TaskPhase.COMPLETED,
                'exit status 1' if failed else '',
            )
            return
        run.progress += work
        run.settled_at = now

    def _end_run(
        self,
        run: Run,
        ended_at: float,
        phase: workers.TaskPhase,
        detail: str = '',
    ) -> workers.TaskStatus:
        run.ended_at = ended_at
        del self.runs[run.command.task_id]
        completed = phase is workers.TaskPhase.COMPLETED
        status = workers.TaskStatus(
            task_id=run.command.task_id,
            attempt=run.command.attempt,
            phase=phase,
            checkpoint=str(run.saved) if run.saved else '',
            ran_seconds=run.progress - run.resumed_from,
            lost_seconds=0.0 if completed else run.progress - run.saved,
            detail=detail,
        )
        return self._record_final_status(status)

    def _record_final_status(
        self, status: workers.TaskStatus
    ) -> workers.TaskStatus:
        self._tombstones[(status.task_id, status.attempt)] = (status, None)
        return status

    def _drop_expired_tombstones(self, now: float) -> None:
        self._tombstones = {
            key: (status, drop_at)
            for key, (status, drop_at) in self._tombstones.items()
            if drop_at is None or now < drop_at
        }

    def _make_status(self, run: Run) -> workers.TaskStatus:
        return workers.TaskStatus(
            task_id=run.command.task_id,
            attempt=run.command.attempt,
            phase=workers.TaskPhase.THROTTLED
            if run.throttled
            else workers.TaskPhase.RUNNING,
            checkpoint=str(run.saved) if run.saved else '',
            ran_seconds=run.progress - run.resumed_from,
            lost_seconds=run.progress - run.saved,
        )

    def _get_run(
        self, command: workers.CheckpointCommand | workers.ThrottleCommand
    ) -> Run:
        self.advance_runs()
        self._check_sender(command.incarnation, command.epoch)
        run = self.runs.get(command.task_id)
        if run is None or run.command.attempt != command.attempt:
            raise errors.RefusedError(
                'find attempt',
                self.registration.worker_id,
                'the attempt is not running',
            )
        return run

    def _check_sender(
        self, incarnation: identifiers.Incarnation, epoch: int
    ) -> None:
        """Refuse what is meant for another worker, or a stale owner.

        Epochs of another worker's shard say nothing about the own owner.
        """
        if incarnation != self.registration.incarnation:
            raise errors.RefusedError(
                'check incarnation',
                self.registration.worker_id,
                'the command is for another incarnation',
            )
        self._check_epoch(epoch)

    def _check_epoch(self, epoch: int) -> None:
        if epoch < self.epoch:
            raise errors.RefusedError(
                'check epoch',
                self.registration.worker_id,
                f'epoch {epoch} is older than {self.epoch}',
            )
        self.epoch = epoch


def decode_plan(payload: str) -> TaskPlan:
    """Decode a payload; one without a valid plan runs until stopped."""
    try:
        return msgspec.json.decode(payload, type=TaskPlan)
    except msgspec.MsgspecError:
        return TaskPlan()
