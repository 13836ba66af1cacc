"""Choice of the jobs that are served in time on the leader; no I/O."""

import collections.abc

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('triage')

# Interval at which jobs are ranked: short against the tasks of a second and
# more that compete for room.
INTERVAL_SECONDS = 0.5
MILLIS_PER_CORE = 1000.0


class StepAdvance:
    """Hold how far the listed runs of a step have come."""

    __slots__ = ('runs', 'done_tasks', 'least_share')

    def __init__(self) -> None:
        self.runs = 0
        # Sum of the shares that are done, and the least of them.
        self.done_tasks = 0.0
        self.least_share = 1.0

    def add(self, share: float) -> None:
        """Add a run that has done a share of its work."""
        self.runs += 1
        self.done_tasks += share
        self.least_share = min(self.least_share, share)


class FillerUse:
    """Hold what the listed fillers of a service want, use and have done."""

    __slots__ = ('wanted_millis', 'used_millis', 'steps')

    def __init__(self) -> None:
        self.wanted_millis = 0.0
        self.used_millis = 0.0
        # By step id.
        self.steps: dict[str, StepAdvance] = {}

    def add(self, run: _fleet.Run, row: platform.RunningTask) -> None:
        """Add a run as its worker lists it."""
        self.wanted_millis += run.step.cpu_millis
        self.used_millis += min(run.step.cpu_millis, row.measure)
        advance = self.steps.setdefault(run.step_id, StepAdvance())
        advance.add(min(1.0, max(0.0, row.progress / 100)))


