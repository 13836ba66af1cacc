"""Continuous reading of a keyed topic of the store."""

import abc
import asyncio
import math

from chivespoke import application
from chivespoke import clock
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('follower')

# Age up to which the store may delay the answer to a read until new records
# arrive. A silent connection is detected within this time plus the timeout of
# one call.
READ_WAIT_SECONDS = 1.0
# Pause after repeated failed reads: short enough for a bound of 2 s on the age
# of the data, long enough not to overload a recovering store with the retries
# of all processes.
RETRY_SECONDS = 0.25
# A warning is logged once per this many consecutive failed reads.
READS_PER_WARNING = 10
# Pause after the first failed read, which may be a single reset connection.
FIRST_RETRY_SECONDS = 0.02


class TopicFold(abc.ABC):
    """Fold the records of a keyed topic into a state."""

    @abc.abstractmethod
    def apply(self, record: platform.Record) -> None:
        """Apply one record; raise RefusedError if it is unreadable."""

    def begin_page(self, written_after: float, read_at: float) -> None:
        """Announce a page, and the monotonic times around its records.

        They were written after the time at which the fold was last known to be
        up to date, and before the page was read.
        """
        return None

    @abc.abstractmethod
    def retain(self, keys: frozenset[str]) -> None:
        """Drop state whose key is not among the keys of a full read."""


class FullRead:
    """Track a full read of a topic, which takes several pages.

    The log is followed from the end of the first page on while the other pages
    are read, so that a long read does not fall behind the history that the
    store keeps. A record is applied only if no later one of its key is.
    """

    __slots__ = (
        'started_at',
        'last_key',
        'pages_complete',
        'value_bytes',
        '_offsets',
    )

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        # Last key of the pages that were read.
        self.last_key = ''
        self.pages_complete = False
        self.value_bytes = 0
        # Offset of the last record that was applied, by key.
        self._offsets: dict[str, int] = {}

    @property
    def keys(self) -> frozenset[str]:
        """Return the keys of all records that were read."""
        return frozenset(self._offsets)

    def admit(self, record: platform.Record) -> bool:
        """Return whether a record is to be applied."""
        if record.offset < self._offsets.get(record.key, -1):
            return False
        self._offsets[record.key] = record.offset
        self.value_bytes += len(record.value)
        return True


