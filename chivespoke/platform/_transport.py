"""HTTP calls to the platform's services.

Errors distinguish calls that were not sent from calls with an unknown outcome.
"""

import asyncio
import collections.abc
import typing

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import decoding
from chivespoke import errors

# Well above a round trip between data centres, and well below every time limit
# of the platform.
CONNECT_TIMEOUT_SECONDS = 0.5
UNNEEDED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
# Methods of calls without an effect, which aiohttp may send again.
SAFE_METHODS = frozenset(('GET', 'HEAD'))
# In an answer to a neighbour: the version that it rests on. In a request that
# an entry hands over: the newest version that this entry knows of.
CONFIGURATION_VERSION_HEADER = 'Chivespoke-Configuration-Version'
JSON_HEADERS = {'Content-Type': 'application/json'}
Body = typing.TypeVar('Body')


class Response(msgspec.Struct, frozen=True):
    """Hold a complete HTTP response."""

    status: int
    body: bytes
    # Value of the Retry-After header in seconds; 0 if there is none.
    retry_after_seconds: int = 0
    # Version of the configuration that a neighbour's answer rests on; 0 if it
    # names none.
    configuration_version: int = 0


class NotListeningError(errors.RefusedError):
    """Report that no process listens at the peer's address."""


class Transport(application.Component):
    """Make HTTP calls over a pool of connections to one peer."""

    __slots__ = ('answers', '_base_url', '_max_connections', '_session')

    def __init__(self, address: str, connections: int) -> None:
        self._base_url = f'http://{address}'
        self._max_connections = connections
        self._session: aiohttp.ClientSession | None = None
        # Number of calls that were answered, with any status.
        self.answers = 0

    @property
    def peer(self) -> str:
        """Return the base URL of the peer."""
        return self._base_url

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._max_connections),
            skip_auto_headers=UNNEEDED_HEADERS,
            middlewares=(_send_changes_once,),
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
        idle_timeout: bool = False,
    ) -> Response:
        """Return the response with any status.

        The timeout limits the whole call, or, as an idle timeout, each wait
        for more of the answer, for answers of unlimited size. Raise
        RefusedError if the call was not sent, NotListeningError if the machine
        refused the connection, UnavailableError if it may have taken effect.
        """
        if self._session is None:
            raise errors.RefusedError(
                step, self._base_url, 'the transport is not started'
            )
        timeout = aiohttp.ClientTimeout(
            total=None if idle_timeout else timeout_seconds,
            connect=timeout_seconds,
            sock_read=timeout_seconds,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        received = bytearray()
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body or None,
                timeout=timeout,
                headers=headers,
            ) as response:
                async for chunk in response.content.iter_any():
                    received += chunk
                self.answers += 1
                return Response(
                    response.status,
                    bytes(received),
                    _read_number(response.headers, 'Retry-After'),
                    read_configuration_version(response.headers),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise NotListeningError(
                    step, self._base_url, repr(error)
                ) from error
            raise errors.RefusedError(
                step, self._base_url, repr(error)
            ) from error
        except (aiohttp.InvalidURL, UnicodeError) as error:
            raise errors.RefusedError(
                step, self._base_url, f'no address: {error!r}'
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise errors.UnavailableError(
                step,
                self._base_url,
                f'{error!r} after {len(received)} bytes of the answer',
            ) from error


def _read_number(headers: collections.abc.Mapping[str, str], name: str) -> int:
    text = headers.get(name, '')
    return int(text) if decoding.is_number(text) else 0


def read_configuration_version(
    headers: collections.abc.Mapping[str, str],
) -> int:
    """Return the version that an entry names; 0 if it names none."""
    return _read_number(headers, CONFIGURATION_VERSION_HEADER)


def encode_configuration_version(version: int) -> dict[str, str]:
    """Return the headers that name a version of the configuration."""
    return {CONFIGURATION_VERSION_HEADER: str(version)}


def decode_response(
    decoder: decoding.Decoder[Body], body: bytes, step: str, peer: str
) -> Body:
    """Decode the body of a response; raise UnavailableError if unreadable."""
    try:
        return decoding.decode(decoder, body, step, peer)
    except errors.RefusedError as error:
        raise errors.UnavailableError(
            step, peer, f'unreadable response: {error.detail}'
        ) from error


async def _send_changes_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hide from aiohttp the errors after which it sends a call again.

    It does so for idempotent methods if a reused connection breaks. If the
    second attempt finds no listener, the call would count as not sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if request.method in SAFE_METHODS:
            raise
        raise aiohttp.ClientConnectionError(repr(error)) from error
