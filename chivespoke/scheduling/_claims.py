"""Decide when a process claims a shard and which epochs it fences."""

from chivespoke import identifiers
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state

# Time since the owner's last claim or heartbeat until others may claim.
TAKEOVER_TIMEOUT_SECONDS = 15.0
# The same for a process that cannot schedule. It renews leases at least, so
# that running tasks outlive an owner that died; leases last 60 s.
UNREADY_TAKEOVER_TIMEOUT_SECONDS = 30.0


def decide_ownership(
    shard: _state.Shard,
    identity: identifiers.Incarnation,
    silent_seconds: float,
    can_schedule: bool,
) -> list[_records.Record]:
    """Return the ownership records that a non-owner should propose.

    The shard's state must be recent. A process that is not the owner has
    stopped renewing leases for all its earlier epochs, including those of
    earlier incarnations. Fencing them saves the next owner from waiting
    until leases renewed without reading the log would have expired.

    silent_seconds is the time since the owner's last claim or heartbeat. A
    process that cannot schedule leaves others the time to claim first.
    """
    own_name = get_process_name(identity)
    records: list[_records.Record] = [
        _records.OwnerFenced(epoch)
        for epoch, owner in shard.unfenced.items()
        if get_process_name(owner) == own_name
    ]
    # A restarted process claims at once: its earlier incarnation is dead.
    was_own = get_process_name(shard.owner) == own_name
    if can_schedule:
        claims = (
            not shard.epoch
            or was_own
            or silent_seconds > TAKEOVER_TIMEOUT_SECONDS
        )
    else:
        claims = bool(
            shard.epoch and silent_seconds > UNREADY_TAKEOVER_TIMEOUT_SECONDS
        )
    if claims:
        records.append(_records.OwnerClaimed(shard.epoch + 1, identity))
        if was_own:
            # An epoch can be fenced once another one has been claimed.
            records.append(_records.OwnerFenced(shard.epoch))
    return records


def get_process_name(identity: identifiers.Incarnation) -> str:
    """Return the part of an identity that survives restarts."""
    return identity.partition(':')[0]
