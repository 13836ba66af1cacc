"""Snapshots: the state of a stream at a mark, cut into parts."""

import collections.abc
import typing
import zlib

import msgspec
import xxhash

from chivespoke import identifiers
from chivespoke.replication import _frame

PART_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
STEP = 'read a snapshot'


class ReplicaState(msgspec.Struct, frozen=True, array_like=True):
    """Hold all that a replica has folded before the next offset."""

    next_offset: identifiers.Offset
    # The last frame number of each author, oldest use first.
    authors: tuple[tuple[identifiers.Incarnation, int], ...]
    fold: bytes


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Hold one part of a snapshot."""

    # The offset of the mark; the state includes the mark itself.
    marker_offset: identifiers.Offset
    checksum: int
    part: int
    parts: int
    data: bytes


ENCODER = msgspec.msgpack.Encoder()
STATE_DECODER = msgspec.msgpack.Decoder(ReplicaState)
PART_DECODER = msgspec.msgpack.Decoder(SnapshotPart)


def encode_replica_state(state: ReplicaState) -> bytes:
    """Return the bytes that the checksum covers."""
    return ENCODER.encode(state)


def decode_replica_state(encoded: bytes, peer: str) -> ReplicaState:
    """Return the state; raise UnreadableError."""
    try:
        return STATE_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise _frame.UnreadableError(STEP, peer, str(error)) from error


def compute_checksum(encoded: bytes) -> int:
    """Return the checksum of an encoded state."""
    return xxhash.xxh3_64_intdigest(encoded)


def split_snapshot(
    marker_offset: identifiers.Offset, encoded: bytes
) -> list[bytes]:
    """Return the records of a snapshot."""
    data = zlib.compress(encoded, COMPRESSION_LEVEL)
    parts = max(1, -(-len(data) // PART_BYTES))
    checksum = compute_checksum(encoded)
    return [
        ENCODER.encode(
            SnapshotPart(
                marker_offset,
                checksum,
                part,
                parts,
                data[part * PART_BYTES : (part + 1) * PART_BYTES],
            )
        )
        for part in range(parts)
    ]


def decode_part(record: bytes, peer: str) -> SnapshotPart:
    """Return one part of a snapshot; raise UnreadableError."""
    try:
        return PART_DECODER.decode(record)
    except msgspec.MsgspecError as error:
        raise _frame.UnreadableError(STEP, peer, str(error)) from error


class SnapshotCollector:
    """Put the parts of snapshots together."""

    __slots__ = ('_peer', '_parts')

    def __init__(self, peer: str) -> None:
        self._peer = peer
        # By author, mark and checksum, so that writers never mix.
        self._parts: dict[
            tuple[str, identifiers.Offset, int], dict[int, bytes]
        ] = {}

    def add(self, author: str, part: SnapshotPart) -> bytes | None:
        """Return the encoded state when its last part has come."""
        key = (author, part.marker_offset, part.checksum)
        parts = self._parts.setdefault(key, {})
        parts[part.part] = part.data
        if len(parts) < part.parts:
            return None
        data = b''.join(parts[number] for number in range(part.parts))
        self._forget_until(part.marker_offset)
        try:
            encoded = zlib.decompress(data)
        except zlib.error as error:
            raise _frame.UnreadableError(
                STEP, self._peer, str(error)
            ) from error
        if compute_checksum(encoded) != part.checksum:
            raise _frame.UnreadableError(
                STEP, self._peer, 'checksum of the snapshot differs'
            )
        return encoded

    def _forget_until(self, marker_offset: identifiers.Offset) -> None:
        self._parts = {
            key: parts
            for key, parts in self._parts.items()
            if key[1] > marker_offset
        }


class Divergence(typing.NamedTuple):
    """Name two checksums of one mark that differ."""

    marker_offset: identifiers.Offset
    own: int
    other: int
    author: identifiers.Incarnation


def assemble_snapshot(records: collections.abc.Iterable[bytes]) -> bytes:
    """Return the encoded state of a snapshot's records."""
    collector = SnapshotCollector('snapshot')
    for record in records:
        encoded = collector.add('', decode_part(record, 'snapshot'))
        if encoded is not None:
            return encoded
    raise _frame.UnreadableError(STEP, 'snapshot', 'a part is missing')
