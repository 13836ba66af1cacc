"""Storing of records that come together in shared appends."""

import asyncio
import collections
import collections.abc

import msgspec

from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke.intake import _responses
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('submissions')

# Maximum size of a shared append, unless a single record is larger. Other
# calls share the link to the store with it.
MAX_APPEND_BYTES = 131_072
# Interval at which waiting records are checked while there are any.
CHECK_SECONDS = 0.05
# Number of times that a record is handed to the store. It is repeated after a
# broken connection only.
MAX_TRIES = 2
MIN_CALL_SECONDS = 1.0


class AppendResult(msgspec.Struct, frozen=True):
    """Hold what became of a record, with a detail for the log.

    ACCEPTED: it is stored. UNAVAILABLE: it was never sent, or each try was
    refused. UNCERTAIN: it may be stored, or may still be.
    """

    outcome: _responses.Outcome
    detail: str


class _Pending:
    """Hold a record until its caller is answered."""

    __slots__ = (
        'key',
        'record',
        'limit',
        'queued_at',
        'tries',
        'sent',
        'maybe_stored',
        'result',
    )

    def __init__(
        self, key: str, record: bytes, limit: float, queued_at: float
    ) -> None:
        self.key = key
        self.record = record
        # Monotonic time by which the caller must be answered.
        self.limit = limit
        self.queued_at = queued_at
        self.tries = 0
        # It is part of an append under way.
        self.sent = False
        # An append with it got no answer.
        self.maybe_stored = False
        self.result: asyncio.Future[AppendResult] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def failure(self) -> _responses.Outcome:
        """Return the true outcome if the record is not known to be stored."""
        if self.sent or self.maybe_stored:
            return _responses.Outcome.UNCERTAIN
        return _responses.Outcome.UNAVAILABLE

    def settle(self, outcome: _responses.Outcome, detail: str) -> None:
        """Set the result, unless the caller has one or is gone."""
        if not self.result.done():
            self.result.set_result(AppendResult(outcome, detail))


class _Append:
    """Hold an append under way."""

    __slots__ = ('batch', 'started_at', 'task')

    def __init__(self, batch: list[_Pending], started_at: float) -> None:
        self.batch = batch
        self.started_at = started_at
        self.task: asyncio.Task[None] | None = None


