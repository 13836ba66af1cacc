"""The interface through which worker links use the owner of a shard."""

import abc

from chivespoke import identifiers
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers


class LinkContext(abc.ABC):
    """Give worker links access to the shard and its owner."""

    @property
    @abc.abstractmethod
    def shard(self) -> _state.Shard:
        """Return the shard's state as read from the log so far."""

    @property
    @abc.abstractmethod
    def epoch(self) -> int:
        """Return the epoch of this owner; 0 when it does not own the shard."""

    @abc.abstractmethod
    def read_clock(self) -> float:
        """Return the monotonic clock of this process, in seconds."""

    @abc.abstractmethod
    def read_wall_clock(self) -> float:
        """Return the seconds since the Unix epoch; they may jump."""

    @abc.abstractmethod
    def get_shard_read_time(self) -> float | None:
        """Return the start of the last read that found the state up to date.

        None before the first such read.
        """

    @abc.abstractmethod
    def get_start_read_time(self) -> float | None:
        """Return the read time on which task starts are based.

        It is the older of the read times of the shard and of the
        configuration; None when it is too old to start tasks.
        """

    @abc.abstractmethod
    def may_start_in(self, name: identifiers.DataCentreName) -> bool:
        """Return whether tasks may start in a data centre."""

    @abc.abstractmethod
    def connect(self, address: str) -> workers.WorkerClient:
        """Return a client for the worker at an address."""

    @abc.abstractmethod
    def propose(self, record: _records.Record) -> None:
        """Queue a record for the next batch; skip recent duplicates."""

    @abc.abstractmethod
    def handle_usage_report(
        self, number: int, report: workers.UsageReport
    ) -> None:
        """Pass a worker's usage report to the observer."""
