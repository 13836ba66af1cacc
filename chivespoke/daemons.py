"""Applications of an entry and of a sidecar, composed of their parts."""

import typing

from chivespoke import application
from chivespoke import backend_servers
from chivespoke import callers
from chivespoke import clock
from chivespoke import control
from chivespoke import entries
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication
from chivespoke import scheduling
from chivespoke.scheduling import policies
from chivespoke import settings
from chivespoke import telemetry
from chivespoke import web
from chivespoke import web_limits

# Time between the first failing health check and the first refused request.
BALANCER_NOTICE_SECONDS = 1.0
DEFAULT_RETRY_BUDGET_SHARE = 0.1

Part = application.Component | web.RouteProvider


def make_limits(
    configured: settings.Settings,
) -> web_limits.ServerLimits:
    """Return the limits of a daemon's HTTP server."""
    return web_limits.ServerLimits(
        max_connections=configured.max_connections,
        max_body_bytes=configured.body_memory,
        memory_bytes=configured.body_memory,
    )


class EntryContext:
    """Hold the shared objects on which the parts of an entry build."""

    __slots__ = (
        'settings',
        'identity',
        'handlers',
        'directory',
        'registry',
        'gateway',
        'telemetry',
        'clock',
        'messages',
        'control',
        'scheduling',
        'homes',
    )

    def __init__(
        self,
        entry: settings.EntrySettings,
        time: clock.Clock,
        policy: backend_servers.RoutingPolicy | None = None,
        home_limits: backend_servers.HomeLimits | None = None,
    ) -> None:
        self.settings = entry
        self.clock = time
        self.identity = entries.Identity(
            entry.name, identifiers.make_incarnation(), entry.data_centre
        )
        self.telemetry = telemetry.Telemetry()
        self.handlers = entries.Handlers()
        self.directory = entries.EntryDirectory(time)
        self.messages = entries.MessageServer(
            entry.messages,
            entry.heartbeat_limit,
            self.identity,
            self.handlers,
            self.telemetry,
            time,
        )
        self.control = control.Control(
            entry,
            self.identity,
            self.messages,
            self.handlers,
            self.directory,
            self.telemetry,
            time,
        )
        self.scheduling = _make_scheduling(self)
        self.registry = backend_servers.Registry(
            self.handlers, self.directory, self.telemetry, time
        )
        self.registry.ejection_enabled = entry.routing == 'choice-of-two'
        self.homes = backend_servers.HomeManager(
            backend_servers.HomeStreams(
                self.control.log,
                self.control.committer,
                time,
                entry.platform_log_retention,
                entries.NeighbourRelay(self.control.links),
                self.control.request_handler.add_follower,
            ),
            self.registry,
            self.handlers,
            time,
            home_limits or backend_servers.HomeLimits(),
        )
        self.gateway = self._make_gateway(
            policy or backend_servers.make_policy(entry.routing, time)
        )

    def _make_gateway(
        self, policy: backend_servers.RoutingPolicy
    ) -> callers.Gateway:
        attempts = callers.AttemptRunner(self.registry, self.clock)
        budget = callers.RetryBudget(DEFAULT_RETRY_BUDGET_SHARE)
        limits = callers.RequestLimits(
            self.clock, lambda: len(self.directory.list_entries())
        )
        gateway = callers.Gateway(
            callers.Dispatcher(
                attempts,
                self.registry,
                policy,
                budget,
                self.telemetry,
                self.clock,
            ),
            callers.KeyedDispatcher(
                attempts, self.homes, self.registry, self.clock
            ),
            limits,
            self.registry.crash_history,
            self.telemetry,
            self.clock,
        )

        def apply(document: operators.Document) -> None:
            gateway.max_body_bytes = document.limits.body_bytes
            budget.share = document.limits.retry_budget
            for team, found in document.teams.items():
                limits.set_rate(team, found.request_rate)

        self.control.configuration.add_listener(apply)
        return gateway


