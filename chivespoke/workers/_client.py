"""The platform's agent on a worker, as a scheduler reaches it."""

import abc
import asyncio
import typing

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import errors
from chivespoke.workers import _messages

# Seconds for one whole exchange with a worker.
REQUEST_TIMEOUT_SECONDS = 5.0
STATUS_OK = 200
# Longer than the pause between two renewals, so that a connection lasts.
KEEP_ALIVE_SECONDS = 45.0
# A third of a short exchange; an agent does not read them.
SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')

Response = typing.TypeVar('Response')


class WorkerClient(abc.ABC):
    """Send commands to one worker.

    Each raises UnavailableError when the effect is unknown, RefusedError
    when the worker refused a stale sender. Every command is idempotent.
    """

    @abc.abstractmethod
    async def renew(
        self, renewal: _messages.LeaseRenewal
    ) -> _messages.Heartbeat:
        """Extend the leases and return what the worker knows."""

    @abc.abstractmethod
    async def start(
        self, command: _messages.StartCommand
    ) -> _messages.TaskStatus:
        """Start an attempt; NOT_STARTED is a final refusal."""

    @abc.abstractmethod
    async def stop(
        self, command: _messages.StopCommand
    ) -> _messages.TaskStatus:
        """Stop an attempt and return its final status."""

    @abc.abstractmethod
    async def checkpoint(
        self, command: _messages.CheckpointCommand
    ) -> _messages.TaskStatus:
        """Save an attempt's progress while it runs on."""

    @abc.abstractmethod
    async def throttle(
        self, command: _messages.ThrottleCommand
    ) -> _messages.TaskStatus:
        """Slow an attempt down, or release it."""


class WorkerConnector(application.Component):
    """Make clients of workers by their addresses."""

    @abc.abstractmethod
    def connect(self, address: str) -> WorkerClient:
        """Return the client of the worker at an address."""

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        return None


class HttpWorkerConnector(WorkerConnector):
    """Reach workers over HTTP on shared connections."""

    __slots__ = ('_session',)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
            connector=aiohttp.TCPConnector(
                keepalive_timeout=KEEP_ALIVE_SECONDS
            ),
            skip_auto_headers=SKIPPED_HEADERS,
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    def connect(self, address: str) -> WorkerClient:
        if self._session is None:
            raise errors.UnavailableError(
                'connect', address, 'the connector is not started'
            )
        return HttpWorkerClient(self._session, address)


class HttpWorkerClient(WorkerClient):
    """Send commands as MessagePack over HTTP: it carries infinities."""

    __slots__ = ('_session', '_address')

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address

    async def renew(
        self, renewal: _messages.LeaseRenewal
    ) -> _messages.Heartbeat:
        return await self._post('renew', renewal, _messages.Heartbeat)

    async def start(
        self, command: _messages.StartCommand
    ) -> _messages.TaskStatus:
        return await self._post('start', command, _messages.TaskStatus)

    async def stop(
        self, command: _messages.StopCommand
    ) -> _messages.TaskStatus:
        return await self._post('stop', command, _messages.TaskStatus)

    async def checkpoint(
        self, command: _messages.CheckpointCommand
    ) -> _messages.TaskStatus:
        return await self._post('checkpoint', command, _messages.TaskStatus)

    async def throttle(
        self, command: _messages.ThrottleCommand
    ) -> _messages.TaskStatus:
        return await self._post('throttle', command, _messages.TaskStatus)

    async def _post(
        self, step: str, message: msgspec.Struct, response_type: type[Response]
    ) -> Response:
        url = f'{self._address}/v1/{step}'
        body = msgspec.msgpack.encode(message)
        try:
            async with self._session.post(url, data=body) as response:
                response_body = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise errors.UnavailableError(
                step, self._address, repr(error)
            ) from error
        if response.status != STATUS_OK:
            detail = response_body.decode(errors='replace')
            raise errors.RefusedError(step, self._address, detail)
        try:
            return msgspec.msgpack.decode(response_body, type=response_type)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                step, self._address, str(error)
            ) from error
