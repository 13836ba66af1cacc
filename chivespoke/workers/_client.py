"""Client with which a scheduler commands the agent on a worker."""

import abc
import asyncio
import typing

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import errors
from chivespoke.workers import _messages

REQUEST_TIMEOUT_SECONDS = 5.0
STATUS_OK = 200
# With any other status, the answer need not be the worker's own, and the
# command may have taken effect.
STATUS_REFUSED = 409
# Longer than the interval between two lease renewals, so that connections
# are reused.
KEEP_ALIVE_SECONDS = 45.0
# The agent does not read these headers, and they are a third of the bytes of
# a short request.
SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')

Response = typing.TypeVar('Response')


class WorkerClient(abc.ABC):
    """Send commands to one worker.

    Each command raises UnavailableError if its effect is unknown, and
    RefusedError if the worker rejects it, such as for a stale epoch. Every
    command is idempotent.
    """

    @abc.abstractmethod
    async def renew(
        self, renewal: _messages.LeaseRenewal
    ) -> _messages.Heartbeat:
        """Extend the leases and return the worker's heartbeat."""

    @abc.abstractmethod
    async def start(
        self, command: _messages.StartCommand
    ) -> _messages.TaskStatus:
        """Start an attempt; a status of NOT_STARTED is final."""

    @abc.abstractmethod
    async def stop(
        self, command: _messages.StopCommand
    ) -> _messages.TaskStatus:
        """Stop an attempt and return its final status."""

    @abc.abstractmethod
    async def checkpoint(
        self, command: _messages.CheckpointCommand
    ) -> _messages.TaskStatus:
        """Checkpoint an attempt while it continues to run."""

    @abc.abstractmethod
    async def throttle(
        self, command: _messages.ThrottleCommand
    ) -> _messages.TaskStatus:
        """Throttle an attempt, or end its throttling."""


class WorkerConnector(application.Component):
    """Create clients for workers by address."""

    @abc.abstractmethod
    def connect(self, address: str) -> WorkerClient:
        """Return a client for the worker at an address."""

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        return None


class HttpWorkerConnector(WorkerConnector):
    """Connect to workers over HTTP, with pooled connections."""

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
    """Send commands as MessagePack over HTTP.

    JSON is not used because it has no infinite numbers.
    """

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
        if response.status == STATUS_REFUSED:
            detail = response_body.decode(errors='replace')
            raise errors.RefusedError(step, self._address, detail)
        if response.status != STATUS_OK:
            raise errors.UnavailableError(
                step, self._address, f'status {response.status}'
            )
        try:
            return msgspec.msgpack.decode(response_body, type=response_type)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                step, self._address, str(error)
            ) from error
