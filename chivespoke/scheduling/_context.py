"""What the parts of a shard's scheduling need of its owner."""

import abc

from chivespoke import identifiers
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers


class Owner(abc.ABC):
    """What a link needs of the owner of the shard."""

    @property
    @abc.abstractmethod
    def shard(self) -> _state.Shard:
        """Return the state as far as it was read."""

    @property
    @abc.abstractmethod
    def epoch(self) -> int:
        """Return the own epoch; 0 when this process is not the owner."""

    @abc.abstractmethod
    def read_clock(self) -> float:
        """Return own monotonic seconds."""

    @abc.abstractmethod
    def get_shard_proof(self) -> float | None:
        """Return the beginning of the shard's last proving read."""

    @abc.abstractmethod
    def get_start_proof(self) -> float | None:
        """Return what starts rest on; None while it is too old."""

    @abc.abstractmethod
    def may_start_in(self, name: identifiers.DataCentreName) -> bool:
        """Tell whether the proven configuration allows starts there."""

    @abc.abstractmethod
    def propose(self, record: _records.Record) -> None:
        """Queue a record for the next frame, once."""

    @abc.abstractmethod
    def take_report(self, number: int, report: workers.UsageReport) -> None:
        """Learn from a worker's usage report."""
