"""Folds: deterministic state machines over the records of a stream."""

import abc
import typing

import msgspec

from chivespoke import identifiers

RecordType = typing.TypeVar('RecordType')


class Position(msgspec.Struct, frozen=True, gc=False):
    """Hold the position of a record in its stream and its author."""

    offset: identifiers.Offset
    # Index of the record within its frame.
    index: int
    author: identifiers.Incarnation


class Fold(abc.ABC, typing.Generic[RecordType]):
    """Compute the same state from a stream's records in every process.

    The state must depend only on the records and their positions: not on a
    clock, a random number or the iteration order of a set. When a record's
    precondition does not hold, apply rejects it without raising.
    """

    __slots__ = ()

    @abc.abstractmethod
    def decode(self, record: bytes) -> RecordType:
        """Decode one record; raise UnreadableError.

        A frame is applied only if all its records can be decoded.
        """

    @abc.abstractmethod
    def apply(self, record: RecordType, position: Position) -> None:
        """Apply one record; must not raise."""

    @abc.abstractmethod
    def encode_state(self) -> bytes:
        """Encode the whole state; equal states have equal encodings."""

    @abc.abstractmethod
    def restore_state(self, state: bytes) -> None:
        """Replace the whole state.

        Raise UnreadableError and keep the old state.
        """
