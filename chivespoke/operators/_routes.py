"""HTTP interface for operators."""

import collections.abc
import typing

from aiohttp import web
import msgspec

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke.operators import _configuration
from chivespoke.operators import _document
from chivespoke.operators import _explanation
from chivespoke.operators import _fold
from chivespoke.operators import _impact
from chivespoke.operators import _patch
from chivespoke.operators import _reports
from chivespoke.operators import _status
from chivespoke.operators import _validation
from chivespoke import web as web_common

# In requests the newest version that the caller has seen, in responses the
# version that they are based on.
VERSION_HEADER = 'Chivespoke-Version'
PATCH_ID_HEADER = 'Idempotency-Key'
AUTHOR_HEADER = 'Chivespoke-Author'
PATCH_TYPE = 'application/json-patch+json'
# Time to wait for a version that the caller has seen at another entry.
CATCH_UP_TIMEOUT_SECONDS = 5.0
# Time to collect the reports of all processes.
REPORT_TIMEOUT_SECONDS = 1.0
MAX_WAIT_SECONDS = 30.0
# Patches of the history listed by default, and names that a hint lists.
DEFAULT_LISTED_ENTRIES = 20
# Value of the header Retry-After.
RETRY_AFTER_SECONDS = '1'

Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.Response]
]


class VersionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Contain one version of the configuration."""

    version: identifiers.Version
    digest: str
    document: _patch.Tree


class DryRunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Contain the decision and the impact that a dry run found."""

    decision: _fold.Decision
    impact: _impact.Impact


class VersionDifference(msgspec.Struct, frozen=True, kw_only=True):
    """Contain the operations that lead from one version to another."""

    older: identifiers.Version
    newer: identifiers.Version
    operations: tuple[_patch.Operation, ...]


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """State why a request failed.

    The reason is empty when a document was validated successfully.
    """

    reason: str
    path: str = ''


