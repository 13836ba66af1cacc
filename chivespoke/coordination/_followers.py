"""Following a keyed topic of the store without an end."""

import abc
import asyncio

from chivespoke import application
from chivespoke import clock
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('follower')

# How long the store may keep a read waiting, in seconds: a connection that
# went silent is found out within this and one call's limit.
WAIT_SECONDS = 1.0
# Pause after a failed read, in seconds: quick enough for a two-second bound,
# slow enough that a herd of processes spares a store that is coming back.
RETRY_SECONDS = 0.25
# Pause after the first failure, in seconds: one reset connection is nothing.
FIRST_RETRY_SECONDS = 0.02


class TopicFold(abc.ABC):
    """Take in the records of a keyed topic."""

    @abc.abstractmethod
    def apply(self, record: platform.Record) -> None:
        """Take in one record."""

    @abc.abstractmethod
    def retain(self, keys: frozenset[str]) -> None:
        """Drop what is under no key of a whole reading."""


class TopicFollower(application.Component):
    """Keep a fold up to date, and know how old it may be."""

    __slots__ = (
        '_store',
        '_topic',
        '_fold',
        '_clock',
        '_gap',
        '_tasks',
        '_next',
        '_confirmed',
        '_reachable',
        '_failures',
        '_changed',
    )

    def __init__(
        self,
        store: platform.Store,
        topic: str,
        fold: TopicFold,
        time: clock.Clock,
        gap_seconds: float,
    ) -> None:
        self._store = store
        self._topic = topic
        self._fold = fold
        self._clock = time
        # Pause between reads, in seconds, which gathers records.
        self._gap = gap_seconds
        self._tasks = application.TaskOwner()
        self._next: int | None = None
        self._confirmed: float | None = None
        self._reachable = True
        # Reads in a row that failed.
        self._failures = 0
        self._changed = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Tell whether the topic was read whole once."""
        return self._next is not None

    @property
    def reachable(self) -> bool:
        """Tell whether the store answered one of the last two reads."""
        return self._reachable

    def set_gap(self, seconds: float) -> None:
        """Set the pause between reads."""
        self._gap = seconds

    def measure_age(self) -> float:
        """Return for how many seconds the fold may have been out of date."""
        if self._confirmed is None:
            return float('inf')
        return self._clock.read_monotonic() - self._confirmed

    async def wait_until(self, offset: int) -> None:
        """Return once all records before an offset are applied."""
        while self._next is None or self._next < offset:
            self._changed.clear()
            await self._changed.wait()

    async def start(self) -> None:
        self._tasks.spawn(self._follow())

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_on()
            except errors.InvariantError:
                raise
            except platform.TruncatedError as error:
                LOGGER.warning(
                    'The store forgot records; reading the newest.',
                    topic=self._topic,
                    offset=self._next,
                    error=error,
                )
                self._next = None
            except errors.ChivespokeError as error:
                self._failures += 1
                if self._failures == 1:
                    await self._clock.sleep(FIRST_RETRY_SECONDS)
                    continue
                self._note_reachable(False, str(error))
                await self._clock.sleep(RETRY_SECONDS)
            except Exception as error:
                # Whoever takes the records in has failed; they are read
                # again, which changes nothing for those that were taken in.
                LOGGER.error(
                    'Records could not be taken in; reading them again.',
                    topic=self._topic,
                    offset=self._next,
                    error=repr(error),
                )
                await self._clock.sleep(RETRY_SECONDS)
            else:
                self._failures = 0
                self._note_reachable(True, '')
                self._changed.set()

    async def _read_on(self) -> None:
        asked = self._clock.read_monotonic()
        waited = 0.0 if self._next is None else WAIT_SECONDS
        if self._next is None:
            page = await self._store.read_newest(self._topic)
            keys = frozenset(record.key for record in page.records)
            self._fold.retain(keys)
        else:
            page = await self._store.read(
                self._topic, self._next, WAIT_SECONDS
            )
        for record in page.records:
            self._fold.apply(record)
        self._next = page.next_offset
        # An answer without records came after the whole wait.
        self._confirmed = asked if page.records else asked + waited
        if page.records and self._gap:
            await self._clock.sleep(self._gap)

    def _note_reachable(self, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            LOGGER.info('The store answers again.', topic=self._topic)
        else:
            LOGGER.warning(
                'The store does not answer.', topic=self._topic, error=detail
            )
