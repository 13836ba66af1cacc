"""The leader's summary of the load, for the entries; no I/O."""

import collections.abc

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _jobs
from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import workloads

MIN_INTERVAL_SECONDS = 1.0
# Interval at which an unchanged summary is repeated while there is work, so
# that entries can tell that it still holds.
REPEAT_INTERVAL_SECONDS = 2.0
# Smallest change of an amount that matters, as a share of it.
MATERIAL_SHARE = 0.1
MILLIS_PER_CORE = 1000.0


class LoadReporter:
    """Decide when to record the load of the contended services."""

    __slots__ = ('_state', '_epoch', '_recorded', '_recorded_at')

    def __init__(self, state: _engine_state.State, epoch: int) -> None:
        self._state = state
        self._epoch = epoch
        self._recorded: _records.LoadSummary | None = None
        self._recorded_at = float('-inf')

    def make_record(
        self, configuration: workloads.Configuration, now: float, wall: float
    ) -> bytes | None:
        """Return a record of the load if there is something to tell.

        The first summary of a term replaces that of the earlier leader, also
        if nothing is known yet.
        """
        if now < self._recorded_at + MIN_INTERVAL_SECONDS:
            return None
        contended = [
            service.name
            for service in configuration.services
            if configuration.is_contended(service.name)
        ]
        if not contended:
            return None
        summary = _records.LoadSummary(
            self._epoch,
            {
                service: decisions.ServiceLoad(
                    self._state.outlooks[service],
                    summarize_jobs(self._state, service, wall),
                )
                for service in contended
                if service in self._state.outlooks
            },
        )
        recorded = self._recorded
        if recorded is not None and not is_material(recorded, summary):
            has_work = any(
                load.outlook.total_core_seconds > 0
                for load in summary.services.values()
            )
            if (
                not has_work
                or now < self._recorded_at + REPEAT_INTERVAL_SECONDS
            ):
                return None
        self._recorded = summary
        self._recorded_at = now
        return _records.encode_load(summary)


def summarize_jobs(
    state: _engine_state.State, service: str, wall: float
) -> tuple[decisions.PriorityLoad, ...]:
    """Return the work left of a service's jobs, by priority and size.

    Jobs whose results have no value any more are left out: they are served
    after all others.
    """
    works: dict[int, dict[decisions.Standing, list[float]]] = {}
    for job_state in state.jobs.values():
        if (
            job_state.final
            or job_state.terms.service != service
            or not job_state.job.is_filler
        ):
            continue
        by_standing = works.setdefault(job_state.terms.priority, {})
        standing = state.find_standing(job_state.job.identifier)
        by_standing.setdefault(standing, []).append(
            measure_work_left(state.durations, job_state, wall)
        )
    return tuple(
        decisions.PriorityLoad(
            priority,
            *(
                decisions.classify_sizes(works[priority].get(standing, ()))
                for standing in (
                    decisions.Standing.TIMELY,
                    decisions.Standing.DELAYED,
                )
            ),
        )
        for priority in sorted(works)
    )


def measure_work_left(
    durations: decisions.DurationModel, state: _jobs.JobState, wall: float
) -> float:
    """Return the work of a job that is due and not done, in core-seconds."""
    work = 0.0
    for occurrence in range(state.job.occurrence_count):
        if wall < state.compute_occurrence_start(occurrence):
            break
        for number, step in enumerate(state.job.steps):
            count = state.count_unfinished(occurrence, number)
            if count:
                name = f'{state.job.identifier}.{occurrence}.{number}'
                work += count * measure_task_work(
                    durations, state.job.queue, name, step
                )
    return work


def measure_task_work(
    durations: decisions.DurationModel,
    queue: str,
    step_id: str,
    step: workloads.Step,
) -> float:
    """Return the work of one task in core-seconds."""
    seconds = durations.estimate_seconds(queue, step_id, step)
    return step.cpu_millis / MILLIS_PER_CORE * seconds


def describe_demand(job: workloads.Job) -> decisions.JobDemand | None:
    """Return what a submitted job needs, for the decision to admit it.

    Returns None for a job that does not compete for what others leave unused,
    or whose occurrences come later.
    """
    if not job.is_filler or job.occurrences:
        return None
    state = _jobs.JobState(job, None)
    return decisions.JobDemand(
        job=job.identifier,
        priority=job.terms.priority,
        core_seconds=measure_work_left(
            decisions.DeclaredDurations(), state, job.accepted_ms / 1000
        ),
        path_seconds=max(state.remaining_paths, default=0.0),
        objective_seconds=state.objective_seconds,
    )


def is_material(
    recorded: _records.LoadSummary, summary: _records.LoadSummary
) -> bool:
    """Return whether a summary differs so much that decisions may differ."""
    if recorded.services.keys() != summary.services.keys():
        return True
    return any(
        _differs(
            _list_amounts(recorded.services[service]),
            _list_amounts(summary.services[service]),
        )
        for service in summary.services
    )


def _list_amounts(load: decisions.ServiceLoad) -> dict[object, float]:
    amounts: dict[object, float] = dict(
        msgspec.structs.asdict(load.outlook).items()
    )
    for priority_load in load.priorities:
        amounts[priority_load.priority] = sum(
            size.core_seconds
            for size in (*priority_load.timely, *priority_load.delayed)
        )
    return amounts


def _differs(
    before: collections.abc.Mapping[object, float],
    after: collections.abc.Mapping[object, float],
) -> bool:
    return before.keys() != after.keys() or any(
        abs(after[key] - amount) > MATERIAL_SHARE * max(amount, after[key])
        for key, amount in before.items()
    )
