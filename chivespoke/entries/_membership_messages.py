"""Messages for heartbeats, relayed records, reports and versions."""

from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import replication


class Beat(_messages.Message, frozen=True):
    """Heartbeat to a neighbour, which replies with BeatNoted."""

    address: _messages.EntryAddress


class BeatNoted(_messages.Message, frozen=True):
    """Acknowledge a beat."""


class RelayQuestion(_messages.Message, frozen=True):
    """Request records of a stream that the sender cannot read."""

    request_number: int
    stream: str
    start: identifiers.Offset
    needs_state: bool
    # The next part of the state that the sender lacks, and the checksum of
    # the state that its parts belong to. None in a process that does not know
    # parts and needs the whole state in one reply.
    part_index: int | None = None
    checksum: int = 0


class RelayReply(_messages.Message, frozen=True):
    """Reply with some records of a stream, or with a part of its state.

    The state is sent if it was requested or the records are not held.
    """

    request_number: int
    page: replication.LogPage | None = None
    # Seconds from the last proof that the replier's state was current to the
    # reply; None if there was no proof.
    proof_age: float | None = None
    # The whole state, for a process that does not know parts.
    seed: bytes = b''
    part: bytes = b''


class RollQuestion(_messages.Message, frozen=True):
    """Request the reports that the receiver holds."""

    request_number: int


class RollReply(_messages.Message, frozen=True):
    """Reply with the reports of the replier and its sidecars."""

    request_number: int
    reports: tuple[operators.ProcessReport, ...]


class VersionNotice(_messages.Message, frozen=True):
    """Notify a sidecar of the configuration version at an entry."""

    version: identifiers.Version
    digest: str


class VersionNoted(_messages.Message, frozen=True):
    """Acknowledge a notice with the version that a sidecar uses."""

    version: identifiers.Version
    digest: str
    data_centre: identifiers.DataCentreName
