"""One term of a leader, from taking over to stepping down."""

import asyncio
import collections.abc

import msgspec
import zmq.asyncio

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _advice_requester
from chivespoke.coordination import _appender
from chivespoke.coordination import _engine
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _followers
from chivespoke.coordination import _handover
from chivespoke.coordination import _links
from chivespoke.coordination import _mandate
from chivespoke.coordination import _messages
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _placer
from chivespoke.coordination import _records
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('term')

# Time for which changes are collected into one append: about as long as the
# append itself takes (6 ms).
BATCH_SECONDS = 0.008
# Maximum interval between two plans: no event announces that a lease expires,
# an order is due to be sent again or a start time is reached.
PLAN_INTERVAL_SECONDS = 0.2
# Maximum size of one append, unless a single record is larger. A failed append
# is sent again as a whole, and other calls share the link with it.
MAX_APPEND_BYTES = 131_072
# Time within which a new leader must have read the records of the earlier
# terms. It was up to date when it joined the group, so a longer wait means
# that it cannot read, and runs end when their leases of 5 s are not renewed.
TAKE_OVER_TIMEOUT_SECONDS = 3.0
# Remaining time of the mandate below which an append proves the leadership
# while nothing is to be stored: late enough for the joins, which prove it at
# no cost, and early enough for a store that is slow.
MIN_MANDATE_SECONDS = 9.0


