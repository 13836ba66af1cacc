"""An HTTP client for the callers', operators' and users' interfaces."""

import types
import typing

import aiohttp
import msgspec

from chivespoke import errors
from chivespoke import operators
from chivespoke import scheduling
from chivespoke import settings

TIMEOUT = aiohttp.ClientTimeout(total=30.0)
OUTCOME_HEADER = 'Chivespoke-Outcome'


class ConfigurationAnswer(msgspec.Struct):
    """Hold a configuration and its version."""

    version: int
    document: dict[str, typing.Any]


class EntryClient:
    """Send requests to one entry over HTTP."""

    __slots__ = ('_base', '_session')

    def __init__(self, address: settings.Address) -> None:
        self._base = address.format_http()
        self._session = aiohttp.ClientSession(timeout=TIMEOUT)

    async def __aenter__(self) -> 'EntryClient':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._session.close()

    async def call(self, service: str, path: str) -> str:
        """Call a service and return the outcome that the entry reported."""
        url = f'{self._base}/services/{service}{path}'
        async with self._session.post(url, data=b'1') as response:
            await response.read()
            return response.headers.get(OUTCOME_HEADER, 'no outcome')

    async def show_configuration(self) -> ConfigurationAnswer:
        """Return the configuration in force at the entry."""
        body = await self._request('GET', '/configuration')
        return msgspec.json.decode(body, type=ConfigurationAnswer)

    async def patch(
        self, base: int, operations: list[dict[str, object]], author: str
    ) -> operators.Decision:
        """Submit a patch against a base version; raise RefusedError."""
        body = await self._request(
            'PATCH',
            '/configuration',
            msgspec.json.encode(operations),
            {
                'Content-Type': operators.PATCH_TYPE,
                'If-Match': f'"{base}"',
                operators.AUTHOR_HEADER: author,
            },
        )
        return msgspec.json.decode(body, type=operators.Decision)

    async def submit(
        self, *jobs: scheduling.JobRequest
    ) -> list[scheduling.JobAnswer]:
        """Submit jobs and return an answer for each."""
        body = await self._request(
            'POST',
            '/v1/jobs',
            msgspec.json.encode(scheduling.JobsRequest(jobs)),
        )
        return msgspec.json.decode(body, type=list[scheduling.JobAnswer])

    async def show_job(self, job_id: str) -> scheduling.JobReport:
        """Return the report of a job."""
        body = await self._request('GET', f'/v1/jobs/{job_id}')
        return msgspec.json.decode(body, type=scheduling.JobReport)

    async def list_workers(self) -> list[scheduling.WorkerReport]:
        """Return the reports of all workers."""
        body = await self._request('GET', '/v1/workers')
        return msgspec.json.decode(body, type=list[scheduling.WorkerReport])

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> bytes:
        step = f'{method} {path}'
        try:
            async with self._session.request(
                method, self._base + path, data=body or None, headers=headers
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.UnavailableError(
                step, self._base, repr(error)
            ) from error
        if response.status >= 500:
            raise errors.UnavailableError(step, self._base, content.decode())
        if response.status >= 400:
            raise errors.RefusedError(step, self._base, content.decode())
        return content
