"""The HTTP endpoint at which the worker of this machine registers."""

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
# Number of incarnations whose sequence numbers are remembered.
MAX_INCARNATIONS = 16


class RegistrationListener(abc.ABC):
    """Receive the registrations of this machine's worker."""

    @abc.abstractmethod
    def handle_registration(self, registration: platform.Registration) -> None:
        """Handle a registration: a new incarnation or a changed state."""

    @abc.abstractmethod
    def handle_deregistration(self, identifier: str) -> None:
        """Handle the deregistration of a worker that is about to exit."""


class RegistrationRoutes(chivespoke_web.RouteProvider):
    """Serve the registration requests of the worker beside this sidecar."""

    __slots__ = ('_listener', '_sequences')

    def __init__(self, listener: RegistrationListener) -> None:
        self._listener = listener
        # Latest sequence number of each incarnation, by identifier and start.
        self._sequences: dict[tuple[str, int], int] = {}

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (
            web.put(platform.REGISTRATION_PATH, self._handle_registration),
            web.delete(
                platform.REGISTRATION_PATH, self._handle_deregistration
            ),
        )

    async def _handle_registration(self, request: web.Request) -> web.Response:
        identifier = request.match_info['identifier']
        try:
            registration = platform.decode_registration(
                identifier, await request.read()
            )
        except errors.RefusedError as error:
            LOGGER.warning('A registration cannot be decoded.', error=error)
            return web.Response(status=BAD_REQUEST)
        if self._is_newer(registration):
            self._listener.handle_registration(registration)
        return web.Response(status=OK, body=b'{}')

    def _is_newer(self, registration: platform.Registration) -> bool:
        """Return whether a registration is the latest of its incarnation."""
        incarnation = (registration.identifier, registration.born_ms)
        sequence = self._sequences.pop(incarnation, None)
        if sequence is not None and sequence >= registration.sequence:
            self._sequences[incarnation] = sequence
            return False
        self._sequences[incarnation] = registration.sequence
        if len(self._sequences) > MAX_INCARNATIONS:
            del self._sequences[next(iter(self._sequences))]
        return True

    async def _handle_deregistration(
        self, request: web.Request
    ) -> web.Response:
        self._listener.handle_deregistration(request.match_info['identifier'])
        return web.Response(status=OK, body=b'{}')
