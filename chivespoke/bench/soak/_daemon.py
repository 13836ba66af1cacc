"""A daemon of the platform as a process of its own."""

import asyncio
import os
import pathlib
import signal
import sys

from chivespoke import application

GRACE_SECONDS = 6.0
# The workers' limit of leases.
MAX_HOLD_MS = 10_000
SETTINGS_VARIABLE = 'CHIVESPOKE_CONFIG'
SETTINGS_TEMPLATE = """\
node_name = "{name}"
machine_class = "{kind}"
recommendation = ""
ip = "{ip}"
zone = "zone-1"
internal_port_range = [7000, 7015]
app = "{worker}"
[listen_addresses]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
control = "{ip}:8166"
[bounds]
max_hold_ms = {max_hold_ms}
[platform]
address = "{store}"
min_ttl_ms = 1000
"""


class SoakDaemon(application.Component):
    """Run an entry or a sidecar, signal it and start it again."""

    def __init__(
        self,
        name: str,
        kind: str,
        ip: str,
        store: str,
        worker: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self._kind = kind
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                kind='edge' if kind == 'entry' else 'side',
                ip=ip,
                store=store,
                worker=worker,
                max_hold_ms=MAX_HOLD_MS,
            ),
            encoding='utf-8',
        )
        self._log_path = folder / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None
        self._changes = asyncio.Lock()
        # Number of its processes so far.
        self.starts = 0

    @property
    def process_id(self) -> int:
        """Return the identifier of the daemon's process."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        with self._log_path.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'chivespoke.daemon',
                self._kind,
                stdout=output,
                stderr=output,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings)},
            )
        self.starts += 1

    async def stop(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def restart(self, graceful: bool) -> None:
        """End the process, after its grace period at the latest."""
        async with self._changes:
            if self._process is None:
                return
            if graceful:
                self.send(signal.SIGTERM)
                try:
                    async with asyncio.timeout(GRACE_SECONDS):
                        await self._process.wait()
                except TimeoutError:
                    pass
            await self.stop()
            await self.start()

    async def end(self) -> None:
        """Kill the process, and do not start it again."""
        async with self._changes:
            await self.stop()
            self._process = None

    async def pause(self, seconds: float) -> None:
        """Let the process stand still."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def has_exited_by_itself(self) -> bool:
        """Return whether the process has ended without a signal of ours."""
        return (
            self._process is not None and self._process.returncode is not None
        )
