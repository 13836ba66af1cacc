"""Telling the balancer whether this entry should get connections."""

import collections.abc

from aiohttp import web

from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke.intake import _job_routes
from chivespoke import logs
from chivespoke import platform
from chivespoke import web as chivespoke_web

LOGGER = logs.make_logger('readiness')

# The balancer asks once a second and believes the second miss; then no new
# connections come. In seconds.
BALANCER_NOTICE_SECONDS = 2.6
# An entry that cannot reach the store for so long takes in no jobs, in
# seconds: above the age up to which answers count as fresh.
READY_LEDGER_AGE_SECONDS = 3.0


class Readiness(application.Component, chivespoke_web.RouteProvider):
    """Answer the balancer; on drain fail first and let connections go."""

    __slots__ = ('_coordinator', '_job_routes', '_clock')

    def __init__(
        self,
        coordinator: coordination.Coordinator,
        job_routes: _job_routes.JobRoutes,
        time: clock.Clock,
    ) -> None:
        self._coordinator = coordinator
        self._job_routes = job_routes
        self._clock = time

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get(platform.READINESS_PATH, self._handle),)

    async def start(self) -> None:
        return None

    async def drain(self) -> None:
        self._job_routes.closing = True
        await self._clock.sleep(BALANCER_NOTICE_SECONDS)

    async def stop(self) -> None:
        return None

    async def _handle(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    def _is_ready(self) -> bool:
        coordinator = self._coordinator
        return (
            not self._job_routes.closing
            and coordinator.operator.configuration is not None
            and coordinator.follower.loaded
            and coordinator.follower.measure_age() < READY_LEDGER_AGE_SECONDS
        )
