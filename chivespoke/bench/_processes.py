"""Daemons run by the bench, and what each of them spends.

Only the bench's own runner starts processes; no daemon does.
"""

import asyncio
import collections.abc
import pathlib
import re
import shutil
import signal
import socket
import sys
import time
import typing

import aiohttp
import msgspec
import psutil

from chivespoke import errors

STEP = 'run daemon'
READY_SECONDS = 30.0
POLL_SECONDS = 0.1
STOP_SECONDS = 20.0
# Seconds between looks at the open connections; far less than the time for
# which an idle connection is kept.
LOOK_SECONDS = 2.0
LOOPBACK = '127.0.0.1'
# The kernel's own counts of payload bytes of a TCP connection.
SENT = re.compile(r'bytes_sent:(\d+)')
RECEIVED = re.compile(r'bytes_received:(\d+)')


class Sample(typing.NamedTuple):
    """Hold what a process has spent so far."""

    at: float
    core_seconds: float
    memory: int
    # Bytes sent and received of each TCP connection that is open.
    connections: dict[str, int]


class Usage(msgspec.Struct, frozen=True):
    """Hold what a process spends: core share, bytes, bytes a second."""

    core: float
    memory: float
    traffic: float


def find_free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


class Daemon:
    """Run one command of chivespoke as a process of its own."""

    __slots__ = ('name', '_arguments', '_log', '_process')

    def __init__(
        self,
        name: str,
        arguments: collections.abc.Sequence[str],
        log: pathlib.Path,
    ) -> None:
        self.name = name
        self._arguments = tuple(arguments)
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._process is None:
            raise errors.RefusedError(STEP, self.name, 'not started')
        return self._process.pid

    async def start(self) -> None:
        """Start the process, its output into a file."""
        with self._log.open('wb') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'chivespoke',
                *self._arguments,
                stdout=output,
                stderr=output,
            )

    async def wait_ready(self, url: str) -> None:
        """Wait until a URL answers 200; raise UnavailableError."""
        deadline = time.monotonic() + READY_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                if self._process is None or self._process.returncode:
                    break
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    # Not listening yet.
                    pass
                await asyncio.sleep(POLL_SECONDS)
        raise errors.UnavailableError(STEP, self.name, self.read_log()[-500:])

    def read_log(self) -> str:
        """Return what the process has printed."""
        return self._log.read_text(encoding='utf-8', errors='replace')

    async def stop(self) -> int:
        """Ask the process to stop and return its exit code."""
        if self._process is None:
            return 0
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_SECONDS)
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()

    async def sample(self) -> Sample:
        """Return what the process has spent so far."""
        process = psutil.Process(self.pid)
        times = process.cpu_times()
        return Sample(
            time.monotonic(),
            times.user + times.system,
            process.memory_info().rss,
            await read_connections(self.pid),
        )

    async def measure(self, seconds: float) -> Usage:
        """Return what the process spends over the given seconds.

        Connections are looked at often enough that one which is closed
        after its idle time has been counted whole.
        """
        before = await self.sample()
        end = before.at + seconds
        seen: dict[str, int] = {}
        while time.monotonic() < end:
            left = end - time.monotonic()
            await asyncio.sleep(max(0.0, min(LOOK_SECONDS, left)))
            seen.update(await read_connections(self.pid))
        return compare_samples(before, await self.sample(), seen)


def compare_samples(
    before: Sample, after: Sample, seen: dict[str, int]
) -> Usage:
    """Return the rates between two samples.

    Seen are the connections that were open in between.
    """
    seconds = after.at - before.at
    moved = sum(
        total - before.connections.get(name, 0)
        for name, total in {**seen, **after.connections}.items()
    )
    return Usage(
        (after.core_seconds - before.core_seconds) / seconds,
        float(after.memory),
        moved / seconds,
    )


async def read_connections(pid: int) -> dict[str, int]:
    """Return the bytes of each TCP connection of a process, both ways."""
    command = shutil.which('ss')
    if command is None:
        raise errors.UnavailableError(
            'count bytes', 'ss', 'install iproute2 to count bytes'
        )
    process = await asyncio.create_subprocess_exec(
        command, '-tinpHO', stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return parse_connections(output.decode(), pid)


def parse_connections(text: str, pid: int) -> dict[str, int]:
    """Read the lines of ss that belong to a process."""
    owner = f'pid={pid},'
    found = {}
    for line in text.splitlines():
        if owner in line:
            _, _, _, local, remote = line.split()[:5]
            sent, received = SENT.search(line), RECEIVED.search(line)
            found[f'{local} {remote}'] = sum(
                int(match.group(1)) for match in (sent, received) if match
            )
    return found
