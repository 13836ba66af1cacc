"""Tests of the fake worker, through the production client."""

import asyncio
import collections.abc
import typing
import unittest

import aiohttp
from aiohttp import web

from chivespoke import addresses
from chivespoke import errors
from chivespoke import platform
from chivespoke import standins
from chivespoke import web as chivespoke_web
from chivespoke import workloads

TASK = '00000000000000a1.0.0.0'
OTHER_TASK = '00000000000000a1.0.0.1'
EPOCH = 7
LEASE_MS = 60_000
# Longer than a call without a response takes to fail.
LATE_SECONDS = 1.2
TIMEOUT_SECONDS = 20.0


class ControlServer(chivespoke_web.RouteProvider):
    """Record registrations and deregistrations."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, dict[str, typing.Any]]] = []
        # Status of all responses.
        self.status = 200
        self.called = asyncio.Event()

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.put(platform.REGISTRATION_PATH, self._handle),
            web.delete(platform.REGISTRATION_PATH, self._handle),
        )

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else {}
        self.calls.append(
            (request.method, request.match_info['identifier'], body)
        )
        self.called.set()
        return web.Response(status=self.status)


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    """Send orders to a worker and inject its faults."""

    async def asyncSetUp(self) -> None:
        self.ledger = standins.RunLedger()
        self.runner = standins.PlatformRunner(
            'i-1', 's', 'z', 30.0, self.ledger, born_ms=5000
        )
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)
        self.server = self.runner.make_server()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = await self.make_client('i-1')

    async def make_client(self, identifier: str) -> platform.WorkerClient:
        address = self.server.address
        transport = platform.Transport(f'{address.host}:{address.port}', 8)
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        return platform.WorkerClient(transport, identifier)

    async def start_run(
        self,
        task: str = TASK,
        run: int = 1,
        lease_ms: int = LEASE_MS,
        fencing_token: int = EPOCH,
    ) -> None:
        await self.client.start(
            task,
            run,
            'work',
            self.runner.read_clock() + lease_ms,
            fencing_token,
            '',
            '',
        )

    async def poll(
        self,
        lease_ms: int | None = None,
        acknowledged: int = 0,
        wait_seconds: float = 0.0,
    ) -> platform.WorkerStatus:
        until = None
        if lease_ms is not None:
            until = self.runner.read_clock() + lease_ms
        return await self.client.poll(EPOCH, acknowledged, until, wait_seconds)

    async def assert_refused(
        self,
        refusal: platform.Refusal,
        call: collections.abc.Awaitable[object],
    ) -> None:
        with self.assertRaises(platform.OrderRefusedError) as caught:
            await call
        self.assertIs(refusal, caught.exception.refusal)

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_until_idle(self) -> None:
        await self.wait_until(lambda: not self.runner.running)

    async def request_hold(self) -> dict[str, typing.Any]:
        url = self.server.address.format_http() + '/hold'
        body = {'fencing_token': 0, 'ack_cursor': 0}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body) as response,
        ):
            content: dict[str, typing.Any] = await response.json()
            return content


class BootTest(RunnerTest):
    """Replace the boot of a worker."""

    async def test_new_boot_starts_anew(self) -> None:
        await self.start_run()
        for number, (born_ms, identifier) in enumerate(
            ((6000, 'i-1'), (4000, 'i-1'), (4500, 'i-2'))
        ):
            with self.subTest(born_ms=born_ms, identifier=identifier):
                self.runner.make_registration()
                self.runner.restart(born_ms, identifier)
                self.assertLess(self.runner.read_clock(), 1000)
                registration = self.runner.make_registration()
                self.assertEqual(identifier, registration.identifier)
                self.assertEqual(born_ms, registration.body['born'])
                self.assertEqual(1, registration.body['sequence'])
                content = await self.request_hold()
                self.assertEqual(born_ms, content['born'])
                self.assertEqual([], content['running'])
                self.client = await self.make_client(identifier)
                # The highest run and fencing token are forgotten.
                await self.start_run(fencing_token=EPOCH - number)
                self.assertEqual({TASK}, self.runner.running)
        self.assertEqual([], self.ledger.broken)

    async def test_crash_keeps_the_clock(self) -> None:
        before_ms = self.runner.read_clock()
        self.runner.crash()
        self.assertGreaterEqual(self.runner.read_clock(), before_ms)
        self.assertEqual('i-1', self.runner.identifier)
        self.assertEqual(5001, self.runner.born_ms)

    async def test_call_for_another_instance_is_refused(self) -> None:
        self.runner.restart(identifier='i-2')
        replaced = platform.Refusal.REPLACED
        await self.assert_refused(replaced, self.start_run())
        await self.assert_refused(replaced, self.poll())
        await self.assert_refused(replaced, self.client.stop(TASK, 1, EPOCH))
        await self.assert_refused(
            replaced, self.client.pace(TASK, 1, 50, EPOCH)
        )
        self.assertEqual([], self.runner.began)
        self.assertEqual({}, self.runner.paces)
        self.assertEqual(['misdirected'] * 4, self.runner.refusals)

    async def test_poll_of_an_ended_boot_breaks(self) -> None:
        await self.start_run()
        poll = asyncio.create_task(self.poll(wait_seconds=10.0))
        await asyncio.sleep(0.1)
        self.runner.restart()
        with self.assertRaises(errors.UnavailableError):
            await poll

    async def test_exited_worker_answers_nothing_until_a_restart(
        self,
    ) -> None:
        await self.start_run()
        self.runner.exit()
        self.assertEqual(frozenset(), self.runner.running)
        with self.assertRaises(errors.UnavailableError):
            await self.poll()
        self.runner.restart()
        self.assertEqual((), (await self.poll()).running)

    async def test_call_of_an_earlier_boot_extends_to_the_longest_lease(
        self,
    ) -> None:
        self.runner.faults.max_hold_ms = 300
        self.runner.restart()
        await self.client.poll(EPOCH, 7, LEASE_MS, 0.0)
        call = self.runner.events[-1]
        self.assertEqual(
            ('holds', '', EPOCH, LEASE_MS, 7),
            (
                call.what,
                call.outcome,
                call.fencing_token,
                call.deadline_ms,
                call.acknowledged,
            ),
        )
        self.assertEqual(self.runner.born_ms, call.born_ms)
        self.assertEqual(call.clock_ms + 300, call.lease_until_ms)

    async def test_trace_tells_calls_and_ends_by_boot(self) -> None:
        await self.start_run()
        self.runner.restart()
        await self.start_run(run=2)
        await self.assert_refused(
            platform.Refusal.STALE_FENCE,
            self.start_run(OTHER_TASK, fencing_token=EPOCH - 1),
        )
        self.assertEqual(
            [
                (5000, 'starts', '', TASK, 1),
                (5000, 'end', 'crashed', TASK, 1),
                (5001, 'starts', '', TASK, 2),
                (5001, 'starts', 'fence', OTHER_TASK, 1),
            ],
            [
                (each.born_ms, each.what, each.outcome, each.task, each.run)
                for each in self.runner.events
            ],
        )

    async def test_payload_sets_the_time_of_a_run(self) -> None:
        payload = f'{standins.TIMED_PAYLOAD_PREFIX}0.05'
        until_ms = self.runner.read_clock() + LEASE_MS
        await self.client.start(TASK, 1, payload, until_ms, EPOCH, '', '')
        self.assertEqual({TASK}, self.runner.running)
        await self.wait_until_idle()
        (end,) = (await self.poll()).ended
        self.assertIs(platform.EndCause.DONE, end.cause)


class LeaseTest(RunnerTest):
    """Extend leases and let them lapse."""

    async def test_lease_is_shortened_to_the_maximum(self) -> None:
        self.runner.faults.max_hold_ms = 300
        await self.start_run()
        await self.wait_until_idle()
        (end,) = (await self.poll()).ended
        self.assertIs(platform.EndCause.LEASE_EXPIRED, end.cause)

    async def test_lease_is_not_shortened_by_a_later_call(self) -> None:
        await self.start_run()
        await self.poll(lease_ms=1)
        await self.start_run(OTHER_TASK, lease_ms=20)
        await asyncio.sleep(0.2)
        self.assertEqual({TASK, OTHER_TASK}, self.runner.running)

    async def test_refused_start_extends_the_lease(self) -> None:
        old, room = platform.Refusal.SUPERSEDED, platform.Refusal.NO_CAPACITY
        for refusal, task in ((old, TASK), (room, OTHER_TASK)):
            with self.subTest(refusal=refusal):
                self.runner.restart()
                await self.start_run(run=2, lease_ms=300)
                self.runner.faults.full = refusal is room
                await self.assert_refused(refusal, self.start_run(task))
                self.runner.faults.full = False
                await asyncio.sleep(0.5)
                self.assertEqual({TASK}, self.runner.running)

    async def test_late_start_does_not_extend_the_lease(self) -> None:
        await self.start_run(lease_ms=100)
        await self.assert_refused(
            platform.Refusal.EXPIRED, self.start_run(OTHER_TASK, lease_ms=-1)
        )
        await self.wait_until_idle()

    async def test_lower_fencing_token_has_no_effect(self) -> None:
        await self.start_run(lease_ms=100)
        fence = platform.Refusal.STALE_FENCE
        until_ms = self.runner.read_clock() + LEASE_MS
        await self.assert_refused(
            fence, self.client.poll(EPOCH - 1, 0, until_ms, 0.0)
        )
        await self.assert_refused(
            fence, self.start_run(OTHER_TASK, fencing_token=EPOCH - 1)
        )
        await self.wait_until_idle()


class CallFaultsTest(RunnerTest):
    """Delay calls, lose their answers and refuse them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runner.faults.late_seconds = LATE_SECONDS

    async def assert_unanswered(
        self, call: collections.abc.Awaitable[object]
    ) -> None:
        with self.assertRaises(errors.UnavailableError):
            await call

    async def test_late_start_takes_effect_on_a_new_boot(self) -> None:
        self.runner.faults.late_starts = 1
        start = asyncio.create_task(self.start_run())
        await self.wait_until(lambda: not self.runner.faults.late_starts)
        self.runner.restart(7000)
        await self.assert_unanswered(start)
        self.assertEqual([], self.runner.began)
        await self.wait_until(lambda: bool(self.runner.running))
        (ran,) = self.runner.began
        self.assertEqual(('i-1', 7000), (ran.worker, ran.born_ms))

    async def test_late_start_does_not_reach_another_identifier(self) -> None:
        self.runner.faults.late_starts = 1
        await self.assert_unanswered(self.start_run())
        self.runner.restart(identifier='i-2')
        await asyncio.sleep(2 * LATE_SECONDS)
        self.assertEqual([], self.runner.began)

    async def test_late_start_is_refused_by_a_higher_fencing_token(
        self,
    ) -> None:
        self.runner.faults.late_starts = 1
        await self.assert_unanswered(self.start_run(fencing_token=EPOCH - 1))
        await self.poll()
        await asyncio.sleep(2 * LATE_SECONDS)
        self.assertEqual([], self.runner.began)

    async def test_capacity_that_changes_is_registered(self) -> None:
        capacity = self.runner.capacity
        before = self.runner.make_registration()
        capacity.change(workloads.Resources(1000, 2000, 3))
        after = self.runner.make_registration()
        self.assertEqual(8000, before.body['capacity']['cpu'])
        self.assertEqual(
            {'cpu': 1000, 'mem_mb': 2000, 'gpu': 3}, after.body['capacity']
        )
        self.assertEqual(before.body['born'], after.body['born'])

    async def test_what_is_being_stopped_takes_capacity(self) -> None:
        capacity = self.runner.capacity
        step = TASK.rpartition('.')[0]
        capacity.sizes[step] = capacity.current
        self.runner.faults.stop_seconds = 30.0
        await self.start_run()
        await self.client.stop(TASK, 1, EPOCH)
        await self.assert_refused(
            platform.Refusal.NO_CAPACITY, self.start_run(OTHER_TASK)
        )
        self.assertEqual([], capacity.exceeded)
        capacity.enforced = False
        await self.start_run(OTHER_TASK)
        self.assertEqual(1, len(capacity.exceeded))

    async def test_stop_takes_some_time(self) -> None:
        self.runner.faults.stop_seconds = 0.3
        await self.start_run()
        await self.client.stop(TASK, 1, EPOCH)
        self.assertEqual({TASK}, self.runner.running)
        await self.wait_until_idle()

    async def test_late_stop_and_late_hold_take_effect(self) -> None:
        await self.start_run()
        self.runner.faults.late_stops = 1
        await self.assert_unanswered(self.client.stop(TASK, 1, EPOCH))
        self.assertEqual({TASK}, self.runner.running)
        await self.wait_until_idle()
        self.runner.faults.late_holds = 1
        await self.assert_unanswered(self.poll(acknowledged=1))
        self.assertEqual(1, len((await self.poll()).ended))
        await asyncio.sleep(LATE_SECONDS)
        self.assertEqual((), (await self.poll()).ended)

    async def test_calls_with_a_lost_answer_take_effect_at_once(self) -> None:
        faults = self.runner.faults
        faults.lost_starts = faults.lost_stops = faults.lost_holds = 1
        await self.assert_unanswered(self.start_run())
        self.assertEqual({TASK}, self.runner.running)
        await self.assert_unanswered(self.client.stop(TASK, 1, EPOCH))
        self.assertEqual(frozenset(), self.runner.running)
        await self.assert_unanswered(self.poll(acknowledged=1))
        self.assertEqual((), (await self.poll()).ended)

    async def test_polls_stall_after_some_answers(self) -> None:
        await self.start_run(lease_ms=100)
        self.runner.faults.holds_stall = True
        self.runner.faults.holds_before_stall = 1
        await self.poll()
        # A stalled poll extends no lease.
        await self.assert_unanswered(self.poll(lease_ms=LEASE_MS))
        await self.wait_until_idle()
        self.runner.faults.holds_stall = False
        await self.poll()

    async def test_progress_of_a_run_is_its_share_of_the_time(self) -> None:
        self.runner.seconds = 0.5
        await self.start_run()
        shares = []
        while self.runner.running:
            for row in (await self.poll()).running:
                shares.append(row.progress)
            await asyncio.sleep(0.05)
        self.assertEqual(sorted(shares), shares)
        self.assertLess(shares[0], shares[-1])
        self.assertLessEqual(shares[-1], 100)

    async def test_slow_poll_is_executed_and_answered_late(self) -> None:
        self.runner.faults.slow_holds = 1
        self.runner.faults.slow_seconds = 0.3
        await self.start_run(lease_ms=100)
        sent_ms = self.runner.read_clock()
        status = await self.poll(lease_ms=LEASE_MS)
        self.assertGreaterEqual(status.clock_ms, sent_ms + 300)
        # The lease expired before the poll was executed.
        self.assertEqual((), status.running)
        self.assertEqual(0, self.runner.faults.slow_holds)

    async def test_full_worker_refuses_starts(self) -> None:
        await self.start_run()
        self.runner.faults.full = True
        await self.assert_refused(
            platform.Refusal.NO_CAPACITY, self.start_run(OTHER_TASK)
        )
        # A run that is there already is not refused.
        await self.start_run()
        self.assertEqual({TASK}, self.runner.running)


