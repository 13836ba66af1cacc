"""Tests of replies and revokes that race with runs and timeouts."""

import asyncio
import unittest

from chivespoke import backend_servers
from chivespoke.backend_servers.tests import builders
from chivespoke import entries

ANSWERED = backend_servers.Outcome.ANSWERED
NOT_RUN = backend_servers.Outcome.NOT_RUN
UNKNOWN = backend_servers.Outcome.UNKNOWN
DISPATCH = builders.build_dispatch

# Name, messages in order of arrival, outcomes that are reported before any
# run ends, and the targets that run.
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
        'revoke arrives before its dispatch',
        (backend_servers.Revoke(2), DISPATCH(2)),
        [NOT_RUN],
        [],
    ),
    (
        'revoke of a queued request',
        (DISPATCH(1), DISPATCH(2), backend_servers.Revoke(2)),
        [NOT_RUN],
        ['/1'],
    ),
    (
        'revoke of a running request',
        (DISPATCH(1), backend_servers.Revoke(1)),
        [UNKNOWN],
        ['/1'],
    ),
    ('duplicate dispatch', (DISPATCH(1), DISPATCH(1)), [], ['/1']),
    (
        'dispatch by an older home list',
        (DISPATCH(1, 'k', 2, True), DISPATCH(2, 'k', 1)),
        [NOT_RUN, NOT_RUN],
        [],
    ),
)


class RevokeTest(unittest.IsolatedAsyncioTestCase):
    """Handle revokes before, during and after the start of a run."""

    async def test_revokes_report_correct_outcomes(self) -> None:
        for name, messages, outcomes, runs in REVOKE_CASES:
            with self.subTest(name):
                harness = builders.ExecutorHarness()
                await harness.handle_messages(*messages)
                self.assertEqual(outcomes, harness.peer.list_outcomes())
                harness.backend_server.release.set()
                await builders.run_ready_tasks()
                self.assertEqual(runs, harness.backend_server.runs)

    async def test_a_request_of_a_lost_entry_is_denied_or_runs_again(
        self,
    ) -> None:
        harness = builders.ExecutorHarness()
        await harness.handle_messages(DISPATCH(1))
        harness.handlers.report_loss(harness.peer)
        await harness.handle_messages(backend_servers.Revoke(1), DISPATCH(1))
        harness.backend_server.release.set()
        await builders.run_ready_tasks()
        self.assertEqual([UNKNOWN, ANSWERED], harness.peer.list_outcomes())
        self.assertEqual(['/1'], harness.backend_server.runs)

    async def test_repeated_key_gets_the_first_reply(self) -> None:
        harness = builders.ExecutorHarness()
        await harness.handle_messages(DISPATCH(1, 'k'), DISPATCH(2, 'k'))
        harness.backend_server.release.set()
        await builders.run_ready_tasks()
        await harness.handle_messages(DISPATCH(3, 'k'))
        self.assertEqual([ANSWERED] * 3, harness.peer.list_outcomes())
        self.assertEqual(['/1'], harness.backend_server.runs)


class ReplyTest(unittest.IsolatedAsyncioTestCase):
    """Match replies with attempts."""

    async def asyncSetUp(self) -> None:
        self.registry, self.handlers, self.telemetry = (
            builders.build_registry()
        )
        self.peers = [
            builders.RecordingPeer('server-1', 'a'),
            builders.RecordingPeer('server-2', 'b'),
        ]
        for peer in self.peers:
            await self.handlers.handle(peer, builders.build_announcement())
        self.servers = self.registry.list_servers(builders.SERVICE)

    async def reply(self, peer: int, sequence: int, body: bytes) -> None:
        """Handle a reply from a server."""
        await self.handlers.handle(
            self.peers[peer],
            backend_servers.Reply(sequence, ANSWERED, status=200, body=body),
        )

    def call(
        self, server: int, sequence: int, remaining_seconds: float = 5.0
    ) -> asyncio.Task[backend_servers.Reply]:
        """Start an attempt."""
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

    async def test_replies_reach_their_own_attempts(self) -> None:
        calls = [self.call(0, 1), self.call(0, 2), self.call(1, 3)]
        await builders.run_ready_tasks()
        # A reply from a server that did not get the attempt is dropped.
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

    async def test_restart_under_the_same_name(self) -> None:
        call = self.call(0, 1)
        await builders.run_ready_tasks()
        restarted = builders.RecordingPeer('server-1', 'c')
        await self.handlers.handle(restarted, builders.build_announcement())
        self.assertIs(UNKNOWN, (await call).outcome)
        await self.reply(0, 1, b'of the former life')
        connected = self.registry.list_servers(builders.SERVICE)
        self.assertEqual(
            {'b', 'c'}, {str(each.peer.incarnation) for each in connected}
        )


if __name__ == '__main__':
    unittest.main()
