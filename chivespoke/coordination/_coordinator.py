"""The component that makes an entry a follower or the leader."""

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _followers
from chivespoke.coordination import _handover
from chivespoke.coordination import _leadership
from chivespoke.coordination import _newest_follower
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _records
from chivespoke.coordination import _term
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('coordinator')

# Pause between reads of the system topic. The leader schedules the jobs that
# it reads; other processes only answer status requests.
LEADER_READ_PAUSE_SECONDS = 0.02
FOLLOWER_READ_PAUSE_SECONDS = 0.1
# Age of the data above which a process does not stand for election: a read
# from the store waits for 1 s at most, and a slow store answers within 1 s.
MAX_CANDIDATE_DATA_AGE_SECONDS = 3.0
# Number of terms of this process on which it answers the leaders that follow:
# more than begin while leases last.
KEPT_TERMS = 32


class Coordinator(
    _leadership.Candidate, application.Component, _handover.TermKeeper
):
    """Follow the store's topics, and lead when elected."""

    __slots__ = (
        'ledger',
        'operator',
        'follower',
        'operator_follower',
        '_store',
        '_delays_jobs',
        '_clock',
        '_timeouts',
        '_telemetry',
        '_advisor_transport',
        '_leadership',
        '_term',
        '_term_tasks',
        '_record',
        '_started_at',
        '_stopped_terms',
    )

    def __init__(
        self,
        store: platform.Store,
        machine: platform.MachineSettings,
        member: str,
        time: clock.Clock,
        instruments: telemetry.Telemetry,
        delays_jobs: bool = False,
    ) -> None:
        self._record = _records.LeaderRecord(
            member, f'{machine.ip}:{machine.first_port}'
        )
        # Monotonic time since which the process has its address.
        self._started_at: float | None = None
        # By epoch, in the order in which they were closed.
        self._stopped_terms: dict[int, _term.StoppedTerm] = {}
        self._store = store
        self._delays_jobs = delays_jobs
        self._telemetry = instruments
        # If no advisor is configured, requests to it fail with an error. No
        # queue should require advice then.
        self._advisor_transport = platform.Transport(
            machine.advisor_address, 1
        )
        self._clock = time
        self.ledger = _records.Ledger()
        self.operator = _operator_view.OperatorView()
        self.follower = _followers.TopicFollower(
            store,
            _records.SYSTEM_TOPIC,
            self.ledger,
            time,
            FOLLOWER_READ_PAUSE_SECONDS,
        )
        self.operator_follower = _newest_follower.NewestFollower(
            store,
            platform.OPERATOR_TOPIC,
            self.operator,
            time,
            machine.store_max_record_bytes,
        )
        instruments.add_gauge(
            'chivespoke_ledger_age_seconds',
            'Time since the ledger was last known to be up to date',
            self.follower.measure_age,
        )
        instruments.add_gauge(
            'chivespoke_operator_view_age_seconds',
            'Time since the configuration was last known to be the newest',
            self.operator_follower.measure_age,
        )
        instruments.add_gauge(
            'chivespoke_unreadable_records',
            'Records of the store that were skipped as unreadable',
            lambda: (
                self.follower.unreadable_records
                + self.operator_follower.unreadable_records
            ),
        )
        instruments.add_gauge(
            'chivespoke_oldest_idle_task_seconds',
            'Longest time for which a lasting task has not run, as led here',
            lambda: self._term.measure_oldest_idle_task() if self._term else 0,
        )
        self._timeouts = _engine_state.LeaderTimeouts(
            final_job_retention_seconds=machine.bounds.status_retention_seconds
            * 1.5,
            predecessor_renewal_seconds=_leadership.MAX_STORE_SILENCE_SECONDS,
        )
        self._leadership = _leadership.Leadership(
            store, member, self, time, machine.store_min_ttl_seconds
        )
        self._term: _term.Term | None = None
        # The task that runs each term that is not closed yet. An earlier term
        # may still be closing when this process is elected again, and stopping
        # the election may cancel a step-down before the term is closed.
        self._term_tasks: dict[_term.Term, application.TaskOwner] = {}

    @property
    def term(self) -> _term.Term | None:
        """Return the current term, None if this process does not lead."""
        return self._term

    @property
    def is_operator_view_current(self) -> bool:
        """Return whether decisions may rest on the operator's records."""
        return (
            self.operator.configuration is not None
            and self.operator_follower.measure_age()
            <= _operator_view.MAX_AGE_SECONDS
        )

    @property
    def can_lead(self) -> bool:
        return all(
            follower.loaded
            and follower.measure_age() < MAX_CANDIDATE_DATA_AGE_SECONDS
            for follower in (self.follower, self.operator_follower)
        )

    async def start(self) -> None:
        # The servers were started before.
        self._started_at = self._clock.read_monotonic()
        await self._advisor_transport.start()
        await self.operator_follower.start()
        await self.follower.start()
        await self._leadership.start()

    async def drain(self) -> None:
        await self._leadership.drain()

    async def stop(self) -> None:
        await self._leadership.stop()
        await self.step_down('stopped')
        for term in tuple(self._term_tasks):
            await self._close_term(term)
        await self.follower.stop()
        await self.operator_follower.stop()
        await self._advisor_transport.stop()

    def hand_over(
        self, request: _handover.HandoverRequest
    ) -> _handover.Handover | None:
        if self._started_at is None:
            return None
        for term in self._term_tasks:
            if term.epoch < request.epoch:
                self._stopped_terms[term.epoch] = term.supersede()
        now = self._clock.read_monotonic()
        stopped = self._stopped_terms.get(request.earlier_epoch)
        return _handover.Handover(
            self._record.member,
            int((now - self._started_at) * 1000),
            None
            if stopped is None
            else int((now - stopped.stopped_at) * 1000),
            {} if stopped is None else stopped.sidecars,
        )

    async def lead(self, epoch: int) -> None:
        self.follower.set_read_pause(LEADER_READ_PAUSE_SECONDS)
        term = _term.Term(
            epoch,
            self._store,
            self.ledger,
            self.follower,
            self.operator,
            self.operator_follower,
            self._clock,
            self._timeouts,
            self._telemetry,
            platform.AdvisorClient(self._advisor_transport),
            self._leadership,
            self._record,
            self._delays_jobs,
        )
        self._term = term
        tasks = application.TaskOwner()
        self._term_tasks[term] = tasks
        tasks.spawn(self._run(term))

    async def step_down(self, cause: str) -> None:
        term = self._term
        if term is None:
            return
        self._term = None
        self.follower.set_read_pause(FOLLOWER_READ_PAUSE_SECONDS)
        await self._close_term(term)

    async def _close_term(self, term: _term.Term) -> None:
        tasks = self._term_tasks.get(term)
        if tasks is not None:
            await tasks.cancel()
            self._stopped_terms[term.epoch] = term.stop_renewing()
            while len(self._stopped_terms) > KEPT_TERMS:
                del self._stopped_terms[min(self._stopped_terms)]
            await term.close()
            self._term_tasks.pop(term, None)

    async def _run(self, term: _term.Term) -> None:
        try:
            cause = await term.run()
        except errors.InvariantError:
            raise
        except _term.TakeOverError as error:
            LOGGER.warning('Term ended.', cause=str(error))
            self._leadership.withdraw(str(error))
            return
        except Exception as error:
            # A term that failed must not prevent other processes from leading.
            cause = f'failed: {error!r}'
        LOGGER.warning('Term ended.', cause=cause)
        # Runs in a separate task, because stepping down cancels this one.
        self._leadership.resign(cause)
