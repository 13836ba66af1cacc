"""Tests of applications and of the tasks of components."""

import asyncio
import unittest

from chivespoke import application
from chivespoke import errors


class Recorder(application.Component):
    """Record the life-cycle calls; fail on request."""

    def __init__(self, name: str, steps: list[str]) -> None:
        self.name = name
        self.steps = steps
        self.tasks = application.TaskOwner()
        self.fails_at_start = False
        self.breaks_invariant = False

    async def start(self) -> None:
        if self.fails_at_start:
            raise errors.UnavailableError(
                'start', self.name, 'requested by the test'
            )
        self.steps.append(f'start {self.name}')
        if self.breaks_invariant:
            self.tasks.spawn(self.break_invariant())

    async def break_invariant(self) -> None:
        await asyncio.sleep(0)
        errors.check_invariant(False, 'never broken', self.name)

    async def drain(self) -> None:
        self.steps.append(f'drain {self.name}')

    async def stop(self) -> None:
        self.steps.append(f'stop {self.name}')
        await self.tasks.cancel()


class ApplicationTest(unittest.IsolatedAsyncioTestCase):
    """Check the order of the life-cycle calls."""

    def setUp(self) -> None:
        self.steps: list[str] = []
        self.first = Recorder('first', self.steps)
        self.second = Recorder('second', self.steps)
        self.application = application.Application((self.first, self.second))

    async def test_graceful_stop_drains_all_before_stopping(
        self,
    ) -> None:
        self.application.request_stop()
        await self.application.run()
        self.assertEqual(
            [
                'start first',
                'start second',
                'drain second',
                'drain first',
                'stop second',
                'stop first',
            ],
            self.steps,
        )

    async def test_failed_start_stops_started_components(self) -> None:
        self.second.fails_at_start = True
        with self.assertRaises(errors.UnavailableError):
            await self.application.start()
        self.assertEqual(['start first', 'stop first'], self.steps)

    async def test_invariant_error_stops_without_draining(self) -> None:
        self.second.breaks_invariant = True
        with self.assertRaises(errors.InvariantError):
            await asyncio.wait_for(self.application.run(), 10.0)
        self.assertEqual(['stop second', 'stop first'], self.steps[2:])


class TaskOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Cancel tasks in situations where a cancellation can be lost."""

    TIMEOUT_SECONDS = 10.0

    async def test_loop_that_fails_is_started_again(self) -> None:
        # One unexpected error ended a loop for good: the process stayed up,
        # but no longer renewed leases, reported or took orders.
        owner = application.TaskOwner()
        started = 0
        recovered = asyncio.Event()

        async def fail_twice() -> None:
            nonlocal started
            started += 1
            if started < 3:
                raise KeyError('unexpected')
            recovered.set()
            await asyncio.sleep(self.TIMEOUT_SECONDS)

        owner.spawn_loop(fail_twice)
        async with asyncio.timeout(self.TIMEOUT_SECONDS):
            await recovered.wait()
        self.assertEqual(3, started)
        await owner.cancel()

    async def test_loop_that_breaks_an_invariant_is_not_started_again(
        self,
    ) -> None:
        owner = application.TaskOwner()
        started = 0

        async def break_invariant() -> None:
            nonlocal started
            started += 1
            raise errors.InvariantError('step', 'peer', 'broken')

        task = owner.spawn_loop(break_invariant)
        await asyncio.wait((task,), timeout=self.TIMEOUT_SECONDS)
        self.assertIsInstance(task.exception(), errors.InvariantError)
        self.assertEqual(1, started)

    async def test_cancellation_during_event_is_not_lost(
        self,
    ) -> None:
        # asyncio.wait_for lost a cancellation that came with the event: the
        # task waited on, and stopping never ended.
        for turns in range(5):
            with self.subTest(turns=turns):
                owner = application.TaskOwner()
                event = asyncio.Event()

                async def keep_waiting(event: asyncio.Event = event) -> None:
                    while True:
                        await application.wait_for_event(event, 60.0)
                        event.clear()

                task = owner.spawn(keep_waiting())
                await asyncio.sleep(0)
                event.set()
                for _ in range(turns):
                    await asyncio.sleep(0)
                task.cancel()
                done, _ = await asyncio.wait(
                    (task,), timeout=self.TIMEOUT_SECONDS
                )
                self.assertEqual({task}, done)

    async def test_task_that_loses_a_cancellation_is_cancelled_again(
        self,
    ) -> None:
        owner = application.TaskOwner()

        async def lose_one() -> None:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                await asyncio.sleep(60.0)

        task = owner.spawn(lose_one())
        await asyncio.sleep(0)
        async with asyncio.timeout(self.TIMEOUT_SECONDS):
            await owner.cancel()
        self.assertTrue(task.cancelled())

    async def test_wait_for_event_returns_whether_set(self) -> None:
        event = asyncio.Event()
        self.assertFalse(await application.wait_for_event(event, 0.01))
        event.set()
        self.assertTrue(await application.wait_for_event(event, 10.0))


if __name__ == '__main__':
    unittest.main()
