"""The leader's dealings with the advisor: one question at a time."""

import abc
import asyncio

from chivespoke import clock
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('advising')

# An answer may take so much longer than announced, in seconds: the way there
# and back, and questions of other processes on the machine.
SLACK_SECONDS = 1.0
# Pause after a question without an answer, in seconds.
RETRY_SECONDS = 0.2


class AdviceTaker(abc.ABC):
    """Name the next question, and take its answer."""

    @abc.abstractmethod
    def find_question(self) -> decisions.AdviceRequest | None:
        """Return what is to be asked as of the last plan, if anything."""

    @abc.abstractmethod
    def take_advice(
        self,
        question: decisions.AdviceRequest,
        advice: platform.Advice,
        asked_at: float,
    ) -> None:
        """Take in an answer."""


class Advising:
    """Ask whatever its owner wants to know."""

    __slots__ = ('_client', '_taker', '_clock', '_wake', '_taken')

    def __init__(
        self,
        client: platform.AdvisorClient,
        taker: AdviceTaker,
        time: clock.Clock,
        taken: asyncio.Event,
    ) -> None:
        self._client = client
        self._taker = taker
        self._clock = time
        self._wake = asyncio.Event()
        # Set after each answer.
        self._taken = taken

    def wake(self) -> None:
        """Look for a question now."""
        self._wake.set()

    async def run(self) -> None:
        """Ask, for as long as the task lives."""
        while True:
            question = self._taker.find_question()
            if question is None:
                await self._wake.wait()
                self._wake.clear()
                continue
            await self._ask(question)

    async def _ask(self, question: decisions.AdviceRequest) -> None:
        asked_at = self._clock.read_monotonic()
        try:
            advice = await self._client.ask(
                question.step,
                tuple(question.workers.values()),
                question.answer_seconds + SLACK_SECONDS,
            )
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'No advice on a step; asking again.',
                step=question.step,
                workers=len(question.workers),
                error=error,
            )
            await self._clock.sleep(RETRY_SECONDS)
            return
        LOGGER.info(
            'Advice on a step.',
            step=question.step,
            workers=len(question.workers),
            allowed=len(advice.tickets),
            valid_seconds=advice.valid_seconds,
            seconds=self._clock.read_monotonic() - asked_at,
        )
        self._taker.take_advice(question, advice, asked_at)
        self._taken.set()
