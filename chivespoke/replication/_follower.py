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
    proof_age: float | None
    # The peer's whole state, when the records asked for are gone.
    seed: bytes = b''


class Relay(abc.ABC):
    """Ask peers for records that this process could not read."""

    @abc.abstractmethod
    async def ask(
        self, stream: str, start: identifiers.Offset, needs_seed: bool
    ) -> RelayAnswer | None:
        """Return a peer's answer, or None when none could help."""


class Follower(application.Component, typing.Generic[_replica.FoldType]):
    """Long-poll one stream into a replica."""

    __slots__ = (
        'replica',
        'proven_at',
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
        poll_wait: float = POLL_WAIT,
    ) -> None:
        self.replica = replica
        # Monotonic time of the beginning of the last read that reached the
        # stream's end; None until there was one.
        self.proven_at: float | None = None
        self.relayed_records = 0
        self.failed_reads = 0
        self.relay = relay
        self._poll_wait = poll_wait
        self._log = log
        self._clock = clock
        self._changed = asyncio.Event()
        self._tasks = application.TaskOwner()
        self._random = random.Random(seed)

    @property
    def fold(self) -> _replica.FoldType:
        """Return the folded state."""
        return self.replica.fold

    def measure_age(self) -> float:
        """Return the seconds since the state was proven; inf if never."""
        if self.proven_at is None:
            return float('inf')
        return self._clock.read_monotonic() - self.proven_at

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
                first = self.proven_at is None
                await self.read_once(0.0 if first else self._poll_wait)
            except (errors.UnavailableError, errors.RefusedError):
                self.failed_reads += 1
                await self._ask_peer(needs_seed=not self.replica.is_ready)
                await self._pause(pause)
                pause = min(pause * 2, RETRY_MAXIMUM)
                continue
            pause = RETRY_FIRST
            replica = self.replica
            at_end = replica.read_offset >= replica.end
            if replica.fault is not None:
                await self._pause(RETRY_MAXIMUM)
            elif not replica.is_ready and at_end:
                await self._ask_peer(needs_seed=True)
                await self._pause(RETRY_FIRST)

    async def _pause(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._random.uniform(0.5, 1.0))

    async def _ask_peer(self, needs_seed: bool) -> None:
        if self.relay is None:
            return
        began = self._clock.read_monotonic()
        replica = self.replica
        answer = await self.relay.ask(
            replica.stream, replica.next_offset, needs_seed
        )
        if answer is None:
            return
        if answer.seed:
            replica.take_seed(answer.seed)
        if answer.page.end < replica.next_offset:
            # The peer is behind; it has nothing to tell.
            return
        self.relayed_records += len(answer.page.records)
        # The peer's answer is no older than our question, so its proof is
        # no older than the question's time less the age that it states.
        if answer.proof_age is not None:
            self._take(answer.page, began - answer.proof_age)
        elif answer.page.records and replica.is_ready:
            replica.take_page(answer.page)
            self._notify()

    def _take(self, page: _log.LogPage, began: float) -> None:
        if self.replica.take_page(page) and self.replica.fault is None:
            if self.proven_at is None or began > self.proven_at:
                self.proven_at = began
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def answer_relay(
    follower: Follower[typing.Any],
    start: identifiers.Offset,
    needs_seed: bool,
) -> RelayAnswer | None:
    """Return what this process can pass on of a stream."""
    replica = follower.replica
    if not replica.is_ready:
        return None
    age = follower.measure_age()
    proof_age = None if age == float('inf') else age
    records = replica.list_recent(start)
    seed = b''
    if needs_seed or records is None:
        seed = replica.encode_state()
        start = replica.next_offset
        records = ()
    # A peer that is behind has nothing to tell; the asker sees it.
    end = replica.next_offset
    page = _log.LogPage(records, start, end)
    return RelayAnswer(page, proof_age, seed)
