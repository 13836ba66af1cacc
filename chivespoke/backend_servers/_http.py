"""HTTP client with which a sidecar calls its backend server."""

import abc
import asyncio
import collections.abc
import enum

import aiohttp
import msgspec
import yarl

from chivespoke import application
from chivespoke.backend_servers import _messages
from chivespoke import settings

HEALTH_PATH = '/health'
HEALTH_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Headers that apply to one connection, and headers that aiohttp sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        *('connection', 'keep-alive', 'proxy-authenticate', 'te'),
        *('proxy-authorization', 'trailers', 'transfer-encoding'),
        *('upgrade', 'host', 'content-length', 'expect'),
    )
)
OWN_HEADER_PREFIX = 'chivespoke-'


class ProbeResult(enum.Enum):
    """List the results of a health probe."""

    HEALTHY = 'healthy'
    # Any status but 200: the backend server accepts no new requests.
    LEAVING = 'leaving'
    UNRESPONSIVE = 'silent'


class RunResult(msgspec.Struct, frozen=True):
    """Hold the result of a request at a backend server."""

    outcome: _messages.Outcome
    cause: str = ''
    status: int = 0
    headers: _messages.HeaderPairs = ()
    body: bytes = b''
    # The connection broke, so that the backend server may have gone down.
    broke_off: bool = False


class BackendServer(abc.ABC):
    """Define how a sidecar calls its backend server."""

    @abc.abstractmethod
    async def run(
        self, dispatch: _messages.Dispatch, timeout: float
    ) -> RunResult:
        """Run a request and return its result; never raise.

        timeout is in seconds.
        """

    @abc.abstractmethod
    async def probe(self) -> ProbeResult:
        """Return whether the server accepts new requests; never raise."""


class HttpBackendServer(BackendServer, application.Component):
    """Call a backend server over a bounded pool of HTTP connections."""

    __slots__ = ('_base_url', '_connections', '_session')

    def __init__(self, address: settings.Address, connections: int) -> None:
        self._base_url = address.format_http()
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connections),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            middlewares=(_send_once,),
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def run(
        self, dispatch: _messages.Dispatch, timeout: float
    ) -> RunResult:
        try:
            async with asyncio.timeout(timeout):
                return await self._send_request(dispatch)
        except TimeoutError:
            return _make_unknown_result('backend server timed out')
        except aiohttp.ClientConnectorError:
            # Without a connection nothing was sent, so nothing ran.
            return RunResult(
                _messages.Outcome.NOT_RUN, 'backend server unreachable'
            )
        except (aiohttp.ClientError, ValueError, OSError) as error:
            return RunResult(
                _messages.Outcome.UNKNOWN,
                f'backend server broke off: {type(error).__name__}',
                broke_off=True,
            )

    async def probe(self) -> ProbeResult:
        if self._session is None:
            return ProbeResult.UNRESPONSIVE
        url = self._base_url + HEALTH_PATH
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
                async with self._session.get(url) as response:
                    await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return ProbeResult.UNRESPONSIVE
        if response.status == 200:
            return ProbeResult.HEALTHY
        return ProbeResult.LEAVING

    async def _send_request(self, dispatch: _messages.Dispatch) -> RunResult:
        if self._session is None:
            return RunResult(_messages.Outcome.NOT_RUN, 'stopped')
        url = yarl.URL(self._base_url + dispatch.target, encoded=True)
        async with self._session.request(
            dispatch.method,
            url,
            headers=dispatch.headers,
            data=dispatch.body or None,
            allow_redirects=False,
        ) as response:
            # Read the whole body first: this raises if it is truncated.
            body = await response.read()
            if len(body) > MAX_RESPONSE_BYTES:
                return _make_unknown_result('answer too large')
            return RunResult(
                _messages.Outcome.ANSWERED,
                status=response.status,
                headers=filter_end_to_end_headers(response.headers.items()),
                body=body,
            )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hide from aiohttp the errors after which it sends a request again.

    It does so by the method alone, where a reused connection breaks; the
    request may have run by then.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


def filter_end_to_end_headers(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> _messages.HeaderPairs:
    """Return the headers without hop-by-hop and chivespoke headers."""
    return tuple(
        (str(name), str(text))
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


def _make_unknown_result(cause: str) -> RunResult:
    return RunResult(_messages.Outcome.UNKNOWN, cause)
