"""The HTTP adapter of the platform's log."""

import asyncio

import aiohttp
import msgspec

from chivespoke import application
from chivespoke import errors
from chivespoke import identifiers
from chivespoke.replication import _log

PAGE_DECODER = msgspec.msgpack.Decoder(_log.LogPage)
OFFSET_DECODER = msgspec.json.Decoder(int)
# Seconds beyond the wait that was asked for.
ANSWER_LIMIT = 10.0
# Left out: a poll a second is most of what an idle process sends.
NEEDLESS_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
REFUSED_STATUS = range(400, 500)


class HttpLog(_log.Log, application.Component):
    """Append to and read from the platform's log over HTTP."""

    __slots__ = ('_base', '_session', '_answer_limit')

    def __init__(self, base: str, answer_limit: float = ANSWER_LIMIT) -> None:
        self._base = base
        self._answer_limit = answer_limit
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
        body = await self._ask(
            'append', 'POST', f'/streams/{stream}', {}, payload, 0.0
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
        try:
            body = await self._ask(
                'read', 'GET', f'/streams/{stream}', query, b'', wait_seconds
            )
            return PAGE_DECODER.decode(body)
        except errors.RefusedError as error:
            raise errors.UnavailableError(
                error.step, error.peer, error.detail
            ) from error
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                'read', self._base, str(error)
            ) from error

    async def _ask(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, str],
        payload: bytes,
        wait_seconds: float,
    ) -> bytes:
        if self._session is None:
            raise errors.RefusedError(step, self._base, 'not started')
        limit = aiohttp.ClientTimeout(total=self._answer_limit + wait_seconds)
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=payload or None,
                timeout=limit,
                skip_auto_headers=NEEDLESS_HEADERS,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            # No connection: the request never left.
            raise errors.RefusedError(step, self._base, str(error)) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise errors.UnavailableError(
                step, self._base, repr(error)
            ) from error
        if response.status in REFUSED_STATUS:
            raise errors.RefusedError(
                step, self._base, f'status {response.status}'
            )
        if response.status != 200:
            raise errors.UnavailableError(
                step, self._base, f'status {response.status}'
            )
        return body
