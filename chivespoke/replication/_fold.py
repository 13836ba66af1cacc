"""The fold: how the records of a stream become state."""

import abc
import typing

import msgspec

from chivespoke import identifiers

RecordType = typing.TypeVar('RecordType')


class Position(msgspec.Struct, frozen=True, gc=False):
    """Say where a record stands and who wrote it."""

    offset: identifiers.Offset
    # The record's place within its frame.
    index: int
    author: identifiers.Incarnation


class Fold(abc.ABC, typing.Generic[RecordType]):
    """Fold the records of one stream into state, the same everywhere.

    The state may depend on nothing but the records and their positions: no
    clock, no random number, no order of a set. Proposals that do not hold
    are refused by apply, never raised.
    """

    __slots__ = ()

    @abc.abstractmethod
    def decode(self, record: bytes) -> RecordType:
        """Return the typed record; raise UnreadableError.

        A frame is applied only when all its records could be decoded.
        """

    @abc.abstractmethod
    def apply(self, record: RecordType, position: Position) -> None:
        """Apply one record; must not raise."""

    @abc.abstractmethod
    def encode_state(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""

    @abc.abstractmethod
    def restore_state(self, state: bytes) -> None:
        """Replace the whole state; raise UnreadableError, state kept."""
