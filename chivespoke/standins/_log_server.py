"""An HTTP server for the in-memory log."""

from aiohttp import web
import msgspec

from chivespoke import application
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import settings
from chivespoke.standins import _log

# Maximum size of an append request, in bytes.
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
FAULTS_DECODER = msgspec.json.Decoder(_log.LogFaults)


class LogServer(application.Component):
    """Serve a MemoryLog, and set its injected faults through /faults."""

    __slots__ = ('log', 'address', '_runner')

    def __init__(self, log: _log.MemoryLog, address: settings.Address) -> None:
        self.log = log
        # Holds the bound port once started.
        self.address = address
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        server = web.Application(client_max_size=MAX_PAYLOAD_BYTES)
        server.add_routes(
            (
                web.post('/streams/{stream}', self._append),
                web.get('/streams/{stream}', self._read),
                web.put('/faults', self._set_faults),
            )
        )
        runner = web.AppRunner(server, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        site = web.TCPSite(runner, self.address.host, self.address.port)
        await site.start()
        self._runner = runner
        host, port = runner.addresses[0][:2]
        self.address = settings.Address(host=host, port=port)

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _append(self, request: web.Request) -> web.Response:
        payload = await request.read()
        try:
            offset = await self.log.append(
                request.match_info['stream'], payload
            )
        except errors.RefusedError as error:
            return web.Response(status=409, text=str(error))
        except errors.UnavailableError as error:
            return web.Response(status=503, text=str(error))
        return web.json_response(offset)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self.log.read(
                request.match_info['stream'],
                identifiers.Offset(int(query.get('start', '0'))),
                int(query.get('limit', '512')),
                float(query.get('wait', '0')),
            )
        except errors.UnavailableError as error:
            return web.Response(status=503, text=str(error))
        return web.Response(body=msgspec.msgpack.encode(page))

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = FAULTS_DECODER.decode(await request.read())
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        self.log.faults = faults
        return web.json_response(msgspec.to_builtins(faults))
