"""Tests of membership: record handling, and entries over loopback."""

import asyncio
import collections.abc
import unittest

import aiohttp

from chivespoke import clock as clocks
from chivespoke import daemons
from chivespoke.entries import _membership_fold as folds
from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import operators
from chivespoke.operators.tests import builders
from chivespoke import replication
from chivespoke import settings
from chivespoke import standins

# Ends a test that would otherwise wait forever.
TEST_TIMEOUT_SECONDS = 20.0


def build_address(name: str, incarnation: str) -> _messages.EntryAddress:
    """Return the address of an incarnation of an entry."""
    return _messages.EntryAddress(
        name,
        identifiers.Incarnation(incarnation),
        identifiers.DataCentreName('colombo-1'),
        'tcp://127.0.0.1:1',
    )


def build_announcement(
    name: str, incarnation: str, renewal: int
) -> folds.Announced:
    """Return an announcement record."""
    return folds.Announced(build_address(name, incarnation), renewal)


INCARNATION = identifiers.Incarnation('a1')
FIRST = build_announcement('a', 'a1', 1)
# Records, and the incarnations that are members after them.
FOLD_CASES: tuple[tuple[tuple[folds.AnyRecord, ...], set[str]], ...] = (
    ((FIRST,), {'a1'}),
    ((FIRST, folds.Lapsed(INCARNATION, 1, 'b')), set()),
    # A silence report for an earlier renewal does not end the membership.
    (
        (
            FIRST,
            build_announcement('a', 'a1', 2),
            folds.Lapsed(INCARNATION, 1, 'b'),
        ),
        {'a1'},
    ),
    (
        (
            FIRST,
            folds.Lapsed(INCARNATION, 1, 'b'),
            build_announcement('a', 'a1', 2),
        ),
        {'a1'},
    ),
    ((FIRST, folds.Left(INCARNATION)), set()),
    # Leaving is final; a later announcement has no effect.
    (
        (FIRST, folds.Left(INCARNATION), build_announcement('a', 'a1', 2)),
        set(),
    ),
    ((folds.Left(INCARNATION), FIRST), set()),
    # A new incarnation ends the previous one, whose late announcement has no
    # effect.
    ((FIRST, build_announcement('a', 'a2', 1), FIRST), {'a2'}),
    ((FIRST, build_announcement('b', 'b1', 1)), {'a1', 'b1'}),
)


class MembershipFoldTest(unittest.TestCase):
    """Apply announcements, silence reports and leave records."""

    def test_members(self) -> None:
        for records, expected in FOLD_CASES:
            with self.subTest(records=records):
                fold = folds.MembershipFold()
                for record in records:
                    encoded = folds.ENCODER.encode(record)
                    fold.apply(fold.decode(encoded), builders.build_position())
                self.assertEqual(expected, set(fold.members))
                restored = folds.MembershipFold()
                restored.restore_state(fold.encode_state())
                self.assertEqual(fold.encode_state(), restored.encode_state())

    def test_unknown_record_is_an_error(self) -> None:
        with self.assertRaises(replication.UnreadableError):
            folds.MembershipFold().decode(b'\x92\xa7Unknown\x01')


class CompositionTest(unittest.TestCase):
    """Construct an entry before an event loop runs, as the daemon does."""

    def test_entry_is_constructed_without_event_loop(self) -> None:
        daemons.Entry(
            settings.EntrySettings(
                name='entry-1',
                data_centre=identifiers.DataCentreName('colombo-1'),
                platform_log=settings.Address(),
            ),
            clocks.SystemClock(),
        )


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Run several entries with the stand-in log."""

    async def asyncSetUp(self) -> None:
        self.clock = clocks.SystemClock()
        self.log = standins.MemoryLog(self.clock)
        self.server = standins.LogServer(self.log, settings.Address())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def start_entry(self, name: str) -> daemons.Entry:
        entry = daemons.Entry(
            settings.EntrySettings(
                name=name,
                data_centre=identifiers.DataCentreName('colombo-1'),
                platform_log=self.server.address,
                heartbeat_interval=0.1,
                heartbeat_limit=0.4,
            ),
            self.clock,
            balancer_notice_seconds=0.0,
        )
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        return entry

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    async def ask(self, entry: daemons.Entry, path: str) -> operators.Status:
        url = entry.http.address.format_http() + path
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            self.assertEqual(200, answer.status)
            decoder = operators.STATUS_DECODER
            return decoder.decode(await answer.read())

    async def start_all(self, count: int) -> list[daemons.Entry]:
        started = [
            await self.start_entry(f'entry-{number}')
            for number in range(count)
        ]
        await self.wait_until(
            lambda: all(
                len(entry.context.control.membership.members) == count
                for entry in started
            )
        )
        return started

    async def test_version_is_in_force_everywhere(self) -> None:
        started = await self.start_all(5)
        control = started[0].context.control
        decision = await control.configuration.propose(
            builders.build_proposal('first', 0, *builders.BASE_OPERATIONS)
        )
        self.assertTrue(decision.accepted)
        for entry in started:
            await entry.context.control.configuration.wait_for_version(
                decision.version, TEST_TIMEOUT_SECONDS
            )
        status = await self.ask(started[4], '/status')
        self.assertEqual(5, status.in_force.in_force)
        self.assertEqual((), status.in_force.laggards)
        self.assertTrue(status.may_start_tasks)

    async def test_leave_and_silence_end_a_membership(self) -> None:
        first, second, third = await self.start_all(3)
        members = first.context.control.membership.members
        await third.context.control.membership.drain()
        await self.wait_until(lambda: len(members) == 2)
        silent_control = second.context.control
        # Stopped without a leave record, so that it becomes silent.
        await second.context.messages.stop()
        await silent_control.membership.stop()
        await self.wait_until(lambda: len(members) == 1)

    async def test_entry_without_log_reads_from_neighbours(self) -> None:
        first, second, third = await self.start_all(3)
        isolated = third.context.control.configuration
        isolated_log = third.context.control.log
        await self.wait_until(isolated.is_recent)
        await isolated_log.stop()
        # The poll in progress still returns; the next read fails.
        await self.wait_until(lambda: isolated.follower.failed_reads > 0)
        await first.context.control.configuration.propose(
            builders.build_proposal('first', 0, *builders.BASE_OPERATIONS)
        )
        self.assertTrue(
            await isolated.wait_for_version(
                identifiers.Version(1), TEST_TIMEOUT_SECONDS
            )
        )
        await self.wait_until(isolated.is_recent)
        self.assertGreater(isolated.follower.relayed_records, 0)


if __name__ == '__main__':
    unittest.main()
