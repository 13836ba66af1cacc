"""Group commit: appends many records at once, bounded in delay and size."""

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
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# A stopping process waits this long for its queued records.
DRAIN_TIMEOUT_SECONDS = 3.0


class CommitLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limit the rate, size and retries of a process's appends."""

    # How long the first record of a frame waits for more records.
    linger_seconds: float = 0.02
    # Minimum interval between the starts of two appends to one stream.
    append_interval_seconds: float = 0.25
    max_frame_bytes: int = 256 * 1024
    max_frame_records: int = 4096
    # Records that would exceed this backlog of a stream are refused.
    max_backlog_bytes: int = 4 * 1024 * 1024
    # Appends in flight at once, over all streams.
    max_concurrent_appends: int = 8
    # A frame is retried for this long, then its records fail.
    append_timeout_seconds: float = 30.0


class _PendingRecord(typing.NamedTuple):
    kind: _frame.FrameKind
    record: bytes
    committed_offset: asyncio.Future[identifiers.Offset]


class _StreamQueue:
    """Hold the records of one stream that wait to be appended."""

    __slots__ = (
        'name',
        'queue',
        'queued_bytes',
        'has_records',
        'sequence',
        'observed_offset',
        'has_task',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: collections.deque[_PendingRecord] = collections.deque()
        self.queued_bytes = 0
        self.has_records = asyncio.Event()
        self.sequence = 0
        # Set once a task appends the records; it needs a running loop.
        self.has_task = False
        # Resolved when the frame in flight is read back from the stream.
        self.observed_offset: asyncio.Future[identifiers.Offset] | None = None


class GroupCommitter(application.Component):
    """Append records in frames, one append at a time per stream.

    If the answer to an append is lost, the frame is sent again with the same
    sequence number, so it takes effect at most once. Once the next frame has
    been appended, its higher number fences off frames that timed out.
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
        '_append_slots',
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
        self._streams: dict[str, _StreamQueue] = {}
        # The semaphore is fair and each stream has at most one append in
        # flight, so that no stream can starve the others.
        self._append_slots = asyncio.Semaphore(
            self._limits.max_concurrent_appends
        )
        self._tasks = application.TaskOwner()
        self._random = random.Random(seed)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        """Wait a bounded time until queued records are committed."""
        pending = [
            item.committed_offset
            for stream in self._streams.values()
            for item in stream.queue
        ]
        if pending:
            await asyncio.wait(pending, timeout=DRAIN_TIMEOUT_SECONDS)

    async def stop(self) -> None:
        await self._tasks.cancel()

    def watch(self, replica: _replica.Replica[typing.Any]) -> None:
        """Detect in the replica the frames whose answer was lost."""
        stream = self._get_or_create_queue(replica.stream)

        def handle_frame(applied: _replica.AppliedFrame) -> None:
            pending = stream.observed_offset
            if (
                pending is not None
                and not pending.done()
                and not applied.repeated
                and applied.author == self.author
                and applied.sequence == stream.sequence
            ):
                pending.set_result(applied.offset)

        replica.add_listener(handle_frame)

    def compute_backlog_share(self, stream: str) -> float:
        """Return the used share of a stream's backlog limit."""
        state = self._streams.get(stream)
        queued = state.queued_bytes if state is not None else 0
        return queued / self._limits.max_backlog_bytes

    async def commit(
        self,
        stream: str,
        record: bytes,
        kind: _frame.FrameKind = _frame.FrameKind.RECORDS,
    ) -> identifiers.Offset:
        """Append a record and return the offset of its frame.

        Raise RefusedError when the record was not appended, because the
        backlog is full or the log refused it until the timeout. Raise
        UnavailableError when the outcome is unknown; the stream shows it.
        """
        return await asyncio.shield(self.submit(stream, record, kind))

    def submit(
        self,
        stream: str,
        record: bytes,
        kind: _frame.FrameKind = _frame.FrameKind.RECORDS,
    ) -> asyncio.Future[identifiers.Offset]:
        """Queue a record without waiting; records keep their order.

        Raise RefusedError when the backlog is full. The future ends like
        commit.
        """
        state = self._get_or_create_queue(stream)
        if state.queued_bytes + len(record) > self._limits.max_backlog_bytes:
            raise errors.RefusedError(
                STEP, stream, 'the backlog of the stream is full'
            )
        committed_offset: asyncio.Future[identifiers.Offset] = (
            asyncio.get_running_loop().create_future()
        )
        # Avoid asyncio's warning when a cancelled caller reads no result.
        committed_offset.add_done_callback(_consume_exception)
        if not state.has_task:
            state.has_task = True
            self._tasks.spawn_loop(self._run, state)
        state.queue.append(_PendingRecord(kind, record, committed_offset))
        state.queued_bytes += len(record)
        state.has_records.set()
        return committed_offset

    def _get_or_create_queue(self, name: str) -> _StreamQueue:
        state = self._streams.get(name)
        if state is None:
            state = self._streams[name] = _StreamQueue(name)
        return state

    async def _run(self, stream: _StreamQueue) -> None:
        next_append = 0.0
        while True:
            await stream.has_records.wait()
            now = self._clock.read_monotonic()
            delay = max(next_append - now, self._limits.linger_seconds)
            if delay > 0:
                await self._clock.sleep(delay)
            items = self._dequeue_frame_records(stream)
            next_append = (
                self._clock.read_monotonic()
                + self._limits.append_interval_seconds
            )
            await self._append(stream, items)

    def _dequeue_frame_records(
        self, stream: _StreamQueue
    ) -> list[_PendingRecord]:
        kind = stream.queue[0].kind
        items: list[_PendingRecord] = []
        size = 0
        while stream.queue and len(items) < self._limits.max_frame_records:
            item = stream.queue[0]
            size += len(item.record)
            full = size > self._limits.max_frame_bytes
            if items and (full or item.kind is not kind):
                break
            items.append(stream.queue.popleft())
            stream.queued_bytes -= len(item.record)
            # A frame holds a single marker or a single part of a snapshot.
            if kind is not _frame.FrameKind.RECORDS:
                break
        if not stream.queue:
            stream.has_records.clear()
        return items

    async def _append(
        self, stream: _StreamQueue, items: list[_PendingRecord]
    ) -> None:
        stream.sequence += 1
        frame = _frame.Frame(
            items[0].kind,
            self.author,
            stream.sequence,
            tuple(item.record for item in items),
        )
        payload = _frame.encode_frame(frame)
        observed_offset = asyncio.get_running_loop().create_future()
        stream.observed_offset = observed_offset
        try:
            offset = await self._append_with_retries(
                stream, payload, observed_offset
            )
        except (errors.RefusedError, errors.UnavailableError) as error:
            for item in items:
                if not item.committed_offset.done():
                    item.committed_offset.set_exception(error)
            return
        except Exception as error:
            # The caller of commit must not wait for ever. The records may have
            # been appended.
            unknown = errors.UnavailableError(STEP, stream.name, repr(error))
            for item in items:
                if not item.committed_offset.done():
                    item.committed_offset.set_exception(unknown)
            raise
        finally:
            observed_offset.cancel()
        self.records += len(items)
        for item in items:
            if not item.committed_offset.done():
                item.committed_offset.set_result(offset)

    async def _append_with_retries(
        self,
        stream: _StreamQueue,
        payload: bytes,
        observed_offset: asyncio.Future[identifiers.Offset],
    ) -> identifiers.Offset:
        deadline = (
            self._clock.read_monotonic() + self._limits.append_timeout_seconds
        )
        backoff = FIRST_BACKOFF_SECONDS
        may_have_appended = False
        while True:
            try:
                return await self._attempt_append(
                    stream.name, payload, observed_offset
                )
            except errors.UnavailableError as error:
                may_have_appended = True
                failure: errors.ChivespokeError = error
            except errors.RefusedError as error:
                failure = error
            if self._clock.read_monotonic() + backoff >= deadline:
                if may_have_appended:
                    raise errors.UnavailableError(
                        STEP, stream.name, failure.detail
                    ) from failure
                raise failure
            self.retries += 1
            await self._clock.sleep(backoff * self._random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _attempt_append(
        self,
        stream: str,
        payload: bytes,
        observed_offset: asyncio.Future[identifiers.Offset],
    ) -> identifiers.Offset:
        """Return the offset from the answer or from the stream itself.

        Raise RefusedError or UnavailableError.
        """
        if observed_offset.done():
            return observed_offset.result()
        async with self._append_slots:
            self.appends += 1
            append = asyncio.ensure_future(self._log.append(stream, payload))
            try:
                await asyncio.wait(
                    (append, observed_offset),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                if not append.done():
                    append.cancel()
        if observed_offset.done():
            append.add_done_callback(_consume_exception)
            return observed_offset.result()
        return append.result()


def _consume_exception(future: asyncio.Future[identifiers.Offset]) -> None:
    if not future.cancelled():
        future.exception()