class RegistrationTest(RunnerTest):
    """Control the registrations of a worker."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.control = ControlServer()
        server = chivespoke_web.HttpServer(
            addresses.Address(), (self.control,), 0.1
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        address = server.address
        self.runner.register_at(f'{address.host}:{address.port}')
        await self.wait_for_registration()

    async def wait_for_registration(self) -> None:
        self.control.called.clear()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.control.called.wait()

    async def pause(self) -> None:
        """Stop registering and wait for the registration in progress."""
        self.runner.faults.skips_registration = True
        await asyncio.sleep(0.3)
        self.control.calls.clear()

    async def test_registration_pauses(self) -> None:
        await self.pause()
        await asyncio.sleep(0.3)
        self.assertEqual([], self.control.calls)
        self.runner.faults.skips_registration = False
        await self.wait_for_registration()

    async def test_registration_of_an_earlier_boot_arrives_late(self) -> None:
        await self.pause()
        earlier = self.runner.make_registration()
        self.runner.restart(7000)
        self.assertTrue(
            await self.runner.send_registration(
                self.runner.make_registration()
            )
        )
        self.assertTrue(await self.runner.send_registration(earlier))
        sent = [body['born'] for _, _, body in self.control.calls]
        self.assertEqual([7000, 5000], sent)

    async def test_deregistered_worker_runs_on_until_it_exits(self) -> None:
        await self.start_run()
        for status, acknowledged in ((503, False), (200, True)):
            self.control.status = status
            self.assertIs(acknowledged, await self.runner.deregister())
        deleted = [call for call in self.control.calls if call[0] == 'DELETE']
        self.assertEqual([('DELETE', 'i-1', {})] * 2, deleted)
        self.control.calls.clear()
        await asyncio.sleep(0.3)
        self.assertEqual([], self.control.calls)
        self.assertEqual({TASK}, self.runner.running)
        self.runner.exit()
        self.assertEqual(frozenset(), self.runner.running)


class LedgerTest(RunnerTest):
    """Detect tasks that run twice."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.other = standins.PlatformRunner(
            'i-2', 's', 'z', 30.0, self.ledger, born_ms=8000
        )
        self.servers = {self.runner: self.server}
        server = self.other.make_server()
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.servers[self.other] = server

    async def start_on(
        self, runner: standins.PlatformRunner, run: int
    ) -> None:
        self.runner, self.server = runner, self.servers[runner]
        self.client = await self.make_client(runner.identifier)
        await self.start_run(run=run)

    async def complete_run(self) -> standins.PlatformRunner:
        first = self.runner
        first.seconds = 0.05
        await self.start_run(run=1)
        await self.wait_until_idle()
        return first

    async def test_concurrent_runs_are_reported_with_their_boots(
        self,
    ) -> None:
        await self.start_on(self.runner, 1)
        await self.start_on(self.other, 2)
        (message,) = self.ledger.broken
        self.assertIn('run 1 on i-1 (born 5000)', message)
        self.assertIn('run 2 on i-2 (born 8000)', message)

    async def test_run_ends_with_its_boot(self) -> None:
        for end in (self.runner.crash, self.runner.restart, self.runner.exit):
            with self.subTest(end=end.__name__):
                self.runner.restart()
                await self.start_run()
                end()
        await self.start_on(self.other, 2)
        self.assertEqual([], self.ledger.broken)

    async def test_end_of_one_run_does_not_hide_the_other(self) -> None:
        first = self.runner
        await self.start_on(first, 1)
        await self.start_on(self.other, 2)
        first.crash()
        await self.start_on(first, 3)
        self.assertEqual(2, len(self.ledger.broken))

    async def test_start_after_an_acknowledged_completion(self) -> None:
        await self.complete_run()
        await self.poll(acknowledged=1)
        await self.start_on(self.other, 2)
        (message,) = self.ledger.broken
        self.assertIn('run 1 on i-1 (born 5000)', message)
        self.assertIn('run 2 on i-2 (born 8000)', message)

    async def test_start_before_the_completion_is_acknowledged(self) -> None:
        first = await self.complete_run()
        await self.start_on(self.other, 2)
        self.assertEqual([], self.ledger.broken)
        self.runner, self.server = first, self.servers[first]
        self.client = await self.make_client('i-1')
        await self.poll(acknowledged=1)
        (message,) = self.ledger.broken
        self.assertIn('run 1 on i-1 (born 5000)', message)
        self.assertIn('run 2 on i-2 (born 8000)', message)

    async def test_lapsed_lease_voids_a_completion(self) -> None:
        self.runner.faults.max_hold_ms = 200
        await self.complete_run()
        await asyncio.sleep(0.4)
        await self.poll(lease_ms=LEASE_MS, acknowledged=1)
        await self.start_on(self.other, 2)
        self.assertEqual([], self.ledger.broken)

    async def test_completion_that_a_crash_loses_does_not_count(self) -> None:
        await self.complete_run()
        self.runner.crash()
        await self.poll(acknowledged=1)
        await self.start_on(self.other, 2)
        self.assertEqual([], self.ledger.broken)


if __name__ == '__main__':
    unittest.main()
