"""Followers: keep a replica up to date and measure how stale it is."""

import abc
import asyncio
import collections.abc
import random
import typing

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.replication import _frame
from chivespoke.replication import _log
from chivespoke.replication import _replica

LOGGER = logs.make_logger('follower')
# The size of a page in bytes is not known before it is read. The limit on its
# records doubles after each full page and is halved by each failed read, so
# that a page arrives over a connection that does not last long.
FIRST_PAGE_RECORDS = 16
MAX_PAGE_RECORDS = 512
# Bounds the records of a relayed page, so that they do not delay the messages
# behind them for long; a page holds at least one record.
MAX_RELAYED_BYTES = 64 * 1024
# How long a read waits for a first record; it bounds the read age while the
# log answers.
POLL_WAIT_SECONDS = 1.0
# The back-off after a failed read doubles up to the maximum.
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0

Result = typing.TypeVar('Result')


class RelayAnswer(typing.NamedTuple):
    """Hold records of a stream, or its state, that a peer forwards.

    The records may end before the end of the page.
    """

    page: _log.LogPage
    # The age of the peer's read, when it answered, that the page is based on;
    # None if no read of the peer has reached the end of the stream.
    read_age_seconds: float | None
    # The peer's whole state if the asker needs it or the records requested
    # are no longer cached, else empty.
    peer_state: bytes = b''
    # One part of that state, from a peer that is asked for parts.
    part: bytes = b''


class Relay(abc.ABC):
    """Request records from peers when this process cannot read the log."""

    @abc.abstractmethod
    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> RelayAnswer | None:
        """Return a peer's answer, or None when no peer has one."""


