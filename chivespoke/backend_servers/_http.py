"""Requests from a sidecar to its backend server, over HTTP."""

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
HEALTH_TIMEOUT = 1.0
ANSWER_BYTES_LIMIT = 64 * 1024 * 1024
# Headers that belong to one connection, and those that aiohttp makes.
HOP_HEADERS = frozenset(
    (
        *('connection', 'keep-alive', 'proxy-authenticate', 'te'),
        *('proxy-authorization', 'trailers', 'transfer-encoding'),
        *('upgrade', 'host', 'content-length', 'expect'),
    )
)
OWN_HEADER_PREFIX = 'chivespoke-'


class ProbeResult(enum.Enum):
    """Name what a health probe may find."""

    HEALTHY = 'healthy'
    # It answered that it takes no new work.
    LEAVING = 'leaving'
    SILENT = 'silent'


class RunResult(msgspec.Struct, frozen=True):
    """Hold what a backend server made of a request."""

    outcome: _messages.Outcome
    cause: str = ''
    status: int = 0
    headers: _messages.HeaderPairs = ()
    body: bytes = b''


class BackendServer(abc.ABC):
    """Run requests; the sidecar's only way to its backend server."""

    @abc.abstractmethod
    async def run(
        self, dispatch: _messages.Dispatch, timeout: float
    ) -> RunResult:
        """Run a request within the timeout in seconds; never raise."""

    @abc.abstractmethod
    async def probe(self) -> ProbeResult:
        """Ask whether the backend server takes new work; never raise."""


class HttpBackendServer(BackendServer, application.Component):
    """Reach a backend server over a bounded pool of connections."""

    __slots__ = ('_base', '_connections', '_session')

    def __init__(self, address: settings.Address, connections: int) -> None:
        self._base = address.format_http()
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connections),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
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
                return await self._exchange(dispatch)
        except TimeoutError:
            return _fail('backend server timed out')
        except aiohttp.ClientConnectorError:
            # No connection was made, so nothing was sent.
            return RunResult(
                _messages.Outcome.NOT_RUN, 'backend server unreachable'
            )
        except (aiohttp.ClientError, ValueError, OSError) as error:
            return _fail(f'backend server broke off: {type(error).__name__}')

    async def probe(self) -> ProbeResult:
        if self._session is None:
            return ProbeResult.SILENT
        url = self._base + HEALTH_PATH
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT):
                async with self._session.get(url) as response:
                    await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return ProbeResult.SILENT
        if response.status == 200:
            return ProbeResult.HEALTHY
        return ProbeResult.LEAVING

    async def _exchange(self, dispatch: _messages.Dispatch) -> RunResult:
        if self._session is None:
            return RunResult(_messages.Outcome.NOT_RUN, 'stopped')
        url = yarl.URL(self._base + dispatch.target, encoded=True)
        async with self._session.request(
            dispatch.method,
            url,
            headers=dispatch.headers,
            data=dispatch.body or None,
            allow_redirects=False,
        ) as response:
            # The whole answer first: a truncated one raises here.
            body = await response.read()
            if len(body) > ANSWER_BYTES_LIMIT:
                return _fail('answer too large')
            return RunResult(
                _messages.Outcome.ANSWERED,
                status=response.status,
                headers=filter_end_to_end_headers(response.headers.items()),
                body=body,
            )


def filter_end_to_end_headers(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> _messages.HeaderPairs:
    """Return the headers that pass from end to end."""
    return tuple(
        (str(name), str(text))
        for name, text in headers
        if name.lower() not in HOP_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


def _fail(cause: str) -> RunResult:
    return RunResult(_messages.Outcome.UNKNOWN, cause)
