"""The leader's requests to the advisor, one at a time."""

import abc
import asyncio

from chivespoke import clock
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('advising')

# Time allowed beyond the advisor's expected answer time, for the round trip
# and for requests of other processes on the machine.
ANSWER_SLACK_SECONDS = 1.0
# Pause after a failed request.
RETRY_SECONDS = 0.2


class AdviceConsumer(abc.ABC):
    """Provide requests for advice and use the answers."""

    @abc.abstractmethod
    def find_advice_request(self) -> decisions.AdviceRequest | None:
        """Return the request that results from the last plan, if any."""

    @abc.abstractmethod
    def apply_advice(
        self,
        advice_request: decisions.AdviceRequest,
        advice: platform.Advice,
        requested_at: float,
    ) -> None:
        """Apply the advisor's answer to a request.

        The time of the request is a monotonic time in seconds.
        """


class AdviceRequester:
    """Send its consumer's requests to the advisor."""

    __slots__ = ('_client', '_consumer', '_clock', '_wake', '_answered')

    def __init__(
        self,
        client: platform.AdvisorClient,
        consumer: AdviceConsumer,
        time: clock.Clock,
        answered: asyncio.Event,
    ) -> None:
        self._client = client
        self._consumer = consumer
        self._clock = time
        self._wake = asyncio.Event()
        # Set after each answer to notify the owner.
        self._answered = answered

    def wake(self) -> None:
        """Check for a new request now."""
        self._wake.set()

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            advice_request = self._consumer.find_advice_request()
            if advice_request is None:
                await self._wake.wait()
                self._wake.clear()
                continue
            await self._ask(advice_request)

    async def _ask(self, advice_request: decisions.AdviceRequest) -> None:
        requested_at = self._clock.read_monotonic()
        try:
            advice = await self._client.ask(
                advice_request.step,
                tuple(advice_request.workers.values()),
                advice_request.answer_seconds + ANSWER_SLACK_SECONDS,
            )
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'Request for advice on a step failed; retrying.',
                step=advice_request.step,
                workers=len(advice_request.workers),
                error=error,
            )
            await self._clock.sleep(RETRY_SECONDS)
            return
        LOGGER.info(
            'Advice on a step received.',
            step=advice_request.step,
            workers=len(advice_request.workers),
            allowed=len(advice.tickets),
            valid_seconds=advice.valid_seconds,
            seconds=self._clock.read_monotonic() - requested_at,
        )
        self._consumer.apply_advice(advice_request, advice, requested_at)
        self._answered.set()
