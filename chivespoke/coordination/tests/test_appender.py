"""Tests of the leader's appends while the store is slow or loses answers."""

import asyncio
import collections.abc
import typing
import unittest
from unittest import mock

from chivespoke import clock
from chivespoke.coordination import _appender
from chivespoke import errors
from chivespoke import platform
from chivespoke import telemetry

EPOCH = 7
STEP_SECONDS = 0.05
LOOP_TURNS = 10
END_OFFSET = 42
LARGE_RECORDS = bytes(131_072)


class Answer(typing.NamedTuple):
    """How the store answers one call, and how many seconds later."""

    seconds: float
    error: Exception | None = None


NO_ANSWER = Answer(1000.0)
BUSY = Answer(0.0, errors.RefusedError('append', 'store', 'status 503'))
RESET = Answer(0.0, errors.UnavailableError('append', 'store', 'reset'))
FENCED = Answer(0.3, platform.FencedError('append', 'store', 'fenced'))


class ScriptedStore:
    """Answer the calls in turn as written; the last answer is repeated."""

    def __init__(
        self, time: clock.Clock, answers: collections.abc.Sequence[Answer]
    ) -> None:
        self.producers: list[platform.Producer] = []
        self.open = 0
        self.most_open = 0
        self._clock = time
        self._answers = answers

    async def append(
        self,
        topic: str,
        records: bytes,
        producer: platform.Producer,
        timeout_seconds: float,
    ) -> int:
        number = min(len(self.producers), len(self._answers) - 1)
        answer = self._answers[number]
        self.producers.append(producer)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            if answer.seconds:
                await self._clock.sleep(min(timeout_seconds, answer.seconds))
        finally:
            self.open -= 1
        if timeout_seconds < answer.seconds:
            raise errors.UnavailableError('append', 'store', 'no answer')
        if answer.error is not None:
            raise answer.error
        return END_OFFSET


class AppenderTest(unittest.IsolatedAsyncioTestCase):
    def start(self, *answers: Answer) -> None:
        self.time = clock.ManualClock()
        self.store = ScriptedStore(self.time, answers)
        self.appender = _appender.Appender(
            mock.Mock(append=self.store.append),
            EPOCH,
            self.time,
            telemetry.Telemetry(),
        )
        self.addAsyncCleanup(self.appender.close)

    async def run_append(
        self, seconds: float, records: bytes = b'record'
    ) -> asyncio.Task[int]:
        """Return an append after some seconds of the clock."""
        append = asyncio.create_task(self.appender.append(records))
        self.addCleanup(append.cancel)
        await self.advance(seconds)
        return append

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await self.run_loop()
            self.time.advance(STEP_SECONDS)
        await self.run_loop()

    async def run_loop(self) -> None:
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    async def test_any_answer_confirms_the_append(self) -> None:
        for name, answers, seconds in (
            ('first call in a long queue', (Answer(2.3), NO_ANSWER), 2.4),
            ('lost answer', (NO_ANSWER, Answer(0.0)), 0.4),
            ('dead connections', (*[NO_ANSWER] * 4, Answer(0.0)), 3.0),
            ('reset connections', (RESET, RESET, Answer(0.0)), 0.5),
            ('busy', (*[BUSY] * 10, Answer(0.0)), 2.0),
            ('busy behind an open call', (Answer(0.6), BUSY), 0.7),
        ):
            with self.subTest(name):
                self.start(*answers)
                append = await self.run_append(seconds)
                self.assertTrue(append.done())
                self.assertEqual(END_OFFSET, await append)

    async def test_all_tries_of_an_append_have_one_sequence_number(
        self,
    ) -> None:
        self.start(NO_ANSWER, NO_ANSWER, Answer(0.0))
        for sequence in range(2):
            with self.subTest(sequence=sequence):
                self.store.producers.clear()
                append = await self.run_append(2.0)
                self.assertTrue(append.done())
                self.assertEqual(3, len(self.store.producers))
                self.assertEqual(
                    {platform.Producer(_appender.PRODUCER, EPOCH, sequence)},
                    set(self.store.producers),
                )

    async def test_appends_without_records_do_not_use_up_numbers(
        self,
    ) -> None:
        # Regression: a leader that had proven its leadership by appends
        # without records was refused for the rest of its term.
        self.start(Answer(0.0))
        for records in (b'', b'record', b'', b'', b'record', b'record'):
            append = await self.run_append(0.1, records)
            self.assertTrue(append.done())
        self.assertEqual(
            [0, 1, 2, 2, 2, 3],
            [producer.sequence for producer in self.store.producers],
        )

    async def test_answer_ends_all_other_tries(self) -> None:
        self.start(NO_ANSWER, Answer(1.0))
        append = await self.run_append(2.0)
        self.assertTrue(append.done())
        self.assertGreater(self.store.most_open, 1)
        self.assertEqual(0, self.store.open)

    async def test_cancelled_append_ends_all_tries(self) -> None:
        self.start(NO_ANSWER)
        append = await self.run_append(1.0)
        self.assertGreater(self.store.open, 1)
        append.cancel()
        await self.run_loop()
        self.assertEqual(0, self.store.open)

    async def test_large_append_has_one_open_try(self) -> None:
        self.start(NO_ANSWER)
        await self.run_append(10.0, LARGE_RECORDS)
        self.assertGreater(len(self.store.producers), 1)
        self.assertEqual(1, self.store.most_open)

    async def test_later_epoch_ends_the_append(self) -> None:
        # The first call may have been stored before the later leader's.
        for answers in ((FENCED,), (NO_ANSWER, FENCED), (FENCED, NO_ANSWER)):
            with self.subTest(answers=answers):
                self.start(*answers)
                append = await self.run_append(1.0)
                with self.assertRaises(platform.FencedError):
                    await append

    async def test_superseded_append_ends_without_an_answer(self) -> None:
        for answer in (NO_ANSWER, BUSY):
            with self.subTest(answer=answer):
                self.start(answer)
                append = await self.run_append(1.0)
                self.appender.supersede()
                await self.advance(1.0)
                with self.assertRaises(_appender.SupersededError):
                    await append

    async def test_defect_in_the_client_is_raised(self) -> None:
        self.start(Answer(0.0, TypeError('a defect')))
        append = await self.run_append(0.1)
        with self.assertRaises(TypeError):
            await append


if __name__ == '__main__':
    unittest.main()
