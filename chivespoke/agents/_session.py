"""The session of a sidecar with one incarnation of its worker."""

import abc
import asyncio
import collections.abc
import contextlib
import enum

from chivespoke.agents import _leases
from chivespoke.agents import _paces
from chivespoke.agents import _run_ages
from chivespoke.agents import _unanswered
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry
from chivespoke import workloads

LOGGER = logs.make_logger('session')

# Longest time that the worker waits for a run to end before it answers a poll.
# A poll also renews the leases and returns the measurements for pacing.
POLL_WAIT_SECONDS = 0.3
POLL_RETRY_SECONDS = 0.2
# The same while a start that got no answer may still be executed: the first
# poll that another incarnation of the worker answers bars it.
LATE_START_POLL_RETRY_SECONDS = 0.05
# Pause between polls while ended runs are unacknowledged: about the time that
# the leader takes to record them.
UNACKNOWLEDGED_PAUSE_SECONDS = 0.02
START_ATTEMPTS = 3
START_RETRY_SECONDS = 0.2
# Longest time from a start order to the beginning of the last call for it. The
# leader allows for 2.5 s, with the way of the order.
LAST_START_CALL_SECONDS = 2.3
STOP_RETRY_SECONDS = 0.3
# A warning is logged once per this many consecutive failed stops of a run. A
# worker that is gone for good never answers them.
STOPS_PER_WARNING = 20


class _OrderKind(enum.Enum):
    START = 'start'
    STOP = 'stop'
    PACE = 'pace'


class SessionListener(abc.ABC):
    """Receive the changes of a session."""

    @abc.abstractmethod
    def request_report(self) -> None:
        """Request a report to the leader."""

    @abc.abstractmethod
    def handle_confirmation(self) -> None:
        """Handle that a worker in doubt has answered."""

    @abc.abstractmethod
    def handle_end(self, worker: str) -> None:
        """Handle that the session's worker has ended, by its key."""

    @abc.abstractmethod
    def handle_silence(self) -> None:
        """Handle that the session's worker does not answer any more."""


