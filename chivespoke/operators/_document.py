"""Types of the configuration document."""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources


class ServiceState(enum.Enum):
    """Define whether a data centre may receive work."""

    IN_SERVICE = 'in-service'
    OUT_OF_SERVICE = 'out-of-service'


class DataCentre(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one data centre."""

    region: str
    state: ServiceState = ServiceState.IN_SERVICE
    # Seconds within which running work should have left a data centre that
    # is out of service; 0 means immediately.
    leave_within: float = 0.0
    # Set by operators when every machine there is dead, so that its tasks
    # are released without waiting for the machines.
    declared_dead: bool = False


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one latency-critical service."""

    team: identifiers.TeamName
    replicas: int = 0
    size: resources.Resources = resources.Resources(1000, 1024, 0)
    # Data centres that may run the service; empty means all.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # A change of the revision starts a rolling update of the replicas.
    revision: str = '1'
    # In milliseconds.
    latency_target: float = 50.0
    slots_per_server: int = 8


class Team(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one team and its quota across all data centres."""

    quota: resources.Resources
    # Requests per second allowed for the team's callers; 0 means no limit.
    request_rate: float = 0.0


class ShardGroup(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one worker group, scheduled by its own shard."""

    # Data centres of its workers; empty means all.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # Set for the one group whose shard issues the teams' quotas. It must not
    # move to another group while any shard holds a share of a quota.
    mints_quotas: bool = False


class Weights(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Weight the optimization objectives; only the ratios matter."""

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0
    data_centre_work: float = 1.0


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limit rates, concurrency and sizes."""

    # Tasks moved concurrently off the data centres being drained, in total.
    moves_at_once: int = 20
    # Evictions per minute that the interference guard may make on each
    # worker.
    evictions_per_minute: float = 2.0
    # Retries allowed per first attempt of a request.
    retry_budget: float = 0.1
    # Maximum size of a request or response body.
    body_bytes: int = 8 * 1024 * 1024


class Document(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Contain the whole configuration at one version."""

    data_centres: dict[identifiers.DataCentreName, DataCentre] = {}
    services: dict[identifiers.ServiceName, Service] = {}
    teams: dict[identifiers.TeamName, Team] = {}
    # Worker groups by name; each has its own shard.
    shards: dict[str, ShardGroup] = {}
    weights: Weights = Weights()
    limits: Limits = Limits()
