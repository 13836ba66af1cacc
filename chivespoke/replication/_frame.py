"""The frame: what one append carries, a format version and a checksum."""

import enum
import struct

import msgspec
import xxhash

from chivespoke import errors
from chivespoke import identifiers

FORMAT_VERSION = 1
# The format version, then the checksum of the body.
HEADER = struct.Struct('>BI')
STEP = 'read a frame'


class UnreadableError(errors.ChivespokeError):
    """Report a record that is corrupt or of an unknown version."""


class FrameKind(enum.IntEnum):
    """Tell what the records of a frame are for."""

    RECORDS = 0
    # Asks every reader for the checksum of its state right here.
    MARKER = 1
    # One part of the state as of a mark.
    SNAPSHOT = 2


class Frame(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold the records of one append.

    An author numbers its frames of a stream from 1 on; a frame whose number
    is not above the author's last is a repeated or overtaken append and has
    no effect.
    """

    kind: FrameKind
    author: identifiers.Incarnation
    sequence: int
    records: tuple[bytes, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the payload of an append."""
    body = ENCODER.encode(frame)
    return HEADER.pack(FORMAT_VERSION, xxhash.xxh32_intdigest(body)) + body


def decode_frame(payload: bytes, peer: str) -> Frame:
    """Return the frame of a payload; raise UnreadableError."""
    if len(payload) < HEADER.size:
        raise UnreadableError(STEP, peer, 'payload is too short')
    version, checksum = HEADER.unpack_from(payload)
    if version != FORMAT_VERSION:
        raise UnreadableError(STEP, peer, f'unknown format version {version}')
    body = memoryview(payload)[HEADER.size :]
    if xxhash.xxh32_intdigest(body) != checksum:
        raise UnreadableError(STEP, peer, 'checksum differs')
    try:
        return DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise UnreadableError(STEP, peer, str(error)) from error
