"""HTTP client of the platform's log."""

import asyncio

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import errors
from chivespoke import identifiers
from chivespoke.replication import _log

PAGE_DECODER = msgspec.msgpack.Decoder(_log.LogPage)
OFFSET_DECODER = msgspec.json.Decoder(int)
# Limits an append as a whole, as the size of a payload is limited. The size of
# a page is not, so a read ends only after this time without progress. A read
# adds the wait that it requests from the log.
REQUEST_TIMEOUT_SECONDS = 10.0
# Polls once a second are most of the traffic of an idle process, so requests
# are kept small.
OMITTED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
CLIENT_ERROR_STATUSES = range(400, 500)


class HttpLog(_log.Log, application.Component):
    """Append to and read from the platform's log over HTTP."""

    __slots__ = ('_base_url', '_session', '_timeout_seconds')

    def __init__(
        self, base_url: str, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> None:
        self._base_url = base_url
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(self, stream: str, payload: bytes) -> identifiers.Offset:
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        body = await self._request(
            'append', 'POST', f'/streams/{stream}', {}, payload, timeout
        )
        return identifiers.Offset(OFFSET_DECODER.decode(body))

    async def read(
        self,
        stream: str,
        start: identifiers.Offset,
        limit: int,
        wait_seconds: float,
    ) -> _log.LogPage:
        query = {
            'start': str(start),
            'limit': str(limit),
            'wait': str(wait_seconds),
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._timeout_seconds,
            sock_read=self._timeout_seconds + wait_seconds,
        )
        try:
            body = await self._request(
                'read', 'GET', f'/streams/{stream}', query, b'', timeout
            )
            return PAGE_DECODER.decode(body)
        except errors.RefusedError as error:
            raise errors.UnavailableError(
                error.step, error.peer, error.detail
            ) from error
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                'read', self._base_url, str(error)
            ) from error

    async def _request(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, str],
        payload: bytes,
        timeout: aiohttp.ClientTimeout,
    ) -> bytes:
        if self._session is None:
            raise errors.RefusedError(
                step, self._base_url, 'the HTTP client is not started'
            )
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=payload or None,
                timeout=timeout,
                skip_auto_headers=OMITTED_HEADERS,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            # Without a connection the request was not sent.
            raise errors.RefusedError(
                step, self._base_url, str(error)
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise errors.UnavailableError(
                step, self._base_url, repr(error)
            ) from error
        if response.status in CLIENT_ERROR_STATUSES:
            raise errors.RefusedError(
                step, self._base_url, f'status {response.status}'
            )
        if response.status != 200:
            raise errors.UnavailableError(
                step, self._base_url, f'status {response.status}'
            )
        return body
