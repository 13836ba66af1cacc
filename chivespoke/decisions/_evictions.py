"""Choice of the runs to stop so that a lasting task finds room.

Load pattern: workers die while the others are full of short tasks. Together
these have room to spare, but none has as much in one piece as a lasting task
needs, and each piece that a run leaves is taken by the next short task. So a
worker is chosen whose runs cost least to stop, and its room is held for the
task until it fits.
"""

import collections.abc

import msgspec

from chivespoke.decisions import _moves
from chivespoke import workloads

MILLIS_PER_CORE = 1000


class EvictableRun(msgspec.Struct, frozen=True):
    """Describe a run that may be stopped."""

    task: str
    reservation: workloads.Resources
    # Its queue is as urgent as that of the lasting task.
    is_peer: bool
    # Work that a stop throws away.
    lost_core_seconds: float


class RoomOffer(msgspec.Struct, frozen=True):
    """Describe the room that a worker has, or would have after stops."""

    worker: str
    # What is free, or will be once the runs under way to their end have ended.
    free: workloads.Resources
    runs: tuple[EvictableRun, ...]
    # Tasks of the same step in its data centre.
    same_step_in_data_centre: int = 0


class RoomChoice(msgspec.Struct, frozen=True):
    """Hold a worker and the runs to stop there, maybe none."""

    worker: str
    evictions: tuple[EvictableRun, ...]


def estimate_lost_work(step: workloads.Step, running_seconds: float) -> float:
    """Return the work that a stop throws away, in core-seconds."""
    # A stop makes a checkpoint of the work so far.
    seconds = _moves.RESTART_SECONDS
    if not step.checkpointing:
        seconds += running_seconds
    return seconds * step.cpu_millis / MILLIS_PER_CORE


def choose_room(
    need: workloads.Resources,
    offers: collections.abc.Iterable[RoomOffer],
) -> RoomChoice | None:
    """Return where stops make room at the least cost; None if nowhere."""
    best = None
    best_key = None
    for offer in offers:
        evictions = select_evictions(need, offer)
        if evictions is None:
            continue
        key = (
            sum(run.is_peer for run in evictions),
            sum(run.lost_core_seconds for run in evictions),
            offer.same_step_in_data_centre,
            offer.worker,
        )
        if best_key is None or key < best_key:
            best = RoomChoice(offer.worker, evictions)
            best_key = key
    return best


def select_evictions(
    need: workloads.Resources, offer: RoomOffer
) -> tuple[EvictableRun, ...] | None:
    """Return the runs to stop on a worker; None if all are not enough."""
    free = offer.free
    left = list(offer.runs)
    chosen: list[EvictableRun] = []
    while not free.covers(need):
        missing = need.add(free, -1)
        useful = [run for run in left if _measure_use(run, missing) > 0]
        if not useful:
            return None
        run = min(
            useful,
            key=lambda run: (
                run.is_peer,
                run.lost_core_seconds / _measure_use(run, missing),
                run.task,
            ),
        )
        left.remove(run)
        chosen.append(run)
        free = free.add(run.reservation)
    # A run chosen late may free what an earlier one was chosen for.
    for run in sorted(chosen, key=lambda run: -run.lost_core_seconds):
        without = free.add(run.reservation, -1)
        if without.covers(need):
            free = without
            chosen.remove(run)
    return tuple(chosen)


def _measure_use(run: EvictableRun, missing: workloads.Resources) -> float:
    """Return how much of what is missing a run frees, up to 3."""
    return sum(
        min(1.0, freed / lacking)
        for freed, lacking in (
            (run.reservation.cpu_millis, missing.cpu_millis),
            (run.reservation.memory_mb, missing.memory_mb),
            (run.reservation.accelerators, missing.accelerators),
        )
        if lacking > 0
    )
