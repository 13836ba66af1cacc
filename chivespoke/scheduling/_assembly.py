"""Assemble the components of scheduling."""

import collections.abc
import random

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke.scheduling import _api
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _crash_planner
from chivespoke.scheduling import _drain
from chivespoke.scheduling import _feasibility
from chivespoke.scheduling import _naive_planners
from chivespoke.scheduling import _owner
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _preemption
from chivespoke.scheduling import _quarantine
from chivespoke.scheduling import _routes
from chivespoke.scheduling import _services
from chivespoke.scheduling import _state
from chivespoke.scheduling import _stream
from chivespoke.scheduling import _transfers
from chivespoke import workers

SEED_BITS = 64


def make_planners(
    stream: _stream.ShardStream, peers: _transfers.ListPeers
) -> tuple[_planner.Planner, ...]:
    """Return the planners of one shard, in the order in which they run."""
    return (
        _feasibility.FeasibilityPlanner(),
        _quarantine.QuarantinePlanner(),
        _crash_planner.CrashPlanner(),
        _services.ServicePlanner(),
        _drain.DrainPlanner(),
        _preemption.PreemptionPlanner(),
        _transfers.QuotaPlanner(stream.propose),
        _transfers.BalancePlanner(peers),
        _transfers.TransferPlanner(stream.propose),
    )


def make_naive_planners(
    stream: _stream.ShardStream, peers: _transfers.ListPeers
) -> tuple[_planner.Planner, ...]:
    """Return planners that stop all tasks in a data centre taken out at once.

    Benchmarks compare them with those of make_planners.
    """
    del peers
    return (
        _feasibility.FeasibilityPlanner(),
        _crash_planner.CrashPlanner(),
        _naive_planners.ImmediateRetirementPlanner(),
        _naive_planners.ImmediateEvictionPlanner(),
        _transfers.QuotaPlanner(stream.propose),
        _transfers.TransferPlanner(stream.propose),
    )


PlannerFactory = collections.abc.Callable[
    [_stream.ShardStream, _transfers.ListPeers], tuple[_planner.Planner, ...]
]


class Scheduling(application.Component):
    """Follow shards and own those without a live owner elsewhere."""

    __slots__ = (
        'api',
        'routes',
        'followers',
        '_components',
        '_application',
    )

    def __init__(
        self,
        name: str,
        shards: collections.abc.Sequence[str],
        log: replication.Log,
        committer: replication.GroupCommitter,
        configuration: _configuration.ConfigurationSource,
        clock: clocks.Clock,
        policies: _owner.OwnerPolicies | None = None,
        connector: workers.WorkerConnector | None = None,
        incarnation: identifiers.Incarnation | None = None,
        relay: replication.Relay | None = None,
        retention: float | None = None,
        plan: PlannerFactory = make_planners,
        seed: int | None = None,
    ) -> None:
        # The name survives restarts; the incarnation is new in each process.
        own_incarnation = incarnation or identifiers.make_incarnation()
        identity = identifiers.Incarnation(f'{name}:{own_incarnation}')
        worker_connector = connector or workers.HttpWorkerConnector()
        names = tuple(shards) or (_configuration.DEFAULT_SHARD,)
        jitter = random.Random(seed)
        streams = [
            _stream.ShardStream(
                shard, log, committer, clock, relay, _draw_seed(jitter)
            )
            for shard in names
        ]

        def list_peers() -> dict[str, _state.Shard]:
            return {stream.name: stream.fold.shard for stream in streams}

        owners = [
            _owner.ShardOwner(
                identity,
                stream,
                configuration,
                worker_connector,
                clock,
                policies,
                plan(stream, list_peers),
            )
            for stream in streams
        ]
        self.api = _api.SchedulingApi(configuration, owners)
        self.routes = _routes.SchedulingRoutes(self.api)
        self.followers = tuple(stream.follower for stream in streams)
        snapshotters: tuple[application.Component, ...] = ()
        if retention is not None:
            snapshotters = tuple(
                replication.Snapshotter(
                    follower,
                    committer,
                    clock,
                    retention,
                    seed=_draw_seed(jitter),
                )
                for follower in self.followers
            )
        self._components: tuple[application.Component, ...] = (
            worker_connector,
            *streams,
            *owners,
            *snapshotters,
        )
        self._application = application.Application(self._components)

    async def start(self) -> None:
        await self._application.start()

    async def drain(self) -> None:
        for component in reversed(self._components):
            await component.drain()

    async def stop(self) -> None:
        await self._application.stop()


def _draw_seed(jitter: random.Random) -> int:
    return jitter.getrandbits(SEED_BITS)
