"""Group commit: many records an append, bounded in time, size and share."""

import asyncio
import collections
import random
import typing

import msgspec

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.replication import _frame
from chivespoke.replication import _log
from chivespoke.replication import _replica

LOGGER = logs.make_logger('committer')
STEP = 'commit a record'
RETRY_FIRST = 0.1
RETRY_MAXIMUM = 2.0
# Seconds that a stopping process waits for the log.
DRAIN_LIMIT = 3.0


class CommitLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the appends of a process."""

    # Seconds that a first record waits for others.
    linger_seconds: float = 0.02
    # Seconds between the beginnings of a stream's appends: its share.
    append_interval_seconds: float = 0.25
    max_frame_bytes: int = 256 * 1024
    max_frame_records: int = 4096
    # Bytes that may wait for one stream; more are refused.
    max_backlog_bytes: int = 4 * 1024 * 1024
    # Appends of all streams that may be under way at once.
    max_concurrent_appends: int = 8
    # Seconds after which the fate of a frame is given up as unknown.
    append_timeout_seconds: float = 30.0


class _Item(typing.NamedTuple):
    kind: _frame.FrameKind
    record: bytes
    committed: asyncio.Future[identifiers.Offset]


class _Stream:
    """Queue the records of one stream."""

    __slots__ = (
        'name',
        'queue',
        'queued_bytes',
        'filled',
        'sequence',
        'applied',
        'is_served',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: collections.deque[_Item] = collections.deque()
        self.queued_bytes = 0
        self.filled = asyncio.Event()
        self.sequence = 0
        # Whether the stream has a task yet; none before a loop runs.
        self.is_served = False
        # Resolved when the frame under way is seen in the stream.
        self.applied: asyncio.Future[identifiers.Offset] | None = None


class GroupCommitter(application.Component):
    """Append records in frames: one append at a time for each stream.

    A frame whose answer is lost is sent again under the same number, so
    that it takes effect at most once. A frame that was given up is fenced
    by the next frame's number.
    """

    __slots__ = (
        'author',
        'appends',
        'records',
        'retries',
        '_log',
        '_clock',
        '_limits',
        '_streams',
        '_slots',
        '_tasks',
        '_random',
    )

    def __init__(
        self,
        log: _log.Log,
        clock: clocks.Clock,
        author: identifiers.Incarnation,
        limits: CommitLimits | None = None,
        seed: int | None = None,
    ) -> None:
        self.author = author
        self.appends = 0
        self.records = 0
        self.retries = 0
        self._log = log
        self._clock = clock
        self._limits = limits if limits is not None else CommitLimits()
        self._streams: dict[str, _Stream] = {}
        # First come, first served, and each stream has one append under
        # way: no stream can take the others' turns.
        self._slots = asyncio.Semaphore(self._limits.max_concurrent_appends)
        self._tasks = application.TaskOwner()
        self._random = random.Random(seed)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        """Wait a while until what was submitted has been committed."""
        waiting = [
            item.committed
            for stream in self._streams.values()
            for item in stream.queue
        ]
        if waiting:
            await asyncio.wait(waiting, timeout=DRAIN_LIMIT)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def watch(self, replica: _replica.Replica[typing.Any]) -> None:
        """Learn from a replica the fate of frames whose answer was lost."""
        stream = self._open(replica.stream)

        def note(applied: _replica.AppliedFrame) -> None:
            waiting = stream.applied
            if (
                waiting is not None
                and not waiting.done()
                and not applied.repeated
                and applied.author == self.author
                and applied.sequence == stream.sequence
            ):
                waiting.set_result(applied.offset)

        replica.add_listener(note)

    def measure_backlog(self, stream: str) -> float:
        """Return the used share of a stream's backlog."""
        state = self._streams.get(stream)
        queued = state.queued_bytes if state is not None else 0
        return queued / self._limits.max_backlog_bytes

    async def commit(
        self,
        stream: str,
        record: bytes,
        kind: _frame.FrameKind = _frame.FrameKind.RECORDS,
    ) -> identifiers.Offset:
        """Return the offset of the frame that carries the record.

        Raise RefusedError when the backlog is full, UnavailableError when
        the fate is unknown; reading the stream tells it.
        """
        return await asyncio.shield(self.submit(stream, record, kind))

    def submit(
        self,
        stream: str,
        record: bytes,
        kind: _frame.FrameKind = _frame.FrameKind.RECORDS,
    ) -> asyncio.Future[identifiers.Offset]:
        """Queue a record at once, in order; see commit."""
        state = self._open(stream)
        if state.queued_bytes + len(record) > self._limits.max_backlog_bytes:
            raise errors.RefusedError(STEP, stream, 'the backlog is full')
        committed: asyncio.Future[identifiers.Offset] = (
            asyncio.get_running_loop().create_future()
        )
        # A caller that went away does not make its error unseen.
        committed.add_done_callback(_read_error)
        if not state.is_served:
            state.is_served = True
            self._tasks.spawn(self._run(state))
        state.queue.append(_Item(kind, record, committed))
        state.queued_bytes += len(record)
        state.filled.set()
        return committed

    def _open(self, name: str) -> _Stream:
        state = self._streams.get(name)
        if state is None:
            state = self._streams[name] = _Stream(name)
        return state

    async def _run(self, stream: _Stream) -> None:
        next_append = 0.0
        while True:
            await stream.filled.wait()
            now = self._clock.read_monotonic()
            pause = max(next_append - now, self._limits.linger_seconds)
            if pause > 0:
                await self._clock.sleep(pause)
            items = self._take_items(stream)
            next_append = (
                self._clock.read_monotonic()
                + self._limits.append_interval_seconds
            )
            await self._append(stream, items)

    def _take_items(self, stream: _Stream) -> list[_Item]:
        kind = stream.queue[0].kind
        items: list[_Item] = []
        size = 0
        while stream.queue and len(items) < self._limits.max_frame_records:
            item = stream.queue[0]
            size += len(item.record)
            full = size > self._limits.max_frame_bytes
            if items and (full or item.kind is not kind):
                break
            items.append(stream.queue.popleft())
            stream.queued_bytes -= len(item.record)
            # Marks and parts of snapshots go one to a frame.
            if kind is not _frame.FrameKind.RECORDS:
                break
        if not stream.queue:
            stream.filled.clear()
        return items

    async def _append(self, stream: _Stream, items: list[_Item]) -> None:
        stream.sequence += 1
        frame = _frame.Frame(
            items[0].kind,
            self.author,
            stream.sequence,
            tuple(item.record for item in items),
        )
        payload = _frame.encode_frame(frame)
        applied = asyncio.get_running_loop().create_future()
        stream.applied = applied
        try:
            offset = await self._append_until_known(stream, payload, applied)
        except (errors.RefusedError, errors.UnavailableError) as error:
            for item in items:
                if not item.committed.done():
                    item.committed.set_exception(error)
            return
        finally:
            applied.cancel()
        self.records += len(items)
        for item in items:
            if not item.committed.done():
                item.committed.set_result(offset)

    async def _append_until_known(
        self,
        stream: _Stream,
        payload: bytes,
        applied: asyncio.Future[identifiers.Offset],
    ) -> identifiers.Offset:
        deadline = (
            self._clock.read_monotonic() + self._limits.append_timeout_seconds
        )
        pause = RETRY_FIRST
        uncertain = False
        while True:
            try:
                return await self._try(stream.name, payload, applied)
            except errors.UnavailableError as error:
                uncertain = True
                failure: errors.ChivespokeError = error
            except errors.RefusedError as error:
                failure = error
            if self._clock.read_monotonic() + pause >= deadline:
                if uncertain:
                    raise errors.UnavailableError(
                        STEP, stream.name, failure.detail
                    ) from failure
                raise failure
            self.retries += 1
            await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(pause * 2, RETRY_MAXIMUM)

    async def _try(
        self,
        stream: str,
        payload: bytes,
        applied: asyncio.Future[identifiers.Offset],
    ) -> identifiers.Offset:
        """Return the offset from the answer or from the stream itself."""
        if applied.done():
            return applied.result()
        async with self._slots:
            self.appends += 1
            append = asyncio.ensure_future(self._log.append(stream, payload))
            try:
                await asyncio.wait(
                    (append, applied), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                if not append.done():
                    append.cancel()
        if applied.done():
            append.add_done_callback(_read_error)
            return applied.result()
        return append.result()


def _read_error(future: asyncio.Future[identifiers.Offset]) -> None:
    if not future.cancelled():
        future.exception()
