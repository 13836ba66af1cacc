"""The client of the operators' HTTP interface."""

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

# Seconds.
ANSWER_TIMEOUT_SECONDS = 20.0
DECISION_TIMEOUT_SECONDS = 30.0
DECISION_POLL_SECONDS = 0.5
UNKNOWN_OUTCOME_STATUSES = (502, 504)

Result = typing.TypeVar('Result')


class HttpResponse(msgspec.Struct, frozen=True):
    """Hold an answer before it is decoded."""

    status: int
    body: bytes


class OperatorClient:
    """Read and patch the configuration through any entry.

    Shows every entry the newest version that it has seen, so that versions
    only rise also across entries.
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
        """Return a version, the newest if none is given."""
        query = {} if version is None else {'version': str(version)}
        return await self._get('/configuration', _routes.VersionAnswer, query)

    async def list_history(
        self, limit: int
    ) -> tuple[_fold.AcceptedPatch, ...]:
        """Return the newest accepted patches, the newest last."""
        return await self._get(
            '/configuration/history',
            tuple[_fold.AcceptedPatch, ...],
            {'limit': str(limit)},
        )

    async def diff(
        self, older: identifiers.Version, newer: identifiers.Version
    ) -> _routes.VersionDifference:
        """Return what changed between two versions."""
        return await self._get(
            '/configuration/diff',
            _routes.VersionDifference,
            {'from': str(older), 'to': str(newer)},
        )

    async def wait(
        self, version: identifiers.Version, seconds: int
    ) -> _reports.VersionRollout:
        """Return how far a version has come, at the latest in some time."""
        return await self._get(
            '/configuration/in-force',
            _reports.VersionRollout,
            {'version': str(version), 'wait': str(seconds)},
        )

    async def read_status(self) -> _status.Status:
        """Return the status as one entry sees it."""
        return await self._get('/status', _status.Status, {})

    async def explain(self, kind: str, name: str) -> _explanation.Explanation:
        """Return the explanation of one thing."""
        return await self._get(
            f'/explain/{kind}/{name}', _explanation.Explanation, {}
        )

    async def try_patch(
        self,
        base: identifiers.Version,
        operations: collections.abc.Sequence[_patch.Operation],
    ) -> _routes.DryRunResult:
        """Return what a patch would do; nothing changes."""
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
        """Return what became of a patch, learnt by reading if need be.

        Raise RefusedError when it was not appended, UnavailableError when
        its fate stays unknown; ask again with the same id then.
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
            # The same id again: the first result counts, if there is one.
            if time.monotonic() >= deadline:
                raise errors.UnavailableError(
                    'patch the configuration',
                    self._base,
                    f'the fate of patch {proposal_id} is unknown: {failure}',
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
