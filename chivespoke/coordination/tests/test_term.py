"""Tests of how a leader's term ends."""

import asyncio
import threading
import unittest
from unittest import mock

import msgspec

from chivespoke import clock
from chivespoke import coordination
from chivespoke.coordination import _followers
from chivespoke.coordination import _learned_record
from chivespoke.coordination import _operator_view
from chivespoke.coordination import _records
from chivespoke.coordination import _term
from chivespoke.coordination.tests import builders
from chivespoke import decisions
from chivespoke import errors
from chivespoke import platform
from chivespoke import standins
from chivespoke import telemetry
from chivespoke import workloads

SYSTEM_TOPIC = coordination.SYSTEM_TOPIC
# Address at which nothing listens.
ADDRESS = '127.0.0.1:1'
TIMEOUT_SECONDS = 10.0
# A link on which the first plan of a new leader takes a second.
SLOW_LINK_BYTES_PER_SECOND = 300_000
JOBS = 50
TASKS = 1000
# The store lets an append wait for 2 s at most, and a slow one takes 0.4 s for
# a call.
QUEUE_SECONDS = 2.0
SLOW_REPLY_SECONDS = 0.4
STEP_SECONDS = 0.05


def make_term(
    store: platform.Store | None = None,
    follower: _followers.TopicFollower | None = None,
    time: clock.Clock | None = None,
    valid_until: float = float('inf'),
    ledger: coordination.Ledger | None = None,
    configuration: workloads.Configuration | None = None,
    instruments: telemetry.Telemetry | None = None,
    mandate: mock.Mock | None = None,
) -> _term.Term:
    """Return a term that has not taken over."""
    operator = _operator_view.OperatorView()
    operator.configuration = configuration
    operator_follower = mock.create_autospec(_followers.TopicFollower)
    operator_follower.measure_age.return_value = 0.0
    return _term.Term(
        1,
        store or mock.create_autospec(platform.Store),
        ledger or coordination.Ledger(),
        follower or mock.create_autospec(_followers.TopicFollower),
        operator,
        operator_follower,
        time or clock.SystemClock(),
        coordination.LeaderTimeouts(),
        instruments or telemetry.Telemetry(),
        mock.create_autospec(platform.AdvisorClient),
        mandate or mock.Mock(valid_until=valid_until),
        _records.LeaderRecord('member-1', ADDRESS),
    )


async def close_after_link_replacement(loop_turns: int) -> None:
    """Close a term some loop iterations after a link was replaced."""
    term = make_term()
    term.handle_sidecar('sidecar-1', ADDRESS)
    await asyncio.sleep(0)
    term.handle_sidecar('sidecar-1', ADDRESS)
    for _ in range(loop_turns):
        await asyncio.sleep(0)
    await term.close()


class MandateTest(unittest.IsolatedAsyncioTestCase):
    async def test_leader_that_stood_still_renews_no_leases(self) -> None:
        time = clock.ManualClock(start=builders.NOW)
        term = make_term(time=time, valid_until=builders.NOW + 12.0)
        self.addAsyncCleanup(term.close)
        term.handle_report(
            msgspec.structs.replace(builders.make_report(), epoch=1)
        )
        for seconds, renews in ((0.0, True), (12.0, True), (0.1, False)):
            time.advance(seconds)
            with self.subTest(now=time.read_monotonic()):
                directive = term.make_directive('side-1')
                self.assertIs(renews, directive.lease_until_ms > 0)


