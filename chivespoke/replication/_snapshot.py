"""Snapshots: the state of a stream at a marker, split into parts."""

import collections.abc
import typing
import zlib

import msgspec
import xxhash

from chivespoke import identifiers
from chivespoke.replication import _frame

MAX_PART_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
STEP = 'read a snapshot'


class ReplicaState(msgspec.Struct, frozen=True, array_like=True):
    """Hold the state of a replica before the next offset."""

    next_offset: identifiers.Offset
    # The last frame number of each author, least recently used first.
    authors: tuple[tuple[identifiers.Incarnation, int], ...]
    fold: bytes


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Hold one part of a snapshot."""

    # The state includes the marker at this offset.
    marker_offset: identifiers.Offset
    checksum: int
    part_index: int
    part_count: int
    data: bytes


ENCODER = msgspec.msgpack.Encoder()
STATE_DECODER = msgspec.msgpack.Decoder(ReplicaState)
PART_DECODER = msgspec.msgpack.Decoder(SnapshotPart)


def encode_replica_state(state: ReplicaState) -> bytes:
    """Encode the state; the checksum covers these bytes."""
    return ENCODER.encode(state)


def decode_replica_state(encoded: bytes, peer: str) -> ReplicaState:
    """Decode a state; raise UnreadableError."""
    try:
        return STATE_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise _frame.UnreadableError(STEP, peer, str(error)) from error


def compute_checksum(encoded: bytes) -> int:
    """Return the checksum of an encoded state."""
    return xxhash.xxh3_64_intdigest(encoded)


def split_snapshot(
    marker_offset: identifiers.Offset,
    encoded: bytes,
    part_bytes: int = MAX_PART_BYTES,
) -> list[bytes]:
    """Compress an encoded state and split it into records."""
    data = zlib.compress(encoded, COMPRESSION_LEVEL)
    parts = max(1, -(-len(data) // part_bytes))
    checksum = compute_checksum(encoded)
    return [
        ENCODER.encode(
            SnapshotPart(
                marker_offset,
                checksum,
                part,
                parts,
                data[part * part_bytes : (part + 1) * part_bytes],
            )
        )
        for part in range(parts)
    ]


def decode_part(record: bytes, peer: str) -> SnapshotPart:
    """Decode one part of a snapshot; raise UnreadableError."""
    try:
        return PART_DECODER.decode(record)
    except msgspec.MsgspecError as error:
        raise _frame.UnreadableError(STEP, peer, str(error)) from error


class SnapshotCollector:
    """Assemble snapshots from their parts."""

    __slots__ = ('_peer', '_parts')

    def __init__(self, peer: str) -> None:
        self._peer = peer
        # Keyed by author, marker offset and checksum, so that parts of
        # different writers are never mixed.
        self._parts: dict[
            tuple[str, identifiers.Offset, int], dict[int, bytes]
        ] = {}

    def add(self, author: str, part: SnapshotPart) -> bytes | None:
        """Add a part; return the encoded state once all parts are there.

        Raise UnreadableError when the state is corrupt.
        """
        key = (author, part.marker_offset, part.checksum)
        parts = self._parts.setdefault(key, {})
        parts[part.part_index] = part.data
        if len(parts) < part.part_count:
            return None
        data = b''.join(parts[number] for number in range(part.part_count))
        self._discard_through(part.marker_offset)
        try:
            encoded = zlib.decompress(data)
        except zlib.error as error:
            raise _frame.UnreadableError(
                STEP, self._peer, str(error)
            ) from error
        if compute_checksum(encoded) != part.checksum:
            raise _frame.UnreadableError(
                STEP, self._peer, 'checksum of the snapshot does not match'
            )
        return encoded

    def _discard_through(self, marker_offset: identifiers.Offset) -> None:
        self._parts = {
            key: parts
            for key, parts in self._parts.items()
            if key[1] > marker_offset
        }


class Divergence(typing.NamedTuple):
    """Hold two different checksums of the state at one marker."""

    marker_offset: identifiers.Offset
    own_checksum: int
    other_checksum: int
    author: identifiers.Incarnation


def assemble_snapshot(records: collections.abc.Iterable[bytes]) -> bytes:
    """Return the encoded state from a snapshot's records.

    Raise UnreadableError.
    """
    collector = SnapshotCollector('snapshot')
    for record in records:
        encoded = collector.add('', decode_part(record, 'snapshot'))
        if encoded is not None:
            return encoded
    raise _frame.UnreadableError(
        STEP, 'snapshot', 'a part of the snapshot is missing'
    )
