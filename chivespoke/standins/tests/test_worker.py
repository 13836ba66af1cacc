"""Tests of what a simulated worker's agent makes of its requests."""

import unittest

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke.standins.tests import builders
from chivespoke import workers

NOT_STARTED = workers.TaskPhase.NOT_STARTED


class AgentTest(unittest.TestCase):
    """Send requests that are late, or meant for others."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.agent = builders.build_agent(self.clock)

    def test_a_renewal_for_another_worker_locks_the_owner_out(self) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        other = builders.build_renewal(
            self.clock, epoch=9, worker_id=identifiers.WorkerId('worker-2')
        )
        heartbeat = self.agent.renew(other)
        self.assertEqual('worker-1', heartbeat.worker_id)
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))

    def test_a_command_for_another_incarnation_locks_the_owner_out(
        self,
    ) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        command = builders.build_start(
            self.clock, epoch=9, incarnation=identifiers.Incarnation('b')
        )
        with self.assertRaises(errors.RefusedError):
            self.agent.start(command)
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))

    def test_a_refused_start_runs_by_a_repeated_copy(self) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        late = self.clock.read_monotonic() - 1.0
        refused = builders.build_start(self.clock, permit_until=late)
        self.assertIs(NOT_STARTED, self.agent.start(refused).phase)
        repeated = builders.build_start(self.clock)
        self.assertIs(NOT_STARTED, self.agent.start(repeated).phase)
        self.assertEqual([], self.agent.history)

    def test_a_start_that_was_stopped_before_it_came_runs(self) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        stopped = self.agent.stop(builders.build_stop())
        self.assertIs(NOT_STARTED, stopped.phase)
        started = self.agent.start(builders.build_start(self.clock))
        self.assertIs(NOT_STARTED, started.phase)
        self.assertEqual([], self.agent.history)

    def test_another_incarnation_takes_commands_of_an_earlier_one(
        self,
    ) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        earlier = identifiers.Incarnation('earlier')
        with self.assertRaises(errors.RefusedError):
            self.agent.stop(builders.build_stop(incarnation=earlier))
        with self.assertRaises(errors.RefusedError):
            self.agent.start(
                builders.build_start(self.clock, incarnation=earlier)
            )
        renewal = builders.build_renewal(
            self.clock, epoch=2, incarnation=earlier, lease_until=9e9
        )
        self.assertLess(self.agent.renew(renewal).lease_until, 9e9)

    def test_a_renewal_for_an_earlier_incarnation_locks_the_owner_out(
        self,
    ) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        earlier = identifiers.Incarnation('earlier')
        renewal = builders.build_renewal(
            self.clock, epoch=9, incarnation=earlier
        )
        self.assertEqual(
            self.agent.registration, self.agent.renew(renewal).registration
        )
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))

    def test_an_end_is_forgotten_by_an_acknowledgement_to_another_incarnation(
        self,
    ) -> None:
        self.agent.renew(builders.build_renewal(self.clock, epoch=2))
        ended = self.agent.stop(builders.build_stop())
        renewal = builders.build_renewal(
            self.clock,
            epoch=2,
            incarnation=identifiers.Incarnation('earlier'),
            acknowledged=((ended.task_id, ended.attempt),),
        )
        self.agent.renew(renewal)
        self.assertEqual((ended,), self.agent.make_heartbeat().statuses)


if __name__ == '__main__':
    unittest.main()
