"""Exchange leases, commands and statuses with one worker of a shard."""

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.scheduling import _attempts
from chivespoke.scheduling import _context
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _permits
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke.scheduling import _survival
from chivespoke import workers

LOGGER = logs.make_logger('scheduling')
# Interval of exchanges with a worker that has not answered.
PROBE_INTERVAL_SECONDS = 2.0
# After this many failed exchanges, a renewal that does not extend the lease
# must succeed first. Otherwise each failed renewal would postpone the lease
# end, and with it the time at which the tasks can be placed elsewhere.
FAILURES_BEFORE_PROBE = 2
# Limits the length of an exchange, so that the next renewal is on time.
MAX_STARTS_PER_EXCHANGE = 64


class WorkerLink:
    """Renew the lease of one worker and send it commands.

    At most one exchange runs at a time.
    """

    __slots__ = (
        'number',
        'client',
        'incarnation',
        'epoch',
        'address',
        'clock_reading',
        'max_lease_until',
        'renewed_at',
        'survival',
        'tried_at',
        'failures',
        'contacted',
        'busy',
        'tracker',
        'pending_throttles',
        'pending_checkpoints',
        'giving_up',
        'successor',
        '_owner',
    )

    def __init__(
        self,
        owner: _context.LinkContext,
        number: int,
        worker: _state.Worker,
        client: workers.WorkerClient,
    ) -> None:
        self.number = number
        self.client = client
        self.incarnation = worker.incarnation
        self.address = worker.address
        self.epoch = owner.epoch
        self.clock_reading: clocks.ClockReading | None = None
        # Latest lease end that the worker may hold, on the worker's clock.
        self.max_lease_until = float('-inf')
        self.renewed_at = float('-inf')
        self.tried_at = float('-inf')
        self.failures = 0
        # Whether the worker has answered, and so knows this owner's epoch.
        self.contacted = False
        self.busy = False
        self.tracker = _attempts.AttemptTracker(owner, number)
        self.survival = _survival.SurvivalMonitor(owner, self.tracker)
        self.pending_throttles: dict[_attempts.AttemptKey, bool] = {}
        self.pending_checkpoints: set[_attempts.AttemptKey] = set()
        # Whether a WorkerGivenUp record may be in flight. Until its outcome is
        # known, no lease is extended and no task started on the worker.
        self.giving_up = False
        # Registration of the incarnation that answered last, if it was not
        # this one. It answered at the same address, so this one has ended.
        self.successor: workers.Registration | None = None
        self._owner = owner

    def change_address(self, address: str) -> None:
        """Use another address of the same worker; its leases stay valid."""
        self.address = address
        self.client = self._owner.connect(address)

    def is_lease_expired(self, now: float) -> bool:
        """Return whether every lease that the worker may hold has expired."""
        if self.clock_reading is None:
            return False
        return (
            self.clock_reading.compute_lower_bound(now) > self.max_lease_until
        )

    @property
    def running(self) -> dict[_attempts.AttemptKey, _attempts.Progress]:
        """Return the attempts that the worker last reported as running."""
        return self.tracker.running

    @property
    def pending_evictions(self) -> dict[_attempts.AttemptKey, bool]:
        """Return attempts to stop, and whether to checkpoint them first."""
        return self.tracker.pending_evictions

    def is_due(self, now: float) -> bool:
        """Return whether an exchange should start now."""
        if self.busy:
            return False
        if self.failures or not self.contacted:
            return now - self.tried_at >= PROBE_INTERVAL_SECONDS
        return self._is_renewal_due(now) or self._has_commands()

    def _is_renewal_due(self, now: float) -> bool:
        return (
            now - self.renewed_at >= _permits.RENEW_INTERVAL_SECONDS
            or now >= self.survival.confirm_at
            or self._must_answer_first(now)
        )

    def _must_answer_first(self, now: float) -> bool:
        """Return whether a suspect might be blamed for an earlier crash."""
        shard = self._owner.shard
        return (
            bool(shard.suspects)
            and not self.survival.is_recent(now)
            and any(
                key not in self.running
                and _crashes.find_crashes(shard, key[0], key[1])
                for key in self._get_worker().tasks.values()
            )
        )

    async def exchange(self, renew: bool = False) -> None:
        """Renew the lease if due, then send the commands that are due.

        Do nothing during another exchange, which may have begun since this
        one was scheduled.
        """
        if self.busy:
            return
        self.busy = True
        try:
            await self._exchange(renew)
            if self.failures:
                await self._look_elsewhere()
        finally:
            self.busy = False

    async def _exchange(self, renew: bool) -> None:
        now = self._owner.read_clock()
        self.tried_at = now
        try:
            if (
                renew
                or self.failures
                or not self.contacted
                or self._is_renewal_due(now)
            ):
                await self._renew()
            await self._send_commands()
        except errors.RefusedError as error:
            # Its state is not what this process takes it for.
            self.renewed_at = float('-inf')
            LOGGER.info('A worker refused a request.', error=error)
        except errors.UnavailableError as error:
            self.failures += 1
            self.survival.note_loss()
            LOGGER.debug('A worker did not answer.', error=error)

    async def _look_elsewhere(self) -> None:
        """Ask who answers at the address of another incarnation.

        An answer there does not show that the present one has ended. While the
        worker has tasks, they wait for the end of its lease.
        """
        worker = self._get_worker()
        address = worker.other_address
        if not address or worker.tasks:
            return
        try:
            self._check_ownership()
            epoch = self.epoch
            heartbeat = await self._owner.connect(address).renew(
                workers.LeaseRenewal(
                    worker_id=worker.worker_id,
                    epoch=epoch,
                    lease_until=float('-inf'),
                    incarnation=self.incarnation,
                )
            )
        except (errors.RefusedError, errors.UnavailableError) as error:
            LOGGER.debug('No worker answers elsewhere.', error=error)
            return
        if (
            heartbeat.worker_id == worker.worker_id
            and heartbeat.incarnation != self.incarnation
        ):
            self._replace_incarnation(heartbeat, epoch, address)

    async def _renew(self) -> None:
        if self.clock_reading is None or not self.contacted:
            # Read the worker's clock and announce this epoch, so that the
            # worker rejects earlier owners. This extends no lease.
            await self._send_renewal(float('-inf'))
        if self.failures < FAILURES_BEFORE_PROBE:
            await self._send_renewal(self._compute_lease_end())
        else:
            await self._send_renewal(self.max_lease_until)
            await self._send_renewal(self._compute_lease_end())
        self.failures = 0

    async def _send_renewal(self, lease_until: float) -> None:
        owner = self._owner
        self._check_ownership()
        epoch = self.epoch
        address = self.address
        self.max_lease_until = max(self.max_lease_until, lease_until)
        sent_at = owner.read_clock()
        renewal = workers.LeaseRenewal(
            worker_id=self._get_worker().worker_id,
            epoch=epoch,
            lease_until=lease_until,
            incarnation=self.incarnation,
            acknowledged=self.tracker.list_acknowledged(),
        )
        try:
            heartbeat = await self.client.renew(renewal)
        except errors.UnavailableError:
            self.successor = None
            raise
        now = owner.read_clock()
        if heartbeat.worker_id != self._get_worker().worker_id:
            raise errors.UnavailableError(
                'renew a lease',
                heartbeat.worker_id,
                'another worker answered at its address',
            )
        self.successor = heartbeat.registration
        if heartbeat.incarnation != self.incarnation:
            self._replace_incarnation(heartbeat, epoch, address)
            raise errors.UnavailableError(
                'renew a lease',
                heartbeat.worker_id,
                'another incarnation answered',
            )
        # A lease of an earlier owner may end later than those of this owner.
        # It cannot be extended, as the worker now knows this epoch.
        self.max_lease_until = max(self.max_lease_until, heartbeat.lease_until)
        self.clock_reading = clocks.ClockReading(heartbeat.clock, now)
        self.contacted = True
        self.renewed_at = now
        self.survival.note_answer(sent_at)
        self.tracker.record_statuses(heartbeat, now)
        self.survival.check_attempts(now, epoch)
        is_present = self._get_worker().incarnation == self.incarnation
        if heartbeat.report is not None and is_present:
            owner.handle_usage_report(self.number, heartbeat.report)

    def _check_ownership(self) -> None:
        """Raise RefusedError if ownership ended during the exchange."""
        if self._owner.epoch != self.epoch:
            raise errors.RefusedError(
                'command a worker',
                self._owner.shard.name,
                'this process no longer owns the shard',
            )

    def _compute_lease_end(self) -> float:
        """Return the end of the next lease, on the worker's clock.

        The lease starts at the last read of the log, or now if that read is
        older than MAX_READ_AGE_SECONDS. It is not extended if the read is
        older than BLIND_LIMIT seconds.
        """
        owner = self._owner
        now = owner.read_clock()
        read_time = owner.get_shard_read_time()
        if self.clock_reading is None or read_time is None or self.giving_up:
            return self.max_lease_until
        if now - read_time <= _permits.MAX_READ_AGE_SECONDS:
            lease = _permits.compute_lease_end(self.clock_reading, read_time)
        elif now - read_time <= _permits.BLIND_LIMIT:
            lease = _permits.compute_lease_end(self.clock_reading, now)
        else:
            lease = self.max_lease_until
        return max(lease, self.max_lease_until)

    def _replace_incarnation(
        self, heartbeat: workers.Heartbeat, epoch: int, address: str
    ) -> None:
        worker = self._get_worker()
        self.survival.note_loss()
        registration = heartbeat.registration
        if registration is None:
            LOGGER.warning(
                'Another incarnation does not tell its capacity.',
                worker=worker.worker_id,
            )
            return
        if registration.group != self._owner.shard.name:
            return
        lost = self.survival.list_lost(
            list(worker.tasks.values()), self.contacted
        )
        is_crash = self.contacted or bool(lost)
        self._owner.propose(
            _records.WorkerRegistered(
                worker.worker_id,
                heartbeat.incarnation,
                registration.data_centre,
                registration.rack,
                registration.capacity,
                address,
                epoch,
                # The incarnation to which the request was sent. If the shard
                # has a newer one by now, this late answer must not
                # replace it.
                self.incarnation,
                self.survival.lost_at_ms if is_crash else 0,
                lost,
            )
        )

    def has_young_attempts(self, job: int) -> bool:
        """Return whether an attempt of another job is not known to survive."""
        return any(
            key[0] != job and not self.survival.has_survived(key)
            for key in self._get_worker().tasks.values()
        )

    def _has_commands(self) -> bool:
        if (
            self.tracker.list_unknown()
            or self.pending_throttles
            or self.pending_checkpoints
        ):
            return True
        read_time = self._owner.get_start_read_time()
        for key in self._get_worker().tasks.values():
            attempt = self.tracker.find_attempt(key)
            if attempt is None or self.tracker.has_ended(key):
                continue
            if attempt.stop_requested or key in self.pending_evictions:
                return True
            if self.giving_up:
                continue
            if read_time is not None and key not in self.running:
                return True
        return False

    async def _send_commands(self) -> None:
        for task_id, attempt_number in self.tracker.list_unknown():
            await self._stop(task_id, attempt_number, False)
            self.tracker.forget_unknown((task_id, attempt_number))
        starts = 0
        for key in tuple(self._get_worker().tasks.values()):
            attempt = self.tracker.find_attempt(key)
            if attempt is None or self.tracker.has_ended(key):
                continue
            if attempt.stop_requested or key in self.pending_evictions:
                save = self.pending_evictions.get(key, False)
                await self._stop(*self.tracker.get_name(key), save)
                self.pending_evictions.pop(key, None)
            elif key not in self.running and starts < MAX_STARTS_PER_EXCHANGE:
                starts += 1
                await self._start(key, attempt)
        for key, throttled in tuple(self.pending_throttles.items()):
            await self._throttle(key, throttled)
        while self.pending_checkpoints:
            await self._request_checkpoint(self.pending_checkpoints.pop())

    async def _start(
        self, key: _attempts.AttemptKey, attempt: _state.Attempt
    ) -> None:
        # Check again just before sending, as the process may have paused.
        owner = self._owner
        read_time = owner.get_start_read_time()
        worker = self._get_worker()
        if (
            read_time is None
            or self.clock_reading is None
            or self.giving_up
            or owner.epoch != self.epoch
            or not owner.may_start_in(worker.data_centre)
            # Another incarnation has answered.
            or self.survival.is_lost
        ):
            return
        job = owner.shard.jobs[key[0]]
        task_id, number = self.tracker.get_name(key)
        self.tracker.note_start(key)
        sent_at = owner.read_clock()
        status = await self._send_start(
            key,
            workers.StartCommand(
                task_id=task_id,
                attempt=number,
                fencing_token=identifiers.Offset(attempt.fencing_token),
                kind=job.spec.kind,
                size=attempt.size,
                payload=job.spec.payload,
                permit_until=_permits.compute_permit_end(
                    self.clock_reading, read_time
                ),
                epoch=self.epoch,
                incarnation=self.incarnation,
                checkpoint=attempt.checkpoint,
            ),
        )
        now = owner.read_clock()
        self.survival.note_answer(sent_at)
        self.tracker.record_status(status, now)
        if key in self.running:
            self.survival.note_started(now)

    async def _send_start(
        self, key: _attempts.AttemptKey, command: workers.StartCommand
    ) -> workers.TaskStatus:
        try:
            return await self.client.start(command)
        except errors.RefusedError:
            self.tracker.forget_start(key)
            raise

    async def _stop(
        self,
        task_id: identifiers.TaskId,
        attempt: identifiers.Attempt,
        save: bool,
    ) -> None:
        self._check_ownership()
        status = await self.client.stop(
            workers.StopCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self.epoch,
                checkpoint=save,
                incarnation=self.incarnation,
            )
        )
        self.tracker.record_status(status, self._owner.read_clock())

    async def _throttle(
        self, key: _attempts.AttemptKey, throttled: bool
    ) -> None:
        del self.pending_throttles[key]
        if key not in self.running:
            return
        self._check_ownership()
        task_id, attempt = self.tracker.get_name(key)
        status = await self.client.throttle(
            workers.ThrottleCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self.epoch,
                throttled=throttled,
                incarnation=self.incarnation,
            )
        )
        self.tracker.record_status(status, self._owner.read_clock())

    async def _request_checkpoint(self, key: _attempts.AttemptKey) -> None:
        if key not in self.running:
            return
        self._check_ownership()
        task_id, attempt = self.tracker.get_name(key)
        status = await self.client.checkpoint(
            workers.CheckpointCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self.epoch,
                incarnation=self.incarnation,
            )
        )
        self.tracker.record_status(status, self._owner.read_clock())

    def _get_worker(self) -> _state.Worker:
        return self._owner.shard.workers[self.number]
