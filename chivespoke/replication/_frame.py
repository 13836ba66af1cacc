"""Frames: the payload of one append, with format version and checksum."""

import enum
import struct

import msgspec
import xxhash

from chivespoke import errors
from chivespoke import identifiers

FORMAT_VERSION = 1
# The format version, followed by the checksum of the body.
HEADER = struct.Struct('>BI')
STEP = 'read a frame'


class UnreadableError(errors.ChivespokeError):
    """Report a record that is corrupt or has an unknown format version."""


class FrameKind(enum.IntEnum):
    """State what the records of a frame contain."""

    RECORDS = 0
    # Every reader computes the checksum of its state at this offset.
    MARKER = 1
    # One part of the state at a marker.
    SNAPSHOT = 2


class Frame(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold the records of one append.

    An author numbers its frames in each stream from 1. A frame whose number
    is not greater than the author's last one is a repeated or late append
    and has no effect.
    """

    kind: FrameKind
    author: identifiers.Incarnation
    sequence: int
    records: tuple[bytes, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as the payload of an append."""
    body = ENCODER.encode(frame)
    return HEADER.pack(FORMAT_VERSION, xxhash.xxh32_intdigest(body)) + body


def decode_frame(payload: bytes, peer: str) -> Frame:
    """Decode the payload of an append; raise UnreadableError."""
    if len(payload) < HEADER.size:
        raise UnreadableError(
            STEP, peer, 'payload is shorter than the frame header'
        )
    version, checksum = HEADER.unpack_from(payload)
    if version != FORMAT_VERSION:
        raise UnreadableError(STEP, peer, f'unknown format version {version}')
    body = memoryview(payload)[HEADER.size :]
    if xxhash.xxh32_intdigest(body) != checksum:
        raise UnreadableError(
            STEP, peer, 'checksum of the frame does not match'
        )
    try:
        return DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise UnreadableError(STEP, peer, str(error)) from error
