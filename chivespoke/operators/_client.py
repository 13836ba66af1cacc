"""Client of the operators' HTTP interface."""

import asyncio
import collections.abc
import time
import typing

import aiohttp
import msgspec

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.operators import _explanation
from chivespoke.operators import _fold
from chivespoke.operators import _patch
from chivespoke.operators import _reports
from chivespoke.operators import _routes
from chivespoke.operators import _status

# Time for one HTTP exchange, without the wait that the query asks for.
ANSWER_TIMEOUT_SECONDS = 20.0
# Time for the retries of a patch whose outcome is unknown.
DECISION_TIMEOUT_SECONDS = 30.0
DECISION_POLL_SECONDS = 0.5
# Statuses after which a patch may or may not have been appended.
UNKNOWN_OUTCOME_STATUSES = (502, 504)

Result = typing.TypeVar('Result')


class HttpResponse(msgspec.Struct, frozen=True):
    """Represent a response whose body is not decoded yet."""

    status: int
    body: bytes


class OperatorClient:
    """Read and patch the configuration through any entry.

    Send the newest version seen with each request, so that the versions
    returned never decrease, even when requests reach different entries.
    """

    __slots__ = ('_base', '_session', '_seen_version')

    def __init__(
        self,
        base: str,
        session: aiohttp.ClientSession,
        seen_version: identifiers.Version = _fold.FIRST_VERSION,
    ) -> None:
        self._base = base
        self._session = session
        self._seen_version = seen_version

    async def show(
        self, version: identifiers.Version | None = None
    ) -> _routes.VersionAnswer:
        """Return a version of the configuration, by default the newest."""
        query = {} if version is None else {'version': str(version)}
        return await self._get('/configuration', _routes.VersionAnswer, query)

    async def list_history(
        self, limit: int
    ) -> tuple[_fold.AcceptedPatch, ...]:
        """Return the most recent accepted patches, oldest first."""
        return await self._get(
            '/configuration/history',
            tuple[_fold.AcceptedPatch, ...],
            {'limit': str(limit)},
        )

    async def diff(
        self, older: identifiers.Version, newer: identifiers.Version
    ) -> _routes.VersionDifference:
        """Return the operations that lead from one version to another."""
        return await self._get(
            '/configuration/diff',
            _routes.VersionDifference,
            {'from': str(older), 'to': str(newer)},
        )

    async def wait(
        self, version: identifiers.Version, seconds: int
    ) -> _reports.VersionRollout:
        """Wait up to some seconds for a rollout to complete; return it."""
        return await self._get(
            '/configuration/in-force',
            _reports.VersionRollout,
            {'version': str(version), 'wait': str(seconds)},
        )

    async def read_status(self) -> _status.Status:
        """Return the system status as seen by one entry."""
        return await self._get('/status', _status.Status, {})

    async def explain(self, kind: str, name: str) -> _explanation.Explanation:
        """Return the explanation of one object, such as a service."""
        return await self._get(
            f'/explain/{kind}/{name}', _explanation.Explanation, {}
        )

    async def try_patch(
        self,
        base: identifiers.Version,
        operations: collections.abc.Sequence[_patch.Operation],
    ) -> _routes.DryRunResult:
        """Return the result of a dry run; the configuration is unchanged."""
        answer = await self._send_patch(
            base, operations, 'dry-run', '', {'dry_run': 'true'}
        )
        return self._decode(answer, _routes.DryRunResult, (200, 412))

    async def patch(
        self,
        base: identifiers.Version,
        operations: collections.abc.Sequence[_patch.Operation],
        proposal_id: identifiers.ProposalId,
        author: str,
        rebase: bool = False,
    ) -> _fold.Decision:
        """Propose a patch and return the decision.

        Retry with the same proposal id while the outcome is unknown. Raise
        RefusedError if the patch was not appended. Raise UnavailableError
        if the outcome is still unknown after DECISION_TIMEOUT_SECONDS; the
        caller may then retry with the same id.
        """
        query = {'rebase': 'true'} if rebase else {}
        deadline = time.monotonic() + DECISION_TIMEOUT_SECONDS
        while True:
            try:
                answer = await self._send_patch(
                    base, operations, proposal_id, author, query
                )
                if answer.status not in UNKNOWN_OUTCOME_STATUSES:
                    return self._decode(answer, _fold.Decision, (200, 412))
                failure = answer.body.decode(errors='replace')
            except errors.UnavailableError as error:
                failure = error.detail
            # The id is an idempotency key: a retry returns the first decision.
            if time.monotonic() >= deadline:
                raise errors.UnavailableError(
                    'patch the configuration',
                    self._base,
                    f'the outcome of patch {proposal_id} is unknown: '
                    f'{failure}',
                )
            await asyncio.sleep(DECISION_POLL_SECONDS)

    async def _send_patch(
        self,
        base: identifiers.Version,
        operations: collections.abc.Sequence[_patch.Operation],
        proposal_id: str,
        author: str,
        query: dict[str, str],
    ) -> HttpResponse:
        return await self._request(
            'PATCH',
            '/configuration',
            query,
            msgspec.json.encode(operations),
            {
                'If-Match': f'"{base}"',
                'Content-Type': _routes.PATCH_TYPE,
                _routes.PATCH_ID_HEADER: proposal_id,
                _routes.AUTHOR_HEADER: author,
            },
        )

    async def _get(
        self, path: str, expected: type[Result], query: dict[str, str]
    ) -> Result:
        answer = await self._request('GET', path, query, None, {})
        return self._decode(answer, expected, (200,))

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        headers: dict[str, str],
    ) -> HttpResponse:
        all_headers = {
            _routes.VERSION_HEADER: str(self._seen_version),
            **headers,
        }
        timeout_seconds = ANSWER_TIMEOUT_SECONDS + float(query.get('wait', 0))
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            ) as response:
                answered_version = response.headers.get(
                    _routes.VERSION_HEADER, '0'
                )
                if (
                    answered_version.isdecimal()
                    and int(answered_version) > self._seen_version
                ):
                    self._seen_version = identifiers.Version(
                        int(answered_version)
                    )
                return HttpResponse(response.status, await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise errors.UnavailableError(
                f'{method} {path}', self._base, repr(error)
            ) from error

    def _decode(
        self,
        answer: HttpResponse,
        expected: type[Result],
        expected_statuses: tuple[int, ...],
    ) -> Result:
        step = 'ask an entry'
        try:
            if answer.status in expected_statuses:
                return msgspec.json.decode(answer.body, type=expected)
            refusal = msgspec.json.decode(answer.body, type=_routes.Refusal)
        except msgspec.MsgspecError as error:
            raise errors.UnavailableError(
                step, self._base, f'status {answer.status}: {error}'
            ) from error
        detail = f'{refusal.path} {refusal.reason}'.strip()
        if answer.status in UNKNOWN_OUTCOME_STATUSES:
            raise errors.UnavailableError(step, self._base, detail)
        raise errors.RefusedError(step, self._base, detail)
