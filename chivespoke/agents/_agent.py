"""The sidecar process, which executes the leader's orders on its worker."""

import asyncio

import zmq
import zmq.asyncio

from chivespoke.agents import _crashes
from chivespoke.agents import _registration
from chivespoke.agents import _session
from chivespoke.agents import _unanswered
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decoding
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('agent')

# Longest time between two reports; a report without changes is a heartbeat.
REPORT_INTERVAL_SECONDS = 0.4
# Delay of a report after a change, so that runs that end at about the same
# time share one report.
BATCH_DELAY_SECONDS = 0.003
# Concurrent calls to the worker: the status poll and the orders of one
# directive.
WORKER_CONNECTIONS = 24


class Agent(
    application.Component,
    _registration.RegistrationListener,
    _session.SessionListener,
):
    """Exchange directives and reports between the leader and the session.

    A session covers one incarnation of the worker; a new incarnation replaces
    it.
    """

    __slots__ = (
        '_holder',
        '_machine',
        '_store',
        '_clock',
        '_sidecar_incarnation',
        '_context',
        '_socket',
        '_tasks',
        '_report_due',
        '_session',
        '_session_count',
        '_pending',
        '_crash_log',
        '_epoch',
        '_leader_identity',
        '_transport',
        '_telemetry',
        '_unanswered',
    )

    def __init__(
        self,
        holder: platform.MachineSettingsHolder,
        store: platform.Store,
        time: clock.Clock,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._telemetry = instruments
        self._holder = holder
        # The name and addresses do not change while the process runs; the
        # bounds may, and are read from the holder.
        self._machine = holder.machine
        self._store = store
        self._clock = time
        self._sidecar_incarnation = identifiers.make_incarnation()
        self._context: zmq.asyncio.Context | None = None
        self._socket: zmq.asyncio.Socket | None = None
        self._tasks = application.TaskOwner()
        self._report_due = asyncio.Event()
        self._session: _session.Session | None = None
        self._session_count = 0
        # Registration of another incarnation since the session's worker
        # answered last.
        self._pending: platform.Registration | None = None
        self._crash_log = _crashes.CrashLog()
        self._epoch = 0
        # ZeroMQ routing identity of the leader's connection.
        self._leader_identity: bytes | None = None
        self._transport: platform.Transport | None = None
        self._unanswered = _unanswered.UnansweredStarts(time)

    @property
    def _session_identifier(self) -> str:
        return coordination.format_session(
            self._sidecar_incarnation, self._session_count
        )

    @property
    def session(self) -> _session.Session | None:
        """Return the session with the current worker, for tests."""
        return self._session

    async def start(self) -> None:
        self._context = zmq.asyncio.Context()
        self._socket = coordination.open_socket(self._context, zmq.ROUTER)
        address = f'{self._machine.ip}:{self._machine.first_port}'
        self._socket.bind(f'tcp://{address}')
        record = coordination.encode_sidecar(self._machine.name, address)
        self._tasks.spawn(
            coordination.announce_address(
                self._store, self._clock, record, address
            )
        )
        self._tasks.spawn_loop(self._receive_directives)
        self._tasks.spawn_loop(self._report_repeatedly)

    async def stop(self) -> None:
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()
        if self._transport is not None:
            await self._transport.stop()
        if self._socket is not None:
            self._socket.close()
        if self._context is not None:
            # destroy() also closes sockets that are still open; term() would
            # wait for them.
            self._context.destroy(linger=0)

    def request_report(self) -> None:
        self._report_due.set()

    def handle_registration(self, registration: platform.Registration) -> None:
        session = self._session
        same_incarnation = session is not None and (
            session.registration.identifier,
            session.registration.born_ms,
        ) == (registration.identifier, registration.born_ms)
        if session is not None and same_incarnation:
            if session.registration.draining != registration.draining:
                LOGGER.info(
                    'The draining state of the worker changed.',
                    worker=registration.identifier,
                    remaining_ms=registration.remaining_ms,
                )
            session.update_registration(registration)
            self._report_due.set()
            return
        if session is not None and session.answering:
            # Either the worker has just been replaced or a registration of an
            # earlier incarnation was delayed. The order of their start times
            # does not tell, because the time of day may be set back.
            LOGGER.info(
                'Another incarnation registered while the worker answers.',
                worker=session.incarnation.key,
                identifier=registration.identifier,
                born_ms=registration.born_ms,
            )
            self._pending = registration
            session.doubt()
            return
        self._adopt(registration)

    def handle_confirmation(self) -> None:
        self._pending = None

    def handle_end(self, worker: str) -> None:
        # The sidecar may be stopped, and the leader be lost, before a report
        # has told it.
        self._tasks.spawn(
            coordination.announce_end(
                self._store, self._clock, self._machine.name, worker
            )
        )

    def handle_silence(self) -> None:
        if self._pending is not None:
            self._adopt(self._pending)

    def _adopt(self, registration: platform.Registration) -> None:
        """Replace the session by one with another incarnation."""
        self._pending = None
        LOGGER.info(
            'A new incarnation of the worker registered.',
            worker=registration.identifier,
            born_ms=registration.born_ms,
            service=registration.service,
            address=registration.address,
        )
        self._replace_session(registration)

    def handle_deregistration(self, identifier: str) -> None:
        session = self._session
        if session is None or session.registration.identifier != identifier:
            return
        LOGGER.info('The worker deregistered.', worker=identifier)
        session.deregistered = True
        self._report_due.set()

    def _replace_session(self, registration: platform.Registration) -> None:
        old_session, old_transport = self._session, self._transport
        if old_session is not None:
            self._crash_log.record_replacement(
                old_session.describe_crash(), self._clock.read_monotonic()
            )
            old_session.retire()
        transport = platform.Transport(
            self._machine.worker_address or registration.address,
            WORKER_CONNECTIONS,
        )
        self._session_count += 1
        session = _session.Session(
            self._machine.name,
            self._session_identifier,
            registration,
            platform.WorkerClient(transport, registration.identifier),
            self,
            self._clock,
            self._holder.machine.bounds.max_lease_seconds,
            self._epoch,
            self._telemetry,
            self._unanswered,
        )
        # Set before the switch runs, because the next registration is compared
        # with this session.
        self._transport = transport
        self._session = session
        self._tasks.spawn(
            self._switch_sessions(
                session, transport, old_session, old_transport
            )
        )

    async def _switch_sessions(
        self,
        session: _session.Session,
        transport: platform.Transport,
        old_session: _session.Session | None,
        old_transport: platform.Transport | None,
    ) -> None:
        await transport.start()
        session.start()
        # The leader answers with the session's fencing token.
        self._report_due.set()
        if old_session is not None:
            await old_session.close()
        if old_transport is not None:
            await old_transport.stop()

    async def _receive_directives(self) -> None:
        socket = self._socket
        assert socket is not None
        while True:
            sender, frame = await socket.recv_multipart()
            try:
                directive = decoding.decode(
                    coordination.DIRECTIVE_DECODER,
                    frame,
                    'read directive',
                    'leader',
                )
            except errors.RefusedError as error:
                LOGGER.error('A directive cannot be decoded.', error=error)
                continue
            await self._handle_directive(socket, sender, directive)

    async def _handle_directive(
        self,
        socket: zmq.asyncio.Socket,
        sender: bytes,
        directive: coordination.Directive,
    ) -> None:
        if directive.epoch < self._epoch:
            # The sender is a former leader: the epoch in the report shows it
            # that there is a newer one.
            await self._send_report(socket, sender)
            return
        if directive.epoch > self._epoch or sender != self._leader_identity:
            LOGGER.info(
                'The leader changed.',
                epoch=directive.epoch,
                before=self._epoch,
            )
            self._epoch = directive.epoch
            self._leader_identity = sender
            self._report_due.set()
        if self._session is not None:
            self._session.apply_directive(directive)

    async def _report_repeatedly(self) -> None:
        socket = self._socket
        assert socket is not None
        while True:
            # After the interval, a report is sent even without changes.
            if await application.wait_for_event(
                self._report_due, REPORT_INTERVAL_SECONDS
            ):
                await self._clock.sleep(BATCH_DELAY_SECONDS)
            self._report_due.clear()
            if self._leader_identity is not None:
                await self._send_report(socket, self._leader_identity)

    async def _send_report(
        self, socket: zmq.asyncio.Socket, peer: bytes
    ) -> None:
        if self._session is None:
            report = coordination.Report(
                self._machine.name,
                self._sidecar_incarnation,
                self._epoch,
                None,
                False,
                False,
                False,
                0,
                (),
                (),
                (),
                session=self._session_identifier,
            )
        else:
            report = self._session.make_report(
                self._sidecar_incarnation,
                self._crash_log.list_reports(
                    self._session.incarnation.key,
                    self._clock.read_monotonic(),
                )
                if self._session.has_answered
                else (),
            )
        await socket.send_multipart(
            [peer, coordination.ENCODER.encode(report)]
        )