class Follower(application.Component, typing.Generic[_replica.FoldType]):
    """Long-poll one stream and apply its records to a replica."""

    __slots__ = (
        'replica',
        'last_read_at',
        'relayed_records',
        'failed_reads',
        'relay',
        '_log',
        '_poll_wait_seconds',
        '_page_limit',
        '_clock',
        '_replica_changed',
        '_tasks',
        '_relay_task',
        '_random',
    )

    def __init__(
        self,
        log: _log.Log,
        replica: _replica.Replica[_replica.FoldType],
        clock: clocks.Clock,
        relay: Relay | None = None,
        seed: int | None = None,
        poll_wait_seconds: float = POLL_WAIT_SECONDS,
    ) -> None:
        self.replica = replica
        # Monotonic start time of the last read that reached the end of the
        # stream; None before the first such read.
        self.last_read_at: float | None = None
        self.relayed_records = 0
        self.failed_reads = 0
        self.relay = relay
        self._poll_wait_seconds = poll_wait_seconds
        self._page_limit = FIRST_PAGE_RECORDS
        self._log = log
        self._clock = clock
        self._replica_changed = asyncio.Event()
        self._tasks = application.TaskOwner()
        self._relay_task: asyncio.Task[None] | None = None
        self._random = random.Random(seed)

    @property
    def fold(self) -> _replica.FoldType:
        """Return the folded state."""
        return self.replica.fold

    @property
    def is_loaded(self) -> bool:
        """Return whether the stream was once read to its end."""
        return self.last_read_at is not None

    @property
    def has_tried_to_load(self) -> bool:
        """Return whether the stream is loaded, or a read of it has failed."""
        return self.is_loaded or self.failed_reads > 0

    def measure_read_age(self) -> float:
        """Return the seconds since the start of the last read.

        Only reads that reached the end of the stream count; return inf
        before the first one.
        """
        if self.last_read_at is None:
            return float('inf')
        return self.measure_age(self.last_read_at)

    def measure_age(self, read_at: float) -> float:
        """Return the seconds since a time of a read."""
        return self._clock.read_monotonic() - read_at

    async def start(self) -> None:
        self._tasks.spawn_loop(self._run)

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def wait_until(
        self, probe: collections.abc.Callable[[], Result | None]
    ) -> Result:
        """Return the probe's first result that is not None.

        The probe is called again after every page. The wait has no timeout;
        bound it with asyncio.wait_for.
        """
        while True:
            replica_changed = self._replica_changed
            result = probe()
            if result is not None:
                return result
            await replica_changed.wait()

    async def read_once(self, wait_seconds: float = 0.0) -> None:
        """Read and apply one page; raise UnavailableError."""
        started_at = self._clock.read_monotonic()
        first_offset = self.replica.next_offset
        try:
            page = await self._log.read(
                self.replica.stream,
                self.replica.read_offset,
                self._page_limit,
                wait_seconds,
            )
        except errors.UnavailableError:
            self._page_limit = max(1, self._page_limit // 2)
            raise
        if len(page.records) >= self._page_limit:
            self._page_limit = min(MAX_PAGE_RECORDS, self._page_limit * 2)
        if first_offset <= page.end < self.replica.next_offset:
            # A peer has relayed later records during the read.
            return
        self._apply_page(page, started_at)

    async def _run(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                # The first read does not wait for a new record, so that the
                # replica is soon known to be current.
                is_first_read = self.last_read_at is None
                await self.read_once(
                    0.0 if is_first_read else self._poll_wait_seconds
                )
            except (errors.UnavailableError, errors.RefusedError):
                self.failed_reads += 1
                self._request_from_peer(needs_state=not self.replica.is_ready)
                await self._sleep_with_jitter(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            backoff = FIRST_BACKOFF_SECONDS
            replica = self.replica
            at_end = replica.read_offset >= replica.end
            if replica.fault is not None:
                await self._sleep_with_jitter(MAX_BACKOFF_SECONDS)
            elif not replica.is_ready and at_end:
                self._request_from_peer(needs_state=True)
                await self._sleep_with_jitter(FIRST_BACKOFF_SECONDS)

    async def _sleep_with_jitter(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._random.uniform(0.5, 1.0))

    def _request_from_peer(self, needs_state: bool) -> None:
        """Ask peers, unless an earlier request is still under way.

        A request may take long, and the log is read meanwhile.
        """
        if self.relay is None or (
            self._relay_task is not None and not self._relay_task.done()
        ):
            return
        self._relay_task = self._tasks.spawn(
            self._read_from_peers(self.relay, needs_state)
        )

    async def _read_from_peers(self, relay: Relay, needs_state: bool) -> None:
        """Request records until there are no more, and at most two states."""
        replica = self.replica
        states = 0
        while states < 2:
            first_offset = replica.next_offset
            started_at = self._clock.read_monotonic()
            answer = await relay.request_records(
                replica.stream, first_offset, needs_state
            )
            if answer is None:
                return
            try:
                self._apply_answer(answer, started_at)
            except _frame.UnreadableError as error:
                LOGGER.warning(
                    'Could not use the state of a peer.', error=error
                )
                return
            if replica.next_offset <= first_offset:
                return
            if (
                not answer.peer_state
                and answer.page.end <= replica.next_offset
            ):
                return
            states += bool(answer.peer_state)
            needs_state = not replica.is_ready

    def _apply_answer(self, answer: RelayAnswer, started_at: float) -> None:
        replica = self.replica
        if answer.peer_state:
            replica.restore_peer_state(answer.peer_state)
        elif not replica.is_ready:
            # The records continue a base that was discarded meanwhile.
            return
        if answer.page.end < replica.next_offset:
            # The peer is behind this replica.
            return
        self.relayed_records += len(answer.page.records)
        # The peer stated its read age after this process sent the request.
        # Its read is therefore no older than the time of the request minus
        # that age.
        if answer.read_age_seconds is not None:
            self._apply_page(answer.page, started_at - answer.read_age_seconds)
        elif answer.page.records and replica.is_ready:
            replica.apply_page(answer.page)
            self._notify()

    def _apply_page(self, page: _log.LogPage, started_at: float) -> None:
        if self.replica.apply_page(page) and self.replica.fault is None:
            if self.last_read_at is None or started_at > self.last_read_at:
                self.last_read_at = started_at
        self._notify()

    def _notify(self) -> None:
        replica_changed, self._replica_changed = (
            self._replica_changed,
            asyncio.Event(),
        )
        replica_changed.set()


def make_records_answer(
    follower: Follower[typing.Any], start: identifiers.Offset
) -> RelayAnswer | None:
    """Return a bounded page of records; None if the first is not cached."""
    replica = follower.replica
    recent = replica.list_recent(start)
    if recent is None:
        return None
    records: list[_log.LogRecord] = []
    total_bytes = 0
    for record in recent:
        total_bytes += len(record.payload)
        if records and total_bytes > MAX_RELAYED_BYTES:
            break
        records.append(record)
    # The asker ignores the answer if this replica is behind its own.
    page = _log.LogPage(tuple(records), start, replica.next_offset)
    return RelayAnswer(page, _find_read_age(follower))


def make_relay_answer(
    follower: Follower[typing.Any],
    start: identifiers.Offset,
    needs_state: bool,
) -> RelayAnswer | None:
    """Return the records or the whole state that this process can forward.

    Return None when the replica is not ready.
    """
    replica = follower.replica
    if not replica.is_ready:
        return None
    answer = None if needs_state else make_records_answer(follower, start)
    if answer is not None:
        return answer
    end = replica.next_offset
    return RelayAnswer(
        _log.LogPage((), end, end),
        _find_read_age(follower),
        replica.encode_state(),
    )


def _find_read_age(follower: Follower[typing.Any]) -> float | None:
    age = follower.measure_read_age()
    return None if age == float('inf') else age
