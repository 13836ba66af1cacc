"""The part of an entry that may lead."""

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _engine_state
from chivespoke.coordination import _followers
from chivespoke.coordination import _leadership
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _records
from chivespoke.coordination import _term
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('coordinator')

# Pause between reads of the system's topic, in seconds: a leader starts work
# on what it reads, the others only answer questions from it.
LEADING_GAP = 0.02
FOLLOWING_GAP = 0.1


class Coordinator(_leadership.Candidate, application.Component):
    """Follow the store's topics, and lead when it falls to this process."""

    __slots__ = (
        'ledger',
        'operator',
        'follower',
        'operator_follower',
        '_store',
        '_clock',
        '_limits',
        '_telemetry',
        '_advisor_transport',
        '_leadership',
        '_term',
        '_tasks',
    )

    def __init__(
        self,
        store: platform.Store,
        machine: platform.MachineSettings,
        member: str,
        time: clock.Clock,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._store = store
        self._telemetry = instruments
        # Without an advisor, calls fail and say so; no queue should need it.
        self._advisor_transport = platform.Transport(
            machine.advisor_address, 1
        )
        self._clock = time
        self.ledger = _records.Ledger()
        self.operator = _operator_view.OperatorView()
        self.follower = _followers.TopicFollower(
            store, _records.SYSTEM_TOPIC, self.ledger, time, FOLLOWING_GAP
        )
        self.operator_follower = _followers.TopicFollower(
            store, platform.OPERATOR_TOPIC, self.operator, time, 0.0
        )
        self._limits = _engine_state.Limits(
            kept=machine.bounds.status_retention_seconds * 1.5,
            predecessor=_leadership.STAND_SECONDS,
        )
        self._leadership = _leadership.Leadership(
            store, member, self, time, machine.store_min_ttl_seconds
        )
        self._term: _term.Term | None = None
        self._tasks = application.TaskOwner()

    @property
    def term(self) -> _term.Term | None:
        """Return the term that this process leads, if it does."""
        return self._term

    async def start(self) -> None:
        await self._advisor_transport.start()
        await self.operator_follower.start()
        await self.follower.start()
        await self._leadership.start()

    async def drain(self) -> None:
        await self._leadership.drain()

    async def stop(self) -> None:
        await self._leadership.stop()
        await self.retire('stopped')
        await self._tasks.cancel()
        await self.follower.stop()
        await self.operator_follower.stop()
        await self._advisor_transport.stop()

    async def lead(self, epoch: int) -> None:
        self.follower.set_gap(LEADING_GAP)
        term = _term.Term(
            epoch,
            self._store,
            self.ledger,
            self.follower,
            self.operator,
            self.operator_follower,
            self._clock,
            self._limits,
            self._telemetry,
            platform.AdvisorClient(self._advisor_transport),
        )
        self._term = term
        self._tasks.spawn(self._run(term))

    async def retire(self, cause: str) -> None:
        term = self._term
        if term is None:
            return
        self._term = None
        self.follower.set_gap(FOLLOWING_GAP)
        await self._tasks.cancel()
        await term.close()

    async def _run(self, term: _term.Term) -> None:
        try:
            cause = await term.run()
        except errors.InvariantError:
            raise
        except Exception as error:
            # A term that cannot go on must not keep others from leading.
            cause = f'failed: {error!r}'
        LOGGER.warning('A term is over.', cause=cause)
        # On a task of its own: retiring ends this one.
        self._leadership.give_up(cause)
