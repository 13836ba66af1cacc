"""Builders of peers and backend servers that a test controls."""

import asyncio
import socket

from chivespoke import backend_servers
from chivespoke import clock
from chivespoke import entries
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import settings
from chivespoke import standins
from chivespoke import telemetry

HEARTBEAT_SECONDS = 0.5
SERVICE = identifiers.ServiceName('counting')
EVENT_LOOP_TURNS = 10


async def run_ready_tasks() -> None:
    """Run all tasks until they wait for something."""
    for _ in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)


class RecordingPeer(entries.Peer):
    """Record the messages that are sent to this peer."""

    def __init__(self, name: str = 'peer', incarnation: str = 'a') -> None:
        super().__init__(name, identifiers.Incarnation(incarnation))
        self.sent: list[entries.Message] = []

    def send(self, message: entries.Message) -> None:
        self.sent.append(message)

    def list_outcomes(self) -> list[backend_servers.Outcome]:
        """Return the outcomes of the recorded replies."""
        return [
            message.outcome
            for message in self.sent
            if isinstance(message, backend_servers.Reply)
        ]


class BlockingServer(backend_servers.BackendServer):
    """Run requests until the test sets the release event."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.release = asyncio.Event()

    async def run(
        self, dispatch: backend_servers.Dispatch, timeout: float
    ) -> backend_servers.RunResult:
        self.runs.append(dispatch.target)
        await self.release.wait()
        return backend_servers.RunResult(
            backend_servers.Outcome.ANSWERED, status=200
        )

    async def probe(self) -> backend_servers.ProbeResult:
        return backend_servers.ProbeResult.HEALTHY


class CrashingServer(BlockingServer):
    """Break all requests off at the release event."""

    def __init__(self, is_down: bool = True) -> None:
        super().__init__()
        self._is_down = is_down

    async def run(
        self, dispatch: backend_servers.Dispatch, timeout: float
    ) -> backend_servers.RunResult:
        await super().run(dispatch, timeout)
        return backend_servers.RunResult(
            backend_servers.Outcome.UNKNOWN, 'broke off', broke_off=True
        )

    async def probe(self) -> backend_servers.ProbeResult:
        if self._is_down:
            return backend_servers.ProbeResult.UNRESPONSIVE
        return backend_servers.ProbeResult.HEALTHY


class BreakingServer:
    """Answer the first request, and break off after each later one."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> settings.Address:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address(port=port)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await reader.readuntil(b'\r\n\r\n'):
            self.runs.append(head.split()[1].decode())
            if len(self.runs) > 1:
                break
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.close()


class DarkServer:
    """Hold connections unread; let the next process at the address serve."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self._socket = socket.create_server(('127.0.0.1', 0))
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> settings.Address:
        """Return the address, which no process serves yet."""
        return settings.Address(port=self._socket.getsockname()[1])

    async def serve(self) -> None:
        """Read what the connections hold, and serve what comes."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        self._socket.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        self.runs.append(head.split()[1].decode())
        writer.close()


class ExecutorHarness:
    """Hold an executor and the peer that stands for an entry."""

    def __init__(
        self,
        slots: int = 1,
        queue_limit: int = 4,
        time: clock.Clock | None = None,
        backend_server: BlockingServer | None = None,
    ) -> None:
        self.handlers = entries.Handlers()
        self.backend_server = backend_server or BlockingServer()
        self.peer = RecordingPeer()
        self.executor = backend_servers.Executor(
            self.backend_server,
            backend_servers.Slots(slots, queue_limit),
            backend_servers.KeyTable(),
            self.handlers,
            telemetry.Telemetry(),
            time if time is not None else clock.SystemClock(),
        )

    async def handle_messages(self, *messages: entries.Message) -> None:
        """Handle messages from the entry."""
        for message in messages:
            await self.handlers.handle(self.peer, message)
        await run_ready_tasks()


class HeartbeatPeer(RecordingPeer):
    """Record what an entry sends to a sidecar that speaks to it."""

    def __init__(self, incarnation: identifiers.Incarnation) -> None:
        super().__init__('server-1', incarnation)

    def make_heartbeat(self) -> entries.Message:
        """Return what the sidecar would send next."""
        if not self.sent or isinstance(self.sent[-1], entries.Welcome):
            return build_announcement()
        return entries.Pulse()


class HomesHarness:
    """Hold the registry and the home lists of one entry."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.handlers = entries.Handlers()
        log = standins.MemoryLog(self.clock)
        self._committer = replication.GroupCommitter(
            log, self.clock, identifiers.Incarnation('entry-1'), seed=1
        )
        self.registry = backend_servers.Registry(
            self.handlers,
            entries.EntryDirectory(self.clock),
            telemetry.Telemetry(),
            self.clock,
        )
        streams = backend_servers.HomeStreams(log, self._committer, self.clock)
        self.manager = backend_servers.HomeManager(
            streams,
            self.registry,
            self.handlers,
            self.clock,
            backend_servers.HomeLimits(),
        )
        self._fold = backend_servers.HomesFold()
        self._follower = replication.Follower(
            log,
            replication.Replica(f'homes-{SERVICE}', self._fold),
            self.clock,
        )

    @property
    def fenced(self) -> list[identifiers.Incarnation]:
        """Return the sidecars that the log says will not run again."""
        return self._fold.state.fenced

    @property
    def homes(self) -> tuple[identifiers.Incarnation, ...]:
        """Return the newest home list."""
        return self._fold.current.homes

    async def start(self) -> None:
        """Start to follow and to propose home lists."""
        await self._follower.start()
        await self.manager.start()

    async def stop(self) -> None:
        """Stop the entry."""
        await self.manager.stop()
        await self._follower.stop()
        await self._committer.stop()

    async def announce(self, peer: RecordingPeer) -> None:
        """Handle an announcement of a sidecar."""
        await self.handlers.handle(peer, build_announcement())

    async def run(self, seconds: float, *peers: HeartbeatPeer) -> None:
        """Let time pass while some sidecars send heartbeats."""
        for _ in range(round(seconds / HEARTBEAT_SECONDS)):
            for peer in peers:
                await self.handlers.handle(peer, peer.make_heartbeat())
            self.clock.advance(HEARTBEAT_SECONDS)
            await run_ready_tasks()


def build_dispatch(
    sequence: int,
    key: str = '',
    homes_version: int = 0,
    lookup: bool = False,
    method: str = 'POST',
) -> backend_servers.Dispatch:
    """Return a dispatch whose target contains its sequence."""
    return backend_servers.Dispatch(
        sequence,
        sequence,
        1,
        method,
        f'/{sequence}',
        (),
        b'',
        5.0,
        backend_servers.RequestClass.LATENCY_CRITICAL,
        'shop',
        key,
        homes_version,
        lookup,
    )


def build_registry(
    time: clock.Clock | None = None,
) -> tuple[backend_servers.Registry, entries.Handlers, telemetry.Telemetry]:
    """Return a registry with its message handlers and telemetry."""
    handlers = entries.Handlers()
    time = time if time is not None else clock.SystemClock()
    instruments = telemetry.Telemetry()
    directory = entries.EntryDirectory(time)
    return (
        backend_servers.Registry(handlers, directory, instruments, time),
        handlers,
        instruments,
    )


def build_announcement(
    clock_reading: float = 0.0,
) -> backend_servers.Announcement:
    """Return the announcement of a healthy backend server."""
    return backend_servers.Announcement(
        SERVICE,
        identifiers.DataCentreName('colombo-1'),
        8,
        64,
        0,
        True,
        False,
        clock=clock_reading,
    )
