"""The sidecar of a worker: takes orders from whoever leads."""

import asyncio

import msgspec
import zmq
import zmq.asyncio

from chivespoke.agents import _registration
from chivespoke.agents import _session
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('agent')

# A report goes out at least so often, in seconds.
REPORT_SECONDS = 0.4
# Reports are gathered for so long, in seconds, so that ends of one moment
# travel together.
GATHER_SECONDS = 0.003
ANNOUNCE_RETRY_SECONDS = 0.5
# Calls to the worker at once: looks, and the orders of one directive.
WORKER_CONNECTIONS = 24


class Agent(
    application.Component,
    _registration.RegistrationListener,
    _session.SessionListener,
):
    """Keep a session with the worker and a link with the leader."""

    __slots__ = (
        '_holder',
        '_machine',
        '_store',
        '_clock',
        '_incarnation',
        '_context',
        '_socket',
        '_tasks',
        '_wake',
        '_session',
        '_epoch',
        '_leader',
        '_transport',
        '_telemetry',
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
        # Its name and addresses, which hold for the life of the process.
        self._machine = holder.machine
        self._store = store
        self._clock = time
        self._incarnation = identifiers.make_incarnation()
        self._context: zmq.asyncio.Context | None = None
        self._socket: zmq.asyncio.Socket | None = None
        self._tasks = application.TaskOwner()
        self._wake = asyncio.Event()
        self._session: _session.Session | None = None
        self._epoch = 0
        # The transport's name of the leader's connection.
        self._leader: bytes | None = None
        self._transport: platform.Transport | None = None

    async def start(self) -> None:
        self._context = zmq.asyncio.Context()
        self._socket = coordination.open_socket(self._context, zmq.ROUTER)
        address = f'{self._machine.ip}:{self._machine.first_port}'
        self._socket.bind(f'tcp://{address}')
        self._tasks.spawn(self._announce(address))
        self._tasks.spawn(self._receive(self._socket))
        self._tasks.spawn(self._keep_reporting(self._socket))

    async def stop(self) -> None:
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()
        if self._transport is not None:
            await self._transport.stop()
        if self._socket is not None:
            self._socket.close()
        if self._context is not None:
            # Also closes a socket that was left open, which term waits for.
            self._context.destroy(linger=0)

    def request_report(self) -> None:
        self._wake.set()

    def handle_registration(self, found: platform.Registration) -> None:
        session = self._session
        same = session is not None and (
            session.registration.identifier,
            session.registration.born_ms,
        ) == (found.identifier, found.born_ms)
        if session is not None and same:
            if session.registration.draining != found.draining:
                LOGGER.info(
                    'The worker drains.',
                    worker=found.identifier,
                    remaining_ms=found.remaining_ms,
                )
            session.registration = found
            self._wake.set()
            return
        LOGGER.info(
            'A life of the worker begins.',
            worker=found.identifier,
            born_ms=found.born_ms,
            service=found.service,
            address=found.address,
        )
        self._begin_session(found)

    def handle_deregistration(self, identifier: str) -> None:
        session = self._session
        if session is None or session.registration.identifier != identifier:
            return
        LOGGER.info('The worker leaves.', worker=identifier)
        session.departing = True
        self._wake.set()

    def _begin_session(self, found: platform.Registration) -> None:
        old, old_transport = self._session, self._transport
        transport = platform.Transport(
            self._machine.worker_address or found.address, WORKER_CONNECTIONS
        )
        session = _session.Session(
            self._machine.name,
            found,
            platform.WorkerClient(transport, found.identifier),
            self,
            self._clock,
            self._holder.machine.bounds.max_lease_seconds,
            self._epoch,
            self._telemetry,
        )
        # At once: the next registration must find it.
        self._transport = transport
        self._session = session
        self._tasks.spawn(
            self._change_sessions(session, transport, old, old_transport)
        )

    async def _change_sessions(
        self,
        session: _session.Session,
        transport: platform.Transport,
        old: _session.Session | None,
        old_transport: platform.Transport | None,
    ) -> None:
        await transport.start()
        session.start()
        if self._epoch:
            session.obey(coordination.Directive(self._epoch, '', 0, 0))
        if old is not None:
            await old.close()
        if old_transport is not None:
            await old_transport.stop()

    async def _announce(self, address: str) -> None:
        record = coordination.encode_sidecar(self._machine.name, address)
        while True:
            try:
                await self._store.append(coordination.SYSTEM_TOPIC, record)
            except errors.ChivespokeError as error:
                LOGGER.warning(
                    'The sidecar is not announced yet.', error=error
                )
                await self._clock.sleep(ANNOUNCE_RETRY_SECONDS)
            else:
                LOGGER.info('The sidecar is announced.', address=address)
                return

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            sender, frame = await socket.recv_multipart()
            try:
                directive = coordination.DIRECTIVE_DECODER.decode(frame)
            except msgspec.MsgspecError as error:
                LOGGER.error('A directive cannot be read.', error=str(error))
                continue
            await self._obey(socket, sender, directive)

    async def _obey(
        self,
        socket: zmq.asyncio.Socket,
        sender: bytes,
        directive: coordination.Directive,
    ) -> None:
        if directive.epoch < self._epoch:
            # An earlier leader; it learns from the report that it is one.
            await self._send(socket, sender)
            return
        if directive.epoch > self._epoch or sender != self._leader:
            LOGGER.info(
                'A leader gives orders.',
                epoch=directive.epoch,
                before=self._epoch,
            )
            self._epoch = directive.epoch
            self._leader = sender
            self._wake.set()
        if self._session is not None:
            self._session.obey(directive)

    async def _keep_reporting(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            # Without news, the heartbeat is due.
            if await application.wait_for_event(self._wake, REPORT_SECONDS):
                await self._clock.sleep(GATHER_SECONDS)
            self._wake.clear()
            if self._leader is not None:
                await self._send(socket, self._leader)

    async def _send(self, socket: zmq.asyncio.Socket, peer: bytes) -> None:
        if self._session is None:
            report = coordination.Report(
                self._machine.name,
                self._incarnation,
                self._epoch,
                None,
                False,
                False,
                False,
                0,
                (),
                (),
                (),
            )
        else:
            report = self._session.make_report(self._incarnation)
        await socket.send_multipart(
            [peer, coordination.ENCODER.encode(report)]
        )
