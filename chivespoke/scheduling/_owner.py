"""Own a shard: claim it, schedule its tasks and command its workers."""

import asyncio
import collections.abc

import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _claims
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _first_fit
from chivespoke.scheduling import _index
from chivespoke.scheduling import _lease_expiry
from chivespoke.scheduling import _link
from chivespoke.scheduling import _permits
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _records
from chivespoke.scheduling import _refusal
from chivespoke.scheduling import _state
from chivespoke.scheduling import _stream
from chivespoke import workers

LOGGER = logs.make_logger('scheduling')
# Interval of the owner's loop.
STEP_INTERVAL_SECONDS = 0.05
# Interval at which all planners run and all workers are checked.
PLAN_INTERVAL_SECONDS = 1.0
# Interval of the owner's heartbeat records.
OWNER_RENEWAL_INTERVAL_SECONDS = 5.0
# The same for an owner that cannot schedule: longer than a process that can
# waits until it claims the shard, and shorter than the others wait.
UNREADY_RENEWAL_INTERVAL_SECONDS = 20.0
# Time before an equal record may be proposed again.
REPROPOSAL_DELAY_SECONDS = 5.0


class OwnerPolicies(msgspec.Struct, frozen=True):
    """Hold the policies that an owner applies."""

    placement: _policy.PlacementPolicy = msgspec.field(
        default_factory=_first_fit.FirstFit
    )
    guard: _policy.GuardPolicy | None = None
    observer: _policy.ReportObserver | None = None


