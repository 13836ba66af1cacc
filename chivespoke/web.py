"""What parts of a process that answer HTTP have in common."""

import abc
import collections.abc

from aiohttp import web


class RouteProvider(abc.ABC):
    """Contribute routes to the HTTP server of a process."""

    @abc.abstractmethod
    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        """Return the routes; called once, before the server starts."""
