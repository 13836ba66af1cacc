"""Envelope and basic messages between the system's processes."""

import msgspec

from chivespoke import identifiers

# Messages of any other version are dropped and counted.
PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between processes."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Identify the incarnations of the sender and the receiver."""

    version: int
    sender: str
    incarnation: identifiers.Incarnation
    # Empty if the sender does not know the receiver's incarnation yet.
    receiver: identifiers.Incarnation


class Identity(msgspec.Struct, frozen=True):
    """Identify a process and its incarnation."""

    name: str
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName


class Ping(Message, frozen=True):
    """Keep a connection alive and identify its sender."""

    data_centre: identifiers.DataCentreName


class EntryAddress(msgspec.Struct, frozen=True):
    """Locate the endpoint at which an entry receives messages."""

    name: str
    incarnation: identifiers.Incarnation
    data_centre: identifiers.DataCentreName
    # For example tcp://10.0.0.1:7000.
    endpoint: str


class Welcome(Message, frozen=True):
    """Send a peer the list of known entries."""

    entries: tuple[EntryAddress, ...]


class Pulse(Message, frozen=True):
    """Heartbeat: the state last sent is unchanged."""
