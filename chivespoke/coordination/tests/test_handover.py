"""Tests of the questions to leaders before, over HTTP."""

import asyncio
import typing
import unittest
from unittest import mock

from aiohttp import web

from chivespoke import addresses
from chivespoke import clock
from chivespoke.coordination import _coordinator
from chivespoke.coordination import _handover
from chivespoke.coordination import _records
from chivespoke.coordination import _term
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import web as chivespoke_web

TIMEOUT_SECONDS = 10.0
LEFT = {
    'side-1': _records.SilentSidecar(
        5000, (_records.LateStart('00000000000000a1.0.0.0', 1, 900),)
    )
}


class CallerRoutes(chivespoke_web.RouteProvider):
    """Stand for the routes of callers, which take every path."""

    def list_routes(self) -> list[web.RouteDef]:
        return [web.route('*', '/{path:.*}', self._handle)]

    async def _handle(self, request: web.Request) -> web.Response:
        return web.Response(status=200)


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.keeper = mock.create_autospec(_handover.TermKeeper, instance=True)
        self.server = chivespoke_web.HttpServer(
            addresses.Address(),
            (_handover.HandoverRoutes(self.keeper), CallerRoutes()),
            0.1,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        address = self.server.address
        self.leader = _records.LeaderRecord(
            'member-1', f'{address.host}:{address.port}'
        )

    async def test_leader_is_asked_until_it_tells(self) -> None:
        self.keeper.hand_over.side_effect = (
            None,
            _handover.Handover('member-1', 9000),
            _handover.Handover('member-1', 9000, 0, LEFT),
        )
        async with asyncio.timeout(TIMEOUT_SECONDS):
            end = await _handover.ask_leader(
                7, 6, self.leader, clock.SystemClock(), 0.02
            )
        self.assertEqual(LEFT, end.sidecars)
        self.assertEqual(
            [mock.call(_handover.HandoverRequest(7, 6))] * 3,
            self.keeper.hand_over.call_args_list,
        )

    async def test_refused_connection_shows_nothing(self) -> None:
        # A cut may refuse connections to a leader that lives.
        await self.server.stop()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.5):
                await _handover.ask_leader(
                    7, 6, self.leader, clock.SystemClock(), 0.02
                )

    async def test_request_of_a_caller_ends_no_term(self) -> None:
        # An entry may hand any path on for a caller, without its headers.
        transport = platform.Transport(self.leader.address, 1)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        asked = _handover.ENCODER.encode(_handover.HandoverRequest(7, 6))
        cases: tuple[tuple[bytes, dict[str, str], int], ...] = (
            (asked, {}, 404),
            (b'\xc1', {_handover.HEADER: '7'}, 400),
        )
        for body, headers, status in cases:
            with self.subTest(status):
                response = await transport.call(
                    'ask', 'POST', _handover.PATH, body, headers=headers
                )
                self.assertEqual(status, response.status)
        self.keeper.hand_over.assert_not_called()


class TermKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        store = mock.create_autospec(platform.Store, instance=True)
        store.append.return_value = 1
        machine = mock.Mock(
            advisor_address='127.0.0.1:1',
            ip='127.0.0.1',
            first_port=1,
            store_min_ttl_seconds=1.0,
            store_max_record_bytes=262_144,
        )
        machine.bounds.status_retention_seconds = 120.0
        self.time = clock.ManualClock(start=100.0)
        self.coordinator = _coordinator.Coordinator(
            store, machine, 'member-1', self.time, telemetry.Telemetry()
        )
        self.addAsyncCleanup(self.coordinator.stop)

    def ask(self, epoch: int, earlier_epoch: int) -> typing.Any:
        return self.coordinator.hand_over(
            _handover.HandoverRequest(epoch, earlier_epoch)
        )

    async def test_process_that_starts_tells_nothing(self) -> None:
        # Another process may still have its address.
        self.assertIsNone(self.ask(7, 6))

    async def test_terms(self) -> None:
        with mock.patch.object(_term.Term, 'run', return_value=''):
            await self.coordinator.lead(5)
            await self.coordinator.start()
            term = self.coordinator.term
            assert term is not None
            self.time.advance(2.0)
            with self.subTest('a later term is not ended'):
                self.assertIsNone(self.ask(5, 4).ended_millis)
                self.assertIsNone(self.ask(5, 5).ended_millis)
            with self.subTest('an earlier term is ended'):
                answer = self.ask(6, 5)
                self.assertEqual('member-1', answer.member)
                self.assertEqual(2000, answer.up_millis)
                self.assertEqual(0, answer.ended_millis)
            self.time.advance(1.0)
            with self.subTest('its end stays known'):
                await self.coordinator.step_down('test')
                self.assertEqual(1000, self.ask(7, 5).ended_millis)
            with self.subTest('terms of other processes are not known'):
                self.assertIsNone(self.ask(7, 4).ended_millis)


if __name__ == '__main__':
    unittest.main()
