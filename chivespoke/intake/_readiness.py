"""Readiness endpoint that the balancer probes."""

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

# Time from the start of a drain until the balancer sends no new connections:
# it probes once a second and removes an entry after two failed probes.
BALANCER_NOTICE_SECONDS = 2.6
# Age of the ledger or of the operator's records above which an entry is not
# ready, because it can neither accept jobs nor deny a route. It is above the
# ages up to which the job routes decide.
READY_AGE_SECONDS = 3.0


class Readiness(application.Component, chivespoke_web.RouteProvider):
    """Answer the probes of the balancer.

    A drain makes the probes fail and asks callers to close connections, then
    waits until the balancer has removed this entry.
    """

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
            and all(
                follower.loaded and follower.measure_age() < READY_AGE_SECONDS
                for follower in (
                    coordinator.follower,
                    coordinator.operator_follower,
                )
            )
        )
