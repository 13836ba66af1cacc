"""Tests that run the daemons as processes."""

import asyncio
import contextlib
import pathlib
import tempfile
import unittest

import aiohttp

from chivespoke.bench import _slopes_requests as builders
from chivespoke import settings
from chivespoke import standins

TIMEOUT_SECONDS = 60.0


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """Start an entry and a sidecar, send a request and stop them."""

    async def test_call_through_processes_and_graceful_stop(self) -> None:
        async with contextlib.AsyncExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            log = await builders.start_log(stack)
            server = standins.CountingServer(settings.Address())
            await builders.start_component(stack, server)
            entry = builders.make_entry_settings('entry-1', log.address)
            sidecar = builders.make_sidecar_settings(
                'server-1', server.address, entry.http
            )
            daemons = [
                await builders.start_daemon(
                    stack, kind, daemon_settings, folder
                )
                for kind, daemon_settings in (
                    ('entry', entry),
                    ('sidecar', sidecar),
                )
            ]
            http = await stack.enter_async_context(aiohttp.ClientSession())
            url = entry.http.format_http() + f'/services/{builders.SERVICE}/x'
            outcome = ''
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while outcome != 'answered':
                    async with http.get(url) as answer:
                        outcome = answer.headers['Chivespoke-Outcome']
            for daemon in reversed(daemons):
                self.assertEqual(0, await daemon.stop(), daemon.read_log())


if __name__ == '__main__':
    unittest.main()
