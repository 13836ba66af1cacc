"""Choice of the jobs that are served in time on the leader; no I/O."""

import collections.abc

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke import decisions
from chivespoke import logs
from chivespoke import workloads

LOGGER = logs.make_logger('triage')

# Interval at which jobs are ranked: short against the tasks of a second and
# more that compete for room.
INTERVAL_SECONDS = 0.5
MILLIS_PER_CORE = 1000.0


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
        if now < self._planned_at + INTERVAL_SECONDS:
            return
        self._planned_at = now
        ranks: dict[str, decisions.Rank] = {}
        outlooks: dict[str, decisions.ServiceOutlook] = {}
        for service in configuration.services:
            if not configuration.is_contended(service.name):
                continue
            states = self._list_jobs(service.name, wall)
            job_outlooks = [self._describe_job(state) for state in states]
            detector = self._observe(service.name, states, now, wall)
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
            and is_filler_job(state.job)
            and wall >= state.compute_occurrence_start(0)
        ]

    def _observe(
        self,
        service: str,
        states: collections.abc.Iterable[_jobs.JobState],
        now: float,
        wall: float,
    ) -> decisions.CrowdingDetector:
        detector = self._detectors.setdefault(
            service, decisions.CrowdingDetector()
        )
        wanted = used = 0.0
        for worker in self._state.workers.values():
            if worker.incarnation.service != service:
                continue
            for run in worker.runs.values():
                # A run that was not listed yet has had no time to work.
                if run.step.filler and run.last_listing is not None:
                    wanted += run.step.cpu_millis
                    used += min(run.step.cpu_millis, run.last_listing.measure)
        for state in states:
            for occurrence, number in state.list_ready(wall):
                step = state.job.steps[number]
                wanted += step.cpu_millis * len(
                    state.list_waiting(occurrence, number)
                )
        detector.observe(wanted / MILLIS_PER_CORE, used / MILLIS_PER_CORE, now)
        return detector

    def _describe_job(self, state: _jobs.JobState) -> decisions.JobOutlook:
        job = state.job
        full_paths = [0.0] * len(job.steps)
        left_paths = [0.0] * len(job.steps)
        total_work = work_left = 0.0
        for number in reversed(range(len(job.steps))):
            step = job.steps[number]
            estimate = self._state.durations.estimate(
                job.queue, f'{job.identifier}.0.{number}', step
            )
            left_tasks, left_share = self._measure_left(state, number)
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

    def _measure_left(
        self, state: _jobs.JobState, number: int
    ) -> tuple[float, float]:
        """Return the work left of a step.

        In tasks, and as the largest share of a task that is left.
        """
        tasks = 0.0
        largest = 0.0
        for occurrence, steps in enumerate(state.progress.tasks):
            for index, task in enumerate(steps[number]):
                share = 1.0
                if task.status is workloads.TaskStatus.DONE:
                    continue
                if task.status is workloads.TaskStatus.ASSIGNED:
                    share = self._find_share_left(
                        task.worker,
                        workloads.TaskName(
                            state.job.identifier, occurrence, number, index
                        ),
                    )
                tasks += share
                largest = max(largest, share)
        return tasks, largest

    def _find_share_left(self, key: str, name: workloads.TaskName) -> float:
        worker = self._state.workers.get(key)
        run: _fleet.Run | None = None
        if worker is not None:
            run = worker.runs.get(name.format())
        if run is None or run.last_listing is None:
            return 1.0
        return max(0.0, 1.0 - run.last_listing.progress / 100)

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


def is_filler_job(job: workloads.Job) -> bool:
    """Return whether a job uses only what others leave unused."""
    return all(step.filler and not step.long_running for step in job.steps)


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
