"""Tests of taking part in the election of the leader."""

import asyncio
import unittest
from unittest import mock

from chivespoke import clock
from chivespoke.coordination import _leadership
from chivespoke import platform

TIMEOUT_SECONDS = 10.0
# Long enough for a join that must not happen.
JOIN_SECONDS = 3 * _leadership.JOIN_INTERVAL_SECONDS


class RecordingCandidate(_leadership.Candidate):
    """Record the epochs for which it was elected."""

    def __init__(self) -> None:
        self.ready = False
        self.epochs: list[int] = []
        self.causes: list[str] = []

    @property
    def can_lead(self) -> bool:
        return self.ready

    async def lead(self, epoch: int) -> None:
        self.epochs.append(epoch)

    async def step_down(self, cause: str) -> None:
        self.causes.append(cause)


class CooperativeGroup:
    """Hand a partition over once its owner gives it up, like the platform.

    All members want the leadership; the group wants to give it to the latest.
    """

    def __init__(self, time: clock.Clock) -> None:
        self.owner = ''
        self._clock = time
        self._generation = 0
        # Time of the last join by member, in the order of the first joins.
        self._members: dict[str, float] = {}
        # Generation that each member has acknowledged.
        self._acknowledged: dict[str, int] = {}

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
    ) -> platform.Membership:
        now = self._clock.read_monotonic()
        for other, joined_at in tuple(self._members.items()):
            if now > joined_at + ttl_seconds:
                self._remove(other)
        if member not in self._members:
            self._generation += 1
        self._members[member] = now
        self._acknowledged[member] = generation
        target = list(self._members)[-1]
        if self._acknowledged.get(self.owner, self._generation) >= (
            self._generation
        ):
            self.owner = target
        holds = member == self.owner == target
        return platform.Membership(
            self._generation, frozenset((0,) if holds else ())
        )

    async def leave(self, group: str, member: str) -> None:
        self._remove(member)

    def reassign(self, member: str) -> None:
        """Give the leadership to a member at once."""
        self._generation += 1
        self._members[member] = self._members.pop(member)
        self.owner = member

    def _remove(self, member: str) -> None:
        if self._members.pop(member, None) is not None:
            self._generation += 1
        self._acknowledged.pop(member, None)


class CooperationTest(unittest.IsolatedAsyncioTestCase):
    """Share a group whose store hands partitions over cooperatively."""

    async def asyncSetUp(self) -> None:
        self.time = clock.ManualClock()
        self.group = CooperativeGroup(self.time)
        self.candidates: list[RecordingCandidate] = []
        self.members: list[_leadership.Leadership] = []

    async def add_member(self) -> None:
        candidate = RecordingCandidate()
        candidate.ready = True
        store = mock.Mock(join=self.group.join, leave=self.group.leave)
        name = f'member-{len(self.members)}'
        member = _leadership.Leadership(
            store, name, candidate, self.time, _leadership.TTL_SECONDS
        )
        self.candidates.append(candidate)
        self.members.append(member)
        await member.start()
        self.addAsyncCleanup(member.stop)
        await self.advance(2 * JOIN_SECONDS)

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            for _ in range(10):
                await asyncio.sleep(0)
            self.time.advance(0.05)

    def count_terms(self) -> list[int]:
        return [len(candidate.epochs) for candidate in self.candidates]

    async def test_new_members_do_not_take_the_lead(self) -> None:
        # Regression: the group offers the leadership to each member that
        # joins, so that it moved with each entry that restarted.
        for _ in range(4):
            await self.add_member()
        self.assertEqual([1, 0, 0, 0], self.count_terms())
        self.assertEqual([], self.candidates[0].causes)

    async def test_leader_that_leaves_is_replaced(self) -> None:
        await self.add_member()
        await self.add_member()
        await self.members[0].drain()
        await self.advance(JOIN_SECONDS)
        self.assertEqual([1, 1], self.count_terms())
        self.assertEqual(['shutdown'], self.candidates[0].causes)
        self.assertGreater(
            self.candidates[1].epochs[0], self.candidates[0].epochs[0]
        )

    async def test_leader_that_falls_silent_is_replaced(self) -> None:
        await self.add_member()
        await self.add_member()
        await self.members[0].stop()
        await self.advance(_leadership.TTL_SECONDS + JOIN_SECONDS)
        self.assertEqual([1, 1], self.count_terms())
        self.assertGreater(
            self.candidates[1].epochs[0], self.candidates[0].epochs[0]
        )

    async def test_fenced_leader_follows_the_group(self) -> None:
        await self.add_member()
        await self.add_member()
        self.group.reassign('member-1')
        await self.advance(JOIN_SECONDS)
        self.assertEqual([1, 1], self.count_terms())
        # The store has refused an append of the first one.
        self.members[0].resign('fenced')
        await self.advance(JOIN_SECONDS)
        self.assertEqual(['fenced'], self.candidates[0].causes)
        self.assertEqual([1, 1], self.count_terms())
        self.group.reassign('member-0')
        await self.advance(JOIN_SECONDS)
        self.members[1].resign('fenced')
        await self.advance(JOIN_SECONDS)
        self.assertEqual([2, 1], self.count_terms())
        self.assertGreater(
            self.candidates[0].epochs[1], self.candidates[1].epochs[0]
        )

    async def test_lead_ends_unless_the_store_accepts_appends(self) -> None:
        # A successor waits for as long before it starts the tasks of workers
        # that it cannot reach, whose leases this leader would renew.
        await self.add_member()
        await self.add_member()
        leader = self.members[0]
        silence = _leadership.MAX_STORE_SILENCE_SECONDS
        self.assertLess(
            leader.valid_until, self.time.read_monotonic() + silence
        )
        for _ in range(3):
            await self.advance(silence / 2)
            leader.extend(self.time.read_monotonic())
            self.assertEqual([], self.candidates[0].causes)
        await self.advance(silence + 2 * JOIN_SECONDS)
        self.assertEqual(1, len(self.candidates[0].causes))
        self.assertEqual([1, 1], self.count_terms())


