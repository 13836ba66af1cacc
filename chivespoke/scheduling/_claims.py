"""Decide when a process takes a shard over, and whom it fences."""

from chivespoke import identifiers
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state

# Seconds of silence of an owner after which another process takes over.
TAKE_OVER_AFTER = 15.0


def decide(
    shard: _state.Shard, identity: identifiers.Incarnation, quiet: float
) -> list[_records.Record]:
    """Return what a process that does not own the shard proposes.

    Call with a fresh proof only. Own earlier epochs, in this life or
    another, have ended: to say so spares the next owner a long wait.
    """
    mine = get_process_name(identity)
    records: list[_records.Record] = [
        _records.OwnerFenced(epoch)
        for epoch, owner in shard.unfenced.items()
        if get_process_name(owner) == mine
    ]
    # The own next life takes over at once: the last one is dead.
    same = get_process_name(shard.owner) == mine
    if not shard.epoch or same or quiet > TAKE_OVER_AFTER:
        records.append(_records.OwnerClaimed(shard.epoch + 1, identity))
    return records


def get_process_name(identity: identifiers.Incarnation) -> str:
    """Return the name that a process keeps over its lives."""
    return identity.partition(':')[0]
