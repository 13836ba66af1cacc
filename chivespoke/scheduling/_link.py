"""The exchange between the owner of a shard and one of its workers."""

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.scheduling import _attempts
from chivespoke.scheduling import _context
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


class WorkerLink:
    """Talk to one worker, one exchange at a time."""

    __slots__ = (
        'number',
        'client',
        'incarnation',
        'epoch',
        'address',
        'reading',
        'lease_sent',
        'renewed_at',
        'tried_at',
        'failures',
        'contacted',
        'busy',
        'book',
        'throttling',
        'saving',
        'condemned',
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
        self.reading: _permits.ClockReading | None = None
        # The worker's clock until which own renewals may have extended.
        self.lease_sent = float('-inf')
        self.renewed_at = float('-inf')
        self.tried_at = float('-inf')
        self.failures = 0
        # Whether the worker has seen this owner's epoch.
        self.contacted = False
        self.busy = False
        self.book = _attempts.AttemptBook(owner, number)
        self.throttling: dict[_attempts.AttemptKey, bool] = {}
        self.saving: set[_attempts.AttemptKey] = set()
        # Whether a record that gives the worker up may be under way: until
        # the log has decided, nothing there is prolonged or started.
        self.condemned = False
        self._owner = owner

    def move(self, address: str, connector: workers.WorkerConnector) -> None:
        """Ask the same worker at another address; its leases stay."""
        self.address = address
        self.client = connector.connect(address)

    def is_lapsed(self, now: float) -> bool:
        """Tell whether every lease that this owner gave has lapsed."""
        if self.reading is None:
            return False
        return self.reading.bound_at(now) > self.lease_sent

    @property
    def running(self) -> dict[_attempts.AttemptKey, _attempts.Progress]:
        """Return the attempts that the worker last said it runs."""
        return self.book.running

    @property
    def evicting(self) -> dict[_attempts.AttemptKey, bool]:
        """Return what to stop, and whether to save it before."""
        return self.book.evicting

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
        self._check_owned()
        epoch = self.epoch
        self.lease_sent = max(self.lease_sent, lease_until)
        heartbeat = await self.client.renew(
            workers.LeaseRenewal(
                worker_id=self._get_worker().worker_id,
                epoch=epoch,
                lease_until=lease_until,
                incarnation=self.incarnation,
                acknowledged=self.book.list_acknowledged(),
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
        # An earlier owner's lease may run longer than the own ones; it
        # cannot be extended any more, as the worker knows this epoch.
        self.lease_sent = max(self.lease_sent, heartbeat.lease_until)
        self.reading = _permits.ClockReading(heartbeat.clock, now)
        self.contacted = True
        self.renewed_at = now
        self.book.take_statuses(heartbeat, now)
        if heartbeat.report is not None:
            owner.handle_usage_report(self.number, heartbeat.report)

    def _check_owned(self) -> None:
        """Raise RefusedError when the epoch ended during an exchange."""
        if self._owner.epoch != self.epoch:
            raise errors.RefusedError(
                'command a worker',
                self._owner.shard.name,
                'the shard is not owned any more',
            )

    def _compute_lease(self) -> float:
        """Return the next lease's end; blind for BLIND_LIMIT at most."""
        owner = self._owner
        now = owner.read_clock()
        proof = owner.get_shard_read_time()
        if self.reading is None or proof is None or self.condemned:
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
                # Not the newest one that is known: an answer may be older
                # than that, and must not replace it.
                self.incarnation,
            )
        )

    def _has_commands(self) -> bool:
        if self.book.list_stale() or self.throttling or self.saving:
            return True
        proof = self._owner.get_start_read_time()
        for key in self._get_worker().tasks.values():
            attempt = self.book.find_attempt(key)
            if attempt is None or self.book.has_ended(key):
                continue
            if attempt.unwanted or key in self.evicting:
                return True
            if self.condemned:
                continue
            if proof is not None and key not in self.running:
                return True
        return False

    async def _send_commands(self) -> None:
        for task_id, attempt_number in self.book.list_stale():
            await self._stop(task_id, attempt_number, False)
            self.book.forget_stale((task_id, attempt_number))
        starts = 0
        for key in tuple(self._get_worker().tasks.values()):
            attempt = self.book.find_attempt(key)
            if attempt is None or self.book.has_ended(key):
                continue
            if attempt.unwanted or key in self.evicting:
                save = self.evicting.get(key, False)
                await self._stop(*self.book.name(key), save)
                self.evicting.pop(key, None)
            elif key not in self.running and starts < STARTS_AT_ONCE:
                starts += 1
                await self._start(key, attempt)
        for key, throttled in tuple(self.throttling.items()):
            await self._throttle(key, throttled)
        while self.saving:
            await self._save(self.saving.pop())

    async def _start(
        self, key: _attempts.AttemptKey, attempt: _state.Attempt
    ) -> None:
        # Read again just before sending: there may have been a pause.
        owner = self._owner
        proof = owner.get_start_read_time()
        worker = self._get_worker()
        if (
            proof is None
            or self.reading is None
            or self.condemned
            or owner.epoch != self.epoch
            or not owner.may_start_in(worker.data_centre)
        ):
            return
        job = owner.shard.jobs[key[0]]
        task_id, number = self.book.name(key)
        status = await self.client.start(
            workers.StartCommand(
                task_id=task_id,
                attempt=number,
                fencing_token=identifiers.Offset(attempt.token),
                kind=job.spec.kind,
                size=attempt.size,
                payload=job.spec.payload,
                permit_until=_permits.compute_permit(self.reading, proof),
                epoch=self.epoch,
                incarnation=self.incarnation,
                checkpoint=attempt.checkpoint,
            )
        )
        self.book.take_status(status, owner.read_clock())

    async def _stop(
        self,
        task_id: identifiers.TaskId,
        attempt: identifiers.Attempt,
        save: bool,
    ) -> None:
        self._check_owned()
        status = await self.client.stop(
            workers.StopCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self.epoch,
                checkpoint=save,
            )
        )
        self.book.take_status(status, self._owner.read_clock())

    async def _throttle(
        self, key: _attempts.AttemptKey, throttled: bool
    ) -> None:
        del self.throttling[key]
        if key not in self.running:
            return
        self._check_owned()
        task_id, attempt = self.book.name(key)
        status = await self.client.throttle(
            workers.ThrottleCommand(
                task_id=task_id,
                attempt=attempt,
                epoch=self.epoch,
                throttled=throttled,
            )
        )
        self.book.take_status(status, self._owner.read_clock())

    async def _save(self, key: _attempts.AttemptKey) -> None:
        if key not in self.running:
            return
        self._check_owned()
        task_id, attempt = self.book.name(key)
        status = await self.client.checkpoint(
            workers.CheckpointCommand(
                task_id=task_id, attempt=attempt, epoch=self.epoch
            )
        )
        self.book.take_status(status, self._owner.read_clock())

    def _get_worker(self) -> _state.Worker:
        return self._owner.shard.workers[self.number]
