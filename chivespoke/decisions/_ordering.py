"""Order in which waiting steps are placed.

The order matters when a burst brings more work than the workers can run. Steps
are sorted by queue priority, then by whether the job can still meet its
objective, then by deadline: within a queue, jobs that will be late in any case
are placed after those that can be in time.
"""

import msgspec

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
    # Estimated time to complete the remaining work.
    remaining_seconds: float
    # Time from acceptance of the job to its deadline.
    objective_seconds: float


def measure_critical_path(job: workloads.Job) -> float:
    """Return the estimated duration of the critical path in seconds."""
    finish_seconds: list[float] = []
    for step in job.steps:
        start_seconds = max(
            (finish_seconds[dependency] for dependency in step.depends_on),
            default=0.0,
        )
        finish_seconds.append(start_seconds + step.estimated_ms / 1000)
    return max(finish_seconds, default=0.0)


def make_sort_key(
    pending_step: PendingStep, now: float
) -> tuple[int, int, float, str]:
    """Return a sort key; the step with the lowest key is placed first."""
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
