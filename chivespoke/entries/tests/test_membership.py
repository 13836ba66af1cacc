"""Tests of membership: the fold, and live entries over loopback."""

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

# Seconds; only so that a broken test ends.
GIVE_UP = 20.0


def build_address(name: str, life: str) -> _messages.EntryAddress:
    """Return the address of one life of an entry."""
    return _messages.EntryAddress(
        name,
        identifiers.Incarnation(life),
        identifiers.DataCentreName('colombo-1'),
        'tcp://127.0.0.1:1',
    )


def build_announced(name: str, life: str, renewal: int) -> folds.Announced:
    """Return an announcement."""
    return folds.Announced(build_address(name, life), renewal)


LIFE = identifiers.Incarnation('a1')
FIRST = build_announced('a', 'a1', 1)
# Records, and the lives that are members after them.
FOLD_CASES: tuple[tuple[tuple[folds.AnyRecord, ...], set[str]], ...] = (
    ((FIRST,), {'a1'}),
    ((FIRST, folds.Lapsed(LIFE, 1, 'b')), set()),
    # The report of an old silence does not end a renewed member.
    (
        (FIRST, build_announced('a', 'a1', 2), folds.Lapsed(LIFE, 1, 'b')),
        {'a1'},
    ),
    (
        (FIRST, folds.Lapsed(LIFE, 1, 'b'), build_announced('a', 'a1', 2)),
        {'a1'},
    ),
    ((FIRST, folds.Left(LIFE)), set()),
    # A goodbye is final, also for a late announcement.
    ((FIRST, folds.Left(LIFE), build_announced('a', 'a1', 2)), set()),
    ((folds.Left(LIFE), FIRST), set()),
    # A new life ends the one before, whatever is still under way.
    ((FIRST, build_announced('a', 'a2', 1), FIRST), {'a2'}),
    ((FIRST, build_announced('b', 'b1', 1)), {'a1', 'b1'}),
)


class MembershipFoldTest(unittest.TestCase):
    """Fold announcements, lapses and goodbyes."""

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
    """Make an entry before any event loop runs, as the daemon does."""

    def test_entry_needs_no_loop_to_be_made(self) -> None:
        daemons.Entry(
            settings.EntrySettings(
                name='entry-1',
                data_centre=identifiers.DataCentreName('colombo-1'),
                platform_log=settings.Address(),
            ),
            clocks.SystemClock(),
        )


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Run entries against the stand-in log."""

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
        self, probe: collections.abc.Callable[[], bool]
    ) -> None:
        async with asyncio.timeout(GIVE_UP):
            while not probe():
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
                decision.version, GIVE_UP
            )
        status = await self.ask(started[4], '/status')
        self.assertEqual(5, status.in_force.in_force)
        self.assertEqual((), status.in_force.laggards)
        self.assertTrue(status.may_start_tasks)

    async def test_goodbye_and_silence_end_a_membership(self) -> None:
        first, second, third = await self.start_all(3)
        members = first.context.control.membership.members
        await third.context.control.membership.drain()
        await self.wait_until(lambda: len(members) == 2)
        lost = second.context.control
        # No goodbye: it just falls silent.
        await second.context.messages.stop()
        await lost.membership.stop()
        await self.wait_until(lambda: len(members) == 1)

    async def test_cut_off_entry_is_fed_by_its_neighbours(self) -> None:
        first, second, third = await self.start_all(3)
        cut = third.context.control.configuration
        cut_log = third.context.control.log
        await self.wait_until(cut.is_recent)
        await cut_log.stop()
        # The poll that was under way still answers.
        await self.wait_until(lambda: cut.follower.failed_reads > 0)
        await first.context.control.configuration.propose(
            builders.build_proposal('first', 0, *builders.BASE_OPERATIONS)
        )
        self.assertTrue(
            await cut.wait_for_version(identifiers.Version(1), GIVE_UP)
        )
        await self.wait_until(cut.is_recent)
        self.assertGreater(cut.follower.relayed_records, 0)


if __name__ == '__main__':
    unittest.main()
