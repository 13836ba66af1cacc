"""Steps that no worker has room for.

Load pattern: a burst leaves dozens of steps waiting while all workers are in
use, and each run that ends lets the leader plan again. Within one plan workers
only lose room, so that a step need not be tried after a step that asks for no
more has found no worker.
"""

import msgspec

from chivespoke import workloads


class StepDemand(msgspec.Struct, frozen=True):
    """Describe what a worker must offer for a task of a step."""

    step: workloads.Step
    service: str
    # The task waits rather than run at a low speed.
    may_wait: bool
    # An advisor must allow the worker.
    needs_advice: bool = False


class ShortageTracker:
    """Track the demands that could not be met within one plan."""

    __slots__ = ('_unmet',)

    def __init__(self) -> None:
        self._unmet: list[StepDemand] = []

    def record(self, demand: StepDemand) -> None:
        """Record that no worker meets a demand."""
        step = demand.step
        if step.max_per_worker or demand.needs_advice:
            # Other steps have other workers to choose from.
            return
        if not self.covers(demand):
            self._unmet.append(demand)

    def covers(self, demand: StepDemand) -> bool:
        """Return whether a demand cannot be met either."""
        return any(is_harder(demand, unmet) for unmet in self._unmet)


def is_harder(demand: StepDemand, other: StepDemand) -> bool:
    """Return whether each worker that meets a demand meets the other one."""
    step, other_step = demand.step, other.step
    return (
        demand.service == other.service
        and step.filler == other_step.filler
        # The expected speed of a filler depends on its image.
        and (not step.filler or step.image == other_step.image)
        and other_step.required_label in ('', step.required_label)
        # A filler that need not wait accepts workers that a waiting one does
        # not.
        and (demand.may_wait or not other.may_wait)
        and step.cpu_millis >= other_step.cpu_millis
        and step.memory_mb >= other_step.memory_mb
        and step.accelerators >= other_step.accelerators
    )
