"""Run the commands of the README and compare their output."""

import asyncio
import contextlib
import io
import os
import pathlib
import re
import tempfile
import typing
import unittest
from unittest import mock

import aiohttp

from chivespoke.bench import _slopes_requests as builders
from chivespoke.cli import _application
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import resources
from chivespoke import settings
from chivespoke import standins

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIMEOUT_SECONDS = 90.0
PROMPT = '$ '
CAPACITY = resources.Resources(16_000, 61_440, 0)
# Generated identifiers, which differ from run to run.
VOLATILE = re.compile(r'\b[0-9a-f]{16}\b')
LOCAL_ENTRY = 'http://127.0.0.1:8080'


class Step(typing.NamedTuple):
    """Hold one command and the output that the page shows for it."""

    command: str
    output: str


def read_steps(page: str) -> list[Step]:
    """Return the commands of the console blocks of a page."""
    steps: list[Step] = []
    for block in re.findall(r'```console\n(.*?)```', page, re.DOTALL):
        for part in re.split(r'^\$ ', block, flags=re.MULTILINE)[1:]:
            command, _, output = part.partition('\n')
            steps.append(Step(command, output))
    return steps


class ReadmeTest(unittest.IsolatedAsyncioTestCase):
    """Run the README's commands against running daemons."""

    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        log = await builders.start_log(stack)
        server = standins.CountingServer(settings.Address())
        await builders.start_component(stack, server)
        entry = builders.make_entry_settings('entry-1', log.address)
        await builders.start_daemon(stack, 'entry', entry, folder)
        sidecar = settings.SidecarSettings(
            name='counting-1',
            data_centre=identifiers.DataCentreName('colombo'),
            service=identifiers.ServiceName('counting'),
            backend_server=server.address,
            balancer=entry.http,
            http=builders.make_entry_settings('any', log.address).http,
        )
        await builders.start_daemon(stack, 'sidecar', sidecar, folder)
        for index in range(4):
            registration = standins.make_worker_registration(
                f'worker-{index + 1}',
                identifiers.DataCentreName(('colombo', 'gampaha')[index % 2]),
                f'rack-{index // standins.WORKERS_PER_RACK + 1}',
                CAPACITY,
            )
            worker = standins.WorkerServer(
                registration,
                settings.Address(),
                entry.http,
                clocks.SystemClock(),
            )
            await builders.start_component(stack, worker)
            await worker.registered.wait()
        self.url = entry.http.format_http()
        self.http = await stack.enter_async_context(aiohttp.ClientSession())

    async def test_commands_print_what_the_page_says(self) -> None:
        steps = read_steps((ROOT / 'README.md').read_text(encoding='utf-8'))
        run_count = 0
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for step in steps:
                # The daemons run already, and the demonstration has its own
                # tests.
                if step.command.endswith('&') or ' demo' in step.command:
                    continue
                with self.subTest(command=step.command):
                    output = await self.run_command(step.command)
                    self.assertEqual(normalise(step.output), normalise(output))
                run_count += 1
        self.assertEqual(9, run_count)

    async def run_command(self, command: str) -> str:
        name, *arguments = command.split()
        if name == 'curl':
            return await self.fetch(arguments[-1])
        environment = {'CHIVESPOKE_ENTRY': self.url}
        output = io.StringIO()
        with (
            mock.patch.dict(os.environ, environment),
            contextlib.chdir(ROOT),
            contextlib.redirect_stdout(output),
        ):
            code = await asyncio.to_thread(_application.run, arguments)
        self.assertEqual(0, code)
        return output.getvalue()

    async def fetch(self, url: str) -> str:
        """Retry until the sidecar has announced the backend server."""
        while True:
            async with self.http.get(
                url.replace(LOCAL_ENTRY, self.url)
            ) as answer:
                if answer.status == 200:
                    return await answer.text()
            await asyncio.sleep(0.1)


def normalise(output: str) -> str:
    """Return the output with its generated identifiers replaced."""
    return VOLATILE.sub('ID', output).strip()


if __name__ == '__main__':
    unittest.main()
