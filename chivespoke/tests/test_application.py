"""Tests of the application object."""

import asyncio
import unittest

from chivespoke import application
from chivespoke import errors


class Recorder(application.Component):
    """Note the steps of a life; run one task if given one."""

    def __init__(self, name: str, steps: list[str]) -> None:
        self.name = name
        self.steps = steps
        self.tasks = application.TaskOwner()
        self.fails_at_start = False
        self.breaks = False

    async def start(self) -> None:
        if self.fails_at_start:
            raise errors.UnavailableError('start', self.name, 'by command')
        self.steps.append(f'start {self.name}')
        if self.breaks:
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
    """Follow components through their lives."""

    def setUp(self) -> None:
        self.steps: list[str] = []
        self.first = Recorder('first', self.steps)
        self.second = Recorder('second', self.steps)
        self.application = application.Application((self.first, self.second))

    async def test_planned_stop_drains_everything_before_any_stop(
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

    async def test_failed_start_releases_what_was_started(self) -> None:
        self.second.fails_at_start = True
        with self.assertRaises(errors.UnavailableError):
            await self.application.start()
        self.assertEqual(['start first', 'stop first'], self.steps)

    async def test_broken_invariant_stops_the_process_undrained(self) -> None:
        self.second.breaks = True
        with self.assertRaises(errors.InvariantError):
            await asyncio.wait_for(self.application.run(), 10.0)
        self.assertEqual(['stop second', 'stop first'], self.steps[2:])


if __name__ == '__main__':
    unittest.main()
