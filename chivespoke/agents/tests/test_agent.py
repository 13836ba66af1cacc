"""Tests of the sidecar's choice of the incarnation that it serves."""

import unittest
from unittest import mock

from chivespoke.agents import _agent
from chivespoke.agents import _registration
from chivespoke import clock
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import workloads


def make_registration(
    identifier: str = 'i-1', born_ms: int = 1_000, sequence: int = 1
) -> platform.Registration:
    """Return a registration of a worker."""
    return platform.Registration(
        identifier,
        born_ms,
        sequence,
        's',
        '127.0.0.1:9',
        'z',
        False,
        0,
        workloads.Resources(8000, 8000),
        (),
    )


class AgentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        machine = mock.Mock(worker_address='127.0.0.1:9')
        machine.name = 'side-1'
        machine.bounds.max_lease_seconds = 10.0
        self.agent = _agent.Agent(
            mock.Mock(machine=machine),
            mock.create_autospec(platform.Store, instance=True),
            clock.SystemClock(),
            telemetry.Telemetry(),
        )
        self.addAsyncCleanup(self.agent.stop)
        self.routes = _registration.RegistrationRoutes(self.agent)

    async def test_registration_takes_back_a_deregistration(self) -> None:
        # A deregistration names an identifier alone: it may be late, or meant
        # for an earlier life under the same identifier.
        self.agent.handle_registration(make_registration())
        self.agent.handle_deregistration('i-1')
        session = self.agent.session
        assert session is not None
        self.assertTrue(session.deregistered)
        self.agent.handle_registration(make_registration(sequence=2))
        self.assertIs(session, self.agent.session)
        self.assertFalse(session.deregistered)


if __name__ == '__main__':
    unittest.main()
