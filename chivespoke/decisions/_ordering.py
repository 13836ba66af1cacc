"""Which waiting work goes first.

Answers a burst that brings more work than fits: more urgent queues go first;
within one, jobs that can still meet their objective go before those that will
be late in any case, and within each of these the one that is due first.
"""

import msgspec

from chivespoke import workloads

# A job earns something until this multiple of its objective has passed.
LATE_FACTOR = 3.0


class PendingStep(msgspec.Struct, frozen=True):
    """Hold what is known of a step that waits for room."""

    job: str
    # That of its queue; 0 is the most urgent.
    priority: int
    long_running: bool
    # Seconds since 1970 at which the objective passes.
    deadline: float
    # Seconds of the longest chain of work that is left.
    remaining_seconds: float
    # Seconds from acceptance to the objective.
    objective_seconds: float


def measure_critical_path(job: workloads.Job) -> float:
    """Return the seconds of the longest chain of steps, as estimated."""
    chains: list[float] = []
    for step in job.steps:
        before = max((chains[other] for other in step.depends_on), default=0.0)
        chains.append(before + step.estimated_ms / 1000)
    return max(chains, default=0.0)


def make_sort_key(
    pending_step: PendingStep, now: float
) -> tuple[int, int, float, str]:
    """Return a key that sorts demands, first things first."""
    return (
        pending_step.priority,
        measure_lateness(pending_step, now),
        pending_step.deadline,
        pending_step.job,
    )


def measure_lateness(pending_step: PendingStep, now: float) -> int:
    """Return how much of a demand's worth is lost already, as a class."""
    if pending_step.long_running:
        # Earns with every second that it runs.
        return 0
    last = (
        pending_step.deadline
        + (LATE_FACTOR - 1) * pending_step.objective_seconds
    )
    if now + pending_step.remaining_seconds <= pending_step.deadline:
        return 1
    if now + pending_step.remaining_seconds <= last:
        return 2
    return 3
