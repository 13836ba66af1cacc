"""The leader's appends to the system topic, one at a time."""

import asyncio

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

# The lines are part of the log of a term.
LOGGER = logs.make_logger('term')

PRODUCER = 'chivespoke-leader'
# A warning is logged once per this many tries of an append.
TRIES_PER_WARNING = 10


class SupersededError(errors.RefusedError):
    """Report that an append was abandoned because a later leader exists."""


class _Try:
    """Hold one call to the store and its outcome."""

    __slots__ = ('sent_at', 'task', 'end_offset', 'error')

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.task: asyncio.Task[None] | None = None
        # None until the store has confirmed the append.
        self.end_offset: int | None = None
        self.error: Exception | None = None


class Appender:
    """Append as the producer of an epoch until the store confirms it.

    Repeating an append is safe: the store accepts a sequence number only once
    and answers a repeat like the first call.
    """

    __slots__ = (
        '_store',
        '_epoch',
        '_clock',
        '_telemetry',
        '_timeout',
        '_sequence',
        '_superseded',
        '_tasks',
        '_changed',
        '_alarm',
    )

    def __init__(
        self,
        store: platform.Store,
        epoch: int,
        time: clock.Clock,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._clock = time
        self._telemetry = instruments
        self._timeout = decisions.AdaptiveTimeout()
        self._sequence = 0
        self._superseded = False
        self._tasks = application.TaskOwner()
        # Set when a try ends, and when a try is due.
        self._changed = asyncio.Event()
        # Wakes the append when its next try is due.
        self._alarm: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Abandon all calls that are under way."""
        await self._tasks.cancel()

    def supersede(self) -> None:
        """Note that a later leader exists; no further try is sent."""
        self._superseded = True

    async def append(self, records: bytes) -> int:
        """Append encoded records and return the topic's new end offset.

        Raise FencedError if the store has heard of a later epoch, and
        SupersededError if there is a later leader and no answer in time.
        """
        now = self._clock.read_monotonic()
        schedule = decisions.RepeatSchedule(self._timeout, len(records), now)
        tries: list[_Try] = []
        try:
            while True:
                end_offset = self._collect(tries, schedule, len(records))
                if end_offset is not None:
                    # The store does not number an append without records; the
                    # first append of an epoch may have any number.
                    if records or not self._sequence:
                        self._sequence += 1
                    return end_offset
                now = self._clock.read_monotonic()
                if now >= schedule.due_at:
                    self._check_superseded(schedule)
                    self._send(records, schedule, tries, now)
                await self._changed.wait()
                self._changed.clear()
        finally:
            for attempt in tries:
                _abandon(attempt.task)
            _abandon(self._alarm)

    def _check_superseded(self, schedule: decisions.RepeatSchedule) -> None:
        if self._superseded and schedule.tries:
            # The later leader reads from the store whether the append was
            # stored.
            raise SupersededError(
                'append', 'store', 'a later leader has taken over'
            )

    def _send(
        self,
        records: bytes,
        schedule: decisions.RepeatSchedule,
        tries: list[_Try],
        now: float,
    ) -> None:
        while len(tries) >= schedule.max_open_tries:
            _abandon(tries.pop(0).task)
        schedule.record_send(now)
        if schedule.tries % TRIES_PER_WARNING == 2 and tries:
            LOGGER.warning(
                'Append to the store has no answer yet; repeating.',
                sequence=self._sequence,
                tries=schedule.tries,
                open_tries=len(tries),
                oldest_seconds=now - tries[0].sent_at,
                bytes=len(records),
                next_wait=schedule.due_at - now,
            )
        attempt = _Try(now)
        producer = platform.Producer(PRODUCER, self._epoch, self._sequence)
        attempt.task = self._tasks.spawn(
            self._call(attempt, records, producer, schedule.open_seconds)
        )
        tries.append(attempt)
        self._set_alarm(schedule.due_at - now)

    def _collect(
        self,
        tries: list[_Try],
        schedule: decisions.RepeatSchedule,
        size_bytes: int,
    ) -> int | None:
        """Return the end offset if any try was answered; drop failed ones."""
        now = self._clock.read_monotonic()
        latest = tries[-1] if tries else None
        for attempt in tuple(tries):
            if attempt.end_offset is not None:
                seconds = now - attempt.sent_at
                self._timeout.record_reply(seconds)
                self._telemetry.store_latency.record(seconds)
                self._log_repeats(tries, attempt, schedule, now)
                return attempt.end_offset
            error = attempt.error
            if error is None:
                continue
            if isinstance(error, platform.FencedError) or not isinstance(
                error, errors.ChivespokeError
            ):
                raise error
            tries.remove(attempt)
            if attempt is latest:
                self._handle_failure(error, schedule, size_bytes, now)
        return None

    def _handle_failure(
        self,
        error: errors.ChivespokeError,
        schedule: decisions.RepeatSchedule,
        size_bytes: int,
        now: float,
    ) -> None:
        schedule.record_failure(
            now, isinstance(error, errors.UnavailableError)
        )
        self._check_superseded(schedule)
        if schedule.tries % TRIES_PER_WARNING == 1:
            LOGGER.warning(
                'Append to the store failed; retrying.',
                sequence=self._sequence,
                tries=schedule.tries,
                bytes=size_bytes,
                next_wait=self._timeout.seconds,
                error=error,
            )
        self._set_alarm(schedule.due_at - now)

    def _log_repeats(
        self,
        tries: list[_Try],
        answered: _Try,
        schedule: decisions.RepeatSchedule,
        now: float,
    ) -> None:
        if schedule.tries == 1:
            return
        LOGGER.info(
            'Append to the store confirmed after repeats.',
            sequence=self._sequence,
            tries=schedule.tries,
            open_tries=len(tries),
            later_tries=len(tries) - 1 - tries.index(answered),
            seconds=now - answered.sent_at,
        )

    async def _call(
        self,
        attempt: _Try,
        records: bytes,
        producer: platform.Producer,
        open_seconds: float,
    ) -> None:
        try:
            attempt.end_offset = await self._store.append(
                _records.SYSTEM_TOPIC, records, producer, open_seconds
            )
        except errors.InvariantError:
            raise
        except Exception as error:
            # The append raises it if it is not one of the store.
            attempt.error = error
        self._changed.set()

    def _set_alarm(self, seconds: float) -> None:
        _abandon(self._alarm)
        self._alarm = self._tasks.spawn(self._wake_after(seconds))

    async def _wake_after(self, seconds: float) -> None:
        await self._clock.sleep(seconds)
        self._changed.set()


def _abandon(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()
