"""Expected durations of tasks."""

import abc

from chivespoke import workloads


class DurationModel(abc.ABC):
    """Estimate how long tasks take at full speed."""

    @abc.abstractmethod
    def estimate_seconds(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> float:
        """Return the expected duration of a task at full speed in seconds.

        `step_id` names the step and its occurrence: `job.occurrence.step`.
        """


class DeclaredDurations(DurationModel):
    """Use the estimates of the submitters."""

    __slots__ = ()

    def estimate_seconds(
        self, queue: str, step_id: str, step: workloads.Step
    ) -> float:
        return step.estimated_ms / 1000
