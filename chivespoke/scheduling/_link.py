"""The exchange between the owner of a shard and one of its workers."""

import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.scheduling import _context
from chivespoke.scheduling import _index
from chivespoke.scheduling import _permits
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

LOGGER = logs.make_logger('scheduling')
# Seconds between tries to reach a worker that does not answer.
PROBE_INTERVAL = 2.0
# Failed exchanges after which the lease is not extended any more.
FAILURES_BEFORE_PROBE = 2
# Start commands in one exchange, so that renewals stay in time.
STARTS_AT_ONCE = 64
MILLISECONDS = 1000

# Job, index and attempt.
AttemptKey = tuple[int, int, int]
OUTCOMES = {
    workers.TaskPhase.COMPLETED: _records.Outcome.COMPLETED,
    workers.TaskPhase.FAILED: _records.Outcome.FAILED,
    workers.TaskPhase.STOPPED: _records.Outcome.EVICTED,
    workers.TaskPhase.NOT_STARTED: _records.Outcome.NOT_STARTED,
}


class Progress(msgspec.Struct):
    """Hold what a worker last said of a running attempt."""

    status: workers.TaskStatus
    heard_at: float


class WorkerLink:
    """Talk to one worker, one exchange at a time."""

    __slots__ = (
        'number',
        'client',
        'incarnation',
        'reading',
        'lease_sent',
        'renewed_at',
        'tried_at',
        'failures',
        'contacted',
        'busy',
        'running',
        'evicting',
        'throttling',
        'saving',
        '_ended',
        '_unmatched',
        '_owner',
    )

    def __init__(
        self,
        owner: _context.Owner,
        number: int,
        incarnation: identifiers.Incarnation,
        client: workers.WorkerClient,
    ) -> None:
        self.number = number
        self.client = client
        self.incarnation = incarnation
        self.reading: _permits.ClockReading | None = None
        # The worker's clock until which own renewals may have extended.
        self.lease_sent = float('-inf')
        self.renewed_at = float('-inf')
        self.tried_at = float('-inf')
        self.failures = 0
        # Whether the worker has seen this owner's epoch.
        self.contacted = False
        self.busy = False
        self.running: dict[AttemptKey, Progress] = {}
        # Attempts to stop, and whether to save them before.
        self.evicting: dict[AttemptKey, bool] = {}
        self.throttling: dict[AttemptKey, bool] = {}
        self.saving: set[AttemptKey] = set()
        # Final statuses that the log may not hold yet, and when heard.
        self._ended: dict[
            tuple[identifiers.TaskId, identifiers.Attempt], float
        ] = {}
        # Attempts that the shard does not know, and since when.
        self._unmatched: dict[
            tuple[identifiers.TaskId, identifiers.Attempt], float
        ] = {}
        self._owner = owner

    def is_lapsed(self, now: float) -> bool:
        """Tell whether every lease that this owner gave has lapsed."""
        if self.reading is None:
            return False
        return self.reading.bound_at(now) > self.lease_sent

    def is_clean(self) -> bool:
        """Tell whether the worker runs nothing that it should not."""
        return not self._unmatched

    def is_due(self, now: float) -> bool:
        """Tell whether an exchange should begin."""
        if self.busy:
            return False
        if self.failures or not self.contacted:
            return now - self.tried_at >= PROBE_INTERVAL
        if now - self.renewed_at >= _permits.RENEW_INTERVAL:
            return True
        return self._has_commands()

    async def exchange(self, renew: bool = False) -> None:
        """Renew the lease if due, then bring the worker up to the log."""
        self.busy = True
        now = self._owner.read_clock()
        self.tried_at = now
        try:
            if (
                renew
                or self.failures
                or not self.contacted
                or now - self.renewed_at >= _permits.RENEW_INTERVAL
            ):
                await self._renew()
            await self._send_commands()
        except errors.RefusedError as error:
            LOGGER.info('A worker refused.', error=error)
        except errors.UnavailableError as error:
            self.failures += 1
            LOGGER.debug('A worker did not answer.', error=error)
        finally:
            self.busy = False

    async def _renew(self) -> None:
        if self.reading is None or not self.contacted:
            # Read the clock, and fence earlier owners, before any lease.
            await self._ask(float('-inf'))
        if self.failures < FAILURES_BEFORE_PROBE:
            await self._ask(self._compute_lease())
        else:
            await self._ask(self.lease_sent)
            await self._ask(self._compute_lease())
        self.failures = 0

    async def _ask(self, lease_until: float) -> None:
        owner = self._owner
        epoch = owner.epoch
        if not epoch:
            # Lost while an answer was under way.
            raise errors.RefusedError(
                'renew a lease', owner.shard.name, 'the shard is not owned'
            )
        self.lease_sent = max(self.lease_sent, lease_until)
        heartbeat = await self.client.renew(
            workers.LeaseRenewal(
                worker_id=self._get_worker().worker_id,
                epoch=epoch,
                lease_until=lease_until,
                acknowledged=self._list_acknowledged(),
            )
        )
        now = owner.read_clock()
        if heartbeat.worker_id != self._get_worker().worker_id:
            raise errors.UnavailableError(
                'renew a lease', heartbeat.worker_id, 'another worker answers'
            )
        if heartbeat.incarnation != self.incarnation:
            self._replace_incarnation(heartbeat, epoch)
            return
        self.reading = _permits.ClockReading(heartbeat.clock, now)
        self.contacted = True
        self.renewed_at = now
        self._take_statuses(heartbeat, now)
        if heartbeat.report is not None:
            owner.take_report(self.number, heartbeat.report)

    def _compute_lease(self) -> float:
        """Return the next lease's end; blind for BLIND_LIMIT at most."""
        owner = self._owner
        now = owner.read_clock()
        proof = owner.get_shard_proof()
        if self.reading is None or proof is None:
            return self.lease_sent
        if now - proof <= _permits.FRESHNESS_LIMIT:
            lease = _permits.compute_lease(self.reading, proof)
        elif now - proof <= _permits.BLIND_LIMIT:
            lease = _permits.compute_lease(self.reading, now)
        else:
            lease = self.lease_sent
        return max(lease, self.lease_sent)

    def _replace_incarnation(
        self, heartbeat: workers.Heartbeat, epoch: int
    ) -> None:
        worker = self._get_worker()
        self._owner.propose(
            _records.WorkerRegistered(
                worker.worker_id,
                heartbeat.incarnation,
                worker.data_centre,
                worker.rack,
                worker.capacity,
                worker.address,
                epoch,
                worker.incarnation,
            )
        )

    def _take_statuses(self, heartbeat: workers.Heartbeat, now: float) -> None:
        self.running = {}
        unmatched = self._unmatched
        self._unmatched = {}
        for status in heartbeat.statuses:
            self._take_status(status, now)
            key = (status.task_id, status.attempt)
            if key in self._unmatched:
                self._unmatched[key] = unmatched.get(key, now)

    def _take_status(self, status: workers.TaskStatus, now: float) -> None:
        key = self._match(status)
        if status.phase in OUTCOMES:
            self._ended[(status.task_id, status.attempt)] = now
            if key is not None:
                self.running.pop(key, None)
                self.evicting.pop(key, None)
                self._owner.propose(make_ended(key, status))
            return
        if key is None:
            self._unmatched[(status.task_id, status.attempt)] = now
            return
        known = self._find_attempt(key)
        self.running[key] = Progress(status, now)
        if known is not None and status.checkpoint != known.checkpoint:
            saved = status.ran_seconds - status.lost_seconds
            if saved > 0 and status.checkpoint:
                self._owner.propose(
                    _records.CheckpointSaved(
                        *key, status.checkpoint, int(saved * MILLISECONDS)
                    )
                )

    def _match(self, status: workers.TaskStatus) -> AttemptKey | None:
        return self._match_attempt(status.task_id, status.attempt)

    def _match_attempt(
        self, task_id: identifiers.TaskId, attempt: identifiers.Attempt
    ) -> AttemptKey | None:
        """Return the attempt that the shard commits to this worker."""
        job_id, _, index = task_id.rpartition('/')
        job = self._owner.shard.job_numbers.get(identifiers.JobId(job_id))
        if job is None or not index.isdigit():
            return None
        key = (job, int(index), int(attempt))
        return key if self._find_attempt(key) is not None else None

    def _find_attempt(self, key: AttemptKey) -> _state.Attempt | None:
        job = self._owner.shard.jobs[key[0]]
        attempt = job.running.get(key[1])
        if attempt is None or attempt.number != key[2]:
            return None
        return attempt if attempt.worker == self.number else None

    def _list_acknowledged(
        self,
    ) -> tuple[tuple[identifiers.TaskId, identifiers.Attempt], ...]:
        """Return final statuses of attempts that the log has ended.

        A state that is older than the status may not know the attempt yet.
        """
        proof = self._owner.get_shard_proof()
        if proof is None:
            return ()
        done = [
            (task_id, attempt)
            for (task_id, attempt), heard_at in self._ended.items()
            if proof > heard_at
            and self._match_attempt(task_id, attempt) is None
        ]
        for key in done:
            del self._ended[key]
        return tuple(done)

    def _has_commands(self) -> bool:
        if self._list_stale() or self.throttling or self.saving:
            return True
        proof = self._owner.get_start_proof()
        for key in self._get_worker().tasks.values():
            attempt = self._find_attempt(key)
            if attempt is None or self._has_ended(key):
                continue
            if attempt.unwanted or key in self.evicting:
                return True
            if proof is not None and key not in self.running:
                return True
        return False

    async def _send_commands(self) -> None:
        for task_id, attempt_number in self._list_stale():
            await self._stop(task_id, attempt_number, False)
            self._unmatched.pop((task_id, attempt_number), None)
        starts = 0
        for key in tuple(self._get_worker().tasks.values()):
            attempt = self._find_attempt(key)
            if attempt is None or self._has_ended(key):
                continue
            if attempt.unwanted or key in self.evicting:
                save = self.evicting.get(key, False)
                await self._stop(*self._name(key), save)
                self.evicting.pop(key, None)
            elif key not in self.running and starts < STARTS_AT_ONCE:
                starts += 1
                await self._start(key, attempt)
        for key, throttled in tuple(self.throttling.items()):
            await self._throttle(key, throttled)
        while self.saving:
            await self._save(self.saving.pop())

    def _has_ended(self, key: AttemptKey) -> bool:
        return self._name(key) in self._ended

    def _list_stale(
        self,
    ) -> list[tuple[identifiers.TaskId, identifiers.Attempt]]:
        """Return attempts that a newer proof does not know either."""
        proof = self._owner.get_shard_proof()
        if proof is None:
            return []
        return [key for key, since in self._unmatched.items() if proof > since]

    def _name(
        self, key: AttemptKey
    ) -> tuple[identifiers.TaskId, identifiers.Attempt]:
        job = self._owner.shard.jobs[key[0]]
        return _index.make_task_id(job, key[1]), identifiers.Attempt(key[2])

    async def _start(self, key: AttemptKey, attempt: _state.Attempt) -> None:
        # Read again just before sending: there may have been a pause.
        owner = self._owner
        proof = owner.get_start_proof()
        worker = self._get_worker()
        if (
            proof is None
            or self.reading is None
            or not owner.epoch
            or not owner.may_start_in(worker.data_centre)
        ):
            return
        job = owner.shard.jobs[key[0]]
        task_id, number = self._name(key)
        status = await self.client.start(
            workers.StartCommand(
                task_id=task_id,
                attempt=number,
                fencing_token=identifiers.Offset(attempt.token),
                kind=job.spec.kind,
                size=attempt.size,
                payload=job.spec.payload,
                permit_until=_permits.compute_permit(self.reading, proof),
                epoch=owner.epoch,
                checkpoint=attempt.checkpoint,
            )
        )
        self._take_status(status, owner.read_clock())

    async def _stop(
        self,
        task_id: identifiers.TaskId,
        attempt: identifiers.Attempt,
        save: bool,
    ) -> None:
        if not self._owner.epoch:
            return
        status = await self.client.stop(
            workers.StopCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self._owner.epoch,
                checkpoint=save,
            )
        )
        self._take_status(status, self._owner.read_clock())

    async def _throttle(self, key: AttemptKey, throttled: bool) -> None:
        del self.throttling[key]
        if key not in self.running or not self._owner.epoch:
            return
        task_id, attempt = self._name(key)
        status = await self.client.throttle(
            workers.ThrottleCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self._owner.epoch,
                throttled=throttled,
            )
        )
        self._take_status(status, self._owner.read_clock())

    async def _save(self, key: AttemptKey) -> None:
        if key not in self.running or not self._owner.epoch:
            return
        task_id, attempt = self._name(key)
        status = await self.client.checkpoint(
            workers.CheckpointCommand(
                task_id=task_id, attempt=attempt, epoch=self._owner.epoch
            )
        )
        self._take_status(status, self._owner.read_clock())

    def _get_worker(self) -> _state.Worker:
        return self._owner.shard.workers[self.number]


def make_ended(key: AttemptKey, status: workers.TaskStatus) -> _records.Ended:
    """Return the record of a final status."""
    return _records.Ended(
        *key,
        OUTCOMES[status.phase],
        int(status.ran_seconds * MILLISECONDS),
        int(status.lost_seconds * MILLISECONDS),
        status.checkpoint,
        status.detail,
    )
