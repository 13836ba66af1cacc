"""The follower: keeps a replica up to date and tells how fresh it is."""

import abc
import asyncio
import collections.abc
import random
import typing

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke.replication import _log
from chivespoke.replication import _replica

# Records a read asks for.
PAGE_LIMIT = 512
# Seconds that a read waits for a first record; bounds the proof's age.
POLL_WAIT = 1.0
# Seconds between tries after a failed read, doubled up to the maximum.
RETRY_FIRST = 0.1
RETRY_MAXIMUM = 1.0

Result = typing.TypeVar('Result')


class RelayAnswer(typing.NamedTuple):
    """Hold what a peer passes on of a stream."""

    page: _log.LogPage
    # Seconds since the peer's proof, measured by the peer at its answer;
    # None when the peer has no proof itself.
    read_age_seconds: float | None
    # The peer's whole state, when the records asked for are gone.
    peer_state: bytes = b''


class Relay(abc.ABC):
    """Ask peers for records that this process could not read."""

    @abc.abstractmethod
    async def request_records(
        self, stream: str, start: identifiers.Offset, needs_state: bool
    ) -> RelayAnswer | None:
        """Return a peer's answer, or None when none could help."""


class Follower(application.Component, typing.Generic[_replica.FoldType]):
    """Long-poll one stream into a replica."""

    __slots__ = (
        'replica',
        'last_read_at',
        'relayed_records',
        'failed_reads',
        'relay',
        '_log',
        '_poll_wait',
        '_clock',
        '_changed',
        '_tasks',
        '_random',
    )

    def __init__(
        self,
        log: _log.Log,
        replica: _replica.Replica[_replica.FoldType],
        clock: clocks.Clock,
        relay: Relay | None = None,
        seed: int | None = None,
        poll_wait_seconds: float = POLL_WAIT,
    ) -> None:
        self.replica = replica
        # Monotonic time of the beginning of the last read that reached the
        # stream's end; None until there was one.
        self.last_read_at: float | None = None
        self.relayed_records = 0
        self.failed_reads = 0
        self.relay = relay
        self._poll_wait = poll_wait_seconds
        self._log = log
        self._clock = clock
        self._changed = asyncio.Event()
        self._tasks = application.TaskOwner()
        self._random = random.Random(seed)

    @property
    def fold(self) -> _replica.FoldType:
        """Return the folded state."""
        return self.replica.fold

    def measure_read_age(self) -> float:
        """Return the seconds since the state was proven; inf if never."""
        if self.last_read_at is None:
            return float('inf')
        return self._clock.read_monotonic() - self.last_read_at

    async def start(self) -> None:
        self._tasks.spawn(self._run())

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def wait_until(
        self, probe: collections.abc.Callable[[], Result | None]
    ) -> Result:
        """Return the probe's first result that is not None.

        The probe is asked again after every read; bound the wait with
        asyncio.wait_for.
        """
        while True:
            changed = self._changed
            result = probe()
            if result is not None:
                return result
            await changed.wait()

    async def read_once(self, wait_seconds: float = 0.0) -> None:
        """Read one page; raise UnavailableError."""
        began = self._clock.read_monotonic()
        page = await self._log.read(
            self.replica.stream,
            self.replica.read_offset,
            PAGE_LIMIT,
            wait_seconds,
        )
        self._take(page, began)

    async def _run(self) -> None:
        pause = RETRY_FIRST
        while True:
            try:
                # The first proof must not wait for a next record.
                first = self.last_read_at is None
                await self.read_once(0.0 if first else self._poll_wait)
            except (errors.UnavailableError, errors.RefusedError):
                self.failed_reads += 1
                await self._ask_peer(needs_state=not self.replica.is_ready)
                await self._pause(pause)
                pause = min(pause * 2, RETRY_MAXIMUM)
                continue
            pause = RETRY_FIRST
            replica = self.replica
            at_end = replica.read_offset >= replica.end
            if replica.fault is not None:
                await self._pause(RETRY_MAXIMUM)
            elif not replica.is_ready and at_end:
                await self._ask_peer(needs_state=True)
                await self._pause(RETRY_FIRST)

    async def _pause(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._random.uniform(0.5, 1.0))

    async def _ask_peer(self, needs_state: bool) -> None:
        if self.relay is None:
            return
        began = self._clock.read_monotonic()
        replica = self.replica
        answer = await self.relay.request_records(
            replica.stream, replica.next_offset, needs_state
        )
        if answer is None:
            return
        if answer.peer_state:
            replica.restore_peer_state(answer.peer_state)
        if answer.page.end < replica.next_offset:
            # The peer is behind; it has nothing to tell.
            return
        self.relayed_records += len(answer.page.records)
        # The peer's answer is no older than our question, so its proof is
        # no older than the question's time less the age that it states.
        if answer.read_age_seconds is not None:
            self._take(answer.page, began - answer.read_age_seconds)
        elif answer.page.records and replica.is_ready:
            replica.apply_page(answer.page)
            self._notify()

    def _take(self, page: _log.LogPage, began: float) -> None:
        if self.replica.apply_page(page) and self.replica.fault is None:
            if self.last_read_at is None or began > self.last_read_at:
                self.last_read_at = began
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def make_relay_answer(
    follower: Follower[typing.Any],
    start: identifiers.Offset,
    needs_state: bool,
) -> RelayAnswer | None:
    """Return what this process can pass on of a stream."""
    replica = follower.replica
    if not replica.is_ready:
        return None
    age = follower.measure_read_age()
    read_age_seconds = None if age == float('inf') else age
    records = replica.list_recent(start)
    seed = b''
    if needs_state or records is None:
        seed = replica.encode_state()
        start = replica.next_offset
        records = ()
    # A peer that is behind has nothing to tell; the asker sees it.
    end = replica.next_offset
    page = _log.LogPage(records, start, end)
    return RelayAnswer(page, read_age_seconds, seed)
