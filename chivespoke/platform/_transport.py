"""HTTP calls to the platform's parts, with every outcome told apart."""

import asyncio

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import errors

# A connection that is not set up by then is given up, in seconds; well above
# a round trip between zones, well below every bound of the platform.
CONNECT_SECONDS = 0.5
NEEDLESS_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
JSON_HEADERS = {'Content-Type': 'application/json'}


class Answer(msgspec.Struct, frozen=True):
    """Hold a whole HTTP answer."""

    status: int
    body: bytes


class Transport(application.Component):
    """Keep connections to one peer and make calls on them."""

    __slots__ = ('_base', '_connections', '_session')

    def __init__(self, address: str, connections: int) -> None:
        self._base = f'http://{address}'
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    @property
    def peer(self) -> str:
        """Return the base URL of the peer."""
        return self._base

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connections),
            skip_auto_headers=NEEDLESS_HEADERS,
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        step: str,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_seconds: float = 1.0,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Return the answer, whatever its status.

        Raise RefusedError if the call never left, UnavailableError if it may
        have been carried out.
        """
        if self._session is None:
            raise errors.RefusedError(step, self._base, 'not started')
        limit = aiohttp.ClientTimeout(
            total=timeout_seconds, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=body or None,
                timeout=limit,
                headers=headers,
            ) as response:
                return Answer(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.RefusedError(step, self._base, repr(error)) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise errors.UnavailableError(
                step, self._base, repr(error)
            ) from error