class Submissions(application.Component):
    """Append records for callers; records that come together share a call.

    While an append is under way, later records wait and go together in the
    next one, in the order of their arrival.
    """

    __slots__ = (
        '_store',
        '_ledger',
        '_clock',
        '_telemetry',
        '_tasks',
        '_queue',
        '_waiting',
        '_appends',
        '_timeout',
        '_watcher',
        '_answers',
        '_answered_at',
        '_given_up_at',
        '_stopped',
    )

    def __init__(
        self,
        store: platform.Store,
        ledger: coordination.Ledger,
        time: clock.Clock,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._clock = time
        self._telemetry = instruments
        self._tasks = application.TaskOwner()
        # Records that are not part of an append, in order.
        self._queue: collections.deque[_Pending] = collections.deque()
        # All records whose callers wait.
        self._waiting: set[_Pending] = set()
        self._appends: list[_Append] = []
        self._timeout = decisions.AdaptiveTimeout()
        self._watcher: asyncio.Task[None] | None = None
        # Number of the store's answers at the last look, and when it rose.
        self._answers = 0
        self._answered_at = float('-inf')
        self._given_up_at = float('-inf')
        self._stopped = False

    @property
    def given_up_at(self) -> float:
        """Return when a record was last given up at a silent store.

        Monotonic seconds, minus infinity if that never happened.
        """
        return self._given_up_at

    @property
    def refuses(self) -> bool:
        """Return whether the store is silent while it should answer."""
        return self._observe_silence().refuses

    def is_waiting(self, key: str) -> bool:
        """Return whether a record with a key waits to be stored."""
        return any(pending.key == key for pending in self._waiting)

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        self._stopped = True
        for pending in self._queue:
            pending.settle(pending.failure, 'the entry stops')
        self._queue.clear()
        await self._tasks.cancel()
        for pending in tuple(self._waiting):
            pending.settle(pending.failure, 'the entry stops')

    async def append(
        self, key: str, record: bytes, limit: float
    ) -> AppendResult:
        """Append a record; return its outcome.

        Returns at the limit, in monotonic seconds, at the latest. The record
        also counts as stored if it appears in the ledger first.
        """
        now = self._clock.read_monotonic()
        pending = _Pending(key, record, limit, now)
        if self._stopped:
            pending.settle(pending.failure, 'the entry stops')
            return await pending.result
        seen = asyncio.ensure_future(self._ledger.wait_for(key))
        seen.add_done_callback(lambda _: self._handle_seen(pending, seen))
        self._queue.append(pending)
        self._waiting.add(pending)
        try:
            self._send_next()
            if self._watcher is None:
                self._watcher = self._tasks.spawn(self._watch())
            result = await pending.result
        finally:
            # A record whose caller is gone is not sent any more.
            self._waiting.discard(pending)
            if not pending.sent and pending in self._queue:
                self._queue.remove(pending)
            seen.cancel()
        self._telemetry.append_wait.record(
            self._clock.read_monotonic() - now,
            {'outcome': result.outcome.name.lower()},
        )
        return result

    def _handle_seen(
        self, pending: _Pending, seen: asyncio.Future[None]
    ) -> None:
        if seen.cancelled():
            return
        pending.settle(_responses.Outcome.ACCEPTED, 'seen in the ledger')
        for append in self._appends:
            if pending in append.batch and all(
                other.result.done() for other in append.batch
            ):
                # Its answer may be lost, and nobody waits for it.
                assert append.task is not None
                append.task.cancel()

    async def _watch(self) -> None:
        """Answer the callers whose records cannot be waited for."""
        try:
            while self._waiting:
                await self._clock.sleep(CHECK_SECONDS)
                silence = self._observe_silence()
                now = self._clock.read_monotonic()
                for pending in tuple(self._waiting):
                    wait = decisions.AppendWait(
                        pending.limit - now, pending.sent
                    )
                    if decisions.must_answer(wait, silence):
                        self._give_up(pending, silence, now)
                self._send_next()
        finally:
            self._watcher = None

    def _give_up(
        self, pending: _Pending, silence: decisions.StoreSilence, now: float
    ) -> None:
        if pending.result.done():
            return
        outcome = pending.failure
        LOGGER.info(
            'A record is not waited for any longer.',
            key=pending.key,
            outcome=outcome.name.lower(),
            sent=pending.sent,
            waited=round(now - pending.queued_at, 3),
            remaining=round(pending.limit - now, 3),
            store_silence=round(silence.seconds, 3),
            store_timeout=round(silence.timeout_seconds, 3),
            queued=len(self._queue),
            appends=len(self._appends),
        )
        if silence.refuses:
            self._given_up_at = now
        pending.settle(
            outcome,
            f'{"no answer" if pending.sent else "not sent"} after '
            f'{now - pending.queued_at:.2f} s, store silent for '
            f'{silence.seconds:.2f} s',
        )

    def _observe_silence(self) -> decisions.StoreSilence:
        now = self._clock.read_monotonic()
        answers = self._store.answers
        if answers != self._answers:
            self._answers = answers
            self._answered_at = now
        seconds = 0.0
        if self._appends:
            oldest = min(append.started_at for append in self._appends)
            seconds = now - max(self._answered_at, oldest)
        return decisions.StoreSilence(seconds, self._timeout.seconds)

    def _send_next(self) -> None:
        now = self._clock.read_monotonic()
        while self._queue and not self._stopped:
            timeout = self._timeout.compute_for_request(
                max(
                    (
                        sum(len(pending.record) for pending in append.batch)
                        for append in self._appends
                    ),
                    default=0,
                )
            )
            ages = [now - append.started_at for append in self._appends]
            silence = self._observe_silence()
            if not decisions.may_append(ages, timeout, silence):
                return
            batch = self._take_batch(now)
            if not batch:
                return
            append = _Append(batch, now)
            self._appends.append(append)
            append.task = self._tasks.spawn(self._run(append))

    def _take_batch(self, now: float) -> list[_Pending]:
        """Remove and return the next records, up to the maximum size."""
        batch: list[_Pending] = []
        size = 0
        kept: list[_Pending] = []
        while self._queue:
            pending = self._queue[0]
            if batch and size + len(pending.record) > MAX_APPEND_BYTES:
                break
            self._queue.popleft()
            if pending.result.done():
                continue
            if not decisions.is_worth_sending(
                pending.limit - now, self._timeout.average_seconds
            ):
                kept.append(pending)
                continue
            batch.append(pending)
            size += len(pending.record)
        self._queue.extendleft(reversed(kept))
        return batch

    async def _run(self, append: _Append) -> None:
        try:
            await self._store_batch(append.batch)
        finally:
            self._appends.remove(append)
            for pending in append.batch:
                if pending.sent:
                    pending.settle(pending.failure, 'the append was aborted')
            self._send_next()

    async def _store_batch(self, batch: list[_Pending]) -> None:
        """Append records in one call, or in several if it is refused."""
        batch = [pending for pending in batch if not pending.result.done()]
        if not batch:
            return
        started_at = self._clock.read_monotonic()
        for pending in batch:
            pending.sent = True
            pending.tries += 1
        self._telemetry.append_records.record(len(batch))
        try:
            end_offset = await self._store.append(
                coordination.SYSTEM_TOPIC,
                b''.join(pending.record for pending in batch),
                timeout_seconds=max(
                    MIN_CALL_SECONDS,
                    *(pending.limit - started_at for pending in batch),
                ),
            )
        except platform.RecordRefusedError as error:
            for pending in batch:
                pending.sent = False
            if len(batch) == 1:
                batch[0].settle(batch[0].failure, str(error))
                return
            # Find the records that the store does not take.
            middle = len(batch) // 2
            await self._store_batch(batch[:middle])
            await self._store_batch(batch[middle:])
        except errors.RefusedError as error:
            for pending in batch:
                pending.sent = False
                pending.settle(pending.failure, str(error))
        except errors.UnavailableError as error:
            self._timeout.record_timeout()
            self._handle_unanswered(batch, str(error))
        else:
            self._timeout.record_reply(
                self._clock.read_monotonic() - started_at
            )
            self._handle_stored(batch, end_offset)

    def _handle_unanswered(self, batch: list[_Pending], detail: str) -> None:
        """Put records whose append got no answer back into the queue.

        The ledger takes a record only once.
        """
        repeated = []
        for pending in batch:
            pending.sent = False
            pending.maybe_stored = True
            if pending.tries >= MAX_TRIES:
                pending.settle(pending.failure, detail)
            elif not pending.result.done():
                repeated.append(pending)
        self._queue.extendleft(reversed(repeated))

    def _handle_stored(self, batch: list[_Pending], end_offset: int) -> None:
        first_offset = end_offset - len(batch)
        for offset, pending in enumerate(batch, first_offset):
            # Apply the record now rather than when it is read from the store.
            for record in platform.decode_records(pending.record, offset):
                self._ledger.apply(record)
            pending.settle(_responses.Outcome.ACCEPTED, f'offset {offset}')
