"""Explanations of the state of services, teams, data centres and others."""

import abc
import collections.abc
import typing

import msgspec

from chivespoke import identifiers
from chivespoke.operators import _configuration
from chivespoke.operators import _document
from chivespoke.operators import _fold


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Explain one object: its state, causes and what would change it.

    The text should fit on one screen.
    """

    kind: str
    name: str
    # One sentence.
    what: str
    why: tuple[str, ...] = ()
    since_version: identifiers.Version | None = None
    would_change: tuple[str, ...] = ()
    details: dict[str, str] = {}


class Explainer(abc.ABC):
    """Explain objects of certain kinds."""

    @property
    @abc.abstractmethod
    def kinds(self) -> frozenset[str]:
        """Return the supported kinds, such as service, task, job or worker."""

    @abc.abstractmethod
    def explain(self, kind: str, name: str) -> Explanation | None:
        """Return the explanation, None if there is no such object."""

    def list_names(self, kind: str) -> collections.abc.Iterable[str]:
        """Return the names of known objects, for suggestions."""
        return ()


class ConfigurationExplainer(Explainer):
    """Explain services, teams and data centres from the configuration."""

    __slots__ = ('_configuration',)

    def __init__(self, configuration: _configuration.Configuration) -> None:
        self._configuration = configuration

    @property
    def kinds(self) -> frozenset[str]:
        return frozenset(('service', 'team', 'data-centre'))

    def list_names(self, kind: str) -> collections.abc.Iterable[str]:
        return self._get_section(kind)

    def explain(self, kind: str, name: str) -> Explanation | None:
        entry = self._get_section(kind).get(name)
        if entry is None:
            return None
        section = kind.replace('-', '_') + 's'
        last_change = _find_last_change(
            self._configuration.fold, f'/{section}/{name}'
        )
        what, why, would_change = _describe(
            self._configuration.document, kind, name
        )
        if last_change is not None:
            why += (
                f'set by {last_change.author} '
                f'in version {last_change.version}',
            )
        return Explanation(
            kind=kind,
            name=name,
            what=what,
            why=why,
            since_version=last_change.version
            if last_change is not None
            else None,
            would_change=would_change,
            details={
                key: str(value)
                for key, value in msgspec.to_builtins(entry).items()
            },
        )

    def _get_section(
        self, kind: str
    ) -> collections.abc.Mapping[str, typing.Any]:
        document = self._configuration.document
        sections: dict[str, collections.abc.Mapping[typing.Any, typing.Any]]
        sections = {
            'service': document.services,
            'team': document.teams,
            'data-centre': document.data_centres,
        }
        return sections.get(kind, {})


def _find_last_change(
    fold: _fold.ConfigurationFold, path: str
) -> _fold.Change | None:
    for accepted in reversed(fold.history):
        change = accepted.describe()
        for changed_path in change.paths:
            if (changed_path + '/').startswith(path + '/') or (
                path + '/'
            ).startswith(changed_path + '/'):
                return change
    return None


def _describe(
    document: _document.Document, kind: str, name: str
) -> tuple[str, tuple[str, ...], tuple[str, ...]]:
    if kind == 'service':
        service = document.services[identifiers.ServiceName(name)]
        return _describe_service(document, name, service)
    if kind == 'team':
        service_names = [
            service
            for service, declared in document.services.items()
            if declared.team == name
        ]
        return (
            f'a team that owns {len(service_names)} services',
            (f'services: {", ".join(sorted(service_names)) or "none"}',),
            (f'patch /teams/{name}/quota',),
        )
    data_centre = document.data_centres[identifiers.DataCentreName(name)]
    state = data_centre.state.value
    why = () if not data_centre.declared_dead else ('declared dead',)
    return (
        f'a data centre of region {data_centre.region}, {state}',
        why,
        (f'patch /data_centres/{name}/state',),
    )


def _describe_service(
    document: _document.Document, name: str, service: _document.Service
) -> tuple[str, tuple[str, ...], tuple[str, ...]]:
    allowed = service.data_centres or tuple(document.data_centres)
    out_of_service = [
        data_centre_name
        for data_centre_name in allowed
        if document.data_centres[data_centre_name].state
        is _document.ServiceState.OUT_OF_SERVICE
    ]
    why = [f'may run in {", ".join(allowed) or "no data centre"}']
    if out_of_service:
        why.append(f'out of service now: {", ".join(out_of_service)}')
    would_change = [f'patch /services/{name}/replicas']
    if out_of_service and len(out_of_service) == len(allowed):
        would_change.append(f'take {out_of_service[0]} back into service')
    return (
        f'a service of team {service.team}, {service.replicas} replicas',
        tuple(why),
        tuple(would_change),
    )