class ShardOwner(application.Component, _planner.PlanContext):
    """Claim a shard without a live owner, and schedule it while owning it.

    The fold accepts every valid record, whichever process proposes it, so
    most safety does not depend on ownership; a single owner avoids
    conflicting proposals. The exception is records about expired leases and
    new incarnations of workers, which only the current owner may propose.
    """

    def __init__(
        self,
        identity: identifiers.Incarnation,
        stream: _stream.ShardStream,
        configuration: _configuration.ConfigurationSource,
        connector: workers.WorkerConnector,
        clock: clocks.Clock,
        policies: OwnerPolicies | None = None,
        planners: collections.abc.Sequence[_planner.Planner] = (),
    ) -> None:
        self.identity = identity
        self.stream = stream
        self.configuration = configuration
        self.clock = clock
        self.policies = policies if policies is not None else OwnerPolicies()
        self.planners = tuple(planners)
        self._links: dict[int, _link.WorkerLink] = {}
        self.index = _index.WorkerIndex()
        self.placer = _placer.Placer(
            stream.fold, self.index, self.policies.placement
        )
        self.placer.isolation.is_settled = self._is_settled
        # Jobs with pending tasks that the last batch could not place.
        self._blocked_jobs: set[int] = set()
        self.lease_expiry = _lease_expiry.LeaseExpiryPlanner()
        self._connector = connector
        self._tasks = application.TaskOwner()
        self._held_epoch = 0
        self._queued_records: list[_records.Record] = []
        # By encoded record.
        self._repropose_at: dict[bytes, float] = {}
        # Append of the last record of the last batch; None once applied.
        self._last_append: asyncio.Future[identifiers.Offset] | None = None
        # Workers to refresh in the index.
        self._changed_workers: set[int] = set()
        # Workers whose links may have an exchange due.
        self._workers_to_check: set[int] = set()
        self._scanned_at = float('-inf')
        self._seen_restore_count = 0
        self._is_index_stale = True
        self._planned_at = float('-inf')
        self._owner_renewed_at = float('-inf')
        self._owner_seen_at = clock.read_monotonic()
        stream.fold.add_listener(self._handle_applied)

    # Implementation of PlanContext, for links and planners.

    @property
    def shard(self) -> _state.Shard:
        return self.stream.fold.shard

    @property
    def document(self) -> operators.Document:
        return self.configuration.document

    @property
    def epoch(self) -> int:
        shard = self.shard
        owned = shard.epoch and shard.owner == self.identity
        return shard.epoch if owned else 0

    @property
    def links(self) -> dict[int, _link.WorkerLink]:
        return self._links

    @property
    def blocked_jobs(self) -> set[int]:
        return self._blocked_jobs

    def set_usage_caps(
        self, usage_caps: dict[identifiers.TeamName, resources.Resources]
    ) -> None:
        self.placer.usage_caps = usage_caps

    def has_feasible_worker(self, job: int) -> bool:
        demand = _index.make_demand(self.shard.jobs[job], 0)
        return bool(self.index.find_candidates(demand))

    def _is_settled(self, worker: int, job: int) -> bool:
        link = self.links.get(worker)
        return (
            link is not None
            and link.contacted
            and not link.survival.is_lost
            and not link.has_young_attempts(job)
        )

    def read_clock(self) -> float:
        return self.clock.read_monotonic()

    def read_wall_clock(self) -> float:
        return self.clock.read_wall()

    def get_shard_read_time(self) -> float | None:
        if not self.stream.replica.is_ready:
            return None
        return self.stream.follower.last_read_at

    def get_start_read_time(self) -> float | None:
        read_times = (
            self.get_shard_read_time(),
            self.configuration.last_read_at,
        )
        oldest = min(
            float('-inf') if read_time is None else read_time
            for read_time in read_times
        )
        if self.read_clock() - oldest > _permits.MAX_READ_AGE_SECONDS:
            return None
        return oldest

    def may_start_in(self, name: identifiers.DataCentreName) -> bool:
        out = _configuration.list_out_of_service(self.document)
        return name not in out and name not in self.shard.out_of_service

    def connect(self, address: str) -> workers.WorkerClient:
        return self._connector.connect(address)

    def propose(self, record: _records.Record) -> None:
        key = _records.encode_record(record)
        now = self.read_clock()
        if now < self._repropose_at.get(key, float('-inf')):
            return
        self._repropose_at[key] = now + REPROPOSAL_DELAY_SECONDS
        self._queued_records.append(record)

    def handle_usage_report(
        self, number: int, report: workers.UsageReport
    ) -> None:
        view = self.index.views.get(number)
        observer = self.policies.observer
        if view is not None and observer is not None:
            observer.observe_report(self.read_clock(), report, view)

    # Lifecycle and ownership.

    async def start(self) -> None:
        self._tasks.spawn_loop(self._run)

    async def drain(self) -> None:
        """Stop scheduling; others may claim the shard after the timeout."""
        if self.epoch:
            await self._tasks.cancel()

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            self.step()
            await self.clock.sleep(STEP_INTERVAL_SECONDS)

    def step(self) -> None:
        """Run one iteration of the loop without waiting."""
        self._refresh_index()
        if not self._maintain_ownership():
            return
        self._start_exchanges()
        if self._is_append_pending():
            return
        records = self._decide()
        if records:
            self._submit(records)

    def _maintain_ownership(self) -> bool:
        """Start, end or claim ownership; return whether it is held."""
        epoch = self.epoch
        if epoch:
            if epoch != self._held_epoch:
                self._begin_epoch(epoch)
            return True
        if self._held_epoch:
            self._end_epoch()
        if self._has_recent_read() and not self._is_append_pending():
            silent_seconds = self.read_clock() - self._owner_seen_at
            self._submit(
                _claims.decide_ownership(
                    self.shard,
                    self.identity,
                    silent_seconds,
                    self._can_schedule(),
                )
            )
        return False

    def _begin_epoch(self, epoch: int) -> None:
        LOGGER.info(
            'Became owner of a shard.', shard=self.shard.name, epoch=epoch
        )
        self._held_epoch = epoch
        self._links = {}
        self.lease_expiry.reset()
        self._is_index_stale = True

    def _end_epoch(self) -> None:
        LOGGER.info('Lost ownership of a shard.', shard=self.shard.name)
        self._held_epoch = 0
        self._links = {}
        self._queued_records = []
        self._repropose_at = {}

    def _can_schedule(self) -> bool:
        """Return whether the shard and the configuration are up to date.

        An owner that cannot schedule renews its ownership so late that a
        process that can schedule claims the shard first.
        """
        return self.get_start_read_time() is not None

    def _has_recent_read(self) -> bool:
        age = self.stream.measure_read_age()
        return age <= _permits.MAX_READ_AGE_SECONDS

    # Planning and placement.

    def _decide(self) -> list[_records.Record]:
        now = self.read_clock()
        records = self._queued_records
        self._queued_records = []
        if now - self._planned_at >= PLAN_INTERVAL_SECONDS:
            self._planned_at = now
            records.extend(self._plan(now))
        renewal_interval_seconds = UNREADY_RENEWAL_INTERVAL_SECONDS
        if self._can_schedule():
            renewal_interval_seconds = OWNER_RENEWAL_INTERVAL_SECONDS
            self._blocked_jobs = set()
            version = self.shard.version
            if self.configuration.version == version:
                self.placer.limit_refill(
                    now,
                    self.shard.out_of_service,
                    self.document.limits.moves_at_once,
                )
                records.extend(
                    self.placer.propose_batch(version, self._blocked_jobs)
                )
        if now - self._owner_renewed_at >= renewal_interval_seconds:
            self._owner_renewed_at = now
            records.append(_records.OwnerRenewed(self.epoch))
        return records

    def _plan(self, now: float) -> list[_records.Record]:
        records: list[_records.Record] = []
        self._repropose_at = {
            key: repropose_at
            for key, repropose_at in self._repropose_at.items()
            if now < repropose_at
        }
        if not self._has_recent_read():
            return records
        if self.configuration.version > self.shard.version:
            records.append(self._make_observation())
        records.extend(self.lease_expiry.plan(now, self))
        if self.configuration.version < self.shard.version:
            # Planners would act on an outdated configuration, or an empty one.
            return records
        for planner in self.planners:
            records.extend(planner.plan(now, self))
        self._apply_guard(now)
        return records

    def _make_observation(self) -> _records.Record:
        quota_shard = _configuration.get_quota_shard(self.document)
        return _configuration.make_observation(
            self.configuration.version,
            self.document,
            quota_shard == self.shard.name,
        )

    def _apply_guard(self, now: float) -> None:
        guard = self.policies.guard
        if guard is None:
            return
        for number, link in self.links.items():
            view = self.index.views.get(number)
            if view is None or not view.tasks:
                continue
            for action in guard.decide_actions(now, view):
                _planner.queue_guard_action(self.shard, link, action)

    def _submit(
        self, records: collections.abc.Iterable[_records.Record]
    ) -> None:
        try:
            for record in records:
                self._last_append = self.stream.propose(record)
        except errors.RefusedError as error:
            LOGGER.warning('A proposal could not be queued.', error=error)

    def _is_append_pending(self) -> bool:
        pending_append = self._last_append
        if pending_append is None:
            return False
        if not pending_append.done():
            return True
        if pending_append.exception() is None:
            if self.stream.replica.next_offset <= pending_append.result():
                return True
        self._last_append = None
        self.index.discard_reservations(self.shard, self.read_clock())
        return False

    # Changes of the shard's state.

    def _handle_applied(
        self, record: _records.Record, refusal: _refusal.Refusal | None
    ) -> None:
        if refusal is not None:
            return
        number = getattr(record, 'job', None)
        if number is not None:
            self.placer.active_jobs.add(number)
        match record:
            case _records.OwnerClaimed() | _records.OwnerRenewed():
                self._owner_seen_at = self.read_clock()
            case _records.AttemptPlaced():
                self._changed_workers.add(record.worker)
            case _records.AttemptEnded():
                self._changed_workers.add(self.stream.fold.ended_on)
            case (
                _records.WorkerGivenUp()
                | _records.WorkerReadmitted()
                | _records.WorkerQuarantined()
            ):
                self._changed_workers.add(record.worker)
                # Jobs may have requeued tasks, or room for pending ones.
                self.placer.active_jobs.update(self.shard.jobs)
            case _records.WorkerRegistered():
                self._changed_workers.add(
                    self.shard.worker_numbers[record.worker_id]
                )
                self.placer.active_jobs.update(self.shard.jobs)
            case _records.WorkerAddressChanged():
                self._check_address(record.worker_id)
            case _records.JobSubmitted():
                self.placer.active_jobs.add(self.shard.next_job - 1)
            case _records.ConfigurationObserved():
                self._is_index_stale = True
            case (
                _records.TransferReceived() | _records.JobFeasibilityChanged()
            ):
                self.placer.active_jobs.update(self.shard.jobs)
            case _:
                # The record may require a command to any worker.
                self._scanned_at = float('-inf')

    def _refresh_index(self) -> None:
        now = self.read_clock()
        restore_count = self.stream.fold.restore_count
        if self._is_index_stale or self._seen_restore_count != restore_count:
            self._seen_restore_count = restore_count
            self._is_index_stale = False
            self.placer.active_jobs = set(self.shard.jobs)
            for number in self.shard.workers:
                self.index.refresh(self.shard, number, now)
        else:
            for number in self._changed_workers:
                self.index.refresh(self.shard, number, now)
        self._workers_to_check |= self._changed_workers
        self._changed_workers.clear()

    # Links to workers.

    def _start_exchanges(self) -> None:
        """Start due exchanges with changed workers, periodically with all."""
        now = self.read_clock()
        if now - self._scanned_at >= PLAN_INTERVAL_SECONDS:
            self._scanned_at = now
            self._workers_to_check.update(self.shard.workers)
        # A suspected task there is to be seen as soon as it has survived.
        self._workers_to_check.update(self.placer.isolation.held)
        for number in self._workers_to_check:
            worker = self.shard.workers[number]
            link = self.links.get(number)
            if link is None or link.incarnation != worker.incarnation:
                link = self._open_link(number)
            elif link.address != worker.address and not link.busy:
                link.change_address(worker.address)
            if link.is_due(now):
                self._tasks.spawn(link.exchange())
        self._workers_to_check.clear()

    def _open_link(self, number: int) -> _link.WorkerLink:
        worker = self.shard.workers[number]
        link = _link.WorkerLink(
            self,
            number,
            worker,
            self.connect(worker.address),
        )
        self.links[number] = link
        return link

    def _check_address(self, worker_id: identifiers.WorkerId) -> None:
        """Renew a worker's lease next, as it may be elsewhere by now."""
        number = self.shard.worker_numbers[worker_id]
        link = self.links.get(number)
        if link is not None:
            link.renewed_at = float('-inf')
        self._changed_workers.add(number)

    def request_heartbeat(self, worker_id: identifiers.WorkerId) -> None:
        """Renew a worker's lease at once to receive its latest heartbeat."""
        number = self.shard.worker_numbers.get(worker_id)
        link = self.links.get(number) if number is not None else None
        if link is not None and not link.busy and self.epoch:
            self._tasks.spawn(link.exchange(renew=True))
