"""Provide the configuration to the owners of shards."""

import abc

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _records

# The group, and so the shard, of workers that do not name one.
DEFAULT_SHARD = 'default'


class ConfigurationSource(abc.ABC):
    """Provide the configuration in force and the time of its last read."""

    @property
    @abc.abstractmethod
    def version(self) -> identifiers.Version:
        """Return the version; 0 before the first one."""

    @property
    @abc.abstractmethod
    def document(self) -> operators.Document:
        """Return the document of this version."""

    @property
    @abc.abstractmethod
    def last_read_at(self) -> float | None:
        """Return when the last read that confirmed the version began.

        None before the first such read.
        """


class FollowedConfiguration(ConfigurationSource):
    """Provide the configuration that the process follows in the log."""

    __slots__ = ('_configuration',)

    def __init__(self, configuration: operators.Configuration) -> None:
        self._configuration = configuration

    @property
    def version(self) -> identifiers.Version:
        return self._configuration.version

    @property
    def document(self) -> operators.Document:
        return self._configuration.document

    @property
    def last_read_at(self) -> float | None:
        if not self._configuration.replica.is_ready:
            return None
        return self._configuration.follower.last_read_at


class FixedConfiguration(ConfigurationSource):
    """Provide a document that the caller sets."""

    __slots__ = ('_version', '_document', 'read_time')

    def __init__(self) -> None:
        self._version = identifiers.Version(0)
        self._document = operators.Document()
        self.read_time: float | None = None

    @property
    def version(self) -> identifiers.Version:
        return self._version

    @property
    def document(self) -> operators.Document:
        return self._document

    @property
    def last_read_at(self) -> float | None:
        return self.read_time

    def set(self, document: operators.Document) -> None:
        """Accept a document as the next version."""
        self._version = identifiers.Version(self._version + 1)
        self._document = document


def make_observation(
    version: identifiers.Version,
    document: operators.Document,
    mints_quotas: bool,
) -> _records.ConfigurationObserved:
    """Return the record that copies a version to a shard's stream."""
    quotas = {name: team.quota for name, team in document.teams.items()}
    limited_teams = tuple(
        sorted(
            name
            for name, quota in quotas.items()
            if quota != resources.NOTHING
        )
    )
    return _records.ConfigurationObserved(
        version,
        list_out_of_service(document),
        {name: quotas[name] for name in limited_teams} if mints_quotas else {},
        limited_teams,
    )


def list_out_of_service(
    document: operators.Document,
) -> tuple[identifiers.DataCentreName, ...]:
    """Return the data centres that are out of service."""
    return tuple(
        sorted(
            name
            for name, data_centre in document.data_centres.items()
            if data_centre.state is operators.ServiceState.OUT_OF_SERVICE
        )
    )


def get_quota_shard(document: operators.Document) -> str:
    """Return the shard that mints the teams' quotas."""
    minting_shards = [
        name for name, group in document.shards.items() if group.mints_quotas
    ]
    return min(minting_shards, default=DEFAULT_SHARD)