def _make_scheduling(context: EntryContext) -> scheduling.Scheduling:
    control = context.control
    entry = context.settings
    configuration = scheduling.FollowedConfiguration(control.configuration)
    parts = scheduling.Scheduling(
        entry.name,
        entry.shards,
        control.log,
        control.committer,
        configuration,
        context.clock,
        policies.make_owner_policies(configuration, context.clock),
        incarnation=context.identity.incarnation,
        relay=entries.NeighbourRelay(control.links),
        retention=entry.platform_log_retention,
    )
    for follower in parts.followers:
        control.request_handler.add_follower(follower)
    control.routes.add_explainer(scheduling.SchedulingExplainer(parts.api))
    control.status.add_contributor(scheduling.SchedulingStatus(parts.api))
    return parts


class _OwnAddressPublisher(application.Component):
    """Register the entry's own address in its directory."""

    __slots__ = ('_context',)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def start(self) -> None:
        context = self._context
        context.directory.set_own_address(
            entries.EntryAddress(
                context.identity.name,
                context.identity.incarnation,
                context.identity.data_centre,
                context.messages.endpoint,
            )
        )

    async def stop(self) -> None:
        return None


class Entry(application.Application):
    """Run the process that serves callers, operators and sidecars."""

    __slots__ = ('context', 'http')

    def __init__(
        self,
        entry: settings.EntrySettings,
        time: clock.Clock,
        policy: backend_servers.RoutingPolicy | None = None,
        balancer_notice_seconds: float = BALANCER_NOTICE_SECONDS,
        home_limits: backend_servers.HomeLimits | None = None,
    ) -> None:
        self.context = EntryContext(entry, time, policy, home_limits)
        context = self.context
        followers: tuple[replication.Follower[typing.Any], ...] = (
            context.control.configuration.follower,
            *context.scheduling.followers,
        )
        health = web.Health(
            balancer_notice_seconds,
            lambda: all(follower.has_tried_to_load for follower in followers),
        )
        parts: list[Part] = [context.telemetry, context.directory]
        parts += [
            context.messages,
            _OwnAddressPublisher(context),
            context.registry,
        ]
        parts += context.control.list_parts()
        parts += [context.scheduling, context.scheduling.routes]
        parts += [context.homes]
        parts += [context.gateway, health]
        self.http = web.HttpServer(
            entry.http,
            [part for part in parts if isinstance(part, web.RouteProvider)],
            limits=make_limits(entry),
        )
        parts.insert(-1, self.http)
        super().__init__(
            part for part in parts if isinstance(part, application.Component)
        )


class Sidecar(application.Application):
    """Run the process that accompanies a backend server."""

    __slots__ = ('identity', 'telemetry', 'executor', 'http', 'versions')

    def __init__(
        self,
        sidecar: settings.SidecarSettings,
        time: clock.Clock,
    ) -> None:
        self.identity = entries.Identity(
            sidecar.name, identifiers.make_incarnation(), sidecar.data_centre
        )
        self.telemetry = telemetry.Telemetry()
        handlers = entries.Handlers()
        self.versions = entries.VersionHolder(sidecar.data_centre, handlers)
        backend_server = backend_servers.HttpBackendServer(
            sidecar.backend_server, sidecar.connections
        )
        self.executor = backend_servers.Executor(
            backend_server,
            backend_servers.Slots(sidecar.slots, sidecar.queue_limit),
            backend_servers.KeyTable(),
            handlers,
            self.telemetry,
            time,
        )
        announcer = backend_servers.Announcer(
            sidecar,
            self.identity,
            handlers,
            backend_server,
            self.executor,
            self.telemetry,
            time,
        )
        health = web.Health(0.0)
        self.http = web.HttpServer(
            sidecar.http,
            (self.telemetry, health),
            limits=make_limits(sidecar),
        )
        # Components drain in reverse order: announce to the entries that
        # the server leaves, finish running requests, then hand over results.
        departure = backend_servers.KeyHandover(announcer)
        super().__init__(
            (
                *(backend_server, self.http, departure),
                *(self.executor, announcer, health),
            )
        )
