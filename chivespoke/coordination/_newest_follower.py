"""Continuous reading of a topic of which only the newest records count."""

from chivespoke import clock
from chivespoke.coordination import _followers
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('follower')

# Age of the fold from which on the log holds more superseded records than is
# worth reading.
MAX_LOG_AGE_SECONDS = 2.0


class NewestFollower(_followers.TopicFollower):
    """Keep a fold at the newest records of a topic, skipping superseded ones.

    The log is read while one read reaches its end. Beyond that the newest
    record of each key is read, until the topic no longer changes meanwhile:
    on a narrow link each superseded record would delay the one that counts.
    """

    __slots__ = (
        '_max_read_bytes',
        '_end_offset',
        '_must_refresh',
        '_offsets',
    )

    def __init__(
        self,
        store: platform.Store,
        topic: str,
        fold: _followers.TopicFold,
        time: clock.Clock,
        max_record_bytes: int,
    ) -> None:
        super().__init__(store, topic, fold, time, 0.0)
        self._max_read_bytes = max_record_bytes + platform.RECORD_HEADER_BYTES
        # Last known end of the log.
        self._end_offset = 0
        # The log has records beyond the last read.
        self._must_refresh = False
        # Offset of the last record that was applied, by key.
        self._offsets: dict[str, int] = {}

    async def _read_next(self) -> None:
        if (
            self._next_offset is None
            or self._must_refresh
            or self.measure_age() > MAX_LOG_AGE_SECONDS
        ):
            await self._refresh()
        else:
            await self._read_log(self._next_offset)

    async def _read_log(self, start: int) -> None:
        requested_at = self._clock.read_monotonic()
        wait_seconds = self._choose_wait()
        page = await self._store.read(
            self._topic,
            start,
            wait_seconds,
            max_bytes=self._max_read_bytes,
        )
        self._apply(page.records)
        self._next_offset = page.next_offset
        self._end_offset = page.end_offset
        if page.next_offset < page.end_offset:
            self._must_refresh = True
            self._log_unread(page, requested_at)
            return
        self._up_to_date_at = (
            requested_at if page.records else requested_at + wait_seconds
        )

    async def _refresh(self) -> None:
        """Read the newest record of each key.

        Each record is at least as new as the first request.
        """
        requested_at = self._clock.read_monotonic()
        first_end: int | None = None
        keys: set[str] = set()
        last_key = ''
        is_last = False
        while not is_last:
            page = await self._store.read_newest(self._topic, last_key)
            self._apply(page.records)
            keys.update(record.key for record in page.records)
            if first_end is None:
                first_end = page.end_offset
            if page.records:
                last_key = page.records[-1].key
            is_last = page.is_last
        assert first_end is not None
        self._fold.retain(frozenset(keys))
        # A topic that changed during one call is likely to change during the
        # next one.
        self._must_refresh = self._must_refresh and (
            first_end > self._end_offset
        )
        self._next_offset = first_end
        self._end_offset = first_end
        self._up_to_date_at = requested_at
        LOGGER.info(
            'The newest records of a topic were read.',
            topic=self._topic,
            records=len(keys),
            skipped_to=first_end,
            seconds=self._clock.read_monotonic() - requested_at,
            goes_on=self._must_refresh,
        )

    def _apply(self, records: tuple[platform.Record, ...]) -> None:
        # The log from the end of the first page on repeats records of later
        # pages.
        newer = tuple(
            record
            for record in records
            if record.offset > self._offsets.get(record.key, -1)
        )
        super()._apply(newer)
        self._offsets.update((record.key, record.offset) for record in newer)
