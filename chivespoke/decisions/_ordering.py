"""Which waiting work goes first.

Answers a burst that brings more work than fits: more urgent queues go first;
within one, jobs that can still meet their objective go before those that will
be late in any case, and within each of these the one that is due first.
"""

import msgspec

from chivespoke import workloads

# A job earns something until this multiple of its objective has passed.
LATE_FACTOR = 3.0


class Demand(msgspec.Struct, frozen=True):
    """Hold what is known of a step that waits for room."""

    job: str
    # That of its queue; 0 is the most urgent.
    priority: int
    long_running: bool
    # Seconds since 1970 at which the objective passes.
    due: float
    # Seconds of the longest chain of work that is left.
    left: float
    # Seconds from acceptance to the objective.
    objective: float


def measure_chain(job: workloads.Job) -> float:
    """Return the seconds of the longest chain of steps, as estimated."""
    chains: list[float] = []
    for step in job.steps:
        before = max((chains[other] for other in step.depends_on), default=0.0)
        chains.append(before + step.estimated_ms / 1000)
    return max(chains, default=0.0)


def rank(demand: Demand, now: float) -> tuple[int, int, float, str]:
    """Return a key that sorts demands, first things first."""
    return (
        demand.priority,
        measure_lateness(demand, now),
        demand.due,
        demand.job,
    )


def measure_lateness(demand: Demand, now: float) -> int:
    """Return how much of a demand's worth is lost already, as a class."""
    if demand.long_running:
        # Earns with every second that it runs.
        return 0
    last = demand.due + (LATE_FACTOR - 1) * demand.objective
    if now + demand.left <= demand.due:
        return 1
    if now + demand.left <= last:
        return 2
    return 3
