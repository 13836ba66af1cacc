"""Order in which waiting steps are placed.

The order matters when a burst brings more work than the workers can run. Steps
are sorted by queue priority, then by whether the job can still meet its
objective, then by deadline: within a queue, jobs that will be late in any case
are placed after those that can be in time.
"""

import msgspec

from chivespoke.decisions import _standings
from chivespoke import workloads

# A late job keeps some value until this multiple of its objective has passed.
VALUE_CUTOFF_FACTOR = 3.0


class PendingStep(msgspec.Struct, frozen=True):
    """Describe a step whose tasks wait for placement."""

    job: str
    # Priority of the queue; 0 is the most urgent.
    priority: int
    long_running: bool
    # Time at which the job must be complete, in seconds since 1970.
    deadline: float
    # Estimated time to complete the job: the longest path from this step on.
    remaining_seconds: float
    # Time from acceptance of the job to its deadline.
    objective_seconds: float
    # Set while there is too little room for all jobs.
    rank: _standings.Rank | None = None


def measure_critical_path(job: workloads.Job) -> float:
    """Return the estimated duration of the critical path in seconds."""
    return max(measure_remaining_paths(job), default=0.0)


def measure_remaining_paths(job: workloads.Job) -> tuple[float, ...]:
    """Return the longest path in seconds from the start of each step.

    A path ends with the job and includes the step itself.
    """
    paths = [0.0] * len(job.steps)
    for number in reversed(range(len(job.steps))):
        step = job.steps[number]
        # Dependent steps come later and have set the longest path after this.
        paths[number] += step.estimated_ms / 1000
        for dependency in step.depends_on:
            paths[dependency] = max(paths[dependency], paths[number])
    return tuple(paths)


def make_sort_key(
    pending_step: PendingStep, now: float
) -> tuple[int, int, float, str]:
    """Return a sort key; the step with the lowest key is placed first."""
    rank = pending_step.rank
    if rank is not None and not pending_step.long_running:
        return (
            pending_step.priority,
            # Long-running steps precede all standings.
            1 + rank.standing,
            rank.order,
            pending_step.job,
        )
    return (
        pending_step.priority,
        classify_lateness(pending_step, now),
        pending_step.deadline,
        pending_step.job,
    )


def classify_lateness(pending_step: PendingStep, now: float) -> int:
    """Return the lateness class of a step.

    0: long-running; 1: in time; 2: late, but of some value; 3: of no value.
    """
    if pending_step.long_running:
        # The deadline does not apply: every second that it runs has value.
        return 0
    value_end = (
        pending_step.deadline
        + (VALUE_CUTOFF_FACTOR - 1) * pending_step.objective_seconds
    )
    if now + pending_step.remaining_seconds <= pending_step.deadline:
        return 1
    if now + pending_step.remaining_seconds <= value_end:
        return 2
    return 3