class Session:
    """Renew the leases of one worker incarnation and execute its orders."""

    __slots__ = (
        'registration',
        'identifier',
        'epoch',
        'deregistered',
        '_leaves_at',
        '_fence',
        '_fence_end',
        '_is_fence_used',
        '_sidecar',
        '_client',
        '_listener',
        '_clock',
        '_tasks',
        '_leases',
        '_acknowledged_end',
        '_forgotten_end',
        '_starts_may_be_sent',
        '_status',
        '_poll_count',
        '_polled',
        '_answering',
        '_outcomes',
        '_in_progress',
        '_withdrawn',
        '_starting',
        '_pace_tracker',
        '_fenced',
        '_replaced',
        '_refuses_connections',
        '_has_ended',
        '_doubted',
        '_applied',
        '_lapsed',
        '_run_ages',
        '_reserved',
        '_telemetry',
        '_unanswered',
    )

    def __init__(
        self,
        sidecar: str,
        identifier: str,
        registration: platform.Registration,
        client: platform.WorkerClient,
        listener: SessionListener,
        time: clock.Clock,
        max_lease_seconds: float,
        epoch: int,
        instruments: telemetry.Telemetry,
        unanswered: _unanswered.UnansweredStarts,
    ) -> None:
        self._telemetry = instruments
        # Shared with the earlier sessions of the process, as calls of theirs
        # may be executed by the incarnation of this one.
        self._unanswered = unanswered
        self.registration = registration
        # Unique among the sessions of all processes of the sidecar.
        self.identifier = identifier
        # Epoch of the current leader.
        self.epoch = epoch
        # Fencing token of this session, and the end of those that the leader
        # has assigned to it.
        self._fence = 0
        self._fence_end = 0
        # A start or an acknowledgement was sent with the current token.
        self._is_fence_used = False
        self.deregistered = False
        self._sidecar = sidecar
        self._client = client
        self._listener = listener
        self._clock = time
        # Monotonic time from which on the worker may end, by its notice; None
        # if it has given none.
        self._leaves_at = self._compute_leave_time(registration)
        self._tasks = application.TaskOwner()
        self._leases = _leases.WorkerLeases(max_lease_seconds)
        # Number of the last run end that the leader has stored.
        self._acknowledged_end = 0
        # The same of the last one whose acknowledgement the worker answered.
        self._forgotten_end = 0
        # Clear while a poll that acknowledges ends is on its way.
        self._starts_may_be_sent = asyncio.Event()
        self._starts_may_be_sent.set()
        self._status: platform.WorkerStatus | None = None
        self._poll_count = 0
        self._polled = asyncio.Condition()
        self._answering = False
        self._outcomes: list[coordination.OrderOutcome] = []
        # Kind, task and run of each order.
        self._in_progress: set[tuple[_OrderKind, str, int]] = set()
        # Task and run of the starts in progress that a stop has overtaken.
        self._withdrawn: set[tuple[str, int]] = set()
        # Start orders that may still be sent to the worker: task and run.
        self._starting: set[tuple[str, int]] = set()
        self._pace_tracker = _paces.PaceTracker(
            self.incarnation.key, instruments
        )
        self._fenced = asyncio.Event()
        # Another incarnation of the worker has answered or registered.
        self._replaced = False
        # The last poll failed because nothing listens at the worker's address.
        self._refuses_connections = False
        # The worker has announced its end, and nothing listens there any more.
        # This is final: others may have started its tasks elsewhere.
        self._has_ended = False
        # Another incarnation has registered since the last poll was sent.
        self._doubted = False
        # Number of the last directive of the current epoch that was applied.
        self._applied = 0
        # The last report said that all leases have expired.
        self._lapsed = False
        self._run_ages = _run_ages.RunAges()
        # What all runs on the worker reserve, the ordered ones included; None
        # if the leader has not said.
        self._reserved: workloads.Resources | None = None

    @property
    def incarnation(self) -> coordination.WorkerIncarnation:
        """Return the description of the worker incarnation."""
        registration = self.registration
        return coordination.WorkerIncarnation(
            self._sidecar,
            registration.identifier,
            registration.born_ms,
            registration.service,
            registration.data_centre,
            registration.labels,
            registration.capacity,
        )

    @property
    def answering(self) -> bool:
        """Return whether the worker answered the last poll."""
        return self._answering

    @property
    def has_answered(self) -> bool:
        """Return whether the worker has answered any poll."""
        return self._status is not None

    def describe_crash(self) -> coordination.CrashReport | None:
        """Return the report to make if another incarnation takes over.

        Returns None if the worker was about to leave or never answered.
        """
        last_sign_at = self._run_ages.last_sign_at
        if (
            last_sign_at is None
            or self.registration.draining
            or self.deregistered
        ):
            return None
        silent_seconds = self._clock.read_monotonic() - last_sign_at
        return coordination.CrashReport(
            self.incarnation.key,
            int(silent_seconds * 1000),
            self._run_ages.count_runs(),
            self._run_ages.list_suspects(),
        )

    def update_registration(self, registration: platform.Registration) -> None:
        """Take over what the worker reports about itself."""
        self.registration = registration
        self.deregistered = False
        self._leaves_at = self._compute_leave_time(registration)

    def _compute_leave_time(
        self, registration: platform.Registration
    ) -> float | None:
        if not registration.draining:
            return None
        return self._clock.read_monotonic() + registration.remaining_ms / 1000

    def doubt(self) -> None:
        """Start no runs until the worker has answered another poll."""
        self._doubted = True

    def retire(self) -> None:
        """Make no further calls that start runs; a later session follows."""
        self._replaced = True

    def start(self) -> None:
        """Start polling the worker once the session has a fencing token."""
        self._tasks.spawn_loop(self._poll_repeatedly)

    async def close(self) -> None:
        """Stop polling and cancel the orders in progress."""
        await self._tasks.cancel()

    def apply_directive(self, directive: coordination.Directive) -> None:
        """Apply the leases and orders of a directive.

        From a directive for another incarnation, only the epoch and the
        session's fencing token are used.
        """
        if directive.epoch > self.epoch:
            self.epoch = directive.epoch
            self._applied = 0
        if directive.session == self.identifier and directive.fence:
            self._fence = max(self._fence, directive.fence)
            self._fence_end = max(self._fence_end, directive.fence_end)
            self._fenced.set()
        if directive.incarnation != self.incarnation.key:
            return
        if directive.session not in ('', self.identifier):
            # Its orders are for an earlier process of the sidecar.
            return
        if 0 < directive.number <= self._applied:
            LOGGER.info(
                'A directive that was overtaken is ignored.',
                worker=self.incarnation.key,
                number=directive.number,
                applied=self._applied,
            )
            return
        self._leases.raise_limit(directive.lease_until_ms)
        if directive.granted_until_ms and not self._leases.has_successor:
            self._leases.bound_others(directive.granted_until_ms)
        self._acknowledged_end = max(
            self._acknowledged_end, directive.acknowledged
        )
        self._applied = max(self._applied, directive.number)
        self._reserved = directive.reserved
        self._pace_tracker.update_interference(directive.interference)
        self._pace_tracker.update_standings(
            directive.standings, self._clock.read_monotonic()
        )
        for run in directive.adopted:
            self._pace_tracker.record_run(run)
        for start in directive.starts:
            self._pace_tracker.record_start_order(start)
            self._spawn_start(start, directive.lease_until_ms)
        for stop in directive.stops:
            self._spawn_stop(stop)

    def make_report(
        self,
        sidecar_incarnation: str,
        crashes: tuple[coordination.CrashReport, ...] = (),
    ) -> coordination.Report:
        """Return a report to the leader and clear the reported outcomes."""
        # Another order for the run is in progress, whose outcome is the one
        # that counts.
        outcomes = tuple(
            outcome
            for outcome in self._outcomes
            if not self._awaits_outcome(outcome.task, outcome.run)
        )
        self._outcomes.clear()
        status = self._status or platform.WorkerStatus(0, (), ())
        self._update_lapsed()
        return coordination.Report(
            sidecar=self._sidecar,
            sidecar_incarnation=sidecar_incarnation,
            epoch=self.epoch,
            incarnation=self.incarnation if self._status else None,
            draining=self.registration.draining or self.deregistered,
            answering=self._answering,
            lapsed=self._lapsed,
            # Of the same incarnation as the end of the leases.
            clock_ms=self._leases.clock_ms,
            running=status.running,
            ended=tuple(
                end
                for end in status.ended
                if end.number > self._acknowledged_end
            ),
            outcomes=outcomes,
            applied=self._applied,
            lease_end_ms=self._leases.end_ms,
            session=self.identifier,
            crashes=crashes,
            unanswered=self._unanswered.list_starts(self._starting),
            paces=self._pace_tracker.list_reduced_paces(status),
            refuses_connections=self._refuses_connections,
            fence=self._fence,
            has_successor=self._leases.has_successor,
        )

    def _update_lapsed(self) -> None:
        lapsed = self._have_leases_expired()
        if lapsed and not self._lapsed:
            LOGGER.warning(
                'All leases of the worker have expired.',
                worker=self.incarnation.key,
                clock_ms=self._leases.clock_ms,
                clock_age=self._leases.measure_reading_age(
                    self._clock.read_monotonic()
                ),
                lease_end_ms=self._leases.end_ms,
                deregistered=self.deregistered,
                refuses_connections=self._refuses_connections,
                applied=self._applied,
                orders=len(self._in_progress),
            )
        self._lapsed = lapsed

    def _have_leases_expired(self) -> bool:
        if self._answering or self._status is None or self._starting:
            return False
        return self._has_ended or self._leases.have_expired(
            self._clock.read_monotonic()
        )

    def _check_end(self) -> None:
        # A deregistration alone does not show the end: it may be late, and a
        # worker runs on for a while if it is not acknowledged. Nor does a
        # notice with refused connections, as it names the least time that is
        # left: only the runs have ended, once all leases have expired.
        now = self._clock.read_monotonic()
        is_leaving = (
            self.deregistered and not self._leases.has_successor
        ) or (
            self._leaves_at is not None
            and now >= self._leaves_at
            and self._leases.have_expired(now)
        )
        if (
            self._has_ended
            or not (is_leaving and self._refuses_connections)
            or self._starting
        ):
            return
        self._has_ended = True
        LOGGER.info(
            'The worker has ended, as it had announced.',
            worker=self.incarnation.key,
            deregistered=self.deregistered,
            clock_ms=self._leases.clock_ms,
            clock_age=self._leases.measure_reading_age(now),
            lease_end_ms=self._leases.end_ms,
        )
        self._listener.handle_end(self.incarnation.key)
        self._listener.request_report()

    def _extend_leases(self) -> int | None:
        """Advance the end of the leases and return it, None if unchanged.

        While the worker's address refuses connections, a call hardly arrives;
        the lease that it asks for would only be waited for.
        """
        if self.deregistered or self._has_ended or self._refuses_connections:
            return None
        return self._leases.extend(
            self._clock.read_monotonic(),
            _leases.DRAINING_LEASE_SECONDS
            if self.registration.draining
            else _leases.LEASE_SECONDS,
        )

    async def _poll_repeatedly(self) -> None:
        await self._fenced.wait()
        while not self._replaced:
            try:
                await self._poll_once()
            except errors.ChivespokeError as error:
                self._check_refusal('look', error)
                self._set_answering(False, str(error))
                self._set_refuses_connections(
                    isinstance(error, platform.NotListeningError)
                )
                self._check_end()
                self._raise_fence()
                await self._clock.sleep(
                    LATE_START_POLL_RETRY_SECONDS
                    if self._unanswered.list_starts(self._starting)
                    else POLL_RETRY_SECONDS
                )
        # The calls of this session would reach the incarnation that has
        # replaced its worker. It ends when that one registers.
        await asyncio.Event().wait()

    async def _poll_once(self) -> None:
        is_first = self._status is None
        was_doubted = self._doubted
        # After a failed poll another incarnation may answer, whose ends have
        # numbers of their own.
        acknowledged = self._select_acknowledgement() if self._answering else 0
        if acknowledged:
            self._starts_may_be_sent.clear()
            self._is_fence_used = True
        sent_at = self._clock.read_monotonic()
        fence = self._fence
        lease_end_ms = self._extend_leases()
        try:
            with (
                contextlib.nullcontext()
                if lease_end_ms is None
                else self._leases.record_call(sent_at, fence)
            ):
                status = await self._client.poll(
                    fence,
                    acknowledged,
                    lease_end_ms,
                    # The first answer allows longer leases, and starts wait
                    # for one to an acknowledgement.
                    0.0
                    if is_first or acknowledged or self._refuses_connections
                    else POLL_WAIT_SECONDS,
                )
        finally:
            # After a failure the token is raised before any start goes on.
            self._starts_may_be_sent.set()
        previous = self._status
        if status.born_ms not in (0, self.registration.born_ms):
            self._handle_replacement(status, fence)
            return
        self._forgotten_end = max(self._forgotten_end, acknowledged)
        if was_doubted:
            self._doubted = False
            self._listener.handle_confirmation()
        self._log_unexpected_leases(status)
        now = self._clock.read_monotonic()
        self._leases.record_reading(status.clock_ms, sent_at, now)
        self._set_answering(True, '')
        self._set_refuses_connections(False)
        async with self._polled:
            self._status = status
            self._run_ages.record_status(status, now)
            for row in status.running:
                self._unanswered.record_listing(row.task, row.run)
            self._poll_count += 1
            self._polled.notify_all()
        if previous is None or have_ends_changed(previous, status):
            self._listener.request_report()
        for change in self._pace_tracker.adjust(
            status,
            self.registration.capacity.cpu_millis,
            self._clock.read_monotonic(),
        ):
            self._spawn_order(
                _OrderKind.PACE, change.task, change.run, self._pace(change)
            )
        if status.ended:
            # The worker answers at once while ended runs are unacknowledged.
            await self._clock.sleep(UNACKNOWLEDGED_PAUSE_SECONDS)

    def _select_acknowledgement(self) -> int:
        """Return the number of the last end to acknowledge, 0 if none.

        The next incarnation numbers its ends anew. If it carries out a start
        of this session and then an acknowledgement, it forgets the end of that
        run before anyone has seen it. So none is sent while calls to start a
        run are made. Starts wait for the answer to one, or carry a raised
        token, so that a life which has carried them out refuses it.
        """
        if self._starting or self._acknowledged_end <= self._forgotten_end:
            return 0
        return self._acknowledged_end

    def _log_unexpected_leases(self, status: platform.WorkerStatus) -> None:
        """Log runs that go on after the leases that the sidecar expected."""
        if self._have_leases_expired() and status.running:
            LOGGER.warning(
                'Runs go on although all leases were taken for expired.',
                worker=self.incarnation.key,
                clock_ms=status.clock_ms,
                lease_end_ms=self._leases.end_ms,
                runs=len(status.running),
            )
        lapsed = {
            end.number
            for end in status.ended
            if end.cause is platform.EndCause.LEASE_EXPIRED
        }
        if self._status is not None:
            lapsed -= {end.number for end in self._status.ended}
        if lapsed:
            LOGGER.warning(
                'Leases have expired on the worker.',
                worker=self.incarnation.key,
                clock_ms=status.clock_ms,
                lease_end_ms=self._leases.end_ms,
                runs=len(lapsed),
            )

    def _set_refuses_connections(self, refuses_connections: bool) -> None:
        if refuses_connections == self._refuses_connections:
            return
        self._refuses_connections = refuses_connections
        LOGGER.info(
            'Nothing listens at the address of the worker.'
            if refuses_connections
            else 'The address of the worker is not refused any more.',
            worker=self.incarnation.key,
            deregistered=self.deregistered,
        )
        self._listener.request_report()

    def _raise_fence(self) -> None:
        """Let the next poll bar all starts that were sent before it.

        They may be on their way to a later incarnation of the worker, which
        knows no token yet.
        """
        if self._is_fence_used and self._fence + 1 < self._fence_end:
            self._fence += 1
            self._is_fence_used = False

    def _handle_replacement(
        self, status: platform.WorkerStatus, fence: int
    ) -> None:
        """Stop calling a worker that has started again."""
        LOGGER.warning(
            'Another incarnation of the worker answered.',
            worker=self.incarnation.key,
            born_ms=status.born_ms,
            clock_ms=status.clock_ms,
            requested_lease_end_ms=self._leases.sent_ms,
            fence=fence,
            runs=len(status.running),
        )
        self._replaced = True
        # It may have carried out orders of this session.
        self._leases.record_successor(
            status.clock_ms, self._clock.read_monotonic(), fence
        )
        self._set_answering(False, 'it has started again')

    def _check_clock(self, step: str, clock_ms: int, fence: int = 0) -> None:
        """Notice by the clock in an answer that the worker may be another.

        Only a poll that is sent from now on tells whether it is. A clock_ms of
        0 stands for an answer that does not say, a fence of 0 for a token that
        the worker may not have accepted.
        """
        if not clock_ms:
            return
        expected_ms = self._leases.clock_ms
        now = self._clock.read_monotonic()
        if not self._leases.record_answer(clock_ms, now, fence):
            return
        LOGGER.warning(
            'Another incarnation of the worker may have answered.',
            worker=self.incarnation.key,
            step=step,
            clock_ms=clock_ms,
            earlier_clock_ms=expected_ms,
            requested_lease_end_ms=self._leases.sent_ms,
            lease_end_ms=self._leases.end_ms,
            fence=fence,
        )
        self.doubt()
        self._listener.request_report()

    def _check_refusal(self, step: str, error: errors.ChivespokeError) -> None:
        if isinstance(error, platform.OrderRefusedError):
            self._check_clock(step, error.clock_ms)

    def _set_answering(self, answering: bool, detail: str) -> None:
        if answering == self._answering:
            return
        self._answering = answering
        if answering:
            LOGGER.info(
                'The worker answers polls.',
                worker=self.incarnation.key,
                clock_ms=self._leases.clock_ms,
                lease_end_ms=self._leases.end_ms,
                fence=self._fence,
            )
        else:
            LOGGER.warning(
                'The worker does not answer polls.',
                worker=self.incarnation.key,
                error=detail,
                clock_ms=self._leases.clock_ms,
                requested_lease_end_ms=self._leases.sent_ms,
                acknowledged=self._acknowledged_end,
                fence=self._fence,
            )
        self._listener.request_report()
        if not answering:
            self._listener.handle_silence()

    def _spawn_start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> None:
        if self._spawn_order(
            _OrderKind.START,
            order.task,
            order.run,
            self._start(order, lease_until_ms),
        ):
            # Noted before the order is sent, so that no report made in
            # between denies the lease that the order will grant.
            self._starting.add((order.task, order.run))

    def _spawn_stop(self, order: coordination.StopOrder) -> None:
        """Begin a stop, and let a start of the run in progress end."""
        if (order.task, order.run) in self._starting:
            LOGGER.info(
                'A start in progress is overtaken by a stop.',
                task=order.task,
                run=order.run,
                worker=self.incarnation.key,
            )
            self._withdrawn.add((order.task, order.run))
        self._spawn_order(
            _OrderKind.STOP, order.task, order.run, self._stop(order)
        )

    def _spawn_order(
        self,
        kind: _OrderKind,
        task: str,
        run: int,
        work: collections.abc.Coroutine[object, object, None],
    ) -> bool:
        """Begin an order unless another one for the run is in progress.

        A stop does not wait for a start: the calls of that may be executed
        late, and the stop bars them.
        """
        blocking = (kind,) if kind is _OrderKind.STOP else tuple(_OrderKind)
        if any((other, task, run) in self._in_progress for other in blocking):
            # The leader repeats orders without an outcome.
            work.close()
            return False
        self._in_progress.add((kind, task, run))
        self._tasks.spawn(self._run_order(kind, task, run, work))
        return True

    async def _run_order(
        self,
        kind: _OrderKind,
        task: str,
        run: int,
        work: collections.abc.Coroutine[object, object, None],
    ) -> None:
        try:
            await work
        finally:
            self._in_progress.discard((kind, task, run))

    def _awaits_outcome(self, task: str, run: int) -> bool:
        """Return whether an order in progress will report an outcome."""
        is_starting = (_OrderKind.START, task, run) in self._in_progress
        return (_OrderKind.STOP, task, run) in self._in_progress or (
            is_starting and (task, run) not in self._withdrawn
        )

    def _report_outcome(
        self, task: str, run: int, refusal: platform.Refusal | None
    ) -> None:
        LOGGER.info(
            'An order has finished.',
            task=task,
            run=run,
            worker=self.incarnation.key,
            refusal=refusal.value if refusal else None,
            epoch=self.epoch,
        )
        self._telemetry.order_outcomes.add(
            1, {'outcome': refusal.value if refusal else 'taken'}
        )
        if refusal is not None:
            self._run_ages.record_refusal(task, run)
        self._outcomes.append(coordination.OrderOutcome(task, run, refusal))
        self._listener.request_report()

    async def _start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> None:
        try:
            refusal, may_have_started = await self._try_start(
                order, lease_until_ms
            )
        finally:
            self._starting.discard((order.task, order.run))
        try:
            if (order.task, order.run) in self._withdrawn:
                # The stop reports the outcome.
                return
            if (
                refusal is platform.Refusal.NO_CAPACITY
                and may_have_started
                and await self._is_running(order.task, order.run)
            ):
                # It is one of the runs that leave no room for another.
                refusal = None
            if refusal is not None and may_have_started:
                await self._ensure_stopped(order.task, order.run)
            self._report_outcome(order.task, order.run, refusal)
        finally:
            self._withdrawn.discard((order.task, order.run))

    async def _try_start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> tuple[platform.Refusal | None, bool]:
        """Send a start order until the worker answers.

        Returns the refusal, None if the run has started, and whether it may
        have started or may still start nevertheless.
        """
        may_have_started = order.repeated
        refusal = platform.Refusal.UNHEALTHY
        ordered_at = self._clock.read_monotonic()
        for _ in range(START_ATTEMPTS):
            await self._starts_may_be_sent.wait()
            if (
                self._clock.read_monotonic()
                > ordered_at + LAST_START_CALL_SECONDS
            ):
                break
            if self._is_listed(order.task, order.run):
                return None, True
            if (
                not self._accepts_starts()
                or (order.task, order.run) in self._withdrawn
            ):
                break
            if self._leases.is_past(
                lease_until_ms, self._clock.read_monotonic()
            ):
                # This process stood still, and the worker may have started
                # again, with a clock by which the order has not expired.
                refusal = platform.Refusal.EXPIRED
                break
            if not self._has_room():
                refusal = platform.Refusal.NO_CAPACITY
                break
            fence = self._fence
            try:
                await self._send_start(order, lease_until_ms)
            except platform.OrderRefusedError as error:
                self._check_refusal('start', error)
                refusal = error.refusal
                if (
                    refusal is platform.Refusal.STALE_FENCE
                    and fence < self._fence
                ):
                    # A poll with a raised token has overtaken the call.
                    continue
                may_have_started |= refusal is platform.Refusal.SUPERSEDED
                break
            except errors.RefusedError:
                await self._clock.sleep(START_RETRY_SECONDS)
            except errors.UnavailableError as error:
                LOGGER.warning(
                    'A start was not answered; it may still take effect.',
                    task=order.task,
                    run=order.run,
                    error=error,
                )
                may_have_started = True
            else:
                return None, True
        return refusal, may_have_started

    def _accepts_starts(self) -> bool:
        return not (
            self.registration.draining
            or self.deregistered
            or self._replaced
            or self._doubted
            or self._has_ended
        )

    def _has_room(self) -> bool:
        """Return whether what was ordered fits the worker's capacity now.

        The worker may have shrunk since the order, and need not refuse.
        """
        return self._reserved is None or self.registration.capacity.covers(
            self._reserved
        )

    async def _send_start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> None:
        # A start order may be delayed in a connection until the leader no
        # longer expects its run. The lease that is sent ends no later than the
        # order's own, so that the worker refuses a delayed order as expired.
        self._extend_leases()
        self._is_fence_used = True
        self._run_ages.record_order(
            order.task, order.run, self._clock.read_monotonic()
        )
        fence = self._fence
        with (
            self._unanswered.record_call(
                order.task, order.run, is_first=not order.repeated
            ),
            self._leases.record_call(self._clock.read_monotonic(), fence),
        ):
            clock_ms = await self._client.start(
                order.task,
                order.run,
                order.payload,
                min(self._leases.sent_ms, lease_until_ms),
                fence,
                order.checkpoint,
                order.ticket,
            )
        self._check_clock('start', clock_ms, fence)
        self._run_ages.record_start(
            order.task, order.run, self._clock.read_monotonic()
        )

    async def _stop(self, order: coordination.StopOrder) -> None:
        await self._ensure_stopped(order.task, order.run)
        # On any refusal the leader releases the run.
        self._report_outcome(
            order.task, order.run, platform.Refusal.SUPERSEDED
        )

    async def _ensure_stopped(self, task: str, run: int) -> None:
        """Stop a run and wait until it has ended and cannot start later."""
        failures = 0
        while True:
            try:
                self._check_clock(
                    'stop', await self._client.stop(task, run, self._fence)
                )
                break
            except errors.ChivespokeError as error:
                self._check_refusal('stop', error)
                if self._refuses_connections and self._have_leases_expired():
                    LOGGER.info(
                        'A stop is given up, as the worker has ended.',
                        task=task,
                        run=run,
                        failures=failures,
                    )
                    return
                failures += 1
                if failures % STOPS_PER_WARNING == 1:
                    LOGGER.warning(
                        'A stop failed; retrying.',
                        task=task,
                        run=run,
                        failures=failures,
                        error=error,
                    )
                await self._clock.sleep(STOP_RETRY_SECONDS)
        # The poll in progress may have been sent before the stop was
        # answered; the one after it shows the runs that are left.
        async with self._polled:
            required_count = self._poll_count + 2
            await self._polled.wait_for(
                lambda: (
                    self._poll_count >= required_count
                    and not self._is_listed(task, run)
                )
            )

    async def _pace(self, change: decisions.PaceChange) -> None:
        try:
            self._check_clock(
                'pace',
                await self._client.pace(
                    change.task, change.run, change.percent, self._fence
                ),
            )
        except errors.ChivespokeError as error:
            self._check_refusal('pace', error)
            LOGGER.warning(
                'Setting a pace failed; retrying after the next poll.',
                task=change.task,
                percent=change.percent,
                error=error,
            )
        else:
            self._pace_tracker.record_pace(change)

    async def _is_running(self, task: str, run: int) -> bool:
        """Return whether the worker lists a run, after the first poll.

        Waiting for another poll would leave time for a copy of the order to
        arrive that is not barred yet.
        """
        async with self._polled:
            await self._polled.wait_for(lambda: self._status is not None)
        return self._is_listed(task, run)

    def _is_listed(self, task: str, run: int) -> bool:
        return self._status is not None and any(
            row.task == task and row.run == run for row in self._status.running
        )


def have_ends_changed(
    previous: platform.WorkerStatus, current: platform.WorkerStatus
) -> bool:
    """Tell whether the ended runs have changed since the previous poll."""
    if len(current.ended) != len(previous.ended):
        return True
    return bool(current.ended) and current.ended[-1] != previous.ended[-1]
