"""Composition of an entry's log client, configuration and membership."""

import collections.abc

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import entries
from chivespoke import operators
from chivespoke import replication
from chivespoke import settings
from chivespoke import telemetry
from chivespoke import web


class Control:
    """Own an entry's log client, committer, configuration and membership."""

    __slots__ = (
        'log',
        'committer',
        'configuration',
        'links',
        'request_handler',
        'membership',
        'routes',
        'status',
        '_versions',
        '_snapshotters',
    )

    def __init__(
        self,
        entry: settings.EntrySettings,
        identity: entries.Identity,
        server: entries.MessageServer,
        handlers: entries.Handlers,
        directory: entries.EntryDirectory,
        instruments: telemetry.Telemetry,
        clock: clocks.Clock,
    ) -> None:
        self.log = replication.HttpLog(entry.platform_log.format_http())
        self.committer = replication.GroupCommitter(
            self.log, clock, identity.incarnation
        )
        self.links = entries.Links(identity, instruments, clock)
        self.configuration = operators.Configuration(
            self.log, self.committer, clock, entries.NeighbourRelay(self.links)
        )
        self._versions = entries.SidecarVersionTracker(
            identity, self.configuration, server, handlers, clock
        )
        self.request_handler = entries.PeerRequestHandler(
            handlers, (self._versions,)
        )
        self.membership = entries.Membership(
            self.log,
            self.committer,
            clock,
            self.links,
            directory,
            handlers,
            lambda: entries.EntryAddress(
                identity.name,
                identity.incarnation,
                identity.data_centre,
                server.endpoint,
            ),
            entry.heartbeat_interval,
            entry.heartbeat_limit,
        )
        followers = (self.configuration.follower, self.membership.follower)
        for follower in followers:
            self.request_handler.add_follower(follower)
        self._snapshotters = tuple(
            replication.Snapshotter(
                follower, self.committer, clock, entry.platform_log_retention
            )
            for follower in followers
        )
        self.status = operators.StatusBuilder(
            identity.name, self.configuration
        )
        self.routes = operators.OperatorRoutes(
            self.configuration,
            clock,
            entries.MemberReportCollector(
                self.membership, self.links, self.request_handler
            ),
            self.status,
        )
        _add_gauges(instruments, self.configuration)

    def list_parts(
        self,
    ) -> collections.abc.Sequence[application.Component | web.RouteProvider]:
        """Return the parts in start order."""
        return (
            self.log,
            self.committer,
            self.links,
            self.configuration,
            self.membership,
            *self._snapshotters,
            self._versions,
            self.routes,
        )


def _add_gauges(
    instruments: telemetry.Telemetry, configuration: operators.Configuration
) -> None:
    gauges: dict[str, collections.abc.Callable[[], float]] = {
        'version': lambda: configuration.version,
        'proof_age': configuration.follower.measure_read_age,
        'recent': lambda: float(configuration.is_recent()),
        'stands_still': lambda: float(configuration.replica.fault is not None),
        'divergent': lambda: float(
            configuration.replica.divergence is not None
        ),
    }
    for name, measure in gauges.items():
        instruments.add_gauge(
            f'chivespoke_configuration_{name}',
            f'Configuration of this process: {name}',
            measure,
        )
