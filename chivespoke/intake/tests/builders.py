"""A store and callers in simulated time."""

import asyncio
import collections.abc
import selectors
import typing

import msgspec

from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors
from chivespoke.intake import _responses
from chivespoke.intake import _submissions
from chivespoke import platform
from chivespoke import telemetry

Value = typing.TypeVar('Value')

CALL_SECONDS = 0.006
READ_PAUSE_SECONDS = 0.1
JOIN_INTERVAL_SECONDS = 0.3
CALLER_WAIT_SECONDS = 2.7
RECORD_BYTES = 300
MAX_RECORD_BYTES = 10_000
# Time after which a lost call is certainly given up.
LOST_SECONDS = 3600.0


class _Selector(selectors.SelectSelector):
    """Advance the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, 'nothing is left to wait for'
        self.now += max(0.0, timeout)
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    """Run in simulated time."""

    def __init__(self) -> None:
        self._simulated = _Selector()
        super().__init__(self._simulated)

    def time(self) -> float:
        return self._simulated.now


def run_simulated(
    work: collections.abc.Coroutine[object, object, Value],
) -> Value:
    """Run a coroutine to its end in simulated time; return its result."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(work)


class LoopClock(clock.Clock):
    """Read the time of the event loop."""

    def read_monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def read_wall(self) -> float:
        return 1.7e9 + self.read_monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class Period(msgspec.Struct, frozen=True):
    """Hold what the store does to the calls that reach it in a period."""

    start: float
    end: float
    # Factor of the time that a call takes.
    slowness: float = 1.0
    # Calls are refused, without an effect.
    refuses: bool = False
    # Calls get no answer, and have no effect.
    silent: bool = False
    # Calls take effect, but their answers are lost.
    loses_answers: bool = False
    # Calls take effect, but their connections are reset.
    resets: bool = False


class SimulatedStore(platform.Store):
    """Carry out one call after the other, in simulated time."""

    def __init__(self, *periods: Period) -> None:
        transport = platform.Transport('store', 1)
        super().__init__(transport, transport)
        self.periods = periods
        self.ledger = coordination.Ledger()
        # Keys in the order in which they were stored.
        self.stored: list[str] = []
        # Number of records of each append that arrived.
        self.batches: list[int] = []
        self.read_at = 0.0
        self._transport = transport
        self._server = asyncio.Lock()
        self._calls: set[asyncio.Future[int]] = set()

    def find_period(self) -> Period:
        """Return what holds now."""
        now = asyncio.get_running_loop().time()
        for period in self.periods:
            if period.start <= now < period.end:
                return period
        return Period(0.0, 0.0)

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: platform.Producer | None = None,
        timeout_seconds: float = 1.0,
        partition: int = 0,
    ) -> int:
        call = asyncio.ensure_future(self._serve(records))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        try:
            # The store carries out a call that is given up.
            async with asyncio.timeout(timeout_seconds):
                return await asyncio.shield(call)
        except TimeoutError as error:
            raise errors.UnavailableError(
                'append', 'store', 'timeout'
            ) from error

    async def _serve(self, records: bytes) -> int:
        period = self.find_period()
        if period.silent:
            await asyncio.sleep(LOST_SECONDS)
        async with self._server:
            await asyncio.sleep(CALL_SECONDS * self.find_period().slowness)
        if period.refuses:
            self._transport.answers += 1
            raise errors.RefusedError('append', 'store', 'status 503')
        decoded = platform.decode_records(records, len(self.stored))
        if any(len(record.value) > MAX_RECORD_BYTES for record in decoded):
            self._transport.answers += 1
            raise platform.RecordRefusedError('append', 'store', 'status 400')
        if decoded:
            self.batches.append(len(decoded))
        self.stored += [record.key for record in decoded]
        end_offset = len(self.stored)
        asyncio.get_running_loop().call_later(
            READ_PAUSE_SECONDS, self._read, decoded
        )
        if period.loses_answers:
            await asyncio.sleep(LOST_SECONDS)
        if period.resets:
            raise errors.UnavailableError('append', 'store', 'reset')
        self._transport.answers += 1
        return end_offset

    def _read(self, records: tuple[platform.Record, ...]) -> None:
        self._transport.answers += 1
        self.read_at = asyncio.get_running_loop().time()
        for record in records:
            self.ledger.apply(record)

    async def join_repeatedly(self) -> None:
        """Renew a membership, as each entry does."""
        while True:
            try:
                await self.append('group', b'')
            except errors.ChivespokeError:
                pass
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)


def make_submissions(
    store: SimulatedStore,
) -> _submissions.Submissions:
    """Return the submissions of an entry beside a store."""
    return _submissions.Submissions(
        store, store.ledger, LoopClock(), telemetry.Telemetry()
    )


def make_record(key: str, size: int = RECORD_BYTES) -> bytes:
    """Return a record that the ledger does not interpret."""
    return platform.encode_record(key, b'r' * size)


class SingleAppends:
    """Append each record by itself; give it up after one second.

    This is the rule that Submissions replaces. After a record was given up,
    the next ones are refused until a read confirms that the store answers.
    """

    def __init__(self, store: SimulatedStore) -> None:
        self._store = store
        self._given_up_at = float('-inf')

    async def append(
        self, key: str, record: bytes, limit: float
    ) -> _submissions.AppendResult:
        """Append a record; return its outcome."""
        if self._store.read_at <= self._given_up_at:
            return _submissions.AppendResult(
                _responses.Outcome.UNAVAILABLE, ''
            )
        append = asyncio.ensure_future(
            self._store.append('topic', record, timeout_seconds=1.0)
        )
        seen = asyncio.ensure_future(self._store.ledger.wait_for(key))
        await asyncio.wait((append, seen), return_when='FIRST_COMPLETED')
        outcome = _responses.Outcome.ACCEPTED
        try:
            if not seen.done():
                await append
        except errors.RefusedError:
            outcome = _responses.Outcome.UNAVAILABLE
        except errors.UnavailableError:
            outcome = _responses.Outcome.UNCERTAIN
            self._given_up_at = asyncio.get_running_loop().time()
        append.cancel()
        seen.cancel()
        await asyncio.gather(append, seen, return_exceptions=True)
        return _submissions.AppendResult(outcome, '')


class Answer(msgspec.Struct, frozen=True):
    """Hold the last answer to a caller and when it came."""

    key: str
    outcome: _responses.Outcome
    seconds: float


class Appender(typing.Protocol):
    """Store the records of callers."""

    async def append(
        self, key: str, record: bytes, limit: float
    ) -> _submissions.AppendResult: ...


async def call(
    appender: Appender,
    key: str,
    at: float,
    size: int = RECORD_BYTES,
    tries: int = 1,
    wait_seconds: float = CALLER_WAIT_SECONDS,
) -> Answer:
    """Hand in a record at a time, again 1 s after each refusal."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(at - loop.time())
    while True:
        started_at = loop.time()
        result = await appender.append(
            key, make_record(key, size), started_at + wait_seconds
        )
        tries -= 1
        if result.outcome is not _responses.Outcome.UNAVAILABLE or not tries:
            return Answer(key, result.outcome, loop.time() - started_at)
        await asyncio.sleep(1.0)
