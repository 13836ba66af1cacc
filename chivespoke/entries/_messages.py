"""The envelope of every message between the system's own processes."""

import msgspec

from chivespoke import identifiers

# A message of another version is dropped and counted.
PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Be sent between processes; the base of every kind of message."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Say who sent a message, in which life, and to which life."""

    version: int
    sender: str
    incarnation: identifiers.Incarnation
    # Empty when the sender doesn't know the receiver yet.
    receiver: identifiers.Incarnation


class Identity(msgspec.Struct, frozen=True):
    """Name a process and its life."""

    name: str
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName


class Ping(Message, frozen=True):
    """Keep a connection alive and introduce its sender."""

    data_centre: identifiers.DataCentreName


class EntryAddress(msgspec.Struct, frozen=True):
    """Tell where an entry takes messages."""

    name: str
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    # Such as tcp://10.0.0.1:7000.
    endpoint: str


class Welcome(Message, frozen=True):
    """Tell a peer which entries there are."""

    entries: tuple[EntryAddress, ...]


class Pulse(Message, frozen=True):
    """Say that nothing has changed since what was last told."""
