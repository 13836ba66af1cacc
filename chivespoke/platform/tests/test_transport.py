"""Tests of calls to a peer that crashes."""

import asyncio
import unittest

from chivespoke import errors
from chivespoke import platform

METHODS = ('DELETE', 'PUT', 'POST')
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class CrashingPeer:
    """Answer the first call, and stop listening under the second."""

    def __init__(self) -> None:
        self.calls = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b'\r\n\r\n'):
            self.calls += 1
            if self.calls > 1:
                break
            writer.write(RESPONSE)
        if self._server is not None:
            self._server.close()
        writer.close()


class TransportTest(unittest.IsolatedAsyncioTestCase):
    """Call a peer on a connection that was used before."""

    async def test_a_call_that_crashed_its_peer_counts_as_not_sent(
        self,
    ) -> None:
        for method in METHODS:
            with self.subTest(method=method):
                peer = CrashingPeer()
                transport = platform.Transport(await peer.start(), 1)
                await transport.start()
                self.addAsyncCleanup(transport.stop)
                await transport.call('first', method, '/')
                with self.assertRaises(errors.UnavailableError):
                    await transport.call('second', method, '/')
                self.assertEqual(2, peer.calls)


if __name__ == '__main__':
    unittest.main()
