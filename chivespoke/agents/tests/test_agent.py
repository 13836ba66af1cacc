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

    async def test_delayed_registration_does_not_replace_an_answering_worker(
        self,
    ) -> None:
        # The earlier incarnation has the later start after a clock step.
        self.agent.handle_registration(make_registration(born_ms=1_000))
        session = self.agent.session
        assert session is not None
        with mock.patch.object(
            type(session), 'answering', mock.PropertyMock(return_value=True)
        ):
            self.agent.handle_registration(make_registration(born_ms=2_000))
        self.agent.handle_confirmation()
        self.agent.handle_silence()
        self.assertIs(session, self.agent.session)

    async def test_worker_with_an_earlier_start_replaces_a_silent_one(
        self,
    ) -> None:
        # The time of day was set back before the worker started again.
        self.agent.handle_registration(make_registration(born_ms=2_000))
        self.agent.handle_registration(make_registration(born_ms=1_000))
        session = self.agent.session
        assert session is not None
        self.assertEqual(1_000, session.registration.born_ms)

    async def test_waiting_registration_is_used_once_the_worker_is_silent(
        self,
    ) -> None:
        self.agent.handle_registration(make_registration())
        session = self.agent.session
        assert session is not None
        with mock.patch.object(
            type(session), 'answering', mock.PropertyMock(return_value=True)
        ):
            self.agent.handle_registration(make_registration('i-2'))
        self.agent.handle_silence()
        assert self.agent.session is not None
        self.assertEqual('i-2', self.agent.session.registration.identifier)

    async def test_each_session_has_an_identifier_of_its_own(self) -> None:
        identifiers = set()
        for name in ('i-1', 'i-2', 'i-1'):
            self.agent.handle_registration(make_registration(name))
            assert self.agent.session is not None
            identifiers.add(self.agent.session.identifier)
        self.assertEqual(3, len(identifiers))


if __name__ == '__main__':
    unittest.main()