def join_records(
    records: collections.abc.Iterable[bytes], max_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Yield the records in order, joined up to a maximum size."""
    joined = bytearray()
    for record in records:
        if joined and len(joined) + len(record) > max_bytes:
            yield bytes(joined)
            joined.clear()
        joined += record
    if joined:
        yield bytes(joined)


class StoppedTerm(msgspec.Struct, frozen=True):
    """Hold what a term left when it renewed its last lease."""

    # Monotonic time in seconds.
    stopped_at: float
    # What was left of the leases then, by sidecar with runs.
    sidecars: dict[str, _records.SilentSidecar]


class TakeOverError(errors.UnavailableError):
    """Report that the ledger could not be read up to the term's begin."""


class Term(_records.LedgerListener, _links.LinkOwner):
    """Lead until a later epoch takes over.

    The epoch is the fencing token of the leader's appends to the store.
    """

    __slots__ = (
        '_epoch',
        '_store',
        '_ledger',
        '_follower',
        '_operator',
        '_operator_follower',
        '_clock',
        '_engine',
        '_links',
        '_replaced_links',
        '_context',
        '_tasks',
        '_wake',
        '_workers_by_sidecar',
        '_superseded',
        '_appender',
        '_telemetry',
        '_advice_requester',
        '_mandate',
        '_record',
        '_stopped',
    )

    def __init__(
        self,
        epoch: int,
        store: platform.Store,
        ledger: _records.Ledger,
        follower: _followers.TopicFollower,
        operator: _operator_view.OperatorView,
        operator_follower: _followers.TopicFollower,
        time: clock.Clock,
        timeouts: _engine_state.LeaderTimeouts,
        instruments: telemetry.Telemetry,
        advisor: platform.AdvisorClient,
        mandate: _mandate.Mandate,
        record: _records.LeaderRecord,
        delays_jobs: bool = False,
    ) -> None:
        self._mandate = mandate
        # What the leaders that follow are told of this process.
        self._record = record
        # Set once no more leases are renewed.
        self._stopped: StoppedTerm | None = None
        self._epoch = epoch
        self._store = store
        self._ledger = ledger
        self._follower = follower
        self._operator = operator
        self._operator_follower = operator_follower
        self._clock = time
        self._engine = _engine.Engine(epoch, timeouts, delays_jobs)
        self._links: dict[str, _links.Link] = {}
        # Links to earlier addresses of sidecars that are not closed yet.
        self._replaced_links: set[_links.Link] = set()
        self._context = zmq.asyncio.Context()
        self._tasks = application.TaskOwner()
        self._wake = asyncio.Event()
        # The worker that each sidecar last reported.
        self._workers_by_sidecar: dict[str, _fleet.Worker] = {}
        # A sidecar has reported a later epoch.
        self._superseded = False
        self._appender = _appender.Appender(store, epoch, time, instruments)
        self._telemetry = instruments
        self._advice_requester = _advice_requester.AdviceRequester(
            advisor, self._engine, time, self._wake
        )

    @property
    def engine(self) -> _engine.Engine:
        """Return the scheduling engine, for explanations and tests."""
        return self._engine

    def measure_oldest_idle_task(self) -> float:
        """Return for how many seconds a lasting task has not run."""
        return self._engine.state.idle_tasks.measure_oldest(
            self._clock.read_monotonic()
        )

    @property
    def epoch(self) -> int:
        """Return the epoch of the term."""
        return self._epoch

    def stop_renewing(self) -> StoppedTerm:
        """Renew no leases and order no starts from now on."""
        if self._stopped is None:
            now = self._clock.read_monotonic()
            self._stopped = StoppedTerm(now, self._engine.describe_leases(now))
        return self._stopped

    async def run(self) -> str:
        """Lead until the epoch is superseded; return the reason.

        Raise TakeOverError if the records of the earlier terms could not be
        read in time.
        """
        try:
            await self._take_over()
            self._tasks.spawn(self._advice_requester.run())
            await self._plan_repeatedly()
        except (platform.FencedError, _appender.SupersededError) as error:
            return f'fenced: {error}'
        finally:
            self.stop_renewing()
        return 'superseded'

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        self.stop_renewing()
        if self._ledger.listener is self:
            self._ledger.listener = None
        await self._tasks.cancel()
        await self._appender.close()
        for link in (*self._links.values(), *self._replaced_links):
            await link.close()
        # Also closes sockets that were left open; Context.term would block
        # until they are closed.
        self._context.destroy(linger=0)

    def handle_job(self, entry: _records.JobEntry) -> None:
        now = self._clock.read_monotonic()
        self._engine.apply_entry(entry, now, self._clock.read_wall())
        self._wake.set()

    def handle_ended_worker(self, worker: str) -> None:
        self._engine.handle_ended_worker(worker)
        self._wake.set()

    def handle_sidecar(self, name: str, address: str) -> None:
        replaced = self._links.pop(name, None)
        if replaced is not None:
            # Kept so that close() also closes it if the term ends first.
            self._replaced_links.add(replaced)
            self._tasks.spawn(self._close_replaced(replaced))
        self._links[name] = _links.Link(self._context, name, address, self)

    def handle_report(self, report: _messages.Report) -> None:
        if report.epoch > self._epoch:
            self._handle_later_leader(report)
            return
        now = self._clock.read_monotonic()
        wall = self._clock.read_wall()
        earlier_session = self._engine.find_session(report.sidecar)
        worker = self._engine.handle_report(report, now, wall)
        if self._engine.find_session(report.sidecar) != earlier_session:
            # The sidecar calls its worker once it knows the session's token.
            self._wake_link(report.sidecar)
        for end in report.ended:
            if worker is not None and end.number > worker.acknowledged:
                self._telemetry.run_ends.add(1, {'cause': end.cause.value})
        for blame in self._engine.state.take_crash_blames():
            self._telemetry.worker_crashes.add(1, {'blame': blame.value})
        for restart in self._engine.state.idle_tasks.take_restarts():
            for part, seconds in msgspec.structs.asdict(restart).items():
                if seconds is not None:
                    self._telemetry.idle_time.record(seconds, {'part': part})
        for wait in self._engine.state.take_start_waits():
            self._telemetry.start_wait.record(
                wait.seconds, {'queue': wait.queue}
            )
        if worker is not None:
            self._workers_by_sidecar[report.sidecar] = worker
        if (
            report.ended
            or report.outcomes
            or report.lapsed
            or not self._engine.may_renew_leases(report.sidecar)
        ):
            self._wake.set()

    def _wake_link(self, sidecar: str) -> None:
        link = self._links.get(sidecar)
        if link is not None:
            link.wake()

    def _handle_later_leader(self, report: _messages.Report) -> None:
        if self._superseded:
            return
        LOGGER.warning(
            'A sidecar reported a later leader.',
            sidecar=report.sidecar,
            epoch=report.epoch,
        )
        self.supersede()

    def supersede(self) -> StoppedTerm:
        """End the term, as a later leader is known."""
        self._superseded = True
        self._appender.supersede()
        self._wake.set()
        return self.stop_renewing()

    def make_directive(self, sidecar: str) -> _messages.Directive:
        now = self._clock.read_monotonic()
        worker = self._workers_by_sidecar.get(sidecar)
        # A process that stood still sends directives before it hears that
        # another one leads, which may have waited for all leases to expire.
        if (
            worker is None
            or self._stopped is not None
            or now > self._mandate.valid_until
        ):
            return self._engine.make_empty_directive(sidecar)
        return self._engine.make_directive(worker, now)

    async def _close_replaced(self, link: _links.Link) -> None:
        await link.close()
        self._replaced_links.discard(link)

    async def _take_over(self) -> None:
        started_at = self._clock.read_monotonic()
        # An append with this epoch fences off all earlier leaders.
        end_offset = await self._append(
            _records.encode_leader(self._epoch, self._record)
        )
        LOGGER.info(
            'Waiting for the ledger before taking over.',
            epoch=self._epoch,
            offset=end_offset,
            ledger_loaded=self._follower.loaded,
            ledger_age=self._follower.measure_age(),
        )
        await self._wait_for_ledger(end_offset)
        self._ledger.listener = self
        self._engine.offer_learned(self._ledger.learned)
        for entry in self._ledger.entries.values():
            self.handle_job(entry)
        for worker in self._ledger.ended_workers.values():
            self.handle_ended_worker(worker)
        for name, silence in self._ledger.silent_sidecars.items():
            self._engine.load_silent_sidecar(
                name, silence, self._clock.read_monotonic()
            )
        for name, address in self._ledger.sidecars.items():
            self.handle_sidecar(name, address)
        self._ask_earlier_leaders()
        LOGGER.info(
            'Leadership taken over.',
            epoch=self._epoch,
            offset=end_offset,
            jobs=len(self._engine.state.jobs),
            sidecars=len(self._links),
            seconds=self._clock.read_monotonic() - started_at,
        )

    def _ask_earlier_leaders(self) -> None:
        earlier = self._engine.load_leaders(
            self._ledger.leaders, self._clock.read_monotonic()
        )
        for epoch, leader in earlier.items():
            LOGGER.info(
                'An earlier leader may still renew leases; asking it.',
                epoch=epoch,
                member=leader.member,
                address=leader.address,
            )
            self._tasks.spawn(self._ask_earlier_leader(epoch, leader))

    async def _ask_earlier_leader(
        self, epoch: int, leader: _records.LeaderRecord
    ) -> None:
        timeouts = self._engine.state.timeouts
        try:
            async with asyncio.timeout(timeouts.max_wait_seconds):
                end = await _handover.ask_leader(
                    self._epoch,
                    epoch,
                    leader,
                    self._clock,
                    timeouts.clock_drift_share,
                )
        except TimeoutError:
            LOGGER.warning(
                'An earlier leader has not answered; its leases are past.',
                epoch=epoch,
                member=leader.member,
            )
            return
        self._engine.record_leader_end(
            epoch, end, self._clock.read_monotonic()
        )
        self._wake.set()

    async def _wait_for_ledger(self, offset: int) -> None:
        try:
            async with asyncio.timeout(TAKE_OVER_TIMEOUT_SECONDS):
                await self._follower.wait_until(offset)
        except TimeoutError as error:
            raise TakeOverError(
                'take over',
                'store',
                f'the records before offset {offset} were not read within '
                f'{TAKE_OVER_TIMEOUT_SECONDS} s',
            ) from error

    async def _plan_repeatedly(self) -> None:
        while not self._superseded:
            if await application.wait_for_event(
                self._wake, PLAN_INTERVAL_SECONDS
            ):
                await self._clock.sleep(BATCH_SECONDS)
            self._wake.clear()
            await self._plan()

    async def _plan(self) -> None:
        now = self._clock.read_monotonic()
        plan = self._engine.plan(
            self._read_desired_state(), now, self._clock.read_wall()
        )
        for records in join_records(plan.records, MAX_APPEND_BYTES):
            await self._append(records)
        if self._mandate.valid_until < now + MIN_MANDATE_SECONDS:
            # Nothing has proven the leadership for a while.
            await self._append(b'')
        self._engine.confirm(plan, self._clock.read_monotonic())
        for standing in self._engine.state.take_standing_changes():
            self._telemetry.standing_changes.add(
                1, {'standing': standing.name.lower()}
            )
        self._record_learning()
        if not plan.complete:
            self._wake.set()
        if self._engine.find_advice_request() is not None:
            self._advice_requester.wake()
        for sidecar, worker in self._workers_by_sidecar.items():
            if (
                worker.incarnation.key in plan.recorded_ends
                or self._engine.select_orders(worker, now)
            ):
                self._links[sidecar].wake()

    def _record_learning(self) -> None:
        for model, count in self._engine.take_learned_samples().items():
            if count:
                self._telemetry.learned_samples.add(count, {'model': model})
        age = self._engine.learned_record_age
        if age is not None:
            self._telemetry.learned_record_age.set(age)

    def _read_desired_state(self) -> _placer.DesiredState | None:
        configuration = self._operator.configuration
        age = self._operator_follower.measure_age()
        if configuration is None or age > _operator_view.MAX_AGE_SECONDS:
            return None
        return _placer.DesiredState(
            configuration,
            frozenset(self._operator.evacuating),
            self._clock.read_monotonic()
            - age
            + _operator_view.MAX_AGE_SECONDS,
        )

    async def _append(self, records: bytes) -> int:
        requested_at = self._clock.read_monotonic()
        end_offset = await self._appender.append(records)
        # A later leader would have fenced the append off.
        self._mandate.extend(requested_at)
        return end_offset
