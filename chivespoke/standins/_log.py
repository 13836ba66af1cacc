"""An in-memory fake of the platform's log with fault injection."""

import asyncio

import msgspec

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication

PEER = 'memory log'


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configure the faults that the log injects."""

    # Whether appends are refused, and whether reads fail.
    append_down: bool = False
    read_down: bool = False
    # Seconds before an append takes effect, and before a read starts.
    append_delay: float = 0.0
    read_delay: float = 0.0
    # Number of appends that take effect but report a lost answer.
    lost_answers: int = 0
    # Number of appends that are stored twice.
    duplicates: int = 0
    # Number of appends that are stored with a corrupted last byte.
    corruptions: int = 0


class _Stream:
    """Hold the retained records of one stream."""

    __slots__ = ('records', 'earliest', 'appended_at', 'changed')

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.earliest = 0
        self.appended_at: list[float] = []
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)

    def drop_oldest(self, count: int) -> None:
        """Drop a number of the oldest records."""
        del self.records[:count]
        del self.appended_at[:count]
        self.earliest += count


class MemoryLog(replication.Log):
    """Keep the records of streams in memory for a retention period."""

    __slots__ = ('faults', 'appends', 'reads', '_clock', '_streams', '_keep')

    def __init__(
        self, clock: clocks.Clock, retention: float = float('inf')
    ) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self.reads = 0
        self._clock = clock
        self._keep = retention
        self._streams: dict[str, _Stream] = {}

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        if self.faults.append_delay:
            await self._clock.sleep(self.faults.append_delay)
        if self.faults.append_down:
            raise errors.RefusedError(
                'append', PEER, 'appends are down (injected fault)'
            )
        if self.faults.corruptions:
            self.faults.corruptions -= 1
            payload = payload[:-1] + bytes((payload[-1] ^ 0xFF,))
        offset = self._store(stream, payload)
        if self.faults.duplicates:
            self.faults.duplicates -= 1
            self._store(stream, payload)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise errors.UnavailableError(
                'append', PEER, 'answer lost (injected fault)'
            )
        return identifiers.Offset(offset)

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> replication.LogPage:
        self.reads += 1
        if self.faults.read_delay:
            await self._clock.sleep(self.faults.read_delay)
        self._check_readable()
        state = self._open(stream)
        self._apply_retention(state)
        if start >= state.end and wait_seconds > 0:
            await self._wait_for_append(state, wait_seconds)
            self._check_readable()
            self._apply_retention(state)
        first = max(start, state.earliest)
        start_index = first - state.earliest
        return replication.LogPage(
            tuple(
                replication.LogRecord(
                    identifiers.Offset(first + index), payload
                )
                for index, payload in enumerate(
                    state.records[start_index : start_index + limit]
                )
            ),
            identifiers.Offset(state.earliest),
            identifiers.Offset(state.end),
        )

    def truncate(self, stream: str, earliest: int) -> None:
        """Drop the records before an offset."""
        state = self._open(stream)
        state.drop_oldest(min(max(earliest - state.earliest, 0), state.end))

    def _store(self, stream: str, payload: bytes) -> int:
        self.appends += 1
        state = self._open(stream)
        state.records.append(payload)
        state.appended_at.append(self._clock.read_monotonic())
        changed, state.changed = state.changed, asyncio.Event()
        changed.set()
        return state.end - 1

    def _open(self, stream: str) -> _Stream:
        return self._streams.setdefault(stream, _Stream())

    def _check_readable(self) -> None:
        if self.faults.read_down:
            raise errors.UnavailableError(
                'read', PEER, 'reads are down (injected fault)'
            )

    def _apply_retention(self, state: _Stream) -> None:
        retained_from = self._clock.read_monotonic() - self._keep
        count = 0
        while (
            count < len(state.appended_at)
            and state.appended_at[count] < retained_from
        ):
            count += 1
        if count:
            state.drop_oldest(count)

    async def _wait_for_append(self, state: _Stream, seconds: float) -> None:
        changed = asyncio.ensure_future(state.changed.wait())
        timeout = asyncio.ensure_future(self._clock.sleep(seconds))
        try:
            await asyncio.wait(
                (changed, timeout), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
            timeout.cancel()
