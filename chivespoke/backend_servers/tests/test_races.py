"""Tests of replies and revokes that come at the wrong moment."""

import asyncio
import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders
from chivespoke import entries

ANSWERED = backend_servers.Outcome.ANSWERED
NOT_RUN = backend_servers.Outcome.NOT_RUN
UNKNOWN = backend_servers.Outcome.UNKNOWN
DISPATCH = builders.build_dispatch

# Messages in the order in which they come, the outcomes that are told at
# once, and the requests that may run.
REVOKE_CASES: tuple[
    tuple[
        str,
        tuple[entries.Message, ...],
        list[backend_servers.Outcome],
        list[str],
    ],
    ...,
] = (
    (
        'before its dispatch, which then comes late',
        (backend_servers.Revoke(2), DISPATCH(2)),
        [NOT_RUN],
        [],
    ),
    (
        'in the queue',
        (DISPATCH(1), DISPATCH(2), backend_servers.Revoke(2)),
        [NOT_RUN],
        ['/1'],
    ),
    (
        'while it runs',
        (DISPATCH(1), backend_servers.Revoke(1)),
        [UNKNOWN],
        ['/1'],
    ),
    ('of a dispatch that came twice', (DISPATCH(1), DISPATCH(1)), [], ['/1']),
    (
        'of another home list that is older',
        (DISPATCH(1, 'k', 2, True), DISPATCH(2, 'k', 1)),
        [NOT_RUN, NOT_RUN],
        [],
    ),
)


class RevokeTest(unittest.IsolatedAsyncioTestCase):
    """Race a revoke against the start of the run."""

    async def test_what_is_told_is_true(self) -> None:
        for name, messages, outcomes, runs in REVOKE_CASES:
            with self.subTest(name):
                site = builders.Site()
                await site.take(*messages)
                self.assertEqual(outcomes, site.peer.list_outcomes())
                site.server.gate.set()
                await builders.settle()
                self.assertEqual(runs, site.server.runs)

    async def test_joined_key_gets_the_first_answer(self) -> None:
        site = builders.Site()
        await site.take(DISPATCH(1, 'k'), DISPATCH(2, 'k'))
        site.server.gate.set()
        await builders.settle()
        await site.take(DISPATCH(3, 'k'))
        self.assertEqual([ANSWERED] * 3, site.peer.list_outcomes())
        self.assertEqual(['/1'], site.server.runs)


class ReplyTest(unittest.IsolatedAsyncioTestCase):
    """Match replies to attempts."""

    async def asyncSetUp(self) -> None:
        self.registry, self.handlers, self.telemetry = (
            builders.build_registry()
        )
        self.peers = [
            builders.ListPeer('server-1', 'a'),
            builders.ListPeer('server-2', 'b'),
        ]
        for peer in self.peers:
            await self.handlers.handle(peer, builders.build_announcement())
        self.servers = self.registry.list_servers(builders.SERVICE)

    async def reply(self, peer: int, sequence: int, body: bytes) -> None:
        """Have a server reply."""
        await self.handlers.handle(
            self.peers[peer],
            backend_servers.Reply(sequence, ANSWERED, status=200, body=body),
        )

    def call(
        self, server: int, sequence: int, remaining_seconds: float = 5.0
    ) -> asyncio.Task[backend_servers.Reply]:
        """Begin an attempt."""
        dispatch = DISPATCH(sequence)
        changed = backend_servers.Dispatch(
            **{
                name: getattr(dispatch, name)
                for name in dispatch.__struct_fields__
                if name != 'remaining_seconds'
            },
            remaining_seconds=remaining_seconds,
        )
        return asyncio.create_task(
            self.registry.call(self.servers[server], changed)
        )

    async def test_crossed_replies_reach_their_own_attempts(self) -> None:
        calls = [self.call(0, 1), self.call(0, 2), self.call(1, 3)]
        await builders.settle()
        # A reply of another server is not taken.
        await self.reply(1, 1, b'stolen')
        for server, sequence in ((1, 3), (0, 2), (0, 1)):
            await self.reply(server, sequence, str(sequence).encode())
        found = [(await call).body for call in calls]
        self.assertEqual([b'1', b'2', b'3'], found)
        self.assertIn(
            b'cause="crossed reply"} 1.0', self.telemetry.format_metrics()
        )

    async def test_late_reply_after_a_timeout_is_dropped(self) -> None:
        reply = await self.call(0, 1, remaining_seconds=0.01)
        self.assertIs(UNKNOWN, reply.outcome)
        self.assertIsInstance(self.peers[0].sent[-1], backend_servers.Revoke)
        await self.reply(0, 1, b'late')
        self.assertIn(
            b'cause="late reply"} 1.0', self.telemetry.format_metrics()
        )
        self.assertEqual(0, self.servers[0].outstanding)

    async def test_restart_with_the_old_name(self) -> None:
        call = self.call(0, 1)
        await builders.settle()
        again = builders.ListPeer('server-1', 'c')
        await self.handlers.handle(again, builders.build_announcement())
        self.assertIs(UNKNOWN, (await call).outcome)
        await self.reply(0, 1, b'of the former life')
        lives = self.registry.list_servers(builders.SERVICE)
        self.assertEqual(
            {'b', 'c'}, {str(each.peer.incarnation) for each in lives}
        )


if __name__ == '__main__':
    unittest.main()