class OperatorRoutes(web_common.RouteProvider):
    """Serve the configuration, status and explanations."""

    __slots__ = (
        '_configuration',
        '_clock',
        '_report_collector',
        '_status',
        '_explainers',
        '_estimators',
    )

    def __init__(
        self,
        configuration: _configuration.Configuration,
        clock: clocks.Clock,
        report_collector: _reports.ReportCollector,
        status: _status.StatusBuilder,
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._report_collector = report_collector
        self._status = status
        self._explainers: list[_explanation.Explainer] = [
            _explanation.ConfigurationExplainer(configuration)
        ]
        self._estimators: list[_impact.ImpactEstimator] = [
            _impact.DeclaredImpactEstimator()
        ]

    def add_explainer(self, explainer: _explanation.Explainer) -> None:
        """Register an explainer for further kinds of objects."""
        self._explainers.append(explainer)

    def add_estimator(self, estimator: _impact.ImpactEstimator) -> None:
        """Register an estimator whose results dry runs include."""
        self._estimators.append(estimator)

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.get('/configuration', self._wrap_loaded(self._show)),
            web.patch('/configuration', self._wrap_loaded(self._patch)),
            web.post(
                '/configuration/validate', self._wrap_handler(self._validate)
            ),
            web.get(
                '/configuration/history', self._wrap_loaded(self._history)
            ),
            web.get('/configuration/diff', self._wrap_loaded(self._diff)),
            web.get(
                '/configuration/in-force',
                self._wrap_handler(self._show_rollout),
            ),
            web.get(
                '/configuration/patches/{id}',
                self._wrap_loaded(self._show_decision),
            ),
            web.get('/status', self._wrap_handler(self._show_status)),
            web.get(
                '/explain/{kind}/{name:.+}', self._wrap_loaded(self._explain)
            ),
        )

    def _wrap_loaded(self, handler: Handler) -> Handler:
        """Wrap a handler that needs the configuration to be loaded."""
        wrapped = self._wrap_handler(handler)

        async def handle(request: web.Request) -> web.Response:
            if not self._configuration.follower.is_loaded:
                return self._refuse(
                    503, 'the configuration is still being loaded'
                )
            return await wrapped(request)

        return handle

    def _wrap_handler(self, handler: Handler) -> Handler:
        """Wrap a handler with the version wait and error responses.

        A response is never based on an older version than the caller has
        seen.
        """

        async def handle(request: web.Request) -> web.Response:
            try:
                seen_version = _read_number(
                    request.headers.get(VERSION_HEADER, '0'), VERSION_HEADER
                )
                if not await self._configuration.wait_for_version(
                    seen_version, CATCH_UP_TIMEOUT_SECONDS
                ):
                    return self._refuse(
                        503, f'version {seen_version} has not arrived here yet'
                    )
                return await handler(request)
            except _BadRequestError as error:
                return self._refuse(400, error.detail, error.peer)
            except errors.RefusedError as error:
                return self._refuse(503, str(error))
            except errors.UnavailableError as error:
                return self._refuse(504, str(error))

        return handle

    def _respond(self, value: typing.Any, status: int = 200) -> web.Response:
        headers = {
            VERSION_HEADER: str(self._configuration.version),
            'ETag': f'"{self._configuration.version}"',
        }
        if status == 503:
            headers['Retry-After'] = RETRY_AFTER_SECONDS
        return web.Response(
            body=msgspec.json.encode(value),
            status=status,
            headers=headers,
            content_type='application/json',
        )

    def _refuse(
        self, status: int, reason: str, path: str = ''
    ) -> web.Response:
        return self._respond(Refusal(reason=reason, path=path), status)

    async def _show(self, request: web.Request) -> web.Response:
        fold = self._configuration.fold
        version = _read_query(request, 'version', fold.version)
        tree = fold.rebuild_tree(version) if version != fold.version else None
        if version == fold.version:
            tree = fold.tree
        if tree is None:
            return self._refuse(404, f'version {version} is not kept')
        digest = fold.digest if version == fold.version else ''
        return self._respond(
            VersionAnswer(version=version, digest=digest, document=tree)
        )

    async def _history(self, request: web.Request) -> web.Response:
        limit = _read_query(request, 'limit', DEFAULT_LISTED_ENTRIES)
        history = tuple(self._configuration.fold.history)
        return self._respond(
            history[len(history) - min(limit, len(history)) :]
        )

    async def _diff(self, request: web.Request) -> web.Response:
        fold = self._configuration.fold
        older = _read_query(request, 'from', max(fold.version - 1, 0))
        newer = _read_query(request, 'to', fold.version)
        before, after = fold.rebuild_tree(older), fold.rebuild_tree(newer)
        if before is None or after is None:
            return self._refuse(
                404,
                f'versions {fold.oldest_version} to {fold.version} are kept',
            )
        return self._respond(
            VersionDifference(
                older=older,
                newer=newer,
                operations=_patch.make_operations(before, after),
            )
        )

    async def _validate(self, request: web.Request) -> web.Response:
        try:
            tree = msgspec.json.decode(await request.read(), type=_patch.Tree)
            _validation.validate_tree(tree)
        except msgspec.MsgspecError as error:
            return self._refuse(400, str(error))
        except _validation.InvalidError as error:
            return self._refuse(422, error.detail, error.peer)
        return self._respond(Refusal(reason=''))

    async def _patch(self, request: web.Request) -> web.Response:
        if request.content_type != PATCH_TYPE:
            return self._refuse(415, f'the content type must be {PATCH_TYPE}')
        if 'If-Match' not in request.headers:
            return self._refuse(428, 'If-Match must name the base version')
        base = _read_number(request.headers['If-Match'].strip('"'), 'If-Match')
        try:
            operations = _patch.decode_operations(await request.read())
        except _patch.PatchError as error:
            return self._refuse(400, error.detail)
        proposal = _fold.PatchProposed(
            identifiers.ProposalId(
                request.headers.get(PATCH_ID_HEADER)
                or identifiers.make_proposal_id()
            ),
            base,
            request.headers.get(AUTHOR_HEADER, 'unknown'),
            self._clock.read_wall(),
            operations,
        )
        if request.query.get('dry_run') == 'true':
            return self._dry_run(proposal)
        if request.query.get('rebase') == 'true':
            decision = await self._configuration.propose_rebased(proposal)
        else:
            decision = await self._configuration.propose(proposal)
        return self._respond(decision, 200 if decision.accepted else 412)

    def _dry_run(self, proposal: _fold.PatchProposed) -> web.Response:
        fold = self._configuration.fold
        decision = fold.evaluate(proposal)
        impact = _impact.Impact()
        if decision.accepted:
            after: _document.Document = fold.preview(
                proposal.operations
            ).document
            impact = _impact.merge_impacts(
                estimator.estimate(fold.document, after)
                for estimator in self._estimators
            )
        return self._respond(
            DryRunResult(decision=decision, impact=impact),
            200 if decision.accepted else 412,
        )

    async def _show_decision(self, request: web.Request) -> web.Response:
        decision = self._configuration.find_decision(
            identifiers.ProposalId(request.match_info['id'])
        )
        if decision is None:
            return self._deny('no such patch')
        return self._respond(decision)

    async def _show_rollout(self, request: web.Request) -> web.Response:
        """Respond when the rollout is complete or the wait has elapsed."""
        version = _read_query(request, 'version', self._configuration.version)
        wait = min(_read_query(request, 'wait', 0), int(MAX_WAIT_SECONDS))
        deadline = self._clock.read_monotonic() + wait
        if not await self._configuration.wait_for_version(version, wait):
            return self._deny(f'version {version} is not known here')
        while True:
            in_force = await self._collect_rollout(version)
            if in_force.is_complete():
                break
            if self._clock.read_monotonic() >= deadline:
                break
            await self._clock.sleep(0.2)
        return self._respond(in_force)

    async def _collect_rollout(
        self, version: identifiers.Version
    ) -> _reports.VersionRollout:
        configuration = self._configuration
        collected = await self._report_collector.collect_reports(
            REPORT_TIMEOUT_SECONDS
        )
        return _reports.summarize_reports(
            collected,
            version,
            configuration.version,
            configuration.digest,
            configuration.measure_lag,
        )

    async def _show_status(self, request: web.Request) -> web.Response:
        in_force = await self._collect_rollout(self._configuration.version)
        return self._respond(self._status.make_status(in_force))

    async def _explain(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        name = request.match_info['name']
        explainers = [each for each in self._explainers if kind in each.kinds]
        for explainer in explainers:
            explanation = explainer.explain(kind, name)
            if explanation is not None:
                return self._respond(explanation)
        known_names = sorted(
            {
                known_name
                for each in explainers
                for known_name in each.list_names(kind)
            }
        )
        hint = (
            f'; known: {", ".join(known_names[:DEFAULT_LISTED_ENTRIES])}'
            if known_names
            else ''
        )
        return self._deny(f'no {kind} is named {name}{hint}')

    def _deny(self, reason: str) -> web.Response:
        """Say that something does not exist, unless it may be new."""
        if self._configuration.is_recent():
            return self._refuse(404, reason)
        return self._refuse(
            503, f'{reason} so far; this entry may be out of date'
        )


class _BadRequestError(errors.ChivespokeError):
    """Report a malformed request; `peer` holds the field."""


def _read_number(text: str, field: str) -> identifiers.Version:
    if not text.isdecimal():
        raise _BadRequestError('read a request', field, 'must be a number')
    return identifiers.Version(int(text))


def _read_query(
    request: web.Request, key: str, default: int
) -> identifiers.Version:
    return _read_number(request.query.get(key, str(default)), key)
