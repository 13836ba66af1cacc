"""A seeded schedule of faults."""

import collections.abc
import enum
import random

import msgspec

# Faults end this many seconds before the run does, so that what they held up
# can be seen to go on.
CALM_SECONDS = 2.0
FIRST_FAULT_SECONDS = 1.0


class FaultKind(enum.Enum):
    """Name what happens to a process, its link to the store, or the store."""

    CUT = 'cut'
    RESET = 'reset'
    NARROW = 'narrow'
    TERMINATE = 'terminate'
    KILL = 'kill'
    PAUSE = 'pause'
    RELOAD = 'reload'
    STORE_REFUSES = 'store-refuses'
    STORE_SLOW = 'store-slow'
    STORE_LOSES_ANSWERS = 'store-loses-answers'
    STORE_FORGETS = 'store-forgets'
    STORM = 'storm'
    RUNNER_GONE = 'runner-gone'
    SIDECAR_GONE = 'sidecar-gone'
    # A worker is dark and starts again under its identifier; its link is cut.
    RUNNER_RETURNS = 'runner-returns'
    RUNNER_CUT = 'runner-cut'


LINK_FAULTS = (FaultKind.CUT, FaultKind.RESET, FaultKind.NARROW)
PROCESS_FAULTS = (
    FaultKind.TERMINATE,
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.RELOAD,
)
STORE_FAULTS = (
    FaultKind.STORE_REFUSES,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
    FaultKind.STORE_FORGETS,
)


# Part of the workers that are lost for good at most.
MAX_GONE_SHARE = 1 / 3
# Share of the returns of workers that a cut follows.
CUT_SHARE = 0.8
# In every other long run the entries and the store are left alone for a while,
# so that workers return under a leader that has been in office for longer than
# any lease of its predecessor.
LONG_RUN_SECONDS = 50.0
LULL_SECONDS = 38.0


class Fault(msgspec.Struct, frozen=True):
    """Hold one fault; times are in seconds of the run."""

    at: float
    kind: FaultKind
    seconds: float
    # Name of a process; empty for the store and the operator.
    target: str = ''


def make_schedule(
    seed: int,
    seconds: float,
    entries: tuple[str, ...],
    sidecars: tuple[str, ...],
) -> tuple[Fault, ...]:
    """Return faults in series that overlap, in the order of their times."""
    generator = random.Random(seed)
    last = seconds - CALM_SECONDS
    faults: list[Fault] = []

    def add(kind: FaultKind, at: float, length: float, target: str) -> None:
        if at < last:
            length = min(length, last - at)
            faults.append(Fault(round(at, 3), kind, round(length, 3), target))

    at = FIRST_FAULT_SECONDS
    while at < last:
        series = generator.randrange(4)
        if series == 0:
            # Entries lose sight of the store while the operator is busy.
            length = generator.uniform(2.0, 7.0)
            add(FaultKind.STORM, at, length + 3.0, '')
            for name in generator.sample(
                entries, generator.randint(1, len(entries))
            ):
                add(
                    generator.choice(LINK_FAULTS),
                    at + generator.uniform(0.0, 1.0),
                    length,
                    name,
                )
        elif series == 1:
            # Processes are signalled one after the other.
            kind = generator.choice(PROCESS_FAULTS)
            for number, name in enumerate(
                generator.sample(entries, generator.randint(1, len(entries)))
            ):
                add(
                    kind,
                    at + number * generator.uniform(0.3, 1.5),
                    generator.uniform(0.5, 4.0),
                    name,
                )
        elif series == 2:
            for name in generator.sample(
                sidecars, generator.randint(1, len(sidecars))
            ):
                add(
                    generator.choice((*PROCESS_FAULTS, FaultKind.CUT)),
                    at + generator.uniform(0.0, 2.0),
                    generator.uniform(0.5, 4.0),
                    name,
                )
        else:
            add(
                generator.choice(STORE_FAULTS),
                at,
                generator.uniform(0.5, 4.0),
                '',
            )
        at += generator.uniform(0.5, 3.0)
    lost_workers = tuple(_list_lost_workers(seed, last, entries, sidecars))
    for fault in (
        *lost_workers,
        *_list_lost_machines(seed, lost_workers, entries),
    ):
        add(fault.kind, fault.at, fault.seconds, fault.target)
    lull = _find_lull(seed, seconds)
    if lull is not None:
        faults = [
            fault
            for fault in faults
            if fault.target in sidecars
            or fault.at + fault.seconds < lull
            or fault.at > lull + LULL_SECONDS
        ]
    gone = {
        fault.target
        for fault in lost_workers
        if fault.kind is FaultKind.RUNNER_GONE
    }
    for fault in _list_returns(
        seed, last, [name for name in sidecars if name not in gone]
    ):
        add(fault.kind, fault.at, fault.seconds, fault.target)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _find_lull(seed: int, seconds: float) -> float | None:
    """Return when the entries and the store begin to be left alone."""
    generator = random.Random(f'lull {seed}')
    if seconds < LONG_RUN_SECONDS or generator.random() < 0.5:
        return None
    return generator.uniform(0.0, seconds - LULL_SECONDS - CALM_SECONDS)


