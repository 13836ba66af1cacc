"""Embed the log's parts: two processes race for seats, and both agree.

Run it with: python examples/embedding.py
"""

import asyncio

import msgspec

from chivespoke import clock as clocks
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import standins

STREAM = 'seats'


class Hold(msgspec.Struct, frozen=True):
    """Ask for a seat on behalf of a family."""

    seat: int
    family: str


class SeatFold(replication.Fold[Hold]):
    """Give each seat to whoever stands first in the log."""

    def __init__(self) -> None:
        self.seats: dict[int, str] = {}

    def decode(self, record: bytes) -> Hold:
        try:
            return msgspec.msgpack.decode(record, type=Hold)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'decode a hold', STREAM, str(error)
            ) from error

    def apply(self, record: Hold, position: replication.Position) -> None:
        # A later hold of the same seat is refused, in every reader alike.
        self.seats.setdefault(record.seat, record.family)

    def encode_state(self) -> bytes:
        return msgspec.msgpack.encode(sorted(self.seats.items()))

    def restore_state(self, state: bytes) -> None:
        self.seats = dict(
            msgspec.msgpack.decode(state, type=list[tuple[int, str]])
        )


class Desk:
    """Hold seats; one for each process."""

    def __init__(self, log: replication.Log, clock: clocks.Clock) -> None:
        self.replica = replication.Replica(STREAM, SeatFold())
        self.follower = replication.Follower(log, self.replica, clock)
        self.committer = replication.GroupCommitter(
            log, clock, identifiers.make_incarnation()
        )
        self.committer.watch(self.replica)

    async def hold(self, seat: int, family: str) -> bool:
        """Return whether the family holds the seat."""
        offset = await self.committer.commit(
            STREAM, msgspec.msgpack.encode(Hold(seat, family))
        )
        holder = await self.follower.wait_until(
            lambda: self._find_holder(seat, offset)
        )
        return holder == family

    def _find_holder(self, seat: int, offset: int) -> str | None:
        read = self.replica.next_offset > offset
        return self.replica.fold.seats[seat] if read else None


async def main() -> None:
    """Let two desks race for the same three seats."""
    clock = clocks.SystemClock()
    log = standins.MemoryLog(clock)
    desks = [Desk(log, clock), Desk(log, clock)]
    for desk in desks:
        await desk.committer.start()
        await desk.follower.start()
    races = [
        desk.hold(seat, f'family-{number}')
        for seat in range(3)
        for number, desk in enumerate(desks)
    ]
    results = await asyncio.gather(*races)
    print(f'{sum(results)} of {len(results)} holds won a seat')
    same = desks[0].replica.fold.seats == desks[1].replica.fold.seats
    print(f'both desks show the same seats: {same}')
    for desk in desks:
        await desk.follower.stop()
        await desk.committer.stop()


if __name__ == '__main__':
    asyncio.run(main())
