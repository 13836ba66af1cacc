"""Where the worker of this machine registers."""

import abc
import collections.abc

from aiohttp import web

from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import web as chivespoke_web

LOGGER = logs.make_logger('registration')

OK = 200
BAD_REQUEST = 400


class RegistrationListener(abc.ABC):
    """Hear of the lives of this machine's worker."""

    @abc.abstractmethod
    def handle_registration(self, found: platform.Registration) -> None:
        """Hear of a worker, its state, or a new life."""

    @abc.abstractmethod
    def handle_deregistration(self, identifier: str) -> None:
        """Hear that a worker is about to end."""


class RegistrationHandler(chivespoke_web.RouteProvider):
    """Answer the reports of the worker beside this sidecar."""

    __slots__ = ('_watcher', '_newest')

    def __init__(self, watcher: RegistrationListener) -> None:
        self._watcher = watcher
        self._newest: platform.Registration | None = None

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.put(platform.REGISTRATION_PATH, self._answer_report),
            web.delete(platform.REGISTRATION_PATH, self._answer_departure),
        )

    async def _answer_report(self, request: web.Request) -> web.Response:
        identifier = request.match_info['identifier']
        try:
            found = platform.decode_registration(
                identifier, await request.read()
            )
        except errors.RefusedError as error:
            LOGGER.warning('A report of a worker is unreadable.', error=error)
            return web.Response(status=BAD_REQUEST)
        if self._is_newer(found):
            self._newest = found
            self._watcher.handle_registration(found)
        return web.Response(status=OK, body=b'{}')

    def _is_newer(self, found: platform.Registration) -> bool:
        # A delayed report of an earlier life may come after a later one's.
        newest = self._newest
        if newest is None:
            return True
        return (found.born_ms, found.sequence) > (
            newest.born_ms,
            newest.sequence,
        )

    async def _answer_departure(self, request: web.Request) -> web.Response:
        self._watcher.handle_deregistration(request.match_info['identifier'])
        return web.Response(status=OK, body=b'{}')
