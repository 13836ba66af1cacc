"""Status of the system as seen by one process."""

import abc
import collections.abc

import msgspec

from chivespoke import identifiers
from chivespoke.operators import _configuration
from chivespoke.operators import _reports


class StreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the replication of a stream in one process."""

    stream: str
    next_offset: identifiers.Offset
    # Seconds since the state was last confirmed as the newest; None if it
    # never was.
    proof_age: float | None
    is_recent: bool
    # Why the replay has stopped; empty if it has not.
    fault: str = ''
    # Where the state differs from that of another process; empty if it does
    # not.
    divergence: str = ''
    relayed_records: int = 0


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the status lines of one component."""

    title: str
    lines: dict[str, str] = {}
    troubles: tuple[str, ...] = ()


class StatusContributor(abc.ABC):
    """Provide a section of the status."""

    @abc.abstractmethod
    def make_section(self) -> Section:
        """Return the current section."""


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the status shown to operators."""

    process: str
    version: identifiers.Version
    digest: str
    may_start_tasks: bool
    # Problems that need an operator, one sentence each.
    troubles: tuple[str, ...]
    streams: tuple[StreamStatus, ...]
    in_force: _reports.VersionRollout
    sections: tuple[Section, ...] = ()


STATUS_DECODER = msgspec.json.Decoder(Status)


class StatusBuilder:
    """Build the status of one process from its components."""

    __slots__ = ('_process', '_configuration', '_contributors')

    def __init__(
        self,
        process: str,
        configuration: _configuration.Configuration,
    ) -> None:
        self._process = process
        self._configuration = configuration
        self._contributors: list[StatusContributor] = []

    def add_contributor(self, contributor: StatusContributor) -> None:
        """Register a component that provides a section."""
        self._contributors.append(contributor)

    def make_stream_status(self) -> StreamStatus:
        """Return the status of the configuration stream."""
        follower = self._configuration.follower
        replica = follower.replica
        age = follower.measure_read_age()
        divergence = replica.divergence
        return StreamStatus(
            stream=replica.stream,
            next_offset=replica.next_offset,
            proof_age=age if age != float('inf') else None,
            is_recent=self._configuration.is_recent(),
            fault=str(replica.fault) if replica.fault is not None else '',
            divergence=(
                f'{divergence.author} differs at marker '
                f'{divergence.marker_offset}'
                if divergence is not None
                else ''
            ),
            relayed_records=follower.relayed_records,
        )

    def make_status(self, in_force: _reports.VersionRollout) -> Status:
        """Return the status with the troubles of all components."""
        stream = self.make_stream_status()
        sections = tuple(
            contributor.make_section() for contributor in self._contributors
        )
        troubles = [*_list_stream_troubles(stream)]
        troubles += _list_rollout_troubles(in_force)
        for section in sections:
            troubles += section.troubles
        return Status(
            process=self._process,
            version=self._configuration.version,
            digest=self._configuration.digest,
            may_start_tasks=stream.is_recent,
            troubles=tuple(troubles),
            streams=(stream,),
            in_force=in_force,
            sections=sections,
        )


def _list_stream_troubles(
    stream: StreamStatus,
) -> collections.abc.Iterator[str]:
    if stream.fault:
        yield f'{stream.stream} replay stopped: {stream.fault}'
    if stream.divergence:
        yield (
            f'{stream.stream} state differs between processes: '
            f'{stream.divergence}'
        )
    if not stream.is_recent:
        age = stream.proof_age
        since = 'ever' if age is None else f'for {age:.1f} s'
        yield f'version not confirmed as the newest {since}; starts no task'


def _list_rollout_troubles(
    in_force: _reports.VersionRollout,
) -> collections.abc.Iterator[str]:
    if in_force.laggards:
        yield (
            f'{len(in_force.laggards)} processes lag behind version '
            f'{in_force.version}'
        )
    if in_force.differing:
        names = ', '.join(each.name for each in in_force.differing)
        yield f'different history at the same version: {names}'
    if in_force.unreachable:
        yield f'no report from {", ".join(in_force.unreachable)}'