class TopicFollower(application.Component):
    """Keep a fold up to date and measure the age of its data."""

    __slots__ = (
        '_store',
        '_topic',
        '_fold',
        '_clock',
        '_read_pause_seconds',
        '_tasks',
        '_next_offset',
        '_full_read',
        '_up_to_date_at',
        '_reachable',
        '_failures',
        '_unreadable_records',
        '_changed',
    )

    def __init__(
        self,
        store: platform.Store,
        topic: str,
        fold: TopicFold,
        time: clock.Clock,
        read_pause_seconds: float,
    ) -> None:
        self._store = store
        self._topic = topic
        self._fold = fold
        self._clock = time
        # Pause after a read with records, so that the next read returns more
        # records at once.
        self._read_pause_seconds = read_pause_seconds
        self._tasks = application.TaskOwner()
        self._next_offset: int | None = None
        # The full read in progress. It outlives failed calls, so that a large
        # topic can be read over an unreliable connection.
        self._full_read: FullRead | None = None
        # Monotonic time at which the fold was last known to be up to date.
        self._up_to_date_at: float | None = None
        self._reachable = True
        # Number of failed reads in a row.
        self._failures = 0
        self._unreadable_records = 0
        self._changed = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Return whether the topic has been read in full."""
        return self._next_offset is not None and self._full_read is None

    @property
    def was_loaded(self) -> bool:
        """Return whether the topic has ever been read in full."""
        return self._up_to_date_at is not None

    @property
    def reachable(self) -> bool:
        """Return whether the store answered one of the last two reads."""
        return self._reachable

    @property
    def unreadable_records(self) -> int:
        """Return the number of records that were skipped as unreadable."""
        return self._unreadable_records

    def set_read_pause(self, seconds: float) -> None:
        """Set the pause after a read with records."""
        self._read_pause_seconds = seconds

    def measure_age(self) -> float:
        """Return for how many seconds the fold may have been out of date.

        Returns infinity before the first read.
        """
        if self._up_to_date_at is None:
            return float('inf')
        return self._clock.read_monotonic() - self._up_to_date_at

    async def wait_until(self, offset: int) -> None:
        """Wait until all records before an offset are applied."""
        while (
            self._next_offset is None
            or self._full_read is not None
            or self._next_offset < offset
        ):
            self._changed.clear()
            await self._changed.wait()

    async def wait_for_proof(self, at: float) -> None:
        """Wait until all records from before a monotonic time are applied."""
        while self._up_to_date_at is None or self._up_to_date_at < at:
            self._changed.clear()
            await self._changed.wait()

    async def start(self) -> None:
        self._tasks.spawn(self._follow())

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_next()
            except errors.InvariantError:
                raise
            except platform.TruncatedError as error:
                LOGGER.warning(
                    'The store dropped unread records; reading all again.',
                    topic=self._topic,
                    offset=self._next_offset,
                    error=error,
                )
                self._next_offset = None
                await self._clock.sleep(FIRST_RETRY_SECONDS)
            except errors.ChivespokeError as error:
                self._failures += 1
                if self._failures == 1:
                    await self._clock.sleep(FIRST_RETRY_SECONDS)
                    continue
                self._set_reachable(False, str(error))
                if self._failures % READS_PER_WARNING == 0:
                    LOGGER.warning(
                        'Reads from the store still fail; retrying.',
                        topic=self._topic,
                        failures=self._failures,
                        offset=self._next_offset,
                        error=error,
                    )
                await self._clock.sleep(RETRY_SECONDS)
            except Exception as error:
                # The fold failed on a record. The same records are read
                # again; applying a record twice has no effect.
                LOGGER.error(
                    'Records could not be applied; reading them again.',
                    topic=self._topic,
                    offset=self._next_offset,
                    error=repr(error),
                )
                await self._clock.sleep(RETRY_SECONDS)
            else:
                self._failures = 0
                self._set_reachable(True, '')
                self._changed.set()

    async def _read_next(self) -> None:
        if self._next_offset is None:
            self._full_read = FullRead(self._clock.read_monotonic())
        if self._full_read is not None and not self._full_read.pages_complete:
            await self._read_newest_page(self._full_read)
        assert self._next_offset is not None
        requested_at = self._clock.read_monotonic()
        wait_seconds = self._choose_wait() if self._full_read is None else 0.0
        page = await self._store.read(
            self._topic, self._next_offset, wait_seconds
        )
        self._apply(page.records)
        self._next_offset = page.next_offset
        if page.next_offset < page.end_offset:
            self._log_unread(page, requested_at)
            return
        if self._full_read is not None:
            if not self._full_read.pages_complete:
                return
            self._finish_full_read(self._full_read)
        # The store answers without records only at the end of the wait, so
        # the fold was still up to date at that time.
        self._up_to_date_at = (
            requested_at if page.records else requested_at + wait_seconds
        )
        if page.records and self._read_pause_seconds:
            await self._clock.sleep(self._read_pause_seconds)

    def _choose_wait(self) -> float:
        """Return a wait, in whole milliseconds, that bounds the age."""
        seconds = max(0.0, READ_WAIT_SECONDS - self.measure_age())
        return math.floor(seconds * 1000) / 1000

    async def _read_newest_page(self, full_read: FullRead) -> None:
        page = await self._store.read_newest(self._topic, full_read.last_key)
        self._apply(page.records)
        if self._next_offset is None:
            self._next_offset = page.end_offset
        if page.records:
            full_read.last_key = page.records[-1].key
        full_read.pages_complete = page.is_last

    def _log_unread(self, page: platform.Page, requested_at: float) -> None:
        LOGGER.info(
            'A topic has records beyond the page.',
            topic=self._topic,
            records=len(page.records),
            value_bytes=sum(len(record.value) for record in page.records),
            offset=page.next_offset,
            end_offset=page.end_offset,
            seconds=self._clock.read_monotonic() - requested_at,
            age=self.measure_age(),
        )

    def _finish_full_read(self, full_read: FullRead) -> None:
        self._fold.retain(full_read.keys)
        self._full_read = None
        LOGGER.info(
            'A topic was read in full.',
            topic=self._topic,
            records=len(full_read.keys),
            value_bytes=full_read.value_bytes,
            offset=self._next_offset,
            seconds=self._clock.read_monotonic() - full_read.started_at,
            failures=self._failures,
        )

    def _apply(self, records: tuple[platform.Record, ...]) -> None:
        if self._up_to_date_at is not None:
            self._fold.begin_page(
                self._up_to_date_at, self._clock.read_monotonic()
            )
        for record in records:
            if self._full_read is None or self._full_read.admit(record):
                self._apply_record(record)

    def _apply_record(self, record: platform.Record) -> None:
        """Apply a record; skip it if it is unreadable.

        The topics have other writers. What the fold knows of the key stays.
        """
        try:
            self._fold.apply(record)
        except errors.RefusedError as error:
            self._unreadable_records += 1
            LOGGER.error(
                'A record cannot be read; skipped.',
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                error=error,
            )

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            LOGGER.info('The store is reachable again.', topic=self._topic)
        else:
            LOGGER.warning(
                'The store is unreachable.', topic=self._topic, error=detail
            )
