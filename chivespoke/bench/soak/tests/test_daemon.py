"""Tests of signals to daemons that start."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from chivespoke.bench.soak import _daemon
from chivespoke.bench.soak import _world

# Within the start of a daemon, which imports modules for about 0.5 s.
EARLY_SECONDS = 0.15
START_SECONDS = 3.0


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Signal an entry before it handles signals."""

    async def test_reload_during_its_start_does_not_end_a_daemon(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            daemon = _daemon.SoakDaemon(
                'entry-0',
                'entry',
                _world.make_loopback_address(200),
                '127.0.0.1:1',
                '',
                pathlib.Path(folder),
            )
            await daemon.start()
            self.addAsyncCleanup(daemon.stop)
            await asyncio.sleep(EARLY_SECONDS)
            daemon.send(signal.SIGHUP)
            await asyncio.sleep(START_SECONDS)
            self.assertFalse(daemon.has_exited_by_itself())


if __name__ == '__main__':
    unittest.main()
