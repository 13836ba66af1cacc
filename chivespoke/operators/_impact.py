"""Estimates of the impact of a patch, for dry runs."""

import abc
import collections.abc

import msgspec

from chivespoke import identifiers
from chivespoke.operators import _document
from chivespoke import resources


class Impact(msgspec.Struct, frozen=True, kw_only=True):
    """List what would be stopped, moved or become impossible to place."""

    stopped: tuple[str, ...] = ()
    moved: tuple[str, ...] = ()
    impossible: tuple[str, ...] = ()


class ImpactEstimator(abc.ABC):
    """Estimate the impact of a change of the document."""

    @abc.abstractmethod
    def estimate(
        self, before: _document.Document, after: _document.Document
    ) -> Impact:
        """Return the estimated impact, without side effects."""


class DeclaredImpactEstimator(ImpactEstimator):
    """Estimate from the two documents only, not from running tasks."""

    __slots__ = ()

    def estimate(
        self, before: _document.Document, after: _document.Document
    ) -> Impact:
        return Impact(
            stopped=tuple(_list_stopped(before, after)),
            moved=tuple(_list_moved(before, after)),
            impossible=tuple(_list_impossible(after)),
        )


def merge_impacts(impacts: collections.abc.Iterable[Impact]) -> Impact:
    """Combine the results of several estimators."""
    collected = tuple(impacts)
    return Impact(
        stopped=tuple(line for each in collected for line in each.stopped),
        moved=tuple(line for each in collected for line in each.moved),
        impossible=tuple(
            line for each in collected for line in each.impossible
        ),
    )


def _list_stopped(
    before: _document.Document, after: _document.Document
) -> collections.abc.Iterator[str]:
    for name, service in before.services.items():
        new = after.services.get(name)
        if new is None:
            yield f'service {name}: all {service.replicas} replicas'
        elif new.replicas < service.replicas:
            removed_replicas = service.replicas - new.replicas
            yield (
                f'service {name}: {removed_replicas} of '
                f'{service.replicas} replicas'
            )


def _list_moved(
    before: _document.Document, after: _document.Document
) -> collections.abc.Iterator[str]:
    in_service = _document.ServiceState.IN_SERVICE
    for data_centre_name, data_centre in before.data_centres.items():
        new = after.data_centres.get(data_centre_name)
        if data_centre.state is not in_service:
            continue
        if new is None or new.state is not in_service:
            yield f'data centre {data_centre_name}: everything that runs there'
    for name, service in before.services.items():
        changed = after.services.get(name)
        if changed is None:
            continue
        removed_data_centres = set(
            _list_allowed_data_centres(before, service)
        ) - set(_list_allowed_data_centres(after, changed))
        for removed_name in sorted(removed_data_centres):
            yield f'service {name}: its replicas in {removed_name}'
        if changed.revision != service.revision:
            yield f'service {name}: all replicas, one by one, new revision'


def _list_impossible(
    after: _document.Document,
) -> collections.abc.Iterator[str]:
    demand: dict[str, resources.Resources] = {}
    for name, service in after.services.items():
        if service.replicas and not _list_allowed_data_centres(after, service):
            yield f'service {name}: no data centre in service may run it'
        total = demand.get(service.team, resources.NOTHING)
        size = service.size
        demand[service.team] = total + resources.Resources(
            size.millicores * service.replicas,
            size.memory_mib * service.replicas,
            size.accelerators * service.replicas,
        )
    for team, total in demand.items():
        quota = after.teams[identifiers.TeamName(team)].quota
        if not total.fits_within(quota):
            yield f'team {team}: its services need more than its quota'


def _list_allowed_data_centres(
    document: _document.Document, service: _document.Service
) -> list[str]:
    return [
        name
        for name, data_centre in document.data_centres.items()
        if data_centre.state is _document.ServiceState.IN_SERVICE
        and (not service.data_centres or name in service.data_centres)
    ]