class LeadershipTest(unittest.IsolatedAsyncioTestCase):
    """Join a group whose store makes every member the leader."""

    async def asyncSetUp(self) -> None:
        self.store = mock.create_autospec(platform.Store, instance=True)
        self.store.join.return_value = platform.Membership(1, frozenset((0,)))
        self.candidate = RecordingCandidate()
        self.leadership = _leadership.Leadership(
            self.store, 'member-1', self.candidate, clock.SystemClock(), 1.0
        )

    async def wait_for_epochs(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.candidate.epochs) < count:
                await asyncio.sleep(0.01)

    async def test_member_does_not_join_before_it_can_lead(self) -> None:
        # Regression: a restarted entry was elected that did not know the
        # jobs, and nothing was scheduled while it read them.
        await self.leadership.start()
        self.addAsyncCleanup(self.leadership.stop)
        await asyncio.sleep(JOIN_SECONDS)
        self.store.join.assert_not_called()
        self.candidate.ready = True
        await self.wait_for_epochs(1)

    async def test_member_stays_in_the_group_when_its_data_ages(self) -> None:
        # Leaving would move the leadership while the store is slow.
        self.candidate.ready = True
        await self.leadership.start()
        self.addAsyncCleanup(self.leadership.stop)
        await self.wait_for_epochs(1)
        self.candidate.ready = False
        joins = self.store.join.call_count
        await asyncio.sleep(JOIN_SECONDS)
        self.assertGreater(self.store.join.call_count, joins)
        self.assertEqual([], self.candidate.causes)

    async def test_outdated_member_leaves_when_it_is_elected(self) -> None:
        # Regression: it fenced the leader before it, and only then waited for
        # the records that it lacked.
        self.store.join.return_value = platform.Membership(1, frozenset())
        self.candidate.ready = True
        await self.leadership.start()
        self.addAsyncCleanup(self.leadership.stop)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.store.join.call_count:
                await asyncio.sleep(0.01)
        self.candidate.ready = False
        self.store.join.return_value = platform.Membership(2, frozenset((0,)))
        await asyncio.sleep(JOIN_SECONDS)
        self.store.leave.assert_called_once()
        self.assertEqual([], self.candidate.epochs)

    async def test_member_that_withdraws_leaves_until_it_can_lead(
        self,
    ) -> None:
        self.candidate.ready = True
        await self.leadership.start()
        self.addAsyncCleanup(self.leadership.stop)
        await self.wait_for_epochs(1)
        self.candidate.ready = False
        self.leadership.withdraw('cannot read')
        await asyncio.sleep(JOIN_SECONDS)
        self.store.leave.assert_called_once()
        self.assertEqual(['cannot read'], self.candidate.causes)
        joins = self.store.join.call_count
        await asyncio.sleep(JOIN_SECONDS)
        self.assertEqual(joins, self.store.join.call_count)
        self.candidate.ready = True
        await self.wait_for_epochs(2)


if __name__ == '__main__':
    unittest.main()
