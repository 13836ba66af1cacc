"""Tests of jobs from submission to completion, with the real daemons."""

import asyncio
import collections.abc
import unittest

from chivespoke import serving
from chivespoke.serving.tests import builders
from chivespoke import standins

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
TWO_STEP_JOB = {
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
LONG_RUNNING_JOB = {
    'spec': 'serve',
    'steps': [{'count': 2, 'cpu': 500, 'long_running': True}],
}
# A link on which the records of a few cancelled jobs take longer than the
# timeout of a call.
SLOW_LINK_BYTES_PER_SECOND = 100_000
CANCELLED_JOBS = 20
MANY_CALLS = 10_000
PAYLOAD_BYTES = 10_000
# Enough for a change of leader and an expired lease on a loaded machine.
TIMEOUT_SECONDS = 40.0


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """Run jobs with and without faults of the platform and its services."""

    async def asyncSetUp(self) -> None:
        self.platform = builders.Platform()
        self.addAsyncCleanup(self.stop)

    async def start(self, entries: int = 1, workers: int = 2) -> None:
        await self.run_with_timeout(self.platform.start(entries, workers))

    async def stop(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.platform.stop()

    async def run_with_timeout(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        await asyncio.wait_for(work, TIMEOUT_SECONDS)
        self.assertEqual([], self.platform.ledger.broken)

    async def wait_for_runs(self, count: int) -> None:
        while len(self.platform.list_started_runs()) < count:
            await asyncio.sleep(0.02)

    async def wait_for_leader(self) -> None:
        while not self.platform.list_leaders():
            await asyncio.sleep(0.02)

    async def submit(self, body: object, identifier: str = JOB) -> None:
        status, _ = await self.platform.request('POST', identifier, body)
        self.assertEqual(200, status)

    async def test_job_runs_each_task_once_and_in_order(self) -> None:
        await self.start()
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        started = [ran.task for ran in self.platform.list_started_runs()]
        self.assertEqual(5, len(started))
        self.assertEqual(5, len(set(started)))
        first = {f'{JOB}.0.0.0', f'{JOB}.0.0.1'}
        for runner in self.platform.runners:
            steps = [ran.task in first for ran in runner.began]
            self.assertEqual(sorted(steps, reverse=True), steps)

    async def test_accepted_job_survives_the_loss_of_every_process(
        self,
    ) -> None:
        await self.start(entries=2)
        await self.submit(TWO_STEP_JOB)
        daemons = (*self.platform.entries, *self.platform.sidecars)
        for daemon in daemons:
            await daemon.kill()
        for daemon in daemons:
            await daemon.start()
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_restarted_entries_read_a_large_ledger_over_a_slow_link(
        self,
    ) -> None:
        # Regression: reading all records had to take less than 1 s, so that
        # no entry knew the accepted jobs after a restart.
        await self.start(entries=2)
        await self.platform.put_cancelled_jobs(CANCELLED_JOBS, PAYLOAD_BYTES)
        await self.submit(TWO_STEP_JOB)
        for daemon in self.platform.entries:
            await daemon.kill()
        faults = self.platform.store.faults
        faults.link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
        for daemon in self.platform.entries:
            await daemon.start()
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_restarted_entry_reports_no_phase_before_it_is_loaded(
        self,
    ) -> None:
        # Regression: the ledger is applied page by page, and the phase of a
        # job comes after the job, so that completed jobs were shown as queued.
        await self.start()
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        await self.platform.put_cancelled_jobs(600, 500)
        (entry,) = self.platform.entries
        await entry.kill()
        faults = self.platform.store.faults
        faults.link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
        await entry.start()
        states = set()

        async def wait_until_shown() -> None:
            while True:
                status, content = await self.platform.request('GET', JOB)
                if status == 200:
                    states.add(content['state'])
                    if content['state'] == 'completed':
                        return
                await asyncio.sleep(0.02)

        await self.run_with_timeout(wait_until_shown())
        self.assertEqual({'completed'}, states)

    async def test_restarted_entry_does_not_lead_before_it_has_read_the_ledger(
        self,
    ) -> None:
        # Regression: a restarted entry was elected at once, and nothing was
        # scheduled until it had read the ledger.
        await self.start(entries=2)
        await self.platform.put_cancelled_jobs(CANCELLED_JOBS, PAYLOAD_BYTES)
        restarted, other = self.platform.entries
        await restarted.kill()
        await self.run_with_timeout(self.wait_for_leader())
        faults = self.platform.store.faults
        faults.link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
        await restarted.start()
        assert restarted.application is not None
        coordinator = serving.find_coordinator(restarted.application)

        async def wait_until_loaded() -> None:
            while not coordinator.follower.loaded:
                self.assertEqual([1], self.platform.list_leaders())
                await asyncio.sleep(0.02)

        await self.run_with_timeout(wait_until_loaded())
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_restarted_entry_does_not_take_the_lead(self) -> None:
        # Regression: the group offers the lead to the entry whose name comes
        # first, and the leader gave it up.
        await self.start(entries=2)
        restarted, other = self.platform.entries
        await restarted.kill()
        await self.run_with_timeout(self.wait_for_leader())
        self.assertEqual([1], self.platform.list_leaders())
        await restarted.start()
        await self.run_with_timeout(self.platform.wait_until_ready(restarted))
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        self.assertEqual([1], self.platform.list_leaders())
        await other.kill()
        await self.run_with_timeout(self.wait_for_leader())
        self.assertEqual([0], self.platform.list_leaders())

    async def test_killed_leader_is_replaced_and_nothing_runs_twice(
        self,
    ) -> None:
        await self.start(entries=2)
        await self.run_with_timeout(self.wait_for_leader())
        leader = self.platform.list_leaders()[0]
        other = 1 - leader
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(self.wait_for_runs(1))
        await self.platform.entries[leader].kill()
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed', entry=other)
        )

    async def test_restarted_sidecar_adopts_running_tasks(self) -> None:
        await self.start(workers=1)
        await self.submit(LONG_RUNNING_JOB)
        await self.run_with_timeout(self.wait_for_runs(2))
        await self.platform.sidecars[0].kill()
        await self.platform.sidecars[0].start()
        await self.submit(TWO_STEP_JOB, OTHER_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(OTHER_JOB, 'completed')
        )
        long_running_starts = [
            ran
            for ran in self.platform.list_started_runs()
            if ran.task.startswith(JOB)
        ]
        self.assertEqual(2, len(long_running_starts))

    async def test_unanswered_start_does_not_run_twice(self) -> None:
        await self.start()
        for runner in self.platform.runners:
            runner.faults.late_starts = 1
            runner.faults.late_seconds = 1.5
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_tasks_of_a_crashed_worker_are_started_again(
        self,
    ) -> None:
        await self.start(workers=1)
        await self.submit(LONG_RUNNING_JOB)
        await self.run_with_timeout(self.wait_for_runs(2))
        self.platform.runners[0].crash()
        await self.run_with_timeout(self.wait_for_runs(4))

    async def test_cancelled_job_stops(self) -> None:
        await self.start()
        await self.submit(LONG_RUNNING_JOB)
        await self.run_with_timeout(self.wait_for_runs(2))
        status, _ = await self.platform.request('DELETE', JOB)
        self.assertEqual(200, status)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'cancelled')
        )

        # Both tasks may run on one worker, if it registered first.
        async def wait_until_idle() -> None:
            while any(runner.running for runner in self.platform.runners):
                await asyncio.sleep(0.05)

        await self.run_with_timeout(wait_until_idle())
        ends = sum(runner.number for runner in self.platform.runners)
        self.assertEqual(2, ends)

    async def test_job_with_failing_tasks_is_reported_as_failed(self) -> None:
        await self.start(workers=1)
        self.platform.runners[0].faults.fails_all = True
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'failed')
        )
        runs: dict[str, int] = {}
        for ran in self.platform.list_started_runs():
            runs[ran.task] = runs.get(ran.task, 0) + 1
        self.assertLessEqual(max(runs.values()), 2)

    async def test_entry_refuses_at_once_when_the_store_refuses(
        self,
    ) -> None:
        await self.start()
        self.platform.store.faults.refuse_with = 503
        status, _ = await self.platform.request('POST', JOB, TWO_STEP_JOB)
        self.assertEqual(503, status)
        self.platform.store.faults.refuse_with = 0
        status, _ = await self.platform.request('GET', JOB)
        self.assertIn(status, (410, 503))

    async def test_unreachable_store_gets_no_append_for_a_submitted_job(
        self,
    ) -> None:
        # Regression: while a store was down for 4 s and reset connections,
        # callers got 504 (unknown outcome), although the entry could have
        # refused their jobs with 503.
        await self.start(workers=0)
        entry = self.platform.entries[0].application
        assert entry is not None
        follower = serving.find_coordinator(entry).follower
        self.platform.store.faults.refuse_with = 503

        async def wait_until_unreachable() -> None:
            while follower.reachable:
                await asyncio.sleep(0.02)

        await self.run_with_timeout(wait_until_unreachable())
        self.platform.store.faults.refuse_with = 0
        self.platform.store.faults.delay = 3.0
        # A 504 would show that the entry tried an append.
        status, _ = await self.platform.request('POST', JOB, TWO_STEP_JOB)
        self.assertEqual(503, status)
        self.platform.store.faults.delay = 0.0

    async def test_entry_refuses_jobs_after_one_append_timed_out(self) -> None:
        # Regression: an entry that was cut off from the store answered 504
        # (unknown outcome) for 2 s, until its reads failed as well.
        await self.start(workers=0)
        self.platform.store.faults.delay = 3.0
        status, _ = await self.platform.request('POST', JOB, TWO_STEP_JOB)
        self.assertEqual(504, status)
        status, _ = await self.platform.request(
            'POST', OTHER_JOB, TWO_STEP_JOB
        )
        self.assertEqual(503, status)
        self.platform.store.faults.delay = 0.0

        async def wait_until_accepted() -> None:
            status = 0
            while status != 200:
                status, _ = await self.platform.request(
                    'POST', OTHER_JOB, TWO_STEP_JOB
                )

        await self.run_with_timeout(wait_until_accepted())

    async def test_job_is_accepted_when_the_stores_answer_is_lost(
        self,
    ) -> None:
        await self.start()
        self.platform.store.faults.lose_answers = 1
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        self.assertEqual(5, len(self.platform.list_started_runs()))

    async def test_job_survives_truncation_of_the_log(
        self,
    ) -> None:
        await self.start()
        await self.submit(TWO_STEP_JOB)
        self.platform.store.expire_records_before('keyed.chivespoke', 1000)
        await asyncio.sleep(0.1)
        self.platform.store.expire_records_before('keyed.chivespoke', 0)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_job_survives_a_reassignment_of_partitions(self) -> None:
        await self.start(entries=2)
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(self.wait_for_leader())
        self.platform.store.reassign_partitions('chivespoke-leader')
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )

    async def test_steps_run_where_the_advisor_allows_them(self) -> None:
        advisor = standins.PlatformAdvisor('i-1')
        # Shorter than the job, so that the second step needs new tickets.
        advisor.valid_seconds = 0.7
        advisor.refusals = 1
        self.platform.advisor = advisor
        await self.start(workers=3)
        await self.submit(TWO_STEP_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        started = [len(runner.began) for runner in self.platform.runners]
        self.assertEqual([0, 5, 0], started)
        # The advisor is not asked again about a worker that it has not
        # allowed for a step.
        for worker in ('i-0', 'i-2'):
            named = sum(worker in asked for asked in advisor.asked)
            self.assertLessEqual(named, len(TWO_STEP_JOB['steps']))

    async def test_job_with_more_tasks_than_can_be_recorded_is_refused(
        self,
    ) -> None:
        # Regression: the leader tried without end to store the progress of
        # such a job, and scheduled nothing else.
        await self.start()
        for count, occurrences in ((100_000, 0), (10**9, 0), (10, 10**6)):
            with self.subTest(count=count, occurrences=occurrences):
                job = {
                    'spec': 'work',
                    'steps': [{'count': count, 'cpu': 500}],
                    'repeat_count': occurrences,
                    'interval_ms': 1000,
                }
                status, _ = await self.platform.request('POST', JOB, job)
                self.assertEqual(413, status)
        await self.submit(TWO_STEP_JOB, OTHER_JOB)
        await self.run_with_timeout(
            self.platform.wait_for_state(OTHER_JOB, 'completed')
        )

    async def test_job_is_pending_until_a_worker_begins_it(self) -> None:
        # Regression: a job was shown as running, and not counted as pending,
        # once it was assigned, though its worker refused all starts.
        await self.start(workers=1)
        faults = self.platform.runners[0].faults
        faults.unhealthy_starts = MANY_CALLS
        await self.submit(TWO_STEP_JOB)
        while faults.unhealthy_starts == MANY_CALLS:
            await asyncio.sleep(0.02)
        for _ in range(10):
            status, content = await self.platform.request('GET', '')
            self.assertEqual((200, {'pending': 1}), (status, content))
            await asyncio.sleep(0.1)
        status, content = await self.platform.request('GET', JOB)
        self.assertEqual((200, {'state': 'queued'}), (status, content))
        faults.unhealthy_starts = 0
        await self.run_with_timeout(
            self.platform.wait_for_state(JOB, 'completed')
        )
        status, content = await self.platform.request('GET', '')
        self.assertEqual((200, {'pending': 0}), (status, content))

    async def test_queue_and_job_requests_return_their_status(self) -> None:
        await self.start(workers=0)
        status, _ = await self.platform.request('GET', JOB)
        self.assertEqual(410, status)
        status, content = await self.platform.request('GET', '')
        self.assertEqual((200, {'pending': 0}), (status, content))
        await self.submit(TWO_STEP_JOB)
        status, content = await self.platform.request('GET', '')
        self.assertEqual((200, {'pending': 1}), (status, content))
        status, _ = await self.platform.request('POST', JOB, TWO_STEP_JOB)
        self.assertEqual(200, status)
        status, _ = await self.platform.request(
            'POST', OTHER_JOB, {'steps': 7}
        )
        self.assertEqual(400, status)


if __name__ == '__main__':
    unittest.main()
