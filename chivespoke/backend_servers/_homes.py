"""The home lists of a service: which sidecars keys may be sent to.

A list is a version in the stream ``homes-<service>``. Every change names
the version that it builds on, so of two racing changes one is refused.
"""

import typing

import msgspec
import xxhash

from chivespoke import identifiers
from chivespoke import replication

STREAM_PREFIX = 'homes-'
Homes = tuple[identifiers.Incarnation, ...]


class Change(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Make the next version out of the one it names."""

    base: int
    joining: Homes
    leaving: Homes


class Fence(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """State that a sidecar will never run anything again."""

    home: identifiers.Incarnation


class Forget(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """State that no key of versions up to this one is still remembered."""

    version: int


HomeRecord = Change | Fence | Forget


class HomeList(msgspec.Struct, frozen=True, array_like=True):
    """Hold the homes of one version."""

    version: int
    homes: Homes


class HomesState(msgspec.Struct, array_like=True):
    """Hold the lists that still matter, oldest first, and the fenced."""

    lists: list[HomeList]
    fenced: list[identifiers.Incarnation]


ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER: msgspec.msgpack.Decoder[HomeRecord] = msgspec.msgpack.Decoder(
    HomeRecord
)
STATE_DECODER = msgspec.msgpack.Decoder(HomesState)


class HomesFold(replication.Fold[HomeRecord]):
    """Fold the changes of one service's homes."""

    __slots__ = ('state',)

    def __init__(self) -> None:
        self.state = HomesState([HomeList(0, ())], [])

    @property
    def current(self) -> HomeList:
        """Return the newest list."""
        return self.state.lists[-1]

    def decode(self, record: bytes) -> HomeRecord:
        try:
            return RECORD_DECODER.decode(record)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'decode homes', STREAM_PREFIX, str(error)
            ) from error

    def apply(
        self, record: HomeRecord, position: replication.Position
    ) -> None:
        if isinstance(record, Change):
            self._change(record)
        elif isinstance(record, Fence):
            self._fence(record.home)
        else:
            self._forget(record.version)

    def encode_state(self) -> bytes:
        return ENCODER.encode(self.state)

    def restore_state(self, state: bytes) -> None:
        try:
            self.state = STATE_DECODER.decode(state)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'restore homes', STREAM_PREFIX, str(error)
            ) from error

    def _change(self, change: Change) -> None:
        current = self.current
        barred = set(self.state.fenced).union(change.leaving)
        kept = [home for home in current.homes if home not in barred]
        for home in change.joining:
            if home not in barred and home not in kept:
                kept.append(home)
        if change.base == current.version and tuple(kept) != current.homes:
            self.state.lists.append(HomeList(change.base + 1, tuple(kept)))

    def _fence(self, home: identifiers.Incarnation) -> None:
        listed = any(home in each.homes for each in self.state.lists)
        if listed and home not in self.state.fenced:
            self.state.fenced.append(home)

    def _forget(self, version: int) -> None:
        newest = self.current
        self.state.lists = [
            each
            for each in self.state.lists
            if each.version > version or each is newest
        ]
        listed = {home for each in self.state.lists for home in each.homes}
        self.state.fenced = [
            home for home in self.state.fenced if home in listed
        ]


def encode_record(record: HomeRecord) -> bytes:
    """Return the bytes of a record."""
    return ENCODER.encode(record)


def find_home(homes: Homes, key: str) -> identifiers.Incarnation | None:
    """Return a key's home by rendezvous hashing, None without homes."""
    encoded = key.encode()

    def weigh(home: identifiers.Incarnation) -> int:
        digest: int = xxhash.xxh3_64_intdigest(encoded + home.encode())
        return digest

    return max(homes, key=weigh, default=None)


class KeyHomes(typing.NamedTuple):
    """Name the home that may run a key, and those that may have run it."""

    version: int
    home: identifiers.Incarnation
    former: tuple[tuple[int, identifiers.Incarnation], ...]


def find_key_homes(state: HomesState, key: str) -> KeyHomes | None:
    """Return a key's chain; former homes come oldest first, once each."""
    current = state.lists[-1]
    home = find_home(current.homes, key)
    if home is None:
        return None
    former: dict[identifiers.Incarnation, int] = {}
    for each in state.lists[:-1]:
        winner = find_home(each.homes, key)
        if winner is not None and winner != home:
            # The newest version at which it was the winner counts.
            former[winner] = each.version
    return KeyHomes(
        current.version,
        home,
        tuple((version, each) for each, version in former.items()),
    )
