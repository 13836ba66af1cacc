"""Crowds of clients that do not behave, and a daemon that they meet."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import resource
import tempfile
import zlib

import aiohttp

from chivespoke.bench.soak import _daemon
from chivespoke.bench.soak import _world
from chivespoke import platform
from chivespoke.serving.tests import builders
from chivespoke import standins

CALLER_PORT = 8161
CONTROL_PORT = 8166
READINESS_PORT = 8167
RELAY_PORT = 7000
MIB = 1024 * 1024
# The largest body that the operator's limits allow.
BODY_BYTES = 262_144
PIECE_BYTES = 16_384
RETRY_SECONDS = 0.1
# A client that is not read from, or was closed, sends no more.
SEND_SECONDS = 5.0

Payload = collections.abc.Iterable[bytes]


class Target:
    """Run one daemon as a process, beside a stand-in of the store."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._store = standins.PlatformStore()
        self._stack = contextlib.AsyncExitStack()
        self._daemon: _daemon.SoakDaemon | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.ip = ''
        # Peak memory before the crowd, in bytes.
        self._usual_bytes = 0

    async def start(self, max_descriptors: int | None = None) -> None:
        """Start the daemon and wait until it answers an ordinary request."""
        server = self._store.make_server()
        await server.start()
        self._stack.push_async_callback(server.stop)
        await self._store.put(
            'keyed.op', 'config', builders.make_configuration()
        )
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.ip = _world.make_loopback_address(os.getpid() % 100 + 100)
        self._daemon = _daemon.SoakDaemon(
            'target',
            self._kind,
            self.ip,
            f'{server.address.host}:{server.address.port}',
            '127.0.0.1:1' if self._kind == 'sidecar' else '',
            pathlib.Path(folder),
        )
        with limit_descriptors(max_descriptors):
            await self._daemon.start()
        self._stack.push_async_callback(self._daemon.stop)
        await self.request()
        self._usual_bytes = self._read_peak_bytes()

    async def stop(self) -> None:
        """Close the crowd and end the daemon."""
        for writer in self._writers:
            writer.transport.abort()
        await self._stack.aclose()

    async def admit(self, port: int, count: int, payload: Payload) -> None:
        """Let clients send the same, and stay."""
        pieces = list(payload)
        await asyncio.gather(
            *(self._admit_one(port, pieces) for _ in range(count))
        )

    async def _admit_one(self, port: int, pieces: list[bytes]) -> None:
        try:
            async with asyncio.timeout(SEND_SECONDS):
                _, writer = await asyncio.open_connection(self.ip, port)
                self._writers.append(writer)
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
        except (OSError, TimeoutError):
            # Refused, closed, or not read from any more.
            return

    async def request(self) -> int:
        """Repeat an ordinary request until it is answered with success."""
        while True:
            try:
                async with aiohttp.ClientSession() as session:
                    return await self._request_once(session)
            except (aiohttp.ClientError, TimeoutError, ValueError):
                await asyncio.sleep(RETRY_SECONDS)

    async def _request_once(self, session: aiohttp.ClientSession) -> int:
        if self._kind == 'entry':
            url = f'http://{self.ip}:{CALLER_PORT}{builders.PREFIX}'
        else:
            url = f'http://{self.ip}:9464/metrics'
        async with session.get(
            url,
            headers={'Host': builders.HOST},
            timeout=aiohttp.ClientTimeout(total=SEND_SECONDS),
        ) as response:
            await response.read()
            if response.status != 200:
                raise ValueError(response.status)
            return response.status

    def is_alive(self) -> bool:
        """Return whether the daemon's process has not ended."""
        assert self._daemon is not None
        return not self._daemon.has_exited_by_itself()

    def measure_growth(self) -> int:
        """Return by how many bytes the peak of memory has grown."""
        return self._read_peak_bytes() - self._usual_bytes

    def count_descriptors(self) -> int:
        """Return the number of open descriptors of the daemon."""
        return len(os.listdir(f'/proc/{self._process_id}/fd'))

    @property
    def _process_id(self) -> int:
        assert self._daemon is not None
        return self._daemon.process_id

    def _read_peak_bytes(self) -> int:
        status = pathlib.Path(f'/proc/{self._process_id}/status')
        for line in status.read_text(encoding='utf-8').splitlines():
            name, _, text = line.partition(':')
            if name == 'VmHWM':
                return int(text.split()[0]) * 1024
        raise AssertionError('the kernel tells no peak')


@contextlib.contextmanager
def limit_descriptors(count: int | None) -> collections.abc.Iterator[None]:
    """Let processes that are started meanwhile have few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if count is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def make_head(*fields: str) -> bytes:
    """Return the head of a submission."""
    lines = (
        f'POST {builders.PREFIX}00000000000000a1 HTTP/1.1',
        f'Host: {builders.HOST}',
        *fields,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def make_registration_head(*fields: str) -> bytes:
    """Return the head of a worker's registration."""
    path = platform.REGISTRATION_PATH.format(identifier='i-1')
    lines = (f'PUT {path} HTTP/1.1', 'Host: sidecar', *fields)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def make_body(
    size: int,
    piece: int,
    make: collections.abc.Callable[[str], bytes] = make_head,
) -> Payload:
    """Return a request with a length, but for the last byte of its body."""
    yield make(f'Content-Length: {size}')
    for start in range(0, size - 1, piece):
        yield b'x' * min(piece, size - 1 - start)


def make_chunked_body(size: int, chunk: int) -> Payload:
    """Return a chunked request without its last chunk."""
    yield make_head('Transfer-Encoding: chunked')
    framed = b'%x\r\n%s\r\n' % (chunk, b'x' * chunk)
    per_piece = max(1, PIECE_BYTES // len(framed))
    for _ in range(size // chunk // per_piece):
        yield framed * per_piece


def make_packed_body(size: int) -> Payload:
    """Return a request whose body unpacks to a size, but for its end."""
    packed = zlib.compress(bytes(size))
    yield make_head(
        'Content-Encoding: deflate', f'Content-Length: {len(packed) + 1}'
    )
    yield packed


def make_endless_field(size: int) -> Payload:
    """Return a head with a field that does not end."""
    yield make_head()[:-2] + b'Long: '
    for _ in range(size // PIECE_BYTES):
        yield b'x' * PIECE_BYTES


def make_endless_fields(size: int) -> Payload:
    """Return a head with fields that do not end."""
    yield make_head()[:-2]
    field = b'Name: ' + b'x' * 100 + b'\r\n'
    for _ in range(size // PIECE_BYTES):
        yield field * (PIECE_BYTES // len(field))


def make_empty_lines(size: int) -> Payload:
    """Return empty lines before a request that does not come."""
    for _ in range(size // PIECE_BYTES):
        yield b'\r\n' * (PIECE_BYTES // 2)


def make_pipeline(count: int) -> Payload:
    """Return requests of which the answers are not read."""
    request = (
        f'GET {builders.PREFIX} HTTP/1.1\r\nHost: {builders.HOST}\r\n\r\n'
    ).encode()
    for _ in range(count // 100):
        yield request * 100
