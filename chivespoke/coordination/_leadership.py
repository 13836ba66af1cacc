"""Leader election through the store's consumer groups."""

import abc

from chivespoke import application
from chivespoke import clock
from chivespoke.coordination import _mandate
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('leadership')

GROUP = 'chivespoke-leader'
# The owner of partition 0 is the leader; no records are written to the topic.
TOPIC = 'chivespoke-leader'
LEADER_PARTITION = 0
# Time without a join after which the store reassigns leadership: three missed
# joins. The platform's shortest time to live applies if it is longer.
TTL_SECONDS = 1.0
JOIN_INTERVAL_SECONDS = 0.3
# After a change of the group, for example when all entries start together,
# partitions move several times. Members then join at a shorter interval for a
# while, so that the old and the new owner of a partition notice each move
# quickly.
FAST_JOIN_INTERVAL_SECONDS = 0.1
FAST_JOIN_PERIOD_SECONDS = 2.0
# Time for which a leader that cannot reach the store continues to renew
# leases. It exceeds the usual outages of the store, because runs are lost when
# their leases expire. A successor adds it to the time that it waits for
# workers that it cannot reach.
MAX_STORE_SILENCE_SECONDS = 12.0
# Number of epochs reserved for each generation of the group. A process may
# start several terms within a generation; their epochs must stay below those
# of the next generation.
TERMS_PER_GENERATION = 1024


class Candidate(abc.ABC):
    """Handle the outcome of elections."""

    @property
    @abc.abstractmethod
    def can_lead(self) -> bool:
        """Return whether this process is ready to take over at once."""

    @abc.abstractmethod
    async def lead(self, epoch: int) -> None:
        """Start to lead with an epoch as the fencing token."""

    @abc.abstractmethod
    async def step_down(self, cause: str) -> None:
        """Stop leading; do nothing if this process does not lead."""


class Leadership(application.Component, _mandate.Mandate):
    """Keep this process in the group; start and stop its leadership.

    The store elects any member, so a process joins only once it can lead. It
    then stays a member, also while it cannot reach the store or its data ages:
    when the store is slow, leaving would only move the leadership around.
    """

    __slots__ = (
        '_store',
        '_member',
        '_candidate',
        '_clock',
        '_ttl_seconds',
        '_tasks',
        '_is_member',
        '_generation',
        '_latest_generation',
        '_epoch',
        '_last_epoch',
        '_proven_at',
        '_generation_changed_at',
    )

    def __init__(
        self,
        store: platform.Store,
        member: str,
        candidate: Candidate,
        time: clock.Clock,
        min_ttl_seconds: float,
    ) -> None:
        self._store = store
        self._member = member
        self._candidate = candidate
        self._clock = time
        self._ttl_seconds = max(TTL_SECONDS, min_ttl_seconds)
        self._tasks = application.TaskOwner()
        # This process has joined, or has at least tried to.
        self._is_member = False
        # Generation that this member acknowledges with its joins: while it
        # leads, the last one that assigned the leadership to it.
        self._generation = 0
        self._latest_generation = 0
        # Epoch of the current term, None while this member does not lead.
        self._epoch: int | None = None
        self._last_epoch = 0
        # Monotonic time at which the store last proved the leadership: of a
        # join that listed it, or of an append under the epoch.
        self._proven_at = 0.0
        self._generation_changed_at = float('-inf')

    @property
    def valid_until(self) -> float:
        return self._proven_at + MAX_STORE_SILENCE_SECONDS

    def extend(self, proven_at: float) -> None:
        self._proven_at = max(self._proven_at, proven_at)

    async def start(self) -> None:
        self._tasks.spawn_loop(self._join_repeatedly)

    async def drain(self) -> None:
        await self._tasks.cancel()
        if self._is_member:
            await self._leave('shutdown')

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _join_repeatedly(self) -> None:
        while True:
            if not self._is_member and not self._candidate.can_lead:
                await self._clock.sleep(FAST_JOIN_INTERVAL_SECONDS)
                continue
            self._is_member = True
            requested_at = self._clock.read_monotonic()
            try:
                membership = await self._store.join(
                    GROUP,
                    self._member,
                    TOPIC,
                    self._ttl_seconds,
                    self._generation,
                )
            except errors.ChivespokeError as error:
                await self._check_proof(f'store unreachable: {error}')
            else:
                if self._is_member:
                    await self._apply_membership(membership, requested_at)
            joins_fast = (
                requested_at
                < self._generation_changed_at + FAST_JOIN_PERIOD_SECONDS
            )
            await self._clock.sleep(
                FAST_JOIN_INTERVAL_SECONDS
                if joins_fast
                else JOIN_INTERVAL_SECONDS
            )

    async def _apply_membership(
        self, membership: platform.Membership, requested_at: float
    ) -> None:
        is_leader = LEADER_PARTITION in membership.partitions
        if is_leader:
            self.extend(requested_at)
        keeps_lead = self._epoch is not None and not is_leader
        if membership.generation != self._latest_generation:
            self._latest_generation = membership.generation
            self._generation_changed_at = self._clock.read_monotonic()
            if keeps_lead:
                LOGGER.info(
                    'Keeps the lead until another member is given it.',
                    epoch=self._epoch,
                    acknowledged=self._generation,
                    generation=membership.generation,
                )
        if keeps_lead:
            await self._check_proof('given to another member')
            if self._epoch is not None:
                return
        self._generation = membership.generation
        if is_leader and self._epoch is None:
            if not self._candidate.can_lead:
                # Taking over would fence a leader that may still work.
                await self._leave('elected with outdated data')
                return
            first_epoch = membership.generation * TERMS_PER_GENERATION
            self._epoch = max(first_epoch, self._last_epoch + 1)
            self._last_epoch = self._epoch
            LOGGER.info('Leads.', epoch=self._epoch)
            await self._candidate.lead(self._epoch)

    async def _check_proof(self, cause: str) -> None:
        """Step down once the leadership has not been proven for too long."""
        now = self._clock.read_monotonic()
        if self._epoch is not None and now > self.valid_until:
            silence = now - self._proven_at
            await self._step_down(f'not proven for {silence:.1f} s: {cause}')

    async def _step_down(self, cause: str) -> None:
        if self._epoch is None:
            return
        LOGGER.info('Stepped down.', epoch=self._epoch, cause=cause)
        self._epoch = None
        await self._candidate.step_down(cause)

    async def _leave(self, cause: str) -> None:
        self._is_member = False
        await self._step_down(cause)
        try:
            await self._store.leave(GROUP, self._member)
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'Could not leave the group; the membership will expire.',
                error=error,
            )

    def resign(self, cause: str) -> None:
        """Step down in a separate task after the term has ended."""
        self._tasks.spawn(self._step_down(cause))

    def withdraw(self, cause: str) -> None:
        """Step down and leave the group until this process can lead."""
        self._tasks.spawn(self._leave(cause))
