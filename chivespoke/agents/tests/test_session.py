"""A sidecar's dealings with its worker, against the stand-in."""

import asyncio
import unittest

from chivespoke import agents
from chivespoke import clock
from chivespoke import coordination
from chivespoke import platform
from chivespoke import standins
from chivespoke import telemetry
from chivespoke import workloads

TASK = '00000000000000a1.0.0.0'
EPOCH = 7
HOUR_MS = 3600 * 1000


class Owner(agents.SessionOwner):
    """Note that there is something to report."""

    def __init__(self) -> None:
        self.news = asyncio.Event()

    def wake(self) -> None:
        self.news.set()


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ledger = standins.RunLedger()
        self.runner = standins.PlatformRunner(
            'i-1', 's', 'z', 30.0, self.ledger
        )
        server = self.runner.make_server()
        await server.start()
        self.addAsyncCleanup(server.stop)
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)
        transport = platform.Transport(
            f'{server.address.host}:{server.address.port}', 8
        )
        await transport.start()
        self.addAsyncCleanup(transport.stop)
        self.owner = Owner()
        self.session = agents.Session(
            'side-1',
            platform.Registration(
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
            ),
            platform.WorkerClient(transport, 'i-1'),
            self.owner,
            clock.SystemClock(),
            10.0,
            EPOCH,
            telemetry.Telemetry(),
        )
        self.addAsyncCleanup(self.session.close)
        self.session.start()
        self.direct(lease_ms=0)
        self.clock_ms = (await self.wait_report()).clock_ms

    def direct(self, lease_ms: int, *starts: coordination.StartOrder) -> None:
        self.session.obey(
            coordination.Directive(
                EPOCH, self.session.life.key, lease_ms, 0, starts
            )
        )

    def make_start(self, repeated: bool = False) -> coordination.StartOrder:
        return coordination.StartOrder(
            TASK, 1, 'work', '', '', 0, False, repeated
        )

    async def wait_report(self) -> coordination.Report:
        """Return the next report that knows the worker."""
        while True:
            await asyncio.wait_for(self.owner.news.wait(), 20.0)
            self.owner.news.clear()
            report = self.session.make_report('a')
            if report.incarnation is not None:
                return report

    async def wait_outcome(self) -> coordination.OrderOutcome:
        while True:
            report = await self.wait_report()
            if report.outcomes:
                return report.outcomes[0]

    async def test_order_under_its_lease_is_carried_out(self) -> None:
        self.direct(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_outcome()
        self.assertIsNone(outcome.refusal)
        self.assertEqual({TASK}, self.runner.running)

    async def test_order_that_waited_past_its_lease_starts_nothing(
        self,
    ) -> None:
        # Held up in a connection, it comes right before a fresh directive.
        self.direct(self.clock_ms - 1, self.make_start())
        self.direct(self.clock_ms + HOUR_MS)
        outcome = await self.wait_outcome()
        self.assertIs(platform.Refusal.LATE, outcome.refusal)
        self.assertEqual(frozenset(), self.runner.running)

    async def test_draining_worker_is_given_nothing(self) -> None:
        self.session.departing = True
        self.direct(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)
        self.assertEqual([], self.runner.began)

    async def test_unhealthy_worker_is_told_of_as_such(self) -> None:
        self.runner.faults.unhealthy_starts = 1
        self.direct(self.clock_ms + HOUR_MS, self.make_start())
        outcome = await self.wait_outcome()
        self.assertIs(platform.Refusal.UNHEALTHY, outcome.refusal)

    async def test_directive_for_another_life_is_not_obeyed(self) -> None:
        self.session.obey(
            coordination.Directive(
                EPOCH,
                'side-1/i-1@0',
                self.clock_ms + HOUR_MS,
                0,
                (self.make_start(),),
            )
        )
        self.direct(self.clock_ms + HOUR_MS)
        self.assertEqual([], self.runner.began)


if __name__ == '__main__':
    unittest.main()
