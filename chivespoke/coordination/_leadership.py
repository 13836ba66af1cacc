"""Who leads, agreed on through the store's groups."""

import abc

from chivespoke import application
from chivespoke import clock
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('leadership')

GROUP = 'chivespoke-leader'
# Its partition 0 stands for the right to lead; no record is ever written.
TOPIC = 'chivespoke-leader'
LEADING_PARTITION = 0
# Silence after which the store hands leadership on, in seconds: three missed
# joins, and at least the platform's shortest.
TTL_SECONDS = 1.0
JOIN_SECONDS = 0.3
# After a change of the group, as when all entries start at once, partitions
# move several times; joins come faster for a while, so that each move is
# noticed by both sides at once. In seconds.
HASTY_JOIN_SECONDS = 0.1
HASTE_SECONDS = 2.0
# A leader that cannot reach the store goes on renewing leases for so long, in
# seconds: longer than the store's usual absences, as ending all leases would
# lose what runs. A successor adds it to its wait for workers it cannot reach.
STAND_SECONDS = 12.0
# Terms that one process may begin within a generation of the group, so that
# no two terms share an epoch.
TERMS_PER_GENERATION = 1024


class Candidate(abc.ABC):
    """Be told to lead, or to stop leading."""

    @abc.abstractmethod
    async def lead(self, epoch: int) -> None:
        """Begin to lead."""

    @abc.abstractmethod
    async def retire(self, cause: str) -> None:
        """Stop leading, if it leads."""


class Leadership(application.Component):
    """Stay in the group and pass on what it decides."""

    __slots__ = (
        '_store',
        '_member',
        '_candidate',
        '_clock',
        '_ttl',
        '_tasks',
        '_generation',
        '_epoch',
        '_last_epoch',
        '_confirmed',
        '_changed_at',
    )

    def __init__(
        self,
        store: platform.Store,
        member: str,
        candidate: Candidate,
        time: clock.Clock,
        shortest_ttl: float,
    ) -> None:
        self._store = store
        self._member = member
        self._candidate = candidate
        self._clock = time
        self._ttl = max(TTL_SECONDS, shortest_ttl)
        self._tasks = application.TaskOwner()
        self._generation = 0
        # Set while this member leads.
        self._epoch: int | None = None
        self._last_epoch = 0
        self._confirmed = 0.0
        self._changed_at = float('-inf')

    async def start(self) -> None:
        self._tasks.spawn(self._keep_joining())

    async def drain(self) -> None:
        await self._tasks.cancel()
        await self._retire('shutdown')
        try:
            await self._store.leave(GROUP, self._member)
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'Left the group unannounced; it lapses.', error=error
            )

    async def stop(self) -> None:
        await self._tasks.cancel()

    async def _keep_joining(self) -> None:
        while True:
            asked = self._clock.read_monotonic()
            try:
                membership = await self._store.join(
                    GROUP, self._member, TOPIC, self._ttl, self._generation
                )
            except errors.ChivespokeError as error:
                await self._check_standing(error)
            else:
                self._confirmed = asked
                await self._take(membership)
            hasty = asked < self._changed_at + HASTE_SECONDS
            await self._clock.sleep(
                HASTY_JOIN_SECONDS if hasty else JOIN_SECONDS
            )

    async def _take(self, membership: platform.Membership) -> None:
        if membership.generation != self._generation:
            self._changed_at = self._clock.read_monotonic()
        self._generation = membership.generation
        leads = LEADING_PARTITION in membership.partitions
        if leads and self._epoch is None:
            first = membership.generation * TERMS_PER_GENERATION
            self._epoch = max(first, self._last_epoch + 1)
            self._last_epoch = self._epoch
            LOGGER.info('Leads.', epoch=self._epoch)
            await self._candidate.lead(self._epoch)
        elif not leads:
            await self._retire('reassigned')

    async def _check_standing(self, error: errors.ChivespokeError) -> None:
        silence = self._clock.read_monotonic() - self._confirmed
        if self._epoch is not None and silence > STAND_SECONDS:
            await self._retire(f'store silent for {silence:.1f} s: {error}')

    async def _retire(self, cause: str) -> None:
        if self._epoch is None:
            return
        LOGGER.info('Leads no more.', epoch=self._epoch, cause=cause)
        self._epoch = None
        await self._candidate.retire(cause)

    def give_up(self, cause: str) -> None:
        """Stop leading because a later leader was heard of."""
        self._tasks.spawn(self._retire(cause))
