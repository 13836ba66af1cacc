"""The configuration document that operators publish, as typed data."""

import enum

import msgspec

from chivespoke import identifiers
from chivespoke import resources


class ServiceState(enum.Enum):
    """Say whether a data centre may be given work."""

    IN_SERVICE = 'in-service'
    OUT_OF_SERVICE = 'out-of-service'


class DataCentre(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one data centre."""

    region: str
    state: ServiceState = ServiceState.IN_SERVICE
    # Seconds within which the work should have left; 0 means at once.
    leave_within: float = 0.0
    # Operators' word that every machine there is dead; frees its tasks.
    declared_dead: bool = False


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one latency-critical service."""

    team: identifiers.TeamName
    replicas: int = 0
    size: resources.Resources = resources.Resources(1000, 1024, 0)
    # Empty means everywhere.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # The revision of what runs; a change rolls the replicas.
    revision: str = '1'
    # Milliseconds.
    latency_target: float = 50.0
    slots_per_server: int = 8


class Team(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one team and its quota over all data centres."""

    quota: resources.Resources
    # Requests a second that the team's callers may send; 0 means no limit.
    request_rate: float = 0.0


class ShardGroup(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe one worker group, which a shard of its own schedules."""

    # Where its workers stand; empty means everywhere.
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    # The one group whose shard hands out the teams' quotas; it must stay
    # the same while any shard holds some.
    mints_quotas: bool = False


class Weights(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Weigh the measures against each other; only ratios matter."""

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0
    data_centre_work: float = 1.0


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bound what the system does at once."""

    # Tasks moved off leaving data centres at once, over all of them.
    moves_at_once: int = 20
    # Evictions a minute for each worker's guard.
    evictions_per_minute: float = 2.0
    # The share of retried requests over first tries.
    retry_budget: float = 0.1
    # Bytes of a request's or an answer's body.
    body_bytes: int = 8 * 1024 * 1024


class Document(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the whole configuration at one version."""

    data_centres: dict[identifiers.DataCentreName, DataCentre] = {}
    services: dict[identifiers.ServiceName, Service] = {}
    teams: dict[identifiers.TeamName, Team] = {}
    # Worker groups, each with a shard of its own.
    shards: dict[str, ShardGroup] = {}
    weights: Weights = Weights()
    limits: Limits = Limits()
