"""Where a task is to run.

Answers a load of wide steps on workers of uneven size: tasks that reserve
processor time are spread to where most is free, and fillers wait rather than
share a worker so thinly that all of them miss their objective.
"""

import collections.abc

import msgspec

from chivespoke import workloads

# A filler may find this share of its processor time taken by others: it then
# still ends within its objective, as that allows at least 1.5 times the work.
FILLER_OVERLAP = 0.1
# Share of its reserved processor time that a serving task is taken to use:
# its load swings between a quarter and two thirds of what it reserves.
SERVING_USE = 0.5


class Site(msgspec.Struct, frozen=True):
    """Hold what is known of a worker that may take a task."""

    worker: str
    rack: str
    labels: tuple[str, ...]
    free: workloads.Room
    # Processor time that nothing on the worker asks for.
    spare_millis: int
    # Tasks of the same step and occurrence that it already has.
    same_step: int = 0


def estimate_spare(
    free_millis: int, serving_millis: int, filler_millis: int
) -> int:
    """Return the processor time of a worker that nothing will ask for."""
    unused = int(serving_millis * (1 - SERVING_USE))
    return free_millis + unused - filler_millis


def can_take(step: workloads.Step, site: Site) -> bool:
    """Tell whether a task of a step may run on a worker now."""
    if not site.free.fits(workloads.measure_need(step)):
        return False
    if step.required_label and step.required_label not in site.labels:
        return False
    if 0 < step.max_per_worker <= site.same_step:
        return False
    needed = int(step.cpu_millis * (1 - FILLER_OVERLAP))
    return not step.filler or site.spare_millis >= needed


def choose_site(
    step: workloads.Step, sites: collections.abc.Iterable[Site]
) -> Site | None:
    """Return the worker that a task does best on, None if it must wait."""
    return max(
        (site for site in sites if can_take(step, site)),
        key=lambda site: (
            step.preferred_rack == site.rack,
            -site.same_step if step.long_running else 0,
            site.spare_millis,
            site.worker,
        ),
        default=None,
    )
