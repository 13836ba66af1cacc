"""One term of a leader: from taking over to stepping down."""

import asyncio

import zmq.asyncio

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _advising
from chivespoke.coordination import _engine
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _followers
from chivespoke.coordination import _links
from chivespoke.coordination import _messages
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _placer
from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('term')

PRODUCER = 'chivespoke-leader'
# Changes are gathered for so long before they are written, in seconds: an
# append takes about 6 ms, so this costs less than half of it again.
GATHER_SECONDS = 0.008
# Time is looked at so often, in seconds, when nothing else happens.
TICK_SECONDS = 0.2
# Pause before an append without an answer is repeated, in seconds.
APPEND_RETRY_SECONDS = 0.1
# Of the tries in a row that fail, each so many is logged.
LOGGED_TRIES = 10
# Nothing starts on a view of the operator's wishes older than this, in
# seconds: less than the shortest bound on obeying them.
VIEW_AGE_LIMIT = 1.8


class SupersededError(errors.RefusedError):
    """Report a leader that stops trying, as a later one leads."""


class Term(_records.Listener, _links.LinkOwner):
    """Lead for as long as the store lets this epoch write."""

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
        '_replaced',
        '_context',
        '_tasks',
        '_wake',
        '_sequence',
        '_lives',
        '_superseded',
        '_patience',
        '_telemetry',
        '_advising',
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
        limits: _engine_state.Limits,
        instruments: telemetry.Telemetry,
        advisor: platform.AdvisorClient,
    ) -> None:
        self._epoch = epoch
        self._store = store
        self._ledger = ledger
        self._follower = follower
        self._operator = operator
        self._operator_follower = operator_follower
        self._clock = time
        self._engine = _engine.Engine(epoch, limits)
        self._links: dict[str, _links.Link] = {}
        # Links of earlier lives of sidecars that are not closed yet.
        self._replaced: set[_links.Link] = set()
        self._context = zmq.asyncio.Context()
        self._tasks = application.TaskOwner()
        self._wake = asyncio.Event()
        self._sequence = 0
        # The worker that each sidecar spoke of last.
        self._lives: dict[str, _fleet.Worker] = {}
        # A sidecar has heard a later leader.
        self._superseded = False
        self._patience = decisions.Patience()
        self._telemetry = instruments
        self._advising = _advising.Advising(
            advisor, self._engine, time, self._wake
        )

    @property
    def engine(self) -> _engine.Engine:
        """Return the engine, for explanations and tests."""
        return self._engine

    async def run(self) -> str:
        """Lead until the epoch is superseded; return the cause."""
        try:
            await self._take_over()
            self._tasks.spawn(self._advising.run())
            await self._keep_planning()
        except (platform.FencedError, SupersededError) as error:
            return f'fenced: {error}'
        return 'superseded'

    async def close(self) -> None:
        """Give up everything that the term holds."""
        if self._ledger.listener is self:
            self._ledger.listener = None
        await self._tasks.cancel()
        for link in (*self._links.values(), *self._replaced):
            await link.close()
        # Also closes a socket that was left open, which term waits for.
        self._context.destroy(linger=0)

    def take_job(self, entry: _records.JobEntry) -> None:
        now = self._clock.read_monotonic()
        self._engine.take_entry(entry, now, self._clock.read_wall())
        self._wake.set()

    def take_sidecar(self, name: str, address: str) -> None:
        old = self._links.pop(name, None)
        if old is not None:
            # Kept until it is closed: the term may be closed before.
            self._replaced.add(old)
            self._tasks.spawn(self._close_replaced(old))
        self._links[name] = _links.Link(self._context, name, address, self)

    def take_report(self, report: _messages.Report) -> None:
        if report.epoch > self._epoch:
            self._note_later_leader(report)
            return
        now = self._clock.read_monotonic()
        wall = self._clock.read_wall()
        worker = self._engine.take_report(report, now, wall)
        for end in report.ended:
            if worker is not None and end.number > worker.acknowledged:
                self._telemetry.run_ends.add(1, {'cause': end.cause.value})
        if worker is not None:
            self._lives[report.sidecar] = worker
        if report.ended or report.outcomes or report.lapsed:
            self._wake.set()

    def _note_later_leader(self, report: _messages.Report) -> None:
        if self._superseded:
            return
        LOGGER.warning(
            'A sidecar has heard a later leader.',
            sidecar=report.sidecar,
            epoch=report.epoch,
        )
        self._superseded = True
        self._wake.set()

    def make_directive(self, sidecar: str) -> _messages.Directive:
        worker = self._lives.get(sidecar)
        if worker is None:
            return _messages.Directive(self._epoch, '', 0, 0)
        return self._engine.make_directive(
            worker, self._clock.read_monotonic()
        )

    async def _close_replaced(self, link: _links.Link) -> None:
        await link.close()
        self._replaced.discard(link)

    async def _take_over(self) -> None:
        began = self._clock.read_monotonic()
        # An append of nothing bars every earlier leader from writing.
        end = await self._append(b'')
        await self._follower.wait_until(end)
        self._ledger.listener = self
        for entry in self._ledger.entries.values():
            self.take_job(entry)
        for name, address in self._ledger.sidecars.items():
            self.take_sidecar(name, address)
        LOGGER.info(
            'Took over.',
            epoch=self._epoch,
            offset=end,
            jobs=len(self._engine.state.jobs),
            sidecars=len(self._links),
            seconds=self._clock.read_monotonic() - began,
        )

    async def _keep_planning(self) -> None:
        while not self._superseded:
            # Without news, leases, retries and due times are looked at.
            if await application.wait_for_event(self._wake, TICK_SECONDS):
                await self._clock.sleep(GATHER_SECONDS)
            self._wake.clear()
            await self._plan()

    async def _plan(self) -> None:
        now = self._clock.read_monotonic()
        plan = self._engine.plan(
            self._read_orders(), now, self._clock.read_wall()
        )
        if plan.records:
            await self._append(b''.join(plan.records))
        self._engine.confirm(plan)
        self._count_starts(plan)
        if self._engine.find_question() is not None:
            self._advising.wake()
        for sidecar, worker in self._lives.items():
            if worker.incarnation.key in plan.ends or self._engine.has_orders(
                worker, now
            ):
                self._links[sidecar].wake()

    def _count_starts(self, plan: _engine.Plan) -> None:
        wall = self._clock.read_wall()
        for run in plan.decided:
            state = self._engine.state.jobs.get(run.name.job)
            if state is not None:
                self._telemetry.start_wait.record(
                    max(0.0, wall - state.job.accepted_ms / 1000),
                    {'queue': state.job.queue},
                )

    def _read_orders(self) -> _placer.Orders | None:
        configuration = self._operator.configuration
        age = self._operator_follower.measure_age()
        if configuration is None or age > VIEW_AGE_LIMIT:
            return None
        return _placer.Orders(
            configuration, frozenset(self._operator.evacuating)
        )

    async def _append(self, records: bytes) -> int:
        producer = platform.Producer(PRODUCER, self._epoch, self._sequence)
        tries = 0
        while True:
            asked = self._clock.read_monotonic()
            try:
                end = await self._store.append(
                    _records.SYSTEM_TOPIC,
                    records,
                    producer,
                    self._patience.seconds,
                )
            except platform.FencedError:
                raise
            except errors.ChivespokeError as error:
                # The store takes a repeated sequence number only once.
                if isinstance(error, errors.UnavailableError):
                    self._patience.note_silence()
                tries += 1
                if self._superseded:
                    # The later leader knows what was recorded.
                    raise SupersededError(
                        'append', 'store', 'a later leader leads'
                    ) from error
                if tries % LOGGED_TRIES == 1:
                    LOGGER.warning(
                        'The leader cannot write; it tries again.',
                        sequence=self._sequence,
                        tries=tries,
                        next_wait=self._patience.seconds,
                        error=error,
                    )
                await self._clock.sleep(APPEND_RETRY_SECONDS)
            else:
                seconds = self._clock.read_monotonic() - asked
                self._patience.note_answer(seconds)
                self._telemetry.store_latency.record(seconds)
                self._sequence += 1
                return end
