"""Transfer of a replica's state to a peer, in parts."""

import asyncio
import typing

from chivespoke import identifiers
from chivespoke.replication import _follower
from chivespoke.replication import _log
from chivespoke.replication import _snapshot

# Bounds how long a part delays the messages behind it.
MAX_PART_BYTES = 64 * 1024
# An offer that is not asked for in this time is discarded.
OFFER_IDLE_SECONDS = 60.0
# Bounds the memory; further peers get no state meanwhile.
MAX_OFFERS = 64


class StateOffer:
    """Hold the parts of a state while a peer fetches them."""

    __slots__ = ('next_offset', 'checksum', 'parts', 'read_at', 'used_at')

    def __init__(self, follower: _follower.Follower[typing.Any]) -> None:
        encoded = follower.replica.encode_state()
        self.next_offset = follower.replica.next_offset
        self.checksum = _snapshot.compute_checksum(encoded)
        self.parts = _snapshot.split_snapshot(
            self.next_offset, encoded, MAX_PART_BYTES
        )
        # The follower's last read when the state was encoded.
        self.read_at = follower.last_read_at
        self.used_at = 0.0


class StateOffers:
    """Answer peers with records, or with one part of a state at a time.

    Each peer has an offer of its own for a stream. The state in it does not
    change, so that the peer can continue after a lost connection.
    """

    __slots__ = ('_offers', '_timer')

    def __init__(self) -> None:
        self._offers: dict[
            tuple[identifiers.Incarnation, str], StateOffer
        ] = {}
        self._timer: asyncio.TimerHandle | None = None

    def answer(
        self,
        follower: _follower.Follower[typing.Any],
        peer: identifiers.Incarnation,
        start: identifiers.Offset,
        needs_state: bool,
        part_index: int,
        checksum: int,
    ) -> _follower.RelayAnswer | None:
        """Return records from start on, or a part of the state.

        A part of a state that is not offered to the peer is answered with the
        first part of the current state. Return None when the replica is not
        ready.
        """
        if not follower.replica.is_ready:
            return None
        answer = None
        if not needs_state:
            answer = _follower.make_records_answer(follower, start)
        if answer is None:
            answer = self._answer_part(follower, peer, part_index, checksum)
        return answer

    def _answer_part(
        self,
        follower: _follower.Follower[typing.Any],
        peer: identifiers.Incarnation,
        part_index: int,
        checksum: int,
    ) -> _follower.RelayAnswer | None:
        key = (peer, follower.replica.stream)
        offer = self._offers.get(key)
        if (
            offer is None
            or offer.checksum != checksum
            or not 0 <= part_index < len(offer.parts)
        ):
            if offer is None and len(self._offers) >= MAX_OFFERS:
                return None
            offer = self._offers[key] = StateOffer(follower)
            part_index = 0
        offer.used_at = asyncio.get_running_loop().time()
        if self._timer is None:
            self._discard_idle()
        age = None
        if offer.read_at is not None:
            age = follower.measure_age(offer.read_at)
        page = _log.LogPage((), offer.next_offset, offer.next_offset)
        return _follower.RelayAnswer(page, age, part=offer.parts[part_index])

    def _discard_idle(self) -> None:
        """Discard idle offers, and again later while there are others."""
        loop = asyncio.get_running_loop()
        used_after = loop.time() - OFFER_IDLE_SECONDS
        self._offers = {
            key: offer
            for key, offer in self._offers.items()
            if offer.used_at > used_after
        }
        self._timer = None
        if self._offers:
            self._timer = loop.call_later(
                OFFER_IDLE_SECONDS, self._discard_idle
            )


class PartialState:
    """Collect the parts of a peer's state in order."""

    __slots__ = ('checksum', 'next_part', '_stream', '_collector')

    def __init__(self, stream: str) -> None:
        # Identifies the state that the parts belong to; 0 before the first.
        self.checksum = 0
        self.next_part = 0
        self._stream = stream
        self._collector = _snapshot.SnapshotCollector(stream)

    def add(self, record: bytes) -> bytes | None:
        """Add a part; return the encoded state once all parts are there.

        A part of another state replaces the parts before it. Raise
        UnreadableError when the part or the state is corrupt.
        """
        part = _snapshot.decode_part(record, self._stream)
        if part.checksum != self.checksum:
            self.checksum, self.next_part = part.checksum, 0
            self._collector = _snapshot.SnapshotCollector(self._stream)
        if part.part_index != self.next_part:
            return None
        self.next_part += 1
        return self._collector.add('', part)
