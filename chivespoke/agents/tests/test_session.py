"""Tests of a session with a worker, against the stand-in worker."""

import asyncio
import contextlib
import math
import typing
import unittest
from unittest import mock

import msgspec

from chivespoke import agents
from chivespoke.agents import _leases
from chivespoke.agents import _session
from chivespoke.agents import _unanswered
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke import platform
from chivespoke import standins
from chivespoke import telemetry
from chivespoke import workloads

TASK = '00000000000000a1.0.0.0'
OTHER_TASK = '00000000000000a1.0.0.1'
EPOCH = 7
SESSION = 'a/1'
FENCE = 70
# The session may raise its token to any below this one.
FENCE_END = 73
HOUR_MS = 3600 * 1000
MAX_LEASE_SECONDS = 10.0
# How far ahead of its last reading a leader allows leases.
ALLOWED_MS = 6000
# Calls to start a run before its order is reported as refused.
START_ATTEMPTS = 3
# Longest time for one of them.
MAX_CALL_SECONDS = 1.0
# Of the 9 s for which a lasting task may be idle, those until the end of its
# worker is on record.
MAX_END_SECONDS = 6.0


class Listener(agents.SessionListener):
    """Record requests for a report."""

    def __init__(self) -> None:
        self.report_requested = asyncio.Event()
        self.confirmations = 0
        self.silences = 0
        self.ended: list[str] = []

    def request_report(self) -> None:
        self.report_requested.set()

    def handle_confirmation(self) -> None:
        self.confirmations += 1

    def handle_silence(self) -> None:
        self.silences += 1

    def handle_end(self, worker: str) -> None:
        self.ended.append(worker)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ledger = standins.RunLedger()
        self.runner = standins.PlatformRunner(
            'i-1', 's', 'z', 30.0, self.ledger
        )
        server = self.runner.make_server()
        self.server = server
        await server.start()
        self.addAsyncCleanup(server.stop)
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)
        transport = platform.Transport(
            f'{server.address.host}:{server.address.port}', 8
        )
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        self.listener = Listener()
        self.client = platform.WorkerClient(transport, 'i-1')
        self.session = self.make_session(self.client, clock.SystemClock())
        self.addAsyncCleanup(self.session.close)
        self.session.start()
        self.directives = 0
        self.send_directive(lease_ms=0)
        self.clock_ms = (await self.wait_for_report()).clock_ms

    def make_session(
        self, client: platform.WorkerClient, time: clock.Clock
    ) -> agents.Session:
        registration = platform.Registration(
            'i-1',
            1,
            1,
            's',
            '',
            'z',
            False,
            0,
            workloads.Resources(8000, 8000),
            (),
        )
        return agents.Session(
            'side-1',
            SESSION,
            registration,
            client,
            self.listener,
            time,
            MAX_LEASE_SECONDS,
            EPOCH,
            telemetry.Telemetry(),
            _unanswered.UnansweredStarts(time),
        )

    def send_directive(
        self,
        lease_ms: int,
        *starts: coordination.StartOrder,
        stops: tuple[coordination.StopOrder, ...] = (),
        number: int | None = None,
        reserved: workloads.Resources | None = None,
        standings: tuple[coordination.JobStanding, ...] = (),
        acknowledged: int = 0,
        granted_ms: int = 0,
    ) -> None:
        self.directives += 1
        self.session.apply_directive(
            coordination.Directive(
                EPOCH,
                self.session.incarnation.key,
                lease_ms,
                acknowledged,
                starts,
                stops,
                number=self.directives if number is None else number,
                session=SESSION,
                fence=FENCE,
                reserved=reserved,
                standings=standings,
                fence_end=FENCE_END,
                granted_until_ms=granted_ms,
            )
        )

    def change_capacity(self, cpu_millis: int) -> None:
        self.session.registration = msgspec.structs.replace(
            self.session.registration,
            capacity=workloads.Resources(cpu_millis, 8000),
        )

    def make_start(self, repeated: bool = False) -> coordination.StartOrder:
        return coordination.StartOrder(
            TASK, 1, 'work', '', '', 0, False, repeated
        )

    async def wait_for_report(self) -> coordination.Report:
        """Return the next report that describes the worker."""
        while True:
            await asyncio.wait_for(self.listener.report_requested.wait(), 20.0)
            self.listener.report_requested.clear()
            report = self.session.make_report('a')
            if report.incarnation is not None:
                return report

    async def wait_for_outcome(self) -> coordination.OrderOutcome:
        while True:
            report = await self.wait_for_report()
            if report.outcomes:
                return report.outcomes[0]

    async def test_start_order_within_its_lease_is_executed(self) -> None:
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIsNone(outcome.refusal)
        self.assertEqual({TASK}, self.runner.running)

    async def test_start_order_past_its_lease_is_refused(
        self,
    ) -> None:
        # The delayed order arrives just before a newer directive, whose later
        # lease end must not apply to it.
        self.send_directive(self.clock_ms - 1, self.make_start())
        self.send_directive(self.clock_ms + HOUR_MS)
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.EXPIRED, outcome.refusal)
        self.assertEqual(frozenset(), self.runner.running)

    async def test_call_without_an_answer_is_reported_once_a_later_one_has_one(
        self,
    ) -> None:
        # The worker may still execute it, in its next incarnation.
        start = platform.WorkerClient.start
        failures = [errors.UnavailableError('start', 'i-1', 'lost')]

        async def fail_once(
            client: platform.WorkerClient, *arguments: typing.Any
        ) -> int:
            if failures:
                raise failures.pop()
            return await start(client, *arguments)

        with mock.patch.object(platform.WorkerClient, 'start', fail_once):
            self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
            outcome = await self.wait_for_outcome()
        self.assertIsNone(outcome.refusal)
        (unanswered,) = self.session.make_report('a').unanswered
        self.assertEqual((TASK, 1), (unanswered.task, unanswered.run))

    async def test_process_that_stood_still_makes_no_call_past_the_lease_end(
        self,
    ) -> None:
        # The worker may have started again, with a clock that does not show
        # that the order has expired.
        time = clock.ManualClock()
        client = mock.create_autospec(platform.WorkerClient, instance=True)

        async def answer(*arguments: typing.Any) -> typing.Any:
            await asyncio.sleep(0.02)
            return platform.WorkerStatus(1000, (), ())

        client.poll.side_effect = answer

        async def stand_still(*arguments: typing.Any) -> None:
            client.poll.side_effect = errors.UnavailableError(
                'look', 'i-1', 'cut off'
            )
            time.advance(10.0)
            raise errors.UnavailableError('start', 'i-1', 'lost')

        client.start.side_effect = stand_still
        client.stop.return_value = 1000
        self.session = self.make_session(client, time)
        self.addAsyncCleanup(self.session.close)
        self.session.start()
        self.send_directive(lease_ms=0)
        await self.wait_for_report()
        self.send_directive(7000, self.make_start())
        while not client.stop.await_count:
            await asyncio.sleep(0.02)
        self.assertEqual(1, client.start.await_count)

    async def test_start_does_not_exceed_a_capacity_that_has_shrunk(
        self,
    ) -> None:
        # The leader hears of the change after the sidecar.
        for cpu_millis, refusal, began in (
            (3999, platform.Refusal.NO_CAPACITY, 0),
            (4000, None, 1),
        ):
            with self.subTest(cpu_millis=cpu_millis):
                self.change_capacity(cpu_millis)
                self.send_directive(
                    self.clock_ms + HOUR_MS,
                    self.make_start(),
                    reserved=workloads.Resources(4000),
                )
                outcome = await self.wait_for_outcome()
                self.assertIs(refusal, outcome.refusal)
                self.assertEqual(began, len(self.runner.began))

    async def test_start_by_an_earlier_leader_is_not_compared(self) -> None:
        self.change_capacity(0)
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)

    async def test_start_is_not_repeated_on_a_worker_that_has_shrunk(
        self,
    ) -> None:
        self.runner.faults.late_starts = 1
        self.runner.faults.late_seconds = 1.5
        self.send_directive(
            self.clock_ms + HOUR_MS,
            self.make_start(),
            reserved=workloads.Resources(4000),
        )
        self.change_capacity(4000)
        while self.runner.faults.late_starts:
            await asyncio.sleep(0.01)
        self.change_capacity(3999)
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.NO_CAPACITY, outcome.refusal)
        # Nor does the order without an answer start it later.
        await asyncio.sleep(2 * self.runner.faults.late_seconds)
        self.assertEqual([], self.runner.began)

    async def test_run_that_has_started_stays_on_a_worker_that_has_shrunk(
        self,
    ) -> None:
        self.runner.faults.lost_starts = 1
        self.send_directive(
            self.clock_ms + HOUR_MS,
            self.make_start(),
            reserved=workloads.Resources(4000),
        )
        while not self.runner.running:
            await asyncio.sleep(0.01)
        self.change_capacity(3999)
        outcome = await self.wait_for_outcome()
        self.assertIsNone(outcome.refusal)
        self.assertEqual({TASK}, self.runner.running)
        self.assertEqual(1, len(self.runner.began))

    async def test_start_is_not_repeated_once_its_run_is_listed(self) -> None:
        # Regression: the calls of a run that works were counted as such that
        # may still be executed.
        self.runner.faults.lost_starts = 1
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual((), self.session.make_report('a').unanswered)
        self.assertEqual(1, self.runner.starts)

    async def test_stop_on_a_worker_that_is_gone_is_given_up(self) -> None:
        # Regression: stops were repeated to the end of the day.
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await self.wait_for_outcome()
        self.session.deregistered = True
        self.runner.exit()
        await self.server.stop()
        self.send_directive(
            self.clock_ms + HOUR_MS, stops=(coordination.StopOrder(TASK, 1),)
        )
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.SUPERSEDED, outcome.refusal)

    async def test_poll_of_a_silent_worker_bars_earlier_starts(self) -> None:
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await self.wait_for_outcome()
        for _ in range(3):
            await self.silence_worker()
        # Starts were sent before the first of these silences only.
        self.assertEqual(FENCE + 1, self.session.make_report('a').fence)

    async def test_token_is_not_raised_beyond_those_of_the_session(
        self,
    ) -> None:
        for run in range(1, 5):
            start = msgspec.structs.replace(self.make_start(), run=run)
            self.send_directive(self.clock_ms + HOUR_MS, start)
            await self.wait_for_outcome()
            await self.silence_worker()
        self.assertEqual(FENCE_END - 1, self.session.make_report('a').fence)

    async def test_start_that_a_poll_has_overtaken_is_repeated(self) -> None:
        self.send_directive(self.clock_ms + HOUR_MS)
        start = platform.WorkerClient.start

        async def start_after_a_silence(
            client: platform.WorkerClient, *arguments: typing.Any
        ) -> int:
            if self.session.make_report('a').fence == FENCE:
                await self.silence_worker()
            return await start(client, *arguments)

        with mock.patch.object(
            platform.WorkerClient, 'start', start_after_a_silence
        ):
            self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
            self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual(['fence'], self.runner.refusals)
        self.assertEqual({TASK}, self.runner.running)

    async def silence_worker(self) -> None:
        """Let a poll fail, and wait for the answer of a later one."""
        failure = errors.UnavailableError('look', 'i-1', 'cut off')
        with mock.patch.object(
            platform.WorkerClient, 'poll', side_effect=failure
        ):
            while self.session.answering:
                await asyncio.sleep(0.01)
        while not self.session.answering:
            await asyncio.sleep(0.01)

    async def test_restarted_sidecar_stops_no_run_on_a_shrunk_worker(
        self,
    ) -> None:
        # An order may be repeated before the first poll has listed its run.
        await self.client.start(
            TASK, 1, 'work', self.clock_ms + HOUR_MS, FENCE, '', ''
        )
        session = self.make_session(self.client, clock.SystemClock())
        self.addAsyncCleanup(session.close)
        session.registration = msgspec.structs.replace(
            session.registration, capacity=workloads.Resources(3999, 8000)
        )
        session.apply_directive(
            coordination.Directive(
                EPOCH,
                session.incarnation.key,
                self.clock_ms + HOUR_MS,
                0,
                (self.make_start(repeated=True),),
                number=1,
                session=SESSION,
                fence=FENCE,
                reserved=workloads.Resources(4000),
            )
        )
        await asyncio.sleep(0.05)
        session.start()
        async with asyncio.timeout(20.0):
            while not (outcomes := session.make_report('a').outcomes):
                await asyncio.sleep(0.01)
        self.assertIsNone(outcomes[0].refusal)
        self.assertEqual({TASK}, self.runner.running)

    async def test_pacing_uses_a_capacity_that_has_changed(self) -> None:
        # Regression: the capacity at the begin of the session counted.
        self.change_capacity(3000)
        capacity: object = None
        paced = asyncio.Event()

        def record(*arguments: object) -> list[decisions.PaceChange]:
            nonlocal capacity
            capacity = arguments[-2]
            paced.set()
            return []

        with mock.patch.object(decisions.Pacer, 'adjust', record):
            async with asyncio.timeout(20.0):
                await paced.wait()
        self.assertEqual(3000, capacity)

    async def test_standings_reach_pacing_and_paces_the_leader(self) -> None:
        job = TASK.partition('.')[0]
        held = decisions.PaceChange(TASK, 1, 0)
        seen: set[decisions.Standing] = set()

        def record(*arguments: typing.Any) -> list[decisions.PaceChange]:
            seen.update(run.standing for run in arguments[1])
            return [held] if decisions.Standing.DELAYED in seen else []

        self.send_directive(
            self.clock_ms + HOUR_MS,
            msgspec.structs.replace(self.make_start(), filler=True),
        )
        await self.wait_for_outcome()
        self.assertEqual((), self.session.make_report('a').paces)
        with mock.patch.object(decisions.Pacer, 'adjust', record):
            self.send_directive(
                self.clock_ms + HOUR_MS,
                standings=(
                    coordination.JobStanding(job, decisions.Standing.DELAYED),
                ),
            )
            async with asyncio.timeout(20.0):
                while not (paces := self.session.make_report('a').paces):
                    await asyncio.sleep(0.01)
        self.assertEqual((coordination.RunPace(TASK, 1, 0),), paces)
        self.assertEqual({TASK: 0}, self.runner.paces)

    async def test_stops_that_fail_are_not_logged_each_time(self) -> None:
        # The sidecar of a worker that was gone for good wrote 680 warnings in
        # a minute.
        failure = errors.UnavailableError('stop', 'i-1', 'gone')
        failures = 2 * _session.STOPS_PER_WARNING
        stop = platform.WorkerClient.stop
        calls = 0

        async def fail_at_first(
            client: platform.WorkerClient, *arguments: typing.Any
        ) -> int:
            nonlocal calls
            calls += 1
            if calls <= failures:
                raise failure
            return await stop(client, *arguments)

        with (
            mock.patch.object(platform.WorkerClient, 'stop', fail_at_first),
            mock.patch.object(_session, 'STOP_RETRY_SECONDS', 0.0),
            mock.patch.object(_session, 'LOGGER') as logger,
        ):
            self.session.apply_directive(
                coordination.Directive(
                    EPOCH,
                    self.session.incarnation.key,
                    self.clock_ms + HOUR_MS,
                    0,
                    stops=(coordination.StopOrder(TASK, 1),),
                )
            )
            await self.wait_for_outcome()
        self.assertEqual(2, logger.warning.call_count)

    async def test_polls_go_on_after_an_unexpected_error(self) -> None:
        # Polls renew the leases, so that all runs ended after such an error.
        poll = platform.WorkerClient.poll
        failed = asyncio.Event()

        async def fail_once(
            client: platform.WorkerClient, *arguments: typing.Any
        ) -> platform.WorkerStatus:
            if failed.is_set():
                return await poll(client, *arguments)
            failed.set()
            raise KeyError('unexpected')

        with mock.patch.object(platform.WorkerClient, 'poll', fail_once):
            async with asyncio.timeout(20.0):
                await failed.wait()
                failed_at_ms = self.session.make_report('a').clock_ms
                while self.session.make_report('a').clock_ms <= failed_at_ms:
                    await asyncio.sleep(0.02)

    async def test_restarted_sidecar_does_not_deny_earlier_leases(
        self,
    ) -> None:
        # This session has polled once and has renewed nothing.
        failure = errors.UnavailableError('look', 'i-1', 'cut off')
        with mock.patch.object(
            platform.WorkerClient, 'poll', side_effect=failure
        ):
            while (report := self.session.make_report('a')).answering:
                await self.wait_for_report()
        self.assertFalse(report.lapsed)

    async def test_deregistered_worker_keeps_its_runs_until_leases_expire(
        self,
    ) -> None:
        # A worker whose deregistration is not acknowledged runs on a while.
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await self.wait_for_outcome()
        self.session.deregistered = True
        failure = errors.UnavailableError('look', 'i-1', 'cut off')
        with mock.patch.object(
            platform.WorkerClient, 'poll', side_effect=failure
        ):
            while (report := self.session.make_report('a')).answering:
                await self.wait_for_report()
        self.assertEqual({TASK}, self.runner.running)
        self.assertFalse(report.lapsed)

    async def test_deregistered_worker_that_has_ended_is_given_up_at_once(
        self,
    ) -> None:
        # Its sidecar stops a second later, and the leader would wait for the
        # leases.
        self.session.deregistered = True
        await self.server.stop()
        while not (report := self.session.make_report('a')).lapsed:
            await self.wait_for_report()
        self.assertGreater(report.lease_end_ms, report.clock_ms + 5_000)

    def announce_end(self, remaining_ms: int) -> None:
        """Let the worker report that it leaves, after some time at least."""
        self.session.update_registration(
            msgspec.structs.replace(
                self.session.registration,
                draining=True,
                remaining_ms=remaining_ms,
            )
        )

    async def close_address_after_notice(self) -> None:
        """Refuse connections while a task works on for longer than a lease.

        The time that the worker has announced is over by then.
        """
        self.runner.seconds = 2 * MAX_LEASE_SECONDS
        allowed_ms = self.clock_ms + HOUR_MS
        self.send_directive(
            allowed_ms,
            self.make_start(),
            granted_ms=self.clock_ms + ALLOWED_MS,
        )
        await self.wait_for_outcome()
        self.announce_end(remaining_ms=200)
        await asyncio.sleep(0.3)
        await self.server.stop()
        self.assertEqual({TASK}, self.runner.running)

    async def test_worker_that_may_run_on_after_its_notice_keeps_its_runs(
        self,
    ) -> None:
        # Regression (review, case 7): the notice names the least time that is
        # left. Behind a cut that refuses connections the worker may be up, and
        # its tasks were started elsewhere while they ran.
        await self.close_address_after_notice()
        while not self.session.make_report('a').lapsed:
            await asyncio.sleep(0.02)
        self.assertEqual(frozenset(), self.runner.running)

    async def test_worker_that_has_left_after_its_notice_is_given_up_in_time(
        self,
    ) -> None:
        # Its sidecar may stop soon after, so that the end is put on record as
        # soon as all leases have expired.
        await self.close_address_after_notice()
        async with asyncio.timeout(MAX_END_SECONDS):
            while not self.listener.ended:
                await asyncio.sleep(0.02)
        self.assertEqual([self.session.incarnation.key], self.listener.ended)
        self.assertTrue(self.session.make_report('a').lapsed)

    async def test_worker_that_was_given_up_gets_no_starts(self) -> None:
        # Its end is on record, and its tasks may run elsewhere.
        self.announce_end(remaining_ms=0)
        await self.server.stop()
        while not self.listener.ended:
            await self.wait_for_report()
        self.session.update_registration(
            msgspec.structs.replace(self.session.registration, draining=False)
        )
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        self.assertEqual(0, self.runner.starts)

    async def test_worker_that_may_not_have_left_keeps_its_runs(self) -> None:
        # Its machine may refuse connections while it runs.
        self.announce_end(remaining_ms=HOUR_MS)
        await self.server.stop()
        while not self.session.make_report('a').refuses_connections:
            await self.wait_for_report()
        self.assertFalse(self.session.make_report('a').lapsed)

    async def test_leases_are_not_extended_after_a_deregistration(
        self,
    ) -> None:
        poll = platform.WorkerClient.poll
        requested: list[int | None] = []

        async def record(
            client: platform.WorkerClient,
            fence: int,
            acknowledged: int,
            lease_until_ms: int | None,
            wait_seconds: float,
        ) -> platform.WorkerStatus:
            requested.append(lease_until_ms)
            return await poll(
                client, fence, acknowledged, lease_until_ms, wait_seconds
            )

        self.session.deregistered = True
        with mock.patch.object(platform.WorkerClient, 'poll', record):
            self.send_directive(self.clock_ms + HOUR_MS)
            while len(requested) < 3:
                await asyncio.sleep(0.02)
        self.assertEqual([None, None, None], requested[:3])

    async def test_leases_are_renewed_while_each_second_poll_is_lost(
        self,
    ) -> None:
        # Waiting for an answered poll before the next renewal ended all runs.
        poll = platform.WorkerClient.poll
        count = 0

        async def lose_half(
            client: platform.WorkerClient, *arguments: typing.Any
        ) -> platform.WorkerStatus:
            nonlocal count
            count += 1
            if count % 2:
                raise errors.UnavailableError('look', 'i-1', 'lost')
            return await poll(client, *arguments)

        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        with mock.patch.object(platform.WorkerClient, 'poll', lose_half):
            await asyncio.sleep(_leases.LEASE_SECONDS + 1.0)
        self.assertEqual({TASK}, self.runner.running)

    async def end_run(self) -> None:
        """Let a run end, and have its end reported."""
        self.runner.seconds = 0.05
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        while not (await self.wait_for_report()).ended:
            pass

    def record_acknowledgements(
        self,
    ) -> tuple[list[int], contextlib.AbstractContextManager[object]]:
        """Return a list that polls add to, and the patch of the client."""
        poll = platform.WorkerClient.poll
        acknowledgements: list[int] = []

        async def record(
            client: platform.WorkerClient,
            fence: int,
            acknowledged: int,
            lease_until_ms: int | None,
            wait_seconds: float,
        ) -> platform.WorkerStatus:
            acknowledgements.append(acknowledged)
            return await poll(
                client, fence, acknowledged, lease_until_ms, wait_seconds
            )

        return acknowledgements, mock.patch.object(
            platform.WorkerClient, 'poll', record
        )

    async def test_ends_are_not_acknowledged_during_a_start(self) -> None:
        # The next life would forget the end of the run before it is seen.
        acknowledgements, patch = self.record_acknowledgements()
        await self.end_run()
        self.runner.faults.late_starts = 1
        self.runner.faults.late_seconds = HOUR_MS / 1000
        with patch:
            self.send_directive(
                self.clock_ms + HOUR_MS,
                msgspec.structs.replace(self.make_start(), task=OTHER_TASK),
                acknowledged=1,
            )
            while self.runner.faults.late_starts:
                await asyncio.sleep(0.01)
            acknowledgements.clear()
            await asyncio.sleep(MAX_CALL_SECONDS / 2)
            self.assertEqual({0}, set(acknowledgements))
            await self.wait_for_outcome()
            while 1 not in acknowledgements:
                await asyncio.sleep(0.01)

    async def test_start_waits_for_an_acknowledgement(self) -> None:
        await self.end_run()
        starts = self.runner.starts
        self.runner.faults.holds_stall = True
        self.send_directive(self.clock_ms + HOUR_MS, acknowledged=1)
        acknowledgements, patch = self.record_acknowledgements()
        with patch:
            while 1 not in acknowledgements:
                await asyncio.sleep(0.01)
            self.send_directive(
                self.clock_ms + HOUR_MS,
                msgspec.structs.replace(self.make_start(), task=OTHER_TASK),
                acknowledged=1,
            )
            await asyncio.sleep(MAX_CALL_SECONDS / 2)
            self.assertEqual(starts, self.runner.starts)
            self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual(starts + 1, self.runner.starts)

    async def test_end_is_acknowledged_once(self) -> None:
        # A poll that repeats it could reach the next life.
        await self.end_run()
        acknowledgements, patch = self.record_acknowledgements()
        with patch:
            self.send_directive(self.clock_ms + HOUR_MS, acknowledged=1)
            await asyncio.sleep(3 * _session.POLL_WAIT_SECONDS)
        self.assertEqual(
            [1], [number for number in acknowledgements if number]
        )

    async def test_report_on_another_life_tells_its_longest_lease(
        self,
    ) -> None:
        # The next life may run orders of this session under that lease.
        self.send_directive(self.clock_ms + HOUR_MS)
        while not self.runner.lease_end_ms:
            await asyncio.sleep(0.01)
        self.runner.restart()
        # The clock of the former life is far ahead.
        while self.session.make_report('a').lease_end_ms > self.clock_ms:
            await asyncio.sleep(0.01)
        report = self.session.make_report('a')
        self.assertFalse(report.answering)
        self.assertGreaterEqual(
            report.lease_end_ms - report.clock_ms, MAX_LEASE_SECONDS * 1000
        )

    async def test_run_on_a_life_that_is_not_polled_keeps_its_lease(
        self,
    ) -> None:
        # The next life answers the start, by a clock that has begun anew, and
        # grants the longest lease.
        self.runner.seconds = 2 * MAX_LEASE_SECONDS
        self.runner.faults.max_hold_ms = int(MAX_LEASE_SECONDS * 1000)
        allowed_ms = self.clock_ms + ALLOWED_MS
        self.send_directive(allowed_ms, granted_ms=allowed_ms)
        while not self.runner.lease_end_ms:
            await asyncio.sleep(0.01)
        self.runner.faults.holds_stall = True
        self.runner.restart()
        self.send_directive(allowed_ms, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual({TASK}, self.runner.running)
        while not self.session.make_report('a').lapsed:
            await asyncio.sleep(0.05)
        self.assertEqual(frozenset(), self.runner.running)

    async def test_start_does_not_overtake_an_unanswered_acknowledgement(
        self,
    ) -> None:
        # It may be carried out late, after a start that was sent later, by the
        # next life, which then forgets the end of that run. The token does not
        # bar it: a poll has raised it since the last start.
        self.runner.seconds = 2.0
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await self.wait_for_outcome()
        await self.silence_worker()
        while not (await self.wait_for_report()).ended:
            pass
        self.runner.seconds = 0.05
        self.runner.faults.late_seconds = 1.5 * MAX_CALL_SECONDS
        poll = platform.WorkerClient.poll
        acknowledged: list[int] = []

        async def delay(
            client: platform.WorkerClient,
            fence: int,
            number: int,
            lease_until_ms: int | None,
            wait_seconds: float,
        ) -> platform.WorkerStatus:
            if number:
                acknowledged.append(number)
                self.runner.faults.late_holds = 1
            return await poll(
                client, fence, number, lease_until_ms, wait_seconds
            )

        with mock.patch.object(platform.WorkerClient, 'poll', delay):
            self.send_directive(self.clock_ms + HOUR_MS, acknowledged=1)
            while not acknowledged or self.runner.faults.late_holds:
                await asyncio.sleep(0.01)
        self.runner.faults.holds_stall = True
        self.runner.restart()
        began = len(self.runner.began)
        self.send_directive(
            self.clock_ms + HOUR_MS,
            msgspec.structs.replace(self.make_start(), task=OTHER_TASK),
            acknowledged=1,
        )
        await asyncio.sleep(2 * MAX_CALL_SECONDS)
        self.runner.faults.holds_stall = False
        status = await self.client.poll(FENCE_END, 0, None, 0.0)
        self.assertEqual(
            [ran.task for ran in self.runner.began[began:]],
            [end.task for end in status.ended],
        )

    async def test_last_call_for_a_start_is_made_in_time(self) -> None:
        # The leader counts how long the call may be carried out from here.
        await self.end_run()
        begun: list[float] = []
        failure = errors.UnavailableError('start', 'i-1', 'lost')
        loop = asyncio.get_running_loop()

        async def lose(*arguments: typing.Any) -> None:
            begun.append(loop.time())
            await asyncio.sleep(MAX_CALL_SECONDS)
            raise failure

        self.runner.faults.holds_stall = True
        acknowledgements, patch = self.record_acknowledgements()
        with patch, mock.patch.object(platform.WorkerClient, 'start', lose):
            self.send_directive(self.clock_ms + HOUR_MS, acknowledged=1)
            while 1 not in acknowledgements:
                await asyncio.sleep(0.01)
            ordered_at = loop.time()
            self.send_directive(
                self.clock_ms + HOUR_MS,
                msgspec.structs.replace(self.make_start(), task=OTHER_TASK),
                acknowledged=1,
            )
            # The stop that follows the last call is not answered.
            while (
                len(begun) < 2
                or self.session.make_report('a').unanswered[0].in_progress
            ):
                await asyncio.sleep(0.01)
        self.assertGreater(len(begun), 1)
        self.assertLess(
            begun[-1] - ordered_at,
            coordination.LeaderTimeouts().start_order_seconds,
        )

    async def test_unanswered_stop_does_not_hold_up_acknowledgements(
        self,
    ) -> None:
        # If the leases lapse first, the result is dropped, although its job
        # may be shown as completed.
        await self.end_run()
        faults = self.runner.faults
        faults.late_seconds = HOUR_MS / 1000
        faults.late_starts = 1
        faults.late_stops = 100
        self.send_directive(
            self.clock_ms + HOUR_MS,
            msgspec.structs.replace(self.make_start(), task=OTHER_TASK),
        )
        while faults.late_starts:
            await asyncio.sleep(0.01)
        faults.unhealthy_starts = START_ATTEMPTS
        while faults.late_stops == 100:
            await asyncio.sleep(0.01)
        acknowledgements, patch = self.record_acknowledgements()
        with patch:
            self.send_directive(self.clock_ms + HOUR_MS, acknowledged=1)
            await asyncio.sleep(_leases.LEASE_SECONDS)
        self.assertIn(1, acknowledgements)

    async def test_refused_polls_do_not_keep_the_tasks_of_a_dead_worker(
        self,
    ) -> None:
        # Regression (issue 47): each refused poll asked for longer leases, so
        # that they seemed to last up to the leader's limit.
        time = clock.ManualClock()
        client = mock.create_autospec(platform.WorkerClient, instance=True)
        is_gone = False

        async def answer(*arguments: typing.Any) -> platform.WorkerStatus:
            await asyncio.sleep(0.005)
            if is_gone:
                raise platform.NotListeningError('look', 'i-1', 'refused')
            clock_ms = int(time.read_monotonic() * 1000)
            return platform.WorkerStatus(clock_ms, (), ())

        client.poll.side_effect = answer
        time.advance(MAX_LEASE_SECONDS)
        self.session = self.make_session(client, time)
        self.addAsyncCleanup(self.session.close)
        self.session.start()
        self.send_directive(HOUR_MS)
        while not self.session.answering:
            await self.wait_for_report()
        # The leases of before the first answer are over.
        time.advance(MAX_LEASE_SECONDS)
        polls = client.poll.call_count
        while client.poll.call_count < polls + 3:
            await asyncio.sleep(0.01)
        is_gone = True
        while self.session.answering:
            await self.wait_for_report()
        # One poll may have been sent before the refusal, and one is under way.
        seconds = (_leases.LEASE_SECONDS + _session.POLL_RETRY_SECONDS) / (
            1 - _leases.CLOCK_DRIFT_SHARE
        ) + _session.POLL_RETRY_SECONDS
        for _ in range(math.ceil(seconds / _session.POLL_RETRY_SECONDS)):
            # The poll in progress has failed once its retry waits.
            while not time.is_awaited:
                await asyncio.sleep(0.001)
            polls = client.poll.call_count
            time.advance(_session.POLL_RETRY_SECONDS)
            while client.poll.call_count == polls:
                await asyncio.sleep(0.001)
        self.assertTrue(self.session.make_report('a').lapsed)

    async def test_slow_first_answer_does_not_advance_the_workers_clock(
        self,
    ) -> None:
        time = clock.ManualClock()
        client = mock.create_autospec(platform.WorkerClient, instance=True)

        async def answer_late(*arguments: typing.Any) -> typing.Any:
            client.poll.side_effect = errors.UnavailableError(
                'look', 'i-1', 'cut off'
            )
            time.advance(3.0)
            return platform.WorkerStatus(1000, (), ())

        client.poll.side_effect = answer_late
        self.session = self.make_session(client, time)
        self.addAsyncCleanup(self.session.close)
        self.session.start()
        self.send_directive(lease_ms=0)
        while (await self.wait_for_report()).answering:
            pass
        time.advance(MAX_LEASE_SECONDS - 2.0)
        self.assertFalse(self.session.make_report('a').lapsed)
        time.advance(3.0)
        self.assertTrue(self.session.make_report('a').lapsed)

    async def test_orders_do_not_reach_a_worker_that_has_started_again(
        self,
    ) -> None:
        self.send_directive(self.clock_ms + HOUR_MS)
        lease_end_ms = self.session.make_report('a').lease_end_ms
        self.runner.restart()
        # The clock starts anew, and the leases are unknown once it is read.
        while self.session.make_report('a').lease_end_ms >= lease_end_ms:
            await asyncio.sleep(0.02)
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        self.assertEqual([], self.runner.began)
        self.assertEqual(1, self.listener.silences)

    async def test_end_on_the_next_incarnation_is_not_acknowledged(
        self,
    ) -> None:
        self.session.apply_directive(
            coordination.Directive(
                EPOCH,
                self.session.incarnation.key,
                self.clock_ms + HOUR_MS,
                acknowledged=3,
                number=10,
                session=SESSION,
                fence=FENCE,
            )
        )
        self.directives = 10
        self.runner.seconds = 0.1
        self.runner.faults.holds_stall = True
        self.runner.restart()
        while self.session.answering:
            await self.wait_for_report()
        # The next incarnation carries out an order for the earlier one.
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await self.wait_for_outcome()
        while self.runner.running:
            await asyncio.sleep(0.02)
        # The answer to the start has shown the next clock already; the one to
        # a poll does so again.
        clock_ms = self.session.make_report('a').clock_ms
        self.runner.faults.holds_stall = False
        while self.session.make_report('a').clock_ms == clock_ms:
            await asyncio.sleep(0.02)
        status = await self.client.poll(FENCE, 0, None, 0.0)
        self.assertEqual([TASK], [end.task for end in status.ended])

    async def test_orders_for_an_earlier_process_are_not_carried_out(
        self,
    ) -> None:
        self.session.apply_directive(
            coordination.Directive(
                EPOCH,
                self.session.incarnation.key,
                self.clock_ms + HOUR_MS,
                0,
                (self.make_start(),),
                number=10,
                session='z/1',
                fence=FENCE - 1,
            )
        )
        self.assertLess(self.session.make_report('a').applied, 10)
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual(1, len(self.runner.began))

    async def test_worker_in_doubt_starts_nothing_until_it_answers(
        self,
    ) -> None:
        self.session.doubt()
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        while not self.listener.confirmations:
            await asyncio.sleep(0.02)
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        self.assertIsNone((await self.wait_for_outcome()).refusal)

    async def test_first_call_bars_the_calls_of_earlier_sessions(
        self,
    ) -> None:
        with self.assertRaises(platform.OrderRefusedError) as caught:
            await self.client.start(
                TASK, 1, 'work', self.clock_ms + HOUR_MS, FENCE - 1, '', ''
            )
        self.assertIs(platform.Refusal.STALE_FENCE, caught.exception.refusal)
        self.assertEqual([], self.runner.began)

    async def test_leases_have_not_expired_while_a_start_is_in_progress(
        self,
    ) -> None:
        # The start extends the leases when it is sent, after the report.
        failure = errors.UnavailableError('look', 'i-1', 'cut off')
        with mock.patch.object(
            platform.WorkerClient, 'poll', side_effect=failure
        ):
            while self.session.make_report('a').answering:
                await self.wait_for_report()
            self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
            self.assertFalse(self.session.make_report('a').lapsed)
            await self.wait_for_outcome()
        self.assertEqual({TASK}, self.runner.running)

    async def test_start_calls_go_on_to_a_worker_that_drains(self) -> None:
        self.runner.faults.late_starts = START_ATTEMPTS
        self.runner.faults.late_seconds = HOUR_MS / 1000
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        while self.runner.faults.late_starts == START_ATTEMPTS:
            await asyncio.sleep(0.01)
        self.session.registration = msgspec.structs.replace(
            self.session.registration, draining=True
        )
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        self.assertEqual(START_ATTEMPTS - 1, self.runner.faults.late_starts)

    async def test_start_calls_go_on_after_a_stop(self) -> None:
        # Another run has completed the task, and its end is acknowledged.
        self.runner.faults.late_starts = START_ATTEMPTS
        self.runner.faults.late_seconds = HOUR_MS / 1000
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        while self.runner.faults.late_starts == START_ATTEMPTS:
            await asyncio.sleep(0.01)
        self.send_directive(
            self.clock_ms + HOUR_MS, stops=(coordination.StopOrder(TASK, 1),)
        )
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.SUPERSEDED, outcome.refusal)
        self.assertEqual(START_ATTEMPTS - 1, self.runner.faults.late_starts)

    async def test_stop_waits_for_a_start_without_an_answer(self) -> None:
        # The stop bars the call that may be executed late.
        self.runner.faults.late_starts = START_ATTEMPTS
        self.runner.faults.late_seconds = 0.5
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        while self.runner.faults.late_starts == START_ATTEMPTS:
            await asyncio.sleep(0.01)
        self.send_directive(
            self.clock_ms + HOUR_MS, stops=(coordination.StopOrder(TASK, 1),)
        )
        await self.wait_for_outcome()
        self.assertEqual([], self.runner.began)

    async def test_refusal_is_not_reported_while_the_order_is_repeated(
        self,
    ) -> None:
        # The leader would take the refusal for that of the repeated order.
        self.runner.faults.unhealthy_starts = 1
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        await asyncio.wait_for(self.listener.report_requested.wait(), 20.0)
        self.send_directive(
            self.clock_ms + HOUR_MS, self.make_start(repeated=True)
        )
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual({TASK}, self.runner.running)

    async def test_directive_that_was_overtaken_is_ignored(self) -> None:
        # A replaced connection may still deliver what was sent over it.
        self.send_directive(self.clock_ms + HOUR_MS, number=2)
        self.send_directive(
            self.clock_ms + HOUR_MS, self.make_start(), number=1
        )
        self.assertEqual(2, self.session.make_report('a').applied)
        self.send_directive(
            self.clock_ms + HOUR_MS, self.make_start(), number=3
        )
        self.assertIsNone((await self.wait_for_outcome()).refusal)
        self.assertEqual(1, len(self.runner.began))

    async def test_deregistered_worker_gets_no_starts(self) -> None:
        self.session.deregistered = True
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        self.assertEqual([], self.runner.began)

    async def test_start_calls_go_on_after_the_session_is_replaced(
        self,
    ) -> None:
        # The next incarnation of the worker may carry them out.
        self.runner.faults.late_starts = START_ATTEMPTS
        self.runner.faults.late_seconds = HOUR_MS / 1000
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        while self.runner.faults.late_starts == START_ATTEMPTS:
            await asyncio.sleep(0.01)
        self.session.retire()
        await asyncio.sleep(2 * MAX_CALL_SECONDS)
        self.assertEqual(START_ATTEMPTS - 1, self.runner.faults.late_starts)

    async def test_unhealthy_refusal_is_reported(self) -> None:
        self.runner.faults.unhealthy_starts = 1
        self.send_directive(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_for_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)

    async def test_directive_for_another_incarnation_is_ignored(self) -> None:
        self.session.apply_directive(
            coordination.Directive(
                EPOCH,
                'side-1/i-1@0',
                self.clock_ms + HOUR_MS,
                0,
                (self.make_start(),),
            )
        )
        self.send_directive(self.clock_ms + HOUR_MS)
        self.assertEqual([], self.runner.began)


if __name__ == '__main__':
    unittest.main()
