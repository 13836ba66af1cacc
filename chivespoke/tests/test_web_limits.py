"""Tests of the limits of HTTP servers."""

import asyncio
import unittest
from unittest import mock

from aiohttp import web

from chivespoke import addresses
from chivespoke import web as chivespoke_web
from chivespoke import web_limits

MIB = web_limits.BYTES_PER_MIB
TIMEOUT_SECONDS = 20.0
LIMITS = web_limits.ServerLimits(
    max_connections=8, max_body_bytes=MIB, memory_bytes=2 * MIB
)


class EchoRoutes(chivespoke_web.RouteProvider):
    """Answer with the size of the body."""

    def list_routes(self) -> list[web.RouteDef]:
        return [web.post('/', self._handle)]

    async def _handle(self, request: web.Request) -> web.Response:
        return web.Response(text=str(len(await request.read())))


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, limits: web_limits.ServerLimits = LIMITS) -> None:
        self.server = chivespoke_web.HttpServer(
            addresses.Address(), (EchoRoutes(),), 0.1, limits
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = self.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        # A writer that is collected closes its connection.
        self.addCleanup(lambda: writer.transport.abort())
        return reader, writer

    async def send(self, *fields: str, body: bytes = b'') -> bytes:
        """Send a request; return the answer up to the end of its head."""
        reader, writer = await self.connect()
        head = '\r\n'.join(('POST / HTTP/1.1', 'Host: x', *fields))
        writer.write(head.encode() + b'\r\n\r\n' + body)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await reader.readuntil(b'\r\n\r\n')
            if b' 200 ' in answer:
                answer += await reader.read(7)
        return answer

    async def stall(self, size: int, sent: int) -> asyncio.StreamReader:
        """Send a part of a body; return what shows the end of the client."""
        reader, writer = await self.connect()
        writer.write(
            f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}'
            '\r\n\r\n'.encode()
            + bytes(sent)
        )
        await writer.drain()
        return reader

    async def wait_until_closed(self, reader: asyncio.StreamReader) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            try:
                self.assertEqual(b'', await reader.read())
            except ConnectionResetError:
                # It had not read all.
                return

    async def test_request_inside_the_limits_is_served(self) -> None:
        await self.start()
        for chunk in (1, 100, MIB // 4):
            body = b'x' * (MIB // 4)
            framed = b''.join(
                b'%x\r\n%s\r\n' % (chunk, body[at : at + chunk])
                for at in range(0, len(body), chunk)
                if len(body) - at >= chunk
            )
            size = len(body) // chunk * chunk
            with self.subTest(chunk=chunk):
                answer = await self.send(
                    'Transfer-Encoding: chunked',
                    body=framed + b'0\r\n\r\n',
                )
                self.assertTrue(answer.endswith(str(size).encode()))
        answer = await self.send(f'Content-Length: {MIB}', body=bytes(MIB))
        self.assertTrue(answer.endswith(str(MIB).encode()))

    async def test_refusals(self) -> None:
        await self.start()
        for fields, status in (
            ((f'Content-Length: {MIB + 1}',), b'413'),
            (('Content-Encoding: gzip', 'Content-Length: 1'), b'415'),
        ):
            with self.subTest(status):
                answer = await self.send(*fields)
                self.assertIn(b' ' + status + b' ', answer)

    async def test_request_without_room_is_refused_before_it_is_handled(
        self,
    ) -> None:
        await self.start()
        with mock.patch.object(web_limits, 'YIELD_SECONDS', 1e9):
            stalled = [await self.stall(MIB, 1) for _ in range(2)]
            answer = await self.send('Content-Length: 10')
        self.assertIn(b' 503 ', answer)
        self.assertIn(b'Retry-After: 1', answer)
        for reader in stalled:
            self.assertFalse(reader.at_eof())

    async def test_stalled_request_gives_way(self) -> None:
        await self.start()
        with mock.patch.object(web_limits, 'YIELD_SECONDS', 0.0):
            first = await self.stall(MIB, 1)
            await asyncio.sleep(0.05)
            second = await self.stall(MIB, 1)
            await asyncio.sleep(0.05)
            answer = await self.send('Content-Length: 1', body=b'x')
        self.assertIn(b' 200 ', answer)
        await self.wait_until_closed(first)
        self.assertFalse(second.at_eof())

    async def test_requests_one_after_the_other_are_not_added_up(self) -> None:
        await self.start()
        reader, writer = await self.connect()
        for _ in range(6):
            writer.write(
                f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {MIB}'
                '\r\n\r\n'.encode()
                + bytes(MIB)
            )
            async with asyncio.timeout(TIMEOUT_SECONDS):
                answer = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(7)
            self.assertIn(b' 200 ', answer)

    async def test_slow_requests_are_closed(self) -> None:
        for limits in (
            web_limits.ServerLimits(stall_seconds=0.1),
            web_limits.ServerLimits(request_seconds=0.1),
        ):
            with (
                self.subTest(limits),
                mock.patch.object(web_limits, 'SWEEP_SECONDS', 0.02),
            ):
                await self.start(limits)
                idle, _ = await self.connect()
                reader = await self.stall(10, 1)
                await self.wait_until_closed(reader)
                self.assertFalse(idle.at_eof())


if __name__ == '__main__':
    unittest.main()
