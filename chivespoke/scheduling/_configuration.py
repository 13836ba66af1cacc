"""The configuration as the owner of a shard needs it."""

import abc

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke.scheduling import _records

# The group, and shard, of workers that name none.
DEFAULT_SHARD = 'default'


class ConfigurationSource(abc.ABC):
    """Give the configuration in force and tell how old its proof is."""

    @property
    @abc.abstractmethod
    def version(self) -> identifiers.Version:
        """Return the version; 0 before the first."""

    @property
    @abc.abstractmethod
    def document(self) -> operators.Document:
        """Return the document of the version."""

    @property
    @abc.abstractmethod
    def proven_at(self) -> float | None:
        """Return the beginning of the last proving read, or None."""


class FollowedConfiguration(ConfigurationSource):
    """Give the configuration that the process follows in the log."""

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
    def proven_at(self) -> float | None:
        if not self._configuration.replica.is_ready:
            return None
        return self._configuration.follower.proven_at


class FixedConfiguration(ConfigurationSource):
    """Hold a document that tests and embedders set by hand."""

    __slots__ = ('_version', '_document', 'proof')

    def __init__(self) -> None:
        self._version = identifiers.Version(0)
        self._document = operators.Document()
        self.proof: float | None = None

    @property
    def version(self) -> identifiers.Version:
        return self._version

    @property
    def document(self) -> operators.Document:
        return self._document

    @property
    def proven_at(self) -> float | None:
        return self.proof

    def set(self, document: operators.Document) -> None:
        """Accept a document as the next version."""
        self._version = identifiers.Version(self._version + 1)
        self._document = document


def make_observation(
    version: identifiers.Version,
    document: operators.Document,
    mints_quotas: bool,
) -> _records.ConfigurationObserved:
    """Return what a shard's stream copies of a version."""
    quotas = {name: team.quota for name, team in document.teams.items()}
    bounded = tuple(
        sorted(
            name
            for name, quota in quotas.items()
            if quota != resources.NOTHING
        )
    )
    return _records.ConfigurationObserved(
        version,
        list_out(document),
        {name: quotas[name] for name in bounded} if mints_quotas else {},
        bounded,
    )


def list_out(
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


def get_quota_home(document: operators.Document) -> str:
    """Return the shard that mints the teams' quotas."""
    homes = [
        name for name, group in document.shards.items() if group.mints_quotas
    ]
    return min(homes, default=DEFAULT_SHARD)
