"""Home lists: the sidecars that may run the idempotency keys of a service.

The home of a key is the sidecar that runs it and keeps its reply, chosen by
rendezvous hashing from the newest home list. The stream ``homes-<service>``
holds the changes of the list. Each change names the version that it is based
on, so that only the first of two concurrent changes takes effect.
"""

import typing

import msgspec
import xxhash

from chivespoke import identifiers
from chivespoke import replication

STREAM_PREFIX = 'homes-'
Homes = tuple[identifiers.Incarnation, ...]


class Change(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Create the next version of the list from its base version."""

    base: int
    joining: Homes
    leaving: Homes


class Fence(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Record that a sidecar will not run any request again."""

    home: identifiers.Incarnation


class Forget(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Record that all keys of versions up to this one have expired."""

    version: int


HomeRecord = Change | Fence | Forget


class HomeList(msgspec.Struct, frozen=True, array_like=True):
    """Hold one version of the home list."""

    version: int
    homes: Homes


class HomesState(msgspec.Struct, array_like=True):
    """Hold the lists with unexpired keys, oldest first, and fenced homes."""

    lists: list[HomeList]
    fenced: list[identifiers.Incarnation]


ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER: msgspec.msgpack.Decoder[HomeRecord] = msgspec.msgpack.Decoder(
    HomeRecord
)
STATE_DECODER = msgspec.msgpack.Decoder(HomesState)


class HomesFold(replication.Fold[HomeRecord]):
    """Fold the home list records of one service."""

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
                'decode home list record', STREAM_PREFIX, str(error)
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
                'restore home lists', STREAM_PREFIX, str(error)
            ) from error

    def _change(self, change: Change) -> None:
        current = self.current
        excluded = set(self.state.fenced).union(change.leaving)
        kept = [home for home in current.homes if home not in excluded]
        for home in change.joining:
            if home not in excluded and home not in kept:
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
    """Return the encoded record."""
    return ENCODER.encode(record)


def find_home(homes: Homes, key: str) -> identifiers.Incarnation | None:
    """Return the home of a key by rendezvous hashing; None if no homes."""
    encoded = key.encode()

    def compute_weight(home: identifiers.Incarnation) -> int:
        digest: int = xxhash.xxh3_64_intdigest(encoded + home.encode())
        return digest

    return max(homes, key=compute_weight, default=None)


class KeyHomes(typing.NamedTuple):
    """Hold the home that may run a key, and those that may have run it.

    Each former home is paired with the newest version at which it was home.
    """

    version: int
    home: identifiers.Incarnation
    former: tuple[tuple[int, identifiers.Incarnation], ...]


def find_key_homes(state: HomesState, key: str) -> KeyHomes | None:
    """Return the homes of a key; each former home appears once.

    Former homes are ordered by the oldest version at which they were home.
    None if the newest list is empty.
    """
    current = state.lists[-1]
    home = find_home(current.homes, key)
    if home is None:
        return None
    former: dict[identifiers.Incarnation, int] = {}
    for each in state.lists[:-1]:
        winner = find_home(each.homes, key)
        if winner is not None and winner != home:
            # Overwrites an older version with the newest one.
            former[winner] = each.version
    return KeyHomes(
        current.version,
        home,
        tuple((version, each) for each, version in former.items()),
    )