def _list_returns(
    seed: int, last: float, sidecars: collections.abc.Iterable[str]
) -> collections.abc.Iterator[Fault]:
    """Yield the returns of workers, and the cuts soon after.

    One worker may go through this more than once.
    """
    generator = random.Random(f'returns {seed}')
    for name in sidecars:
        at = FIRST_FAULT_SECONDS + generator.uniform(0.0, 12.0)
        while at < last:
            length = generator.uniform(0.3, 2.0)
            yield Fault(at, FaultKind.RUNNER_RETURNS, length, name)
            at += length + generator.uniform(0.5, 3.0)
            if generator.random() < CUT_SHARE:
                length = generator.uniform(6.0, 12.0)
                yield Fault(at, FaultKind.RUNNER_CUT, length, name)
                at += length
            at += generator.uniform(1.0, 12.0)


def _list_lost_workers(
    seed: int,
    last: float,
    entries: tuple[str, ...],
    sidecars: tuple[str, ...],
) -> collections.abc.Iterator[Fault]:
    """Yield the ends of workers, and what comes at about the same time.

    A generator of its own leaves the other faults of a seed as they were.
    """
    generator = random.Random(f'workers {seed}')
    lost = generator.sample(sidecars, int(MAX_GONE_SHARE * len(sidecars)))
    for name in lost:
        at = generator.uniform(FIRST_FAULT_SECONDS, last)
        yield Fault(at, FaultKind.RUNNER_GONE, 0.0, name)
        company = generator.randrange(4)
        near = at + generator.uniform(-0.5, 4.0)
        if company == 0:
            yield Fault(near, FaultKind.STORE_REFUSES, 4.0)
        elif company == 1:
            yield Fault(near, FaultKind.KILL, 0.0, generator.choice(entries))
        elif company == 2:
            yield Fault(near, FaultKind.KILL, 0.0, name)


def _list_lost_machines(
    seed: int,
    lost_workers: collections.abc.Iterable[Fault],
    entries: tuple[str, ...],
) -> collections.abc.Iterator[Fault]:
    """Yield the losses of sidecars with their workers, and of the lead.

    The store refuses calls meanwhile, so that nothing is recorded. All entries
    are killed in turn, as any may lead.
    """
    generator = random.Random(f'machines {seed}')
    for fault in lost_workers:
        if fault.kind is not FaultKind.RUNNER_GONE or generator.random() < 0.5:
            continue
        refuses_at = max(0.0, fault.at - generator.uniform(-0.5, 1.5))
        yield Fault(
            refuses_at, FaultKind.STORE_REFUSES, generator.uniform(3.0, 5.0)
        )
        yield Fault(
            fault.at + generator.uniform(0.0, 0.4),
            FaultKind.SIDECAR_GONE,
            0.0,
            fault.target,
        )
        at = fault.at + generator.uniform(0.3, 2.0)
        for name in generator.sample(entries, len(entries)):
            yield Fault(at, FaultKind.KILL, 0.0, name)
            at += generator.uniform(0.0, 0.6)
