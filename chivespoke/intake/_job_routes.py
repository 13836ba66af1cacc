"""HTTP routes that submit jobs, cancel them and report their phase."""

import asyncio
import collections.abc
import time

from aiohttp import web
import msgspec

from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke.intake import _relay
from chivespoke.intake import _responses
from chivespoke.intake import _submissions
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import web as chivespoke_web
from chivespoke import workloads

LOGGER = logs.make_logger('intake')

# Age of the ledger above which an entry cannot tell which jobs exist. A read
# from the store waits for 1 s at most.
MAX_LEDGER_AGE_SECONDS = 2.0
# Longest wait for a read that shows all that was accepted before a request: a
# read waits for 1 s at most.
MAX_PROOF_SECONDS = 1.5


class _View(msgspec.Struct, frozen=True):
    """Hold what a request is decided from."""

    configuration: workloads.Configuration
    # Newest version that callers have seen the effect of.
    required_version: int
    # Routes may be denied, jobs accepted and counted.
    current: bool


class JobRoutes(chivespoke_web.RouteProvider):
    """Handle the requests of the callers of this entry."""

    __slots__ = (
        'closing',
        '_coordinator',
        '_submissions',
        '_relay',
        '_clock',
        '_telemetry',
        '_max_job_tasks',
    )

    def __init__(
        self,
        coordinator: coordination.Coordinator,
        submissions: _submissions.Submissions,
        relay: _relay.Relay,
        time_source: clock.Clock,
        instruments: telemetry.Telemetry,
        max_job_tasks: int,
    ) -> None:
        self._coordinator = coordinator
        self._submissions = submissions
        self._relay = relay
        self._clock = time_source
        self._telemetry = instruments
        # The progress of a job is one record of the store.
        self._max_job_tasks = max_job_tasks
        # The entry is draining: responses ask callers to close connections.
        self.closing = False

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.route('*', '/{path:.*}', self._handle),)

    @property
    def configuration_version(self) -> int:
        """Return the version in force in this entry; 0 if there is none."""
        configuration = self._coordinator.operator.configuration
        return configuration.version if configuration is not None else 0

    async def _handle(self, request: web.Request) -> web.Response:
        limit = self.find_limit(request)
        response = await self.handle_here(request, limit)
        if response.status != _responses.Outcome.UNAVAILABLE.value:
            return response
        # The request has had no effect, so that a neighbour may serve it.
        version = self.configuration_version
        forwarded = await self._relay.forward(request, limit)
        if forwarded is None:
            if self.configuration_version > version:
                # The neighbours' views may be behind one that is new here.
                response = await self.handle_here(request, limit)
            return response
        if self.closing:
            forwarded.force_close()
        return forwarded

    async def handle_here(
        self, request: web.Request, limit: float, required_version: int = 0
    ) -> web.Response:
        """Handle a request in this entry, without its neighbours.

        The limit is the monotonic time by which the answer must leave. What
        rests on the configuration is not answered from a version older than
        the required one.
        """
        started_at = time.perf_counter()
        # A body may arrive slowly. The configuration is that of its end.
        await request.read()
        configuration = self._coordinator.operator.configuration
        if configuration is None:
            return self._respond(_responses.Outcome.UNAVAILABLE)
        host = request.host.partition(':')[0]
        required_version = max(required_version, self._relay.newest_version)
        view = _View(
            configuration,
            required_version,
            configuration.version >= required_version
            and self._coordinator.is_operator_view_current,
        )
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            return self._respond_unknown_queue(request, view)
        identifier = request.path[len(queue.path_prefix) :]
        try:
            response = await self._handle_queue(
                request, view, queue, identifier, limit
            )
        except errors.RefusedError as error:
            # The record of the job's progress is unreadable.
            response = self._log_and_respond(
                identifier, _responses.Outcome.UNAVAILABLE, str(error)
            )
        self._telemetry.request_latency.record(
            time.perf_counter() - started_at,
            {'queue': queue.name, 'method': request.method},
        )
        self._telemetry.requests.add(
            1, {'queue': queue.name, 'status': response.status}
        )
        return response

    async def _handle_queue(
        self,
        request: web.Request,
        view: _View,
        queue: workloads.Queue,
        identifier: str,
        limit: float,
    ) -> web.Response:
        if not identifier and request.method == 'GET':
            return self._count_pending(queue, view)
        if not platform.is_job_identifier(identifier):
            # A later version may have a queue with a longer prefix.
            return self._respond_unknown_queue(request, view)
        if request.method == 'GET':
            return self._report_phase(identifier)
        if request.method == 'DELETE':
            return await self._cancel(identifier, limit)
        if request.method == 'POST':
            return await self._submit(request, view, queue, identifier, limit)
        return self._respond(_responses.Outcome.INVALID)

    def find_limit(self, request: web.Request) -> float:
        """Return when the answer must leave, in monotonic seconds."""
        return (
            self._clock.read_monotonic()
            + platform.read_caller_wait(request.headers)
            - decisions.ANSWER_MARGIN_SECONDS
        )

    async def _submit(
        self,
        request: web.Request,
        view: _View,
        queue: workloads.Queue,
        identifier: str,
        limit: float,
    ) -> web.Response:
        body = await request.read()
        if self._find_entry(identifier) is not None:
            return self._log_and_respond(
                identifier, _responses.Outcome.ACCEPTED, 'already submitted'
            )
        if not view.current:
            return self._log_and_respond(
                identifier,
                _responses.Outcome.UNAVAILABLE,
                'configuration too old',
            )
        if len(body) > view.configuration.body_limit:
            return self._respond(_responses.Outcome.TOO_LARGE)
        if not self._can_write():
            return self._log_and_respond(
                identifier,
                _responses.Outcome.UNAVAILABLE,
                'store out of reach',
            )
        now_ms = int(self._clock.read_wall() * 1000)
        try:
            job = platform.decode_submission(body, identifier, queue, now_ms)
        except errors.RefusedError as error:
            return self._log_and_respond(
                identifier, _responses.Outcome.INVALID, str(error)
            )
        if job.task_count > self._max_job_tasks:
            return self._log_and_respond(
                identifier,
                _responses.Outcome.TOO_LARGE,
                f'{job.task_count} tasks, at most {self._max_job_tasks}',
            )
        if view.configuration.is_contended(queue.terms.service):
            admission = self._decide_admission(job)
            if admission is not None and not admission.admitted:
                return self._refuse_for_load(job, admission)
        record = coordination.encode_job(job)
        result = await self._submissions.append(
            coordination.JOB_PREFIX + identifier, record, limit
        )
        return self._log_and_respond(identifier, result.outcome, result.detail)

    def _decide_admission(
        self, job: workloads.Job
    ) -> decisions.Admission | None:
        """Decide whether a job is admitted; None if its load is not limited.

        A job that was submitted before and may be stored is not refused.
        """
        key = coordination.JOB_PREFIX + job.identifier
        demand = coordination.describe_demand(job)
        if demand is None or self._submissions.is_waiting(key):
            return None
        ledger = self._coordinator.ledger
        load: decisions.ServiceLoad | None = None
        if ledger.load is not None:
            load = ledger.load.services.get(job.terms.service)
        age = self._clock.read_monotonic() - ledger.load_written_after
        admission = decisions.decide_admission(demand, load, age)
        outlook = load.outlook if load is not None else None
        LOGGER.info(
            'Admission decided.',
            job=job.identifier,
            queue=job.queue,
            admitted=admission.admitted,
            cause=admission.cause.value,
            priority=demand.priority,
            core_seconds=round(demand.core_seconds, 1),
            path_seconds=round(demand.path_seconds, 1),
            objective_seconds=round(demand.objective_seconds, 1),
            ahead_core_seconds=round(admission.ahead_core_seconds, 1),
            wait_seconds=round(admission.wait_seconds, 1),
            retry_seconds=admission.retry_seconds,
            outlook=outlook,
            epoch=ledger.load.epoch if ledger.load is not None else 0,
            load_age=round(age, 3),
            ledger_age=round(self._coordinator.follower.measure_age(), 3),
        )
        return admission

    def _refuse_for_load(
        self, job: workloads.Job, admission: decisions.Admission
    ) -> web.Response:
        self._telemetry.refusals.add(1, {'cause': 'load', 'queue': job.queue})
        return self._log_and_respond(
            job.identifier,
            _responses.Outcome.OVERLOADED,
            f'{admission.wait_seconds:.1f} s of work ahead',
            admission.retry_seconds,
        )

    async def _cancel(self, identifier: str, limit: float) -> web.Response:
        entry = self._find_entry(identifier)
        if entry is None:
            # A neighbour may have accepted it after the last read.
            if not await self._wait_for_proof(limit):
                return self._log_and_respond(
                    identifier,
                    _responses.Outcome.UNAVAILABLE,
                    'ledger too old for a denial',
                )
            entry = self._find_entry(identifier)
        if entry is None:
            return self._respond_unknown(identifier)
        if entry.phase.final:
            return self._log_and_respond(
                identifier, _responses.Outcome.ACCEPTED, 'final'
            )
        if not self._can_write():
            return self._log_and_respond(
                identifier,
                _responses.Outcome.UNAVAILABLE,
                'store out of reach',
            )
        record = coordination.encode_cancel(
            identifier, int(self._clock.read_wall() * 1000)
        )
        result = await self._submissions.append(
            coordination.CANCEL_PREFIX + identifier, record, limit
        )
        return self._log_and_respond(
            identifier, result.outcome, f'cancel {result.detail}'
        )

    async def _wait_for_proof(self, limit: float) -> bool:
        """Wait for a view of now; return whether it came before a limit."""
        follower = self._coordinator.follower
        now = self._clock.read_monotonic()
        if not follower.reachable:
            return False
        try:
            async with asyncio.timeout(min(MAX_PROOF_SECONDS, limit - now)):
                await follower.wait_for_proof(now)
        except TimeoutError:
            return False
        return True

    def _report_phase(self, identifier: str) -> web.Response:
        entry = self._find_entry(identifier)
        if entry is None or not self._coordinator.follower.was_loaded:
            # While the ledger is read for the first time, the phase of a job
            # may follow after the job.
            return self._respond_unknown(identifier)
        return _responses.make_response(
            _responses.Outcome.ACCEPTED,
            platform.encode_phase(entry.phase, entry.reason),
            closing=self.closing,
        )

    def _count_pending(
        self, queue: workloads.Queue, view: _View
    ) -> web.Response:
        if not (self._is_ledger_fresh() and view.current):
            return self._respond(_responses.Outcome.UNAVAILABLE)
        count = sum(
            self._is_pending(entry, queue)
            for entry in self._coordinator.ledger.entries.values()
        )
        return _responses.make_response(
            _responses.Outcome.ACCEPTED,
            platform.encode_pending(count),
            closing=self.closing,
        )

    def _find_entry(self, identifier: str) -> coordination.JobEntry | None:
        entry = self._coordinator.ledger.entries.get(identifier)
        return entry if entry is not None and entry.job else None

    def _is_pending(
        self, entry: coordination.JobEntry, queue: workloads.Queue
    ) -> bool:
        if entry.job is None or entry.job.queue != queue.name:
            return False
        try:
            return entry.phase is workloads.JobPhase.QUEUED
        except errors.RefusedError:
            return False

    def _is_ledger_fresh(self) -> bool:
        follower = self._coordinator.follower
        return (
            follower.loaded and follower.measure_age() < MAX_LEDGER_AGE_SECONDS
        )

    def _can_write(self) -> bool:
        # If the store did not confirm an append, the caller would not know its
        # outcome. After an immediate refusal the caller can safely retry.
        follower = self._coordinator.follower
        confirmed_at = self._clock.read_monotonic() - follower.measure_age()
        return (
            self._is_ledger_fresh()
            and follower.reachable
            and confirmed_at > self._submissions.given_up_at
            and not self._submissions.refuses
        )

    def _respond_unknown_queue(
        self, request: web.Request, view: _View
    ) -> web.Response:
        """Deny a path only if no later version can be in force."""
        outcome = (
            _responses.Outcome.UNKNOWN_QUEUE
            if view.current
            else _responses.Outcome.UNAVAILABLE
        )
        LOGGER.info(
            'No queue matches this path.',
            path=request.path,
            version=view.configuration.version,
            required_version=view.required_version,
            view_age=round(
                self._coordinator.operator_follower.measure_age(), 3
            ),
            outcome=outcome.value,
        )
        return self._respond(outcome)

    def _respond_unknown(self, identifier: str) -> web.Response:
        if self._is_ledger_fresh():
            return self._log_and_respond(
                identifier, _responses.Outcome.UNKNOWN_JOB, 'not in the ledger'
            )
        return self._log_and_respond(
            identifier, _responses.Outcome.UNAVAILABLE, 'ledger too old'
        )

    def _log_and_respond(
        self,
        identifier: str,
        outcome: _responses.Outcome,
        detail: str,
        retry_seconds: int = _responses.RETRY_AFTER_SECONDS,
    ) -> web.Response:
        LOGGER.info(
            'A request is answered.',
            job=identifier,
            outcome=outcome.name.lower(),
            status=outcome.value,
            detail=detail,
            ledger_age=round(self._coordinator.follower.measure_age(), 3),
        )
        return self._respond(outcome, retry_seconds)

    def _respond(
        self,
        outcome: _responses.Outcome,
        retry_seconds: int = _responses.RETRY_AFTER_SECONDS,
    ) -> web.Response:
        return _responses.make_response(
            outcome, retry_seconds=retry_seconds, closing=self.closing
        )


class NeighbourRoutes(chivespoke_web.RouteProvider):
    """Handle the requests that other entries hand to this one."""

    __slots__ = ('_job_routes',)

    def __init__(self, job_routes: JobRoutes) -> None:
        self._job_routes = job_routes

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.route('*', '/{path:.*}', self._handle),)

    async def _handle(self, request: web.Request) -> web.Response:
        limit = self._job_routes.find_limit(request)
        required_version = platform.read_configuration_version(request.headers)
        # The request is decided from the version at the end of its body. A
        # later one may arrive before the answer.
        await request.read()
        version = self._job_routes.configuration_version
        response = await self._job_routes.handle_here(
            request, limit, required_version
        )
        response.headers.update(platform.encode_configuration_version(version))
        return response
