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
