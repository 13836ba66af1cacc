"""Handing of requests to other entries that the store serves."""

from aiohttp import web

from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke.intake import _responses
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('relay')

# Connections to one neighbour. Requests are handed over only while the store
# turns this entry away.
NEIGHBOUR_CONNECTIONS = 4
# A neighbour answers a little before this time, or before the caller's.
NEIGHBOUR_TIMEOUT_SECONDS = 1.3
DEPARTURE_TIMEOUT_SECONDS = 0.5
# Statuses that are told from the routes and limits of a configuration.
_DENIALS = frozenset(
    (
        _responses.Outcome.UNKNOWN_QUEUE.value,
        _responses.Outcome.TOO_LARGE.value,
    )
)


class Relay(application.Component):
    """Announce this entry and hand requests to its neighbours.

    A request is handed over once: a neighbour that cannot serve it refuses it.
    """

    __slots__ = (
        '_newest_named_version',
        '_name',
        '_address',
        '_coordinator',
        '_store',
        '_clock',
        '_selector',
        '_transports',
        '_tasks',
    )

    def __init__(
        self,
        name: str,
        address: str,
        coordinator: coordination.Coordinator,
        store: platform.Store,
        time: clock.Clock,
    ) -> None:
        # Newest version of the configuration that a neighbour has answered
        # from.
        self._newest_named_version = 0
        self._name = name
        self._address = address
        self._coordinator = coordinator
        self._store = store
        self._clock = time
        self._selector = decisions.NeighbourSelector()
        # By address.
        self._transports: dict[str, platform.Transport] = {}
        self._tasks = application.TaskOwner()

    @property
    def newest_version(self) -> int:
        """Return the newest version known here or named by a neighbour."""
        configuration = self._coordinator.operator.configuration
        if configuration is None:
            return self._newest_named_version
        return max(configuration.version, self._newest_named_version)

    async def start(self) -> None:
        record = coordination.encode_entry_address(self._name, self._address)
        self._tasks.spawn(
            coordination.announce_address(
                self._store, self._clock, record, self._address
            )
        )

    async def drain(self) -> None:
        await self._tasks.cancel()
        try:
            await self._store.append(
                coordination.SYSTEM_TOPIC,
                coordination.encode_entry_departure(self._name),
                timeout_seconds=DEPARTURE_TIMEOUT_SECONDS,
            )
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'The departure could not be announced; neighbours will find '
                'this entry silent.',
                error=error,
            )

    async def stop(self) -> None:
        await self._tasks.cancel()
        for transport in self._transports.values():
            await transport.stop()

    async def forward(
        self, request: web.Request, limit: float
    ) -> web.Response | None:
        """Hand a request to a neighbour; return its response.

        The limit is the monotonic time by which the answer must leave. Returns
        None if no neighbour has taken the request, which then has had
        no effect. A response that is lost is reported as uncertain.
        """
        ledger = self._coordinator.ledger
        addresses = {
            name: address
            for name, address in ledger.entry_addresses.items()
            if name != self._name
        }
        selected = self._selector.select(
            addresses, self._clock.read_monotonic()
        )
        for name in selected:
            wait_seconds = min(
                NEIGHBOUR_TIMEOUT_SECONDS,
                limit - self._clock.read_monotonic(),
            )
            if wait_seconds <= decisions.ANSWER_MARGIN_SECONDS:
                return None
            response = await self._try_neighbour(
                name, addresses[name], request, wait_seconds
            )
            if response is not None:
                return response
        if selected:
            self._selector.record_exhausted(self._clock.read_monotonic())
        return None

    async def _try_neighbour(
        self,
        name: str,
        address: str,
        request: web.Request,
        wait_seconds: float,
    ) -> web.Response | None:
        try:
            transport = await self._find_transport(address)
            answer = await transport.call(
                'hand over a request',
                request.method,
                request.path_qs,
                await request.read(),
                wait_seconds,
                {
                    'Host': request.host,
                    **platform.encode_caller_wait(wait_seconds),
                    **platform.encode_configuration_version(
                        self.newest_version
                    ),
                },
            )
        except errors.RefusedError as error:
            self._log(name, request, 0, str(error))
            self._selector.record_silent(name, self._clock.read_monotonic())
            return None
        except errors.UnavailableError as error:
            self._log(name, request, 0, str(error))
            self._selector.record_silent(name, self._clock.read_monotonic())
            # The neighbour may have stored the request before it went silent.
            return _responses.make_response(_responses.Outcome.UNCERTAIN)
        version = answer.configuration_version
        self._newest_named_version = max(self._newest_named_version, version)
        passed_on = (
            answer.status != _responses.Outcome.UNAVAILABLE.value
            and decisions.may_pass_on(
                decisions.NeighbourAnswer(
                    version, _rests_on_configuration(request, answer.status)
                ),
                self.newest_version,
            )
        )
        self._log(name, request, answer.status, '', version, passed_on)
        if not passed_on:
            self._selector.record_refused(name, self._clock.read_monotonic())
            return None
        self._selector.record_served(name)
        return _responses.copy_response(
            answer.status, answer.body, answer.retry_after_seconds
        )

    async def _find_transport(self, address: str) -> platform.Transport:
        transport = self._transports.get(address)
        if transport is None:
            transport = platform.Transport(address, NEIGHBOUR_CONNECTIONS)
            # Set before the start, during which another request may arrive.
            self._transports[address] = transport
            await transport.start()
        return transport

    def _log(
        self,
        name: str,
        request: web.Request,
        status: int,
        error: str,
        version: int = 0,
        passed_on: bool = False,
    ) -> None:
        LOGGER.info(
            'A request was handed to a neighbour.',
            neighbour=name,
            method=request.method,
            path=request.path,
            status=status,
            error=error,
            version=version,
            newest_version=self.newest_version,
            passed_on=passed_on,
        )


def _rests_on_configuration(request: web.Request, status: int) -> bool:
    """Return whether another version could have led to another answer.

    The answer to a request that has taken effect always stands.
    """
    is_count = request.method == 'GET' and not platform.names_job(request.path)
    return is_count or status in _DENIALS