class LearnedStateTest(unittest.IsolatedAsyncioTestCase):
    async def test_new_leader_takes_up_what_was_learned(self) -> None:
        model = decisions.LearnedInterferenceModel()
        for number in range(100):
            model.learn('s1', 0.05, {'f1': 0.1 + 0.001 * number})
        time = clock.SystemClock()
        record = _learned_record.make_record(
            _learned_record.LearnedState(
                model.export(), decisions.DurationState()
            ),
            time.read_wall(),
        )
        ledger = coordination.Ledger()
        ledger.learned = coordination.ENCODER.encode(record)
        store = mock.create_autospec(platform.Store, instance=True)
        store.append.return_value = 1
        queues = tuple(
            workloads.Queue(
                name,
                'host',
                f'/{name}/',
                msgspec.structs.replace(builders.TERMS, priority=priority),
            )
            for priority, name in enumerate(('q1', 'q2'))
        )
        instruments = telemetry.Telemetry()
        term = make_term(
            store,
            ledger=ledger,
            configuration=workloads.Configuration(1, queues),
            instruments=instruments,
        )
        self.addAsyncCleanup(term.close)
        running_term = asyncio.create_task(term.run())
        name = b'chivespoke_learned_record_age_seconds '
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while name not in instruments.format_metrics():
                await asyncio.sleep(0.01)
        running_term.cancel()
        self.assertAlmostEqual(
            model.find_coefficient('s1', 'f1'),
            term.engine.state.interference.find_coefficient('s1', 'f1'),
            delta=0.2,
        )


class ProofTest(unittest.IsolatedAsyncioTestCase):
    async def run_plans(self, mandate: mock.Mock) -> mock.Mock:
        """Return the store after some plans without records."""
        store: mock.Mock = mock.create_autospec(platform.Store, instance=True)
        store.append.return_value = 1
        time = clock.ManualClock(start=builders.NOW)
        with mock.patch.object(_term, 'PLAN_INTERVAL_SECONDS', 0.0):
            term = make_term(store, time=time, mandate=mandate)
            self.addAsyncCleanup(term.close)
            running_term = asyncio.create_task(term.run())
            self.addCleanup(running_term.cancel)
            for _ in range(200):
                await asyncio.sleep(0)
        return store

    async def test_confirmed_append_proves_the_leadership(self) -> None:
        mandate = mock.Mock(valid_until=float('inf'))
        store = await self.run_plans(mandate)
        store.append.assert_called_once()
        mandate.extend.assert_called_once_with(builders.NOW)

    async def test_idle_leader_proves_the_leadership_by_an_append(
        self,
    ) -> None:
        mandate = mock.Mock(valid_until=builders.NOW)

        def extend(proven_at: float) -> None:
            if mandate.extend.call_count == 2:
                mandate.valid_until = float('inf')

        mandate.extend.side_effect = extend
        store = await self.run_plans(mandate)
        # The first one announces the leader.
        record = _records.encode_leader(
            1, _records.LeaderRecord('member-1', ADDRESS)
        )
        self.assertEqual(
            [record, b''],
            [call.args[1] for call in store.append.call_args_list],
        )


class QueueingStore:
    """Answer each append after the time that it waits in a queue.

    A caller that has given up before gets no answer.
    """

    def __init__(self, time: clock.Clock, seconds: float) -> None:
        self.calls = 0
        self._clock = time
        self._seconds = seconds

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: platform.Producer,
        timeout_seconds: float,
    ) -> int:
        self.calls += 1
        await self._clock.sleep(min(timeout_seconds, self._seconds))
        if timeout_seconds < self._seconds:
            raise errors.UnavailableError('append', 'store', 'no answer')
        return 1


class SlowStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_leader_takes_over_while_the_store_has_a_long_queue(
        self,
    ) -> None:
        # Regression: each try of the first append was abandoned before its
        # turn in the queue of the store, so that nobody led until the store
        # was fast again.
        time = clock.ManualClock(start=builders.NOW)
        seconds = QUEUE_SECONDS + SLOW_REPLY_SECONDS
        store = QueueingStore(time, seconds)
        term = make_term(mock.Mock(append=store.append), time=time)
        self.addAsyncCleanup(term.close)
        running_term = asyncio.create_task(term.run())
        self.addCleanup(running_term.cancel)
        steps = round(seconds / STEP_SECONDS) + 1
        with mock.patch.object(_term, 'LOGGER') as logger:
            for _ in range(steps):
                for _ in range(10):
                    await asyncio.sleep(0)
                time.advance(STEP_SECONDS)
            for _ in range(10):
                await asyncio.sleep(0)
        self.assertIn(
            'Leadership taken over.',
            [call.args[0] for call in logger.info.call_args_list],
        )


