"""Taking jobs in, cancelling them, and telling how far they are."""

import asyncio
import collections.abc
import time

from aiohttp import web

from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors
from chivespoke.intake import _answers
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import web as chivespoke_web
from chivespoke import workloads

LOGGER = logs.make_logger('intake')

# An entry that has not heard from the store for so long cannot tell which
# jobs exist, in seconds: a read waits for one second at most.
FRESH_SECONDS = 2.0
# An append is waited for so long, in seconds: a slow store takes about 0.4 s,
# and a caller that hears nothing by then does better at another entry.
APPEND_SECONDS = 1.0


class JobDesk(chivespoke_web.RouteProvider):
    """Answer the callers of this entry."""

    __slots__ = (
        'closing',
        '_coordinator',
        '_store',
        '_clock',
        '_telemetry',
        '_unanswered_at',
    )

    def __init__(
        self,
        coordinator: coordination.Coordinator,
        store: platform.Store,
        time_source: clock.Clock,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._coordinator = coordinator
        self._store = store
        self._clock = time_source
        self._telemetry = instruments
        # Connections are to be given up, as this entry is about to end.
        self.closing = False
        # When an append was last given up without an answer.
        self._unanswered_at = float('-inf')

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.route('*', '/{path:.*}', self._answer),)

    async def _answer(self, request: web.Request) -> web.Response:
        began = time.perf_counter()
        configuration = self._coordinator.operator.configuration
        if configuration is None:
            return self._refuse(_answers.Outcome.UNAVAILABLE)
        host = request.host.partition(':')[0]
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            LOGGER.info(
                'No queue has this path.',
                path=request.path,
                version=configuration.version,
                outcome=_answers.Outcome.UNKNOWN_QUEUE.value,
            )
            return self._refuse(_answers.Outcome.UNKNOWN_QUEUE)
        identifier = request.path[len(queue.path_prefix) :]
        response = await self._answer_queue(
            request, configuration, queue, identifier
        )
        self._telemetry.request_latency.record(
            time.perf_counter() - began,
            {'queue': queue.name, 'method': request.method},
        )
        self._telemetry.requests.add(
            1, {'queue': queue.name, 'status': response.status}
        )
        return response

    async def _answer_queue(
        self,
        request: web.Request,
        configuration: workloads.Configuration,
        queue: workloads.Queue,
        identifier: str,
    ) -> web.Response:
        if not identifier and request.method == 'GET':
            return self._count_pending(queue)
        if not platform.is_job_identifier(identifier):
            return self._refuse(_answers.Outcome.UNKNOWN_QUEUE)
        if request.method == 'GET':
            return self._tell_phase(identifier)
        if request.method == 'DELETE':
            return await self._cancel(identifier)
        if request.method == 'POST':
            return await self._submit(
                request, configuration, queue, identifier
            )
        return self._refuse(_answers.Outcome.INVALID)

    async def _submit(
        self,
        request: web.Request,
        configuration: workloads.Configuration,
        queue: workloads.Queue,
        identifier: str,
    ) -> web.Response:
        body = await request.read()
        if len(body) > configuration.body_limit:
            return self._refuse(_answers.Outcome.TOO_LARGE)
        if self._find(identifier) is not None:
            return self._settle(identifier, _answers.Outcome.ACCEPTED, 'again')
        if not self._can_write():
            return self._settle(
                identifier, _answers.Outcome.UNAVAILABLE, 'store out of reach'
            )
        now_ms = int(self._clock.read_wall() * 1000)
        try:
            job = platform.decode_submission(body, identifier, queue, now_ms)
        except errors.RefusedError as error:
            return self._settle(
                identifier, _answers.Outcome.INVALID, str(error)
            )
        record = coordination.encode_job(job)
        outcome, detail = await self._append(
            coordination.JOB_PREFIX + identifier, record
        )
        return self._settle(identifier, outcome, detail)

    async def _cancel(self, identifier: str) -> web.Response:
        entry = self._find(identifier)
        if entry is None:
            return self._refuse_unknown(identifier)
        if entry.phase.final:
            return self._settle(identifier, _answers.Outcome.ACCEPTED, 'final')
        if not self._can_write():
            return self._settle(
                identifier, _answers.Outcome.UNAVAILABLE, 'store out of reach'
            )
        record = coordination.encode_cancel(
            identifier, int(self._clock.read_wall() * 1000)
        )
        outcome, detail = await self._append(
            coordination.CANCEL_PREFIX + identifier, record
        )
        return self._settle(identifier, outcome, f'cancel {detail}')

    async def _append(
        self, key: str, record: bytes
    ) -> tuple[_answers.Outcome, str]:
        """Append, and take the ledger's word for it if no answer comes."""
        ledger = self._coordinator.ledger
        append = asyncio.ensure_future(
            self._store.append(
                coordination.SYSTEM_TOPIC,
                record,
                timeout_seconds=APPEND_SECONDS,
            )
        )
        seen = asyncio.ensure_future(ledger.wait_for(key))
        try:
            await asyncio.wait(
                (append, seen), return_when=asyncio.FIRST_COMPLETED
            )
            if seen.done():
                return _answers.Outcome.ACCEPTED, 'seen in the ledger'
            end = await append
        except errors.RefusedError as error:
            return _answers.Outcome.UNAVAILABLE, str(error)
        except errors.UnavailableError as error:
            # The caller asks again, with the same identifier.
            self._unanswered_at = self._clock.read_monotonic()
            return _answers.Outcome.UNCERTAIN, str(error)
        finally:
            append.cancel()
            seen.cancel()
            if append.done() and not append.cancelled():
                # Taken note of, if the ledger was faster.
                append.exception()
        # What this process knows first, it need not read first.
        for found in platform.decode_records(record, end - 1):
            ledger.apply(found)
        return _answers.Outcome.ACCEPTED, f'offset {end - 1}'

    def _tell_phase(self, identifier: str) -> web.Response:
        entry = self._find(identifier)
        if entry is None:
            return self._refuse_unknown(identifier)
        return _answers.make_answer(
            _answers.Outcome.ACCEPTED,
            platform.encode_phase(entry.phase),
            closing=self.closing,
        )

    def _count_pending(self, queue: workloads.Queue) -> web.Response:
        if not self._is_fresh():
            return self._refuse(_answers.Outcome.UNAVAILABLE)
        count = sum(
            entry.job is not None
            and entry.job.queue == queue.name
            and entry.phase is workloads.JobPhase.QUEUED
            for entry in self._coordinator.ledger.entries.values()
        )
        return _answers.make_answer(
            _answers.Outcome.ACCEPTED,
            platform.encode_pending(count),
            closing=self.closing,
        )

    def _find(self, identifier: str) -> coordination.Entry | None:
        entry = self._coordinator.ledger.entries.get(identifier)
        return entry if entry is not None and entry.job else None

    def _is_fresh(self) -> bool:
        follower = self._coordinator.follower
        return follower.loaded and follower.measure_age() < FRESH_SECONDS

    def _can_write(self) -> bool:
        # A call that cannot be answered would leave the caller in doubt,
        # where a refusal now lets it come again.
        follower = self._coordinator.follower
        heard_at = self._clock.read_monotonic() - follower.measure_age()
        return (
            self._is_fresh()
            and follower.reachable
            and heard_at > self._unanswered_at
        )

    def _refuse_unknown(self, identifier: str) -> web.Response:
        if self._is_fresh():
            return self._settle(
                identifier, _answers.Outcome.UNKNOWN_JOB, 'not in the ledger'
            )
        return self._settle(
            identifier, _answers.Outcome.UNAVAILABLE, 'ledger too old'
        )

    def _settle(
        self, identifier: str, outcome: _answers.Outcome, detail: str
    ) -> web.Response:
        LOGGER.info(
            'A request is answered.',
            job=identifier,
            outcome=outcome.name.lower(),
            status=outcome.value,
            detail=detail,
            ledger_age=round(self._coordinator.follower.measure_age(), 3),
        )
        return self._refuse(outcome)

    def _refuse(self, outcome: _answers.Outcome) -> web.Response:
        return _answers.make_answer(outcome, closing=self.closing)
