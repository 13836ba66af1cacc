"""Test short random runs of faults; long ones are run by hand."""

import collections
import random
import unittest

from chivespoke.bench import _fault_actions
from chivespoke.bench import _fault_world
from chivespoke.bench import _faults


class FaultsTest(unittest.TestCase):
    """Run a few seeds."""

    def test_short_runs_hold(self) -> None:
        checked: collections.Counter[str] = collections.Counter()
        for seed, steps in ((1, 500), (2, 500), (3, 300)):
            with self.subTest(seed=seed):
                report = _faults.run_faults(seed, steps)
                self.assertEqual(report.failure, '', report.history)
                self.assertGreater(report.completed, 0)
                checked.update(report.checked)
        for name in ('never twice at once', 'no late start', 'whole replay'):
            self.assertGreater(checked[name], 0, name)

    def test_a_seed_gives_another_run_each_time(self) -> None:
        first, second = (_faults.run_faults(3, 500) for _ in range(2))
        self.assertEqual(first, second)


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Restart a worker that an owner is connected to."""

    async def test_an_owner_goes_on_with_a_dead_incarnation(self) -> None:
        world = _fault_world.FaultWorld(random.Random(1))
        await world.start()
        self.addAsyncCleanup(world.stop)
        await world.cluster.run(5)
        await world.act(
            _fault_actions.Action(
                0, _fault_actions.ActionKind.RESTART_WORKER, 0.0, 0.0, 0.0
            )
        )
        await world.cluster.run(40)
        agent = world.cluster.agents[0]
        process = next(iter(world.cluster.processes.values()))
        shard = process.api.streams[agent.registration.group].fold.shard
        worker_number = shard.worker_numbers[agent.registration.worker_id]
        self.assertEqual(
            agent.registration.incarnation,
            shard.workers[worker_number].incarnation,
        )