class TermTest(unittest.TestCase):
    """Test closing terms and stopping superseded ones."""

    def test_close_does_not_wait_for_a_replaced_link(self) -> None:
        # Regression test: the socket of a replaced link stayed open, and the
        # shutdown of the transport blocked the whole process.
        for loop_turns in range(4):
            with self.subTest(loop_turns=loop_turns):
                thread = threading.Thread(
                    target=asyncio.run,
                    args=(close_after_link_replacement(loop_turns),),
                    daemon=True,
                )
                thread.start()
                thread.join(TIMEOUT_SECONDS)
                self.assertFalse(thread.is_alive())

    def test_large_plan_is_stored_over_a_slow_link(self) -> None:
        # Regression: an append had the same timeout whatever its size, so
        # that the first plan of a new leader was sent again and again.
        standin = standins.PlatformStore()
        step = workloads.Step(count=TASKS, cpu_millis=1000)

        async def run_term() -> None:
            server = standin.make_server()
            await server.start()
            transport = platform.Transport(
                f'{server.address.host}:{server.address.port}', 4
            )
            await transport.start()
            standin.faults.link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
            term = make_term(platform.Store(transport, transport))
            for number in range(JOBS):
                job = builders.make_job(step, identifier=f'{number:016x}')
                term.handle_job(builders.make_entry(job))
            running_term = asyncio.create_task(term.run())
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while len(standin.list_values(SYSTEM_TOPIC)) < JOBS:
                        await asyncio.sleep(0.05)
            finally:
                running_term.cancel()
                await term.close()
                await transport.stop()
                await server.stop()

        asyncio.run(run_term())

    def test_records_are_joined_up_to_the_maximum_size(self) -> None:
        for sizes, joined_sizes in (
            ((), []),
            ((4, 6), [10]),
            ((4, 7), [4, 7]),
            ((12, 3, 3), [12, 6]),
            ((3, 12, 10), [3, 12, 10]),
        ):
            with self.subTest(sizes=sizes):
                records = [bytes((i,)) * n for i, n in enumerate(sizes)]
                joined = list(_term.join_records(records, 10))
                self.assertEqual(joined_sizes, [len(part) for part in joined])
                self.assertEqual(b''.join(records), b''.join(joined))

    def test_leader_that_cannot_read_the_ledger_gives_up(self) -> None:
        # Regression: an entry that could reach the group but not read the
        # ledger stayed the leader and never took over.
        store = mock.create_autospec(platform.Store, instance=True)
        store.append.return_value = 1
        follower = mock.create_autospec(_followers.TopicFollower)

        async def wait_forever(offset: int) -> None:
            await asyncio.Event().wait()

        follower.wait_until.side_effect = wait_forever

        async def run_term() -> None:
            term = make_term(store, follower)
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await term.run()
            finally:
                await term.close()

        with self.assertRaises(errors.UnavailableError):
            asyncio.run(run_term())

    def test_superseded_leader_stops_when_the_store_is_unreachable(
        self,
    ) -> None:
        # Regression test: a leader without access to the store kept retrying
        # and logged a warning about the later leader for every report.
        store = mock.create_autospec(platform.Store, instance=True)
        store.append.side_effect = errors.UnavailableError('append', 's', '')
        report = msgspec.structs.replace(builders.make_report(), epoch=2)

        async def run_term() -> str:
            term = make_term(store)
            running_term = asyncio.create_task(term.run())
            await asyncio.sleep(0)
            for _ in range(3):
                term.handle_report(report)
            try:
                return await asyncio.wait_for(running_term, TIMEOUT_SECONDS)
            finally:
                await term.close()

        with mock.patch.object(_term, 'LOGGER') as logger:
            self.assertIn('a later leader', asyncio.run(run_term()))
        warnings = [call.args[0] for call in logger.warning.call_args_list]
        self.assertEqual(
            1, warnings.count('A sidecar reported a later leader.')
        )


if __name__ == '__main__':
    unittest.main()
