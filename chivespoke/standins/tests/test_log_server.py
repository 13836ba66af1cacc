"""Tests of the in-memory log over HTTP, through the production client."""

import unittest

import aiohttp

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import settings
from chivespoke import standins

START = identifiers.Offset(0)


class LogServerTest(unittest.IsolatedAsyncioTestCase):
    """Append, read and inject faults over loopback."""

    async def asyncSetUp(self) -> None:
        memory = standins.MemoryLog(clocks.SystemClock())
        self.server = standins.LogServer(memory, settings.Address())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.log = replication.HttpLog(self.server.address.format_http())
        await self.log.start()
        self.addAsyncCleanup(self.log.stop)

    async def set_faults(self, **faults: bool | int) -> int:
        url = self.server.address.format_http() + '/faults'
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, json=faults) as response,
        ):
            return response.status

    async def test_appends_are_read_back(self) -> None:
        self.assertEqual(0, await self.log.append('s', b'one'))
        self.assertEqual(1, await self.log.append('s', b'two'))
        page = await self.log.read('s', START, 10, 0)
        self.assertEqual(
            [b'one', b'two'], [record.payload for record in page.records]
        )
        self.assertEqual((0, 2), (page.earliest, page.end))

    async def test_injected_faults(self) -> None:
        self.assertEqual(400, await self.set_faults(unknown=True))
        await self.set_faults(append_down=True, read_down=True)
        with self.assertRaises(errors.RefusedError):
            await self.log.append('s', b'one')
        with self.assertRaises(errors.UnavailableError):
            await self.log.read('s', START, 10, 0)
        await self.set_faults(lost_answers=1)
        with self.assertRaises(errors.UnavailableError):
            await self.log.append('s', b'one')
        page = await self.log.read('s', START, 10, 0)
        self.assertEqual(1, page.end)


if __name__ == '__main__':
    unittest.main()
