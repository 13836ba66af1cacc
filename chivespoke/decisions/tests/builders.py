"""Builders of the inputs of decisions."""

from chivespoke import decisions
from chivespoke import workloads


def make_candidate(
    worker: str = 'w1',
    spare_millis: int = 8000,
    headrooms: tuple[decisions.LatencyHeadroom, ...] = (),
    **fields: object,
) -> decisions.CandidateWorker:
    """Return a candidate worker with free resources for a few tasks."""
    values: dict[str, object] = {
        'rack': 'r1',
        'labels': ('a', 'r1'),
        'free': workloads.Resources(8000, 32000, 0),
        'capacity': workloads.Resources(10000, 32000, 0),
        **fields,
    }
    return decisions.CandidateWorker(
        worker=worker,
        spare_millis=spare_millis,
        headrooms=headrooms,
        **values,  # type: ignore[arg-type]
    )


def make_filler(image: str = 'f1', cpu_millis: int = 1000) -> workloads.Step:
    """Return a step with one filler."""
    return workloads.Step(
        count=1, cpu_millis=cpu_millis, image=image, filler=True
    )


def make_serving(image: str = 's1') -> workloads.Step:
    """Return a step with one serving task."""
    return workloads.Step(
        count=1,
        cpu_millis=1000,
        image=image,
        long_running=True,
        target_latency_ms=18,
    )


def make_pending_step(
    job: str,
    deadline: float,
    remaining_seconds: float = 2.0,
    objective_seconds: float = 10.0,
    priority: int = 0,
) -> decisions.PendingStep:
    """Return a step that waits for placement."""
    return decisions.PendingStep(
        job=job,
        priority=priority,
        long_running=False,
        deadline=deadline,
        remaining_seconds=remaining_seconds,
        objective_seconds=objective_seconds,
    )


def make_paced(
    task: str,
    image: str,
    measure: float,
    target: int = 0,
    pace: int = 100,
    is_new: bool = False,
) -> decisions.PacedRun:
    """Return an input of pacing: a serving run if it has a target."""
    return decisions.PacedRun(
        task=task,
        run=1,
        image=image,
        filler=not target,
        target_latency_ms=target,
        measure=measure,
        pace=pace,
        is_new=is_new,
    )


class CountingInterference(decisions.LearnedInterferenceModel):
    """Count how often a coefficient is looked up."""

    def __init__(self) -> None:
        super().__init__()
        self.lookups = 0

    def find_coefficient(self, serving: str, filler: str) -> float:
        self.lookups += 1
        return super().find_coefficient(serving, filler)