class TriagePlanner:
    """Rank the jobs of services that have too little room.

    Only jobs of fillers compete for room that can be measured: what others
    leave unused. A service takes part if queues of more than one priority
    share it.
    """

    __slots__ = ('_state', '_detectors', '_planned_at')

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        self._detectors: dict[str, decisions.CrowdingDetector] = {}
        self._planned_at = float('-inf')

    def update(
        self, configuration: workloads.Configuration, now: float, wall: float
    ) -> None:
        """Rank all jobs again if the interval has passed."""
        if (
            not self._state.delays_jobs
            or now < self._planned_at + INTERVAL_SECONDS
        ):
            return
        self._planned_at = now
        ranks: dict[str, decisions.Rank] = {}
        outlooks: dict[str, decisions.ServiceOutlook] = {}
        for service in configuration.services:
            if not configuration.is_contended(service.name):
                continue
            states = self._list_jobs(service.name, wall)
            use = self._measure_use(service.name)
            job_outlooks = [
                self._describe_job(state, use.steps) for state in states
            ]
            detector = self._observe(service.name, use, states, now, wall)
            service_ranks: dict[str, decisions.Rank] = {}
            if detector.is_crowded:
                service_ranks = decisions.rank_jobs(
                    job_outlooks,
                    detector.throughput,
                    wall,
                    self._list_chosen(),
                )
            ranks |= service_ranks
            outlooks[service.name] = summarize(
                job_outlooks, service_ranks, detector.throughput
            )
            self._log(service.name, service_ranks, outlooks[service.name])
        self._state.ranks = ranks
        self._state.outlooks = outlooks

    def _list_chosen(self) -> frozenset[str]:
        return frozenset(
            job
            for job, rank in self._state.ranks.items()
            if rank.standing is decisions.Standing.TIMELY
        )

    def _list_jobs(self, service: str, wall: float) -> list[_jobs.JobState]:
        return [
            state
            for state in self._state.jobs.values()
            if not state.final
            and state.terms.service == service
            and state.job.is_filler
            and wall >= state.compute_occurrence_start(0)
        ]

    def _measure_use(self, service: str) -> FillerUse:
        """Add up what the fillers of a service want, use and have done.

        A run that was not listed yet has had no time to work.
        """
        use = FillerUse()
        for worker in self._state.workers.values():
            if worker.incarnation.service != service:
                continue
            for run in worker.runs.values():
                row = run.last_listing
                if run.step.filler and row is not None:
                    use.add(run, row)
        return use

    def _observe(
        self,
        service: str,
        use: FillerUse,
        states: collections.abc.Iterable[_jobs.JobState],
        now: float,
        wall: float,
    ) -> decisions.CrowdingDetector:
        detector = self._detectors.setdefault(
            service, decisions.CrowdingDetector()
        )
        wanted = use.wanted_millis
        for state in states:
            for occurrence, number in state.list_ready(wall):
                wanted += state.job.steps[number].cpu_millis * len(
                    state.list_waiting(occurrence, number)
                )
        detector.observe(
            wanted / MILLIS_PER_CORE, use.used_millis / MILLIS_PER_CORE, now
        )
        return detector

    def _describe_job(
        self, state: _jobs.JobState, advances: dict[str, StepAdvance]
    ) -> decisions.JobOutlook:
        job = state.job
        full_paths = [0.0] * len(job.steps)
        left_paths = [0.0] * len(job.steps)
        total_work = work_left = 0.0
        for number in reversed(range(len(job.steps))):
            step = job.steps[number]
            step_id = f'{job.identifier}.0.{number}'
            estimate = self._state.durations.estimate(job.queue, step_id, step)
            left_tasks, left_share = measure_left(
                sum(
                    state.count_unfinished(occurrence, number)
                    for occurrence in range(job.occurrence_count)
                ),
                advances.get(step_id),
            )
            cores = step.cpu_millis / MILLIS_PER_CORE
            core_seconds = cores * estimate.mean_seconds
            total_work += core_seconds * step.count * job.occurrence_count
            work_left += core_seconds * left_tasks
            full_paths[number] += estimate.seconds
            left_paths[number] += estimate.seconds * left_share
            for dependency in step.depends_on:
                full_paths[dependency] = max(
                    full_paths[dependency], full_paths[number]
                )
                left_paths[dependency] = max(
                    left_paths[dependency], left_paths[number]
                )
        terms = state.terms
        return decisions.JobOutlook(
            job=job.identifier,
            priority=terms.priority,
            waits_since=max(
                job.accepted_ms / 1000, state.compute_occurrence_start(0)
            ),
            objective_seconds=max(
                _jobs.MIN_OBJECTIVE_SECONDS,
                max(full_paths, default=0.0) * terms.stretch
                + terms.margin_ms / 1000,
            ),
            path_seconds=max(left_paths, default=0.0),
            work_left=work_left,
            total_work=total_work,
        )

    def _log(
        self,
        service: str,
        ranks: dict[str, decisions.Rank],
        outlook: decisions.ServiceOutlook,
    ) -> None:
        for job, rank in ranks.items():
            before = self._state.ranks.get(job)
            if before is None and rank.standing is decisions.Standing.TIMELY:
                continue
            if before is None or before.standing is not rank.standing:
                self._state.record_standing_change(rank.standing)
                LOGGER.info(
                    'The standing of a job changed.',
                    job=job,
                    standing=rank.standing.name.lower(),
                    service=service,
                    throughput_cores=round(outlook.throughput_cores, 1),
                    timely_core_seconds=round(outlook.timely_core_seconds),
                    total_core_seconds=round(outlook.total_core_seconds),
                )


def measure_left(
    unfinished: int, advance: StepAdvance | None
) -> tuple[float, float]:
    """Return the work left of a step.

    In tasks, and as the largest share of a task that is left.
    """
    if not unfinished:
        return 0.0, 0.0
    if advance is None:
        return float(unfinished), 1.0
    left_tasks = max(0.0, unfinished - advance.done_tasks)
    if unfinished > advance.runs:
        return left_tasks, 1.0
    return left_tasks, 1.0 - advance.least_share


def summarize(
    job_outlooks: collections.abc.Iterable[decisions.JobOutlook],
    ranks: dict[str, decisions.Rank],
    throughput: float,
) -> decisions.ServiceOutlook:
    """Return the load of a service; jobs without a rank are in time."""
    timely = total = 0.0
    for outlook in job_outlooks:
        total += outlook.work_left
        rank = ranks.get(outlook.job)
        if rank is None or rank.standing is decisions.Standing.TIMELY:
            timely += outlook.work_left
    return decisions.ServiceOutlook(throughput, timely, total)
