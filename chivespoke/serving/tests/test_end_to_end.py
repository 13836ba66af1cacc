"""Jobs from their submission to their end, through the real daemons."""

import asyncio
import collections.abc
import unittest

from chivespoke import serving
from chivespoke.serving.tests import builders
from chivespoke import standins

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
STEPS = {
    'spec': 'work',
    'steps': [
        {'count': 2, 'cpu': 500, 'mem_mb': 10, 'estimated_ms': 300},
        {
            'count': 3,
            'cpu': 500,
            'mem_mb': 10,
            'estimated_ms': 300,
            'depends_on': [0],
        },
    ],
}
LASTING = {
    'spec': 'serve',
    'steps': [{'count': 2, 'cpu': 500, 'long_running': True}],
}
# Enough for a change of leader and a lapsed lease on a loaded machine.
LIMIT_SECONDS = 40.0


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Play what the platform and its faults may bring."""

    async def asyncSetUp(self) -> None:
        self.platform = builders.Platform()
        self.addAsyncCleanup(self.stop)

    async def start(self, entries: int = 1, workers: int = 2) -> None:
        await self.within(self.platform.start(entries, workers))

    async def stop(self) -> None:
        async with asyncio.timeout(LIMIT_SECONDS):
            await self.platform.stop()

    async def within(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        await asyncio.wait_for(work, LIMIT_SECONDS)
        self.assertEqual([], self.platform.ledger.broken)

    async def wait_began(self, count: int) -> None:
        while len(self.platform.list_began()) < count:
            await asyncio.sleep(0.02)

    async def wait_led(self) -> None:
        while not self.platform.list_leaders():
            await asyncio.sleep(0.02)

    async def submit(self, body: object, identifier: str = JOB) -> None:
        status, _ = await self.platform.ask('POST', identifier, body)
        self.assertEqual(200, status)

    async def test_job_runs_each_task_once_and_in_order(self) -> None:
        await self.start()
        await self.submit(STEPS)
        await self.within(self.platform.wait_state(JOB, 'completed'))
        began = [ran.task for ran in self.platform.list_began()]
        self.assertEqual(5, len(began))
        self.assertEqual(5, len(set(began)))
        first = {f'{JOB}.0.0.0', f'{JOB}.0.0.1'}
        for runner in self.platform.runners:
            steps = [ran.task in first for ran in runner.began]
            self.assertEqual(sorted(steps, reverse=True), steps)

    async def test_accepted_job_survives_the_loss_of_every_process(
        self,
    ) -> None:
        await self.start(entries=2)
        await self.submit(STEPS)
        daemons = (*self.platform.entries, *self.platform.sidecars)
        for daemon in daemons:
            await daemon.kill()
        for daemon in daemons:
            await daemon.start()
        await self.within(self.platform.wait_state(JOB, 'completed'))

    async def test_killed_leader_is_replaced_and_nothing_runs_twice(
        self,
    ) -> None:
        await self.start(entries=2)
        await self.within(self.wait_led())
        leader = self.platform.list_leaders()[0]
        other = 1 - leader
        await self.submit(STEPS)
        await self.within(self.wait_began(1))
        await self.platform.entries[leader].kill()
        await self.within(
            self.platform.wait_state(JOB, 'completed', entry=other)
        )

    async def test_restarted_sidecar_adopts_what_runs(self) -> None:
        await self.start(workers=1)
        await self.submit(LASTING)
        await self.within(self.wait_began(2))
        await self.platform.sidecars[0].kill()
        await self.platform.sidecars[0].start()
        await self.submit(STEPS, OTHER_JOB)
        await self.within(self.platform.wait_state(OTHER_JOB, 'completed'))
        lasting = [
            ran
            for ran in self.platform.list_began()
            if ran.task.startswith(JOB)
        ]
        self.assertEqual(2, len(lasting))

    async def test_start_without_an_answer_does_not_run_twice(self) -> None:
        await self.start()
        for runner in self.platform.runners:
            runner.faults.late_starts = 1
            runner.faults.late_seconds = 1.5
        await self.submit(STEPS)
        await self.within(self.platform.wait_state(JOB, 'completed'))

    async def test_worker_that_loses_all_is_given_its_tasks_again(
        self,
    ) -> None:
        await self.start(workers=1)
        await self.submit(LASTING)
        await self.within(self.wait_began(2))
        self.platform.runners[0].crash()
        await self.within(self.wait_began(4))

    async def test_cancelled_job_stops(self) -> None:
        await self.start()
        await self.submit(LASTING)
        await self.within(self.wait_began(2))
        status, _ = await self.platform.ask('DELETE', JOB)
        self.assertEqual(200, status)
        await self.within(self.platform.wait_state(JOB, 'cancelled'))

        # Both may run on one worker, if it was known first.
        async def wait_idle() -> None:
            while any(runner.running for runner in self.platform.runners):
                await asyncio.sleep(0.05)

        await self.within(wait_idle())
        ends = sum(runner.number for runner in self.platform.runners)
        self.assertEqual(2, ends)

    async def test_job_whose_tasks_fail_is_shown_as_failed(self) -> None:
        await self.start(workers=1)
        self.platform.runners[0].faults.fails_all = True
        await self.submit(STEPS)
        await self.within(self.platform.wait_state(JOB, 'failed'))
        runs: dict[str, int] = {}
        for ran in self.platform.list_began():
            runs[ran.task] = runs.get(ran.task, 0) + 1
        self.assertLessEqual(max(runs.values()), 2)

    async def test_store_that_refuses_makes_the_entry_refuse_at_once(
        self,
    ) -> None:
        await self.start()
        self.platform.store.faults.refuse_with = 503
        status, _ = await self.platform.ask('POST', JOB, STEPS)
        self.assertEqual(503, status)
        self.platform.store.faults.refuse_with = 0
        status, _ = await self.platform.ask('GET', JOB)
        self.assertIn(status, (410, 503))

    async def test_store_out_of_reach_is_not_tried_with_a_callers_job(
        self,
    ) -> None:
        # Found by an incident: resets of a store that was down for four
        # seconds left callers in doubt (504), who could have been refused.
        await self.start(workers=0)
        entry = self.platform.entries[0].application
        assert entry is not None
        follower = serving.find_coordinator(entry).follower
        self.platform.store.faults.refuse_with = 503

        async def wait_noticed() -> None:
            while follower.reachable:
                await asyncio.sleep(0.02)

        await self.within(wait_noticed())
        self.platform.store.faults.refuse_with = 0
        self.platform.store.faults.delay = 3.0
        # 504 would show that an append was tried and waited for.
        status, _ = await self.platform.ask('POST', JOB, STEPS)
        self.assertEqual(503, status)
        self.platform.store.faults.delay = 0.0

    async def test_one_caller_in_doubt_is_enough(self) -> None:
        # Found by an incident: an entry that was cut from the store left
        # callers in doubt for two seconds until its reads failed as well.
        await self.start(workers=0)
        self.platform.store.faults.delay = 3.0
        status, _ = await self.platform.ask('POST', JOB, STEPS)
        self.assertEqual(504, status)
        status, _ = await self.platform.ask('POST', OTHER_JOB, STEPS)
        self.assertEqual(503, status)
        self.platform.store.faults.delay = 0.0

        async def wait_accepted() -> None:
            status = 0
            while status != 200:
                status, _ = await self.platform.ask('POST', OTHER_JOB, STEPS)

        await self.within(wait_accepted())

    async def test_lost_answer_of_the_store_still_takes_the_job(self) -> None:
        await self.start()
        self.platform.store.faults.lose_answers = 1
        await self.submit(STEPS)
        await self.within(self.platform.wait_state(JOB, 'completed'))
        self.assertEqual(5, len(self.platform.list_began()))

    async def test_job_survives_a_store_that_forgets_its_history(
        self,
    ) -> None:
        await self.start()
        await self.submit(STEPS)
        self.platform.store.forget_before('keyed.chivespoke', 1000)
        await asyncio.sleep(0.1)
        self.platform.store.forget_before('keyed.chivespoke', 0)
        await self.within(self.platform.wait_state(JOB, 'completed'))

    async def test_partitions_dealt_anew_change_the_leader_only(self) -> None:
        await self.start(entries=2)
        await self.submit(STEPS)
        self.platform.store.deal_anew('chivespoke-leader')
        await self.within(self.platform.wait_state(JOB, 'completed'))

    async def test_steps_run_where_the_advisor_allows_them(self) -> None:
        advisor = standins.PlatformAdvisor('i-1')
        # Shorter than the job: the second step needs tickets of its own.
        advisor.valid_seconds = 0.7
        advisor.refusals = 1
        self.platform.advisor = advisor
        await self.start(workers=3)
        await self.submit(STEPS)
        await self.within(self.platform.wait_state(JOB, 'completed'))
        began = [len(runner.began) for runner in self.platform.runners]
        self.assertEqual([0, 5, 0], began)
        # Who was turned down for a step is not asked about again.
        for worker in ('i-0', 'i-2'):
            named = sum(worker in asked for asked in advisor.asked)
            self.assertLessEqual(named, len(STEPS['steps']))

    async def test_unknown_jobs_and_queues_are_told_apart(self) -> None:
        await self.start(workers=0)
        status, _ = await self.platform.ask('GET', JOB)
        self.assertEqual(410, status)
        status, found = await self.platform.ask('GET', '')
        self.assertEqual((200, {'pending': 0}), (status, found))
        await self.submit(STEPS)
        status, found = await self.platform.ask('GET', '')
        self.assertEqual((200, {'pending': 1}), (status, found))
        status, _ = await self.platform.ask('POST', JOB, STEPS)
        self.assertEqual(200, status)
        status, _ = await self.platform.ask('POST', OTHER_JOB, {'steps': 7})
        self.assertEqual(400, status)


if __name__ == '__main__':
    unittest.main()
