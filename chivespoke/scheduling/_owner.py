"""The owner of a shard: claims it, decides, and drives its workers."""

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
# Seconds between two looks at what is to be done.
TICK = 0.05
# Seconds between two looks at every worker and every plan.
PLAN_INTERVAL = 1.0
# Seconds between signs of life in a stream that is otherwise quiet.
ALIVE_INTERVAL = 5.0
# Seconds for which a proposal is not made again.
PROPOSAL_SECONDS = 5.0


class OwnerPolicies(msgspec.Struct, frozen=True):
    """Hold the policies that an owner decides by."""

    placement: _policy.PlacementPolicy = msgspec.field(
        default_factory=_first_fit.FirstFit
    )
    guard: _policy.GuardPolicy | None = None
    observer: _policy.ReportObserver | None = None


class ShardOwner(application.Component, _planner.PlanContext):
    """Own a shard whenever nobody else does.

    Owning only avoids wasted proposals: the fold admits whatever is legal,
    whoever proposes it. Only lapsed leases are the owner's word.
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
        # Jobs that found no room in the last batch.
        self._blocked_jobs: set[int] = set()
        self.lease_expiry = _lease_expiry.LeaseExpiryPlanner()
        self._connector = connector
        self._tasks = application.TaskOwner()
        self._held_epoch = 0
        self._inbox: list[_records.Record] = []
        self._proposed: dict[bytes, float] = {}
        self._batch: asyncio.Future[identifiers.Offset] | None = None
        # Workers whose state, or whose commands, changed.
        self._dirty: set[int] = set()
        self._awake: set[int] = set()
        self._scan_at = float('-inf')
        self._restored = 0
        self._stale_index = True
        self._planned_at = float('-inf')
        self._spoke_at = float('-inf')
        self._heard_at = clock.read_monotonic()
        stream.fold.add_listener(self._note_applied)

    # What links and planners need.

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

    def read_clock(self) -> float:
        return self.clock.read_monotonic()

    def get_shard_read_time(self) -> float | None:
        if not self.stream.replica.is_ready:
            return None
        return self.stream.follower.proven_at

    def get_start_read_time(self) -> float | None:
        proofs = (self.get_shard_read_time(), self.configuration.proven_at)
        oldest = min(
            float('-inf') if proof is None else proof for proof in proofs
        )
        if self.read_clock() - oldest > _permits.FRESHNESS_LIMIT:
            return None
        return oldest

    def may_start_in(self, name: identifiers.DataCentreName) -> bool:
        out = _configuration.list_out(self.document)
        return name not in out and name not in self.shard.out

    def propose(self, record: _records.Record) -> None:
        key = _records.encode_record(record)
        now = self.read_clock()
        if now < self._proposed.get(key, float('-inf')):
            return
        self._proposed[key] = now + PROPOSAL_SECONDS
        self._inbox.append(record)

    def handle_usage_report(
        self, number: int, report: workers.UsageReport
    ) -> None:
        view = self.index.views.get(number)
        observer = self.policies.observer
        if view is not None and observer is not None:
            observer.observe_report(self.read_clock(), report, view)

    # The life cycle.

    async def start(self) -> None:
        self._tasks.spawn(self._run())

    async def drain(self) -> None:
        """Hand the shard to whoever claims it next, without waiting."""
        if self.epoch:
            await self._tasks.cancel()

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            self.step()
            await self.clock.sleep(TICK)

    def step(self) -> None:
        """Do what is due now; nothing here waits."""
        self._refresh_index()
        if not self._hold_ownership():
            return
        self._drive_links()
        if self._is_batch_under_way():
            return
        records = self._decide()
        if records:
            self._submit(records)

    def _hold_ownership(self) -> bool:
        """Claim, give up or keep the shard; tell whether it is held."""
        epoch = self.epoch
        if epoch:
            if epoch != self._held_epoch:
                self._begin_epoch(epoch)
            return True
        if self._held_epoch:
            self._end_epoch()
        if self._is_proven() and not self._is_batch_under_way():
            quiet = self.read_clock() - self._heard_at
            self._submit(_claims.decide(self.shard, self.identity, quiet))
        return False

    def _begin_epoch(self, epoch: int) -> None:
        LOGGER.info('Owning a shard.', shard=self.shard.name, epoch=epoch)
        self._held_epoch = epoch
        self._links = {}
        self.lease_expiry.reset()
        self._stale_index = True

    def _end_epoch(self) -> None:
        LOGGER.info('Lost a shard.', shard=self.shard.name)
        self._held_epoch = 0
        self._links = {}
        self._inbox = []
        self._proposed = {}

    def _is_proven(self) -> bool:
        age = self.stream.measure_proof_age()
        return age <= _permits.FRESHNESS_LIMIT

    # Decisions.

    def _decide(self) -> list[_records.Record]:
        now = self.read_clock()
        records = self._inbox
        self._inbox = []
        if now - self._planned_at >= PLAN_INTERVAL:
            self._planned_at = now
            records.extend(self._plan(now))
        if self.get_start_read_time() is not None:
            self._blocked_jobs = set()
            version = self.shard.version
            if self.configuration.version == version:
                self.placer.limit_refill(
                    now,
                    self.shard.out,
                    self.document.limits.moves_at_once,
                )
                records.extend(
                    self.placer.propose_batch(version, self._blocked_jobs)
                )
        if now - self._spoke_at >= ALIVE_INTERVAL:
            self._spoke_at = now
            records.append(_records.OwnerRenewed(self.epoch))
        return records

    def _plan(self, now: float) -> list[_records.Record]:
        records: list[_records.Record] = []
        self._proposed = {
            key: until for key, until in self._proposed.items() if now < until
        }
        if not self._is_proven():
            return records
        if self.configuration.version > self.shard.version:
            records.append(self._make_observation())
        records.extend(self.lease_expiry.plan(now, self))
        for planner in self.planners:
            records.extend(planner.plan(now, self))
        self._guard(now)
        return records

    def _make_observation(self) -> _records.Record:
        home = _configuration.get_quota_home(self.document)
        return _configuration.make_observation(
            self.configuration.version,
            self.document,
            home == self.shard.name,
        )

    def _guard(self, now: float) -> None:
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
                self._batch = self.stream.propose(record)
        except errors.RefusedError as error:
            LOGGER.warning('A proposal was refused.', error=error)

    def _is_batch_under_way(self) -> bool:
        batch = self._batch
        if batch is None:
            return False
        if not batch.done():
            return True
        if batch.exception() is None:
            if self.stream.replica.next_offset <= batch.result():
                return True
        self._batch = None
        self.index.discard_reservations(self.shard, self.read_clock())
        return False

    # Following the fold.

    def _note_applied(
        self, record: _records.Record, refusal: _refusal.Refusal | None
    ) -> None:
        if refusal is not None:
            return
        number = getattr(record, 'job', None)
        if number is not None:
            self.placer.active_jobs.add(number)
        match record:
            case _records.OwnerClaimed() | _records.OwnerRenewed():
                self._heard_at = self.read_clock()
            case _records.Placed():
                self._dirty.add(record.worker)
            case _records.Ended():
                self._dirty.add(self.stream.fold.touched)
            case (
                _records.WorkerGivenUp()
                | _records.WorkerReturned()
                | _records.WorkerQuarantined()
            ):
                self._dirty.add(record.worker)
                # The tasks that it freed wait again.
                self.placer.active_jobs.update(self.shard.jobs)
            case _records.WorkerRegistered():
                self._dirty.add(self.shard.worker_numbers[record.worker_id])
                self.placer.active_jobs.update(self.shard.jobs)
            case _records.JobSubmitted():
                self.placer.active_jobs.add(self.shard.next_job - 1)
            case _records.ConfigurationObserved():
                self._stale_index = True
            case _records.TransferReceived() | _records.JobFlagged():
                self.placer.active_jobs.update(self.shard.jobs)
            case _:
                self._scan_at = float('-inf')

    def _refresh_index(self) -> None:
        now = self.read_clock()
        restored = self.stream.fold.restored
        if self._stale_index or self._restored != restored:
            self._restored = restored
            self._stale_index = False
            self.placer.active_jobs = set(self.shard.jobs)
            for number in self.shard.workers:
                self.index.refresh(self.shard, number, now)
        else:
            for number in self._dirty:
                self.index.refresh(self.shard, number, now)
        self._awake |= self._dirty
        self._dirty.clear()

    # Links.

    def _drive_links(self) -> None:
        """Begin the exchanges that are due; look at all now and then."""
        now = self.read_clock()
        if now - self._scan_at >= PLAN_INTERVAL:
            self._scan_at = now
            self._awake.update(self.shard.workers)
        for number in self._awake:
            worker = self.shard.workers[number]
            link = self.links.get(number)
            if link is None or link.incarnation != worker.incarnation:
                link = self._connect(number)
            elif link.address != worker.address and not link.busy:
                link.move(worker.address, self._connector)
            if link.is_due(now):
                self._tasks.spawn(link.exchange())
        self._awake.clear()

    def _connect(self, number: int) -> _link.WorkerLink:
        worker = self.shard.workers[number]
        link = _link.WorkerLink(
            self,
            number,
            worker,
            self._connector.connect(worker.address),
        )
        self.links[number] = link
        return link

    def request_heartbeat(self, worker_id: identifiers.WorkerId) -> None:
        """Ask a worker for news at once: something ended there."""
        number = self.shard.worker_numbers.get(worker_id)
        link = self.links.get(number) if number is not None else None
        if link is not None and not link.busy and self.epoch:
            self._tasks.spawn(link.exchange(renew=True))
