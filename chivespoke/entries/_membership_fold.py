"""State machine of the membership stream: the current entries."""

import collections

import msgspec

from chivespoke.entries import _messages
from chivespoke import identifiers
from chivespoke import replication

STREAM = 'membership'
# Ended incarnations that are remembered, so that a late record does not add
# one of them again.
MAX_ENDED_INCARNATIONS = 4096


class MembershipRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
    forbid_unknown_fields=True,
):
    """Change the membership; the base of all record types."""


class Announced(MembershipRecord, frozen=True):
    """Announce or renew a member.

    The renewal rises with each announcement of an incarnation.
    """

    address: _messages.EntryAddress
    renewal: int


class Left(MembershipRecord, frozen=True):
    """Record that an incarnation left in an orderly way."""

    incarnation: identifiers.Incarnation


class Lapsed(MembershipRecord, frozen=True):
    """Report a member as silent; valid only for the given renewal."""

    incarnation: identifiers.Incarnation
    renewal: int
    reporter: str


AnyRecord = Announced | Left | Lapsed


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Hold a member and the number of its last announcement."""

    address: _messages.EntryAddress
    renewal: int


class _State(msgspec.Struct, frozen=True, array_like=True):
    members: tuple[Member, ...]
    ended: tuple[identifiers.Incarnation, ...]


ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(
    AnyRecord
)
STATE_DECODER = msgspec.msgpack.Decoder(_State)


class MembershipFold(replication.Fold[AnyRecord]):
    """Hold the members and the incarnations that have finally ended."""

    __slots__ = ('members', 'changes', '_ended')

    def __init__(self) -> None:
        self.members: dict[identifiers.Incarnation, Member] = {}
        # Rises with each record and restore; not part of the state.
        self.changes = 0
        self._ended: collections.OrderedDict[identifiers.Incarnation, None] = (
            collections.OrderedDict()
        )

    def decode(self, record: bytes) -> AnyRecord:
        try:
            return RECORD_DECODER.decode(record)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'read a record', STREAM, str(error)
            ) from error

    def apply(self, record: AnyRecord, position: replication.Position) -> None:
        self.changes += 1
        if isinstance(record, Announced):
            self._announce(record)
        elif isinstance(record, Left):
            self._end(record.incarnation)
        else:
            member = self.members.get(record.incarnation)
            # The report is obsolete if the member has renewed since.
            if member is not None and member.renewal == record.renewal:
                del self.members[record.incarnation]

    def has_ended(self, incarnation: identifiers.Incarnation) -> bool:
        """Return whether an incarnation is known to have finally ended."""
        return incarnation in self._ended

    def encode_state(self) -> bytes:
        return ENCODER.encode(
            _State(tuple(self.members.values()), tuple(self._ended))
        )

    def restore_state(self, state: bytes) -> None:
        try:
            decoded = STATE_DECODER.decode(state)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'read a snapshot', STREAM, str(error)
            ) from error
        self.changes += 1
        self.members = {
            member.address.incarnation: member for member in decoded.members
        }
        self._ended = collections.OrderedDict.fromkeys(decoded.ended)

    def _announce(self, record: Announced) -> None:
        incarnation = record.address.incarnation
        if incarnation in self._ended:
            return
        known = self.members.get(incarnation)
        if known is not None and known.renewal >= record.renewal:
            return
        # A new incarnation of the same name ends the previous one.
        for other in tuple(self.members.values()):
            if (
                other.address.name == record.address.name
                and other.address.incarnation != incarnation
            ):
                self._end(other.address.incarnation)
        self.members[incarnation] = Member(record.address, record.renewal)

    def _end(self, incarnation: identifiers.Incarnation) -> None:
        self.members.pop(incarnation, None)
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            self._ended.popitem(last=False)
