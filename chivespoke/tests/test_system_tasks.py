"""Tests of tasks in a system whose processes are killed or paused."""

import asyncio
import unittest

from chivespoke import clock
from chivespoke import identifiers
from chivespoke import standins
from chivespoke.tests import processes

NEAR = processes.DATA_CENTRE
FAR = identifiers.DataCentreName('colombo-2')
# The last task may start this long after the take-out is accepted.
MAX_START_DELAY_SECONDS = 3.0
TASKS = 60
JOB = {
    'id': 'statements',
    'team': 'billing',
    'tasks': TASKS,
    'size': [1000, 256, 0],
    'checkpointing': True,
    'payload': '{"seconds": 0.8}',
}
SETUP = [
    {
        'op': 'add',
        'path': '/teams/billing',
        'value': {'quota': [0, 0, 0]},
    },
    *(
        {
            'op': 'add',
            'path': f'/data_centres/{name}',
            'value': {'region': 'western'},
        }
        for name in (NEAR, FAR)
    ),
]


class SystemTasksTest(unittest.IsolatedAsyncioTestCase):
    """Run one job while an entry fails."""

    async def asyncSetUp(self) -> None:
        self.system = processes.System()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start(entries=2, sidecars=0)
        status, answer = await self.system.patch('entry-0', 0, SETUP, 'setup')
        self.assertEqual(200, status, answer)
        for number in range(2):
            await self.system.start_worker(f'near-{number}', NEAR)
            await self.system.start_worker(f'far-{number}', FAR)

    async def test_owner_is_killed(self) -> None:
        system = self.system
        await system.submit('entry-0', JOB)
        await system.wait_for(self.is_running, 'running')
        owner = self.find_owner()
        await system.kill(owner)
        (survivor,) = system.entries
        await self.finish_job(survivor)

    async def test_data_centre_is_taken_out_while_owner_is_paused(
        self,
    ) -> None:
        system = self.system
        await system.submit('entry-0', JOB)
        await system.wait_for(self.is_running, 'running')
        owner = self.find_owner()
        (other,) = set(system.entries) - {owner}
        system.pause(owner)
        status, answer = await system.patch(
            other,
            1,
            [
                {
                    'op': 'add',
                    'path': f'/data_centres/{FAR}/state',
                    'value': 'out-of-service',
                }
            ],
            'take-out',
        )
        accepted_at = clock.SystemClock().read_monotonic()
        self.assertEqual(200, status, answer)
        # Tasks that workers received before the pause may still run.
        await asyncio.sleep(MAX_START_DELAY_SECONDS)
        system.resume(owner)
        await self.finish_job(other)
        late = [
            run.command.task_id
            for run in self.list_runs(FAR)
            if run.started_at > accepted_at + MAX_START_DELAY_SECONDS
        ]
        self.assertEqual([], late)

    async def finish_job(self, entry: str) -> None:
        """Wait until the job is done; check that no task ran twice."""
        await self.system.wait_for(lambda: self.is_finished(entry), 'finished')
        report = await self.system.show_job(entry, 'statements')
        self.assertEqual(TASKS, report['completed'])
        by_task: dict[str, list[standins.Run]] = {}
        for name in (NEAR, FAR):
            for run in self.list_runs(name):
                by_task.setdefault(run.command.task_id, []).append(run)
        self.assertEqual(TASKS, len(by_task))
        for task_id, runs in by_task.items():
            with self.subTest(task_id=task_id):
                self.check_runs(runs)

    def check_runs(self, runs: list[standins.Run]) -> None:
        """Check that attempts are unique and do not overlap."""
        runs.sort(key=lambda run: run.started_at)
        attempts = [run.command.attempt for run in runs]
        self.assertEqual(sorted(set(attempts)), attempts)
        for run, successor in zip(runs, runs[1:], strict=False):
            assert run.ended_at is not None
            self.assertLessEqual(run.ended_at, successor.started_at)

    def list_runs(
        self, data_centre: identifiers.DataCentreName
    ) -> list[standins.Run]:
        """Return all runs on the workers of a data centre."""
        return [
            run
            for worker in self.system.workers
            if worker.agent.registration.data_centre == data_centre
            for run in worker.agent.history
        ]

    def find_owner(self) -> str:
        """Return the entry whose log says that it owns the shard."""
        owners = [
            name
            for name, daemon in self.system.daemons.items()
            if 'Became owner of a shard' in daemon.read_log()
        ]
        self.assertEqual(1, len(owners))
        return owners[0]

    async def is_running(self) -> bool:
        """Return whether every worker has started a run."""
        return all(worker.agent.history for worker in self.system.workers)

    async def is_finished(self, entry: str) -> bool:
        """Return whether all tasks are reported as completed."""
        report = await self.system.show_job(entry, 'statements')
        return int(report['completed']) == TASKS


if __name__ == '__main__':
    unittest.main()
