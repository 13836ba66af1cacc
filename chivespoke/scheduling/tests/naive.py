"""A reference scheduler that is slow and simple.

It places one task at a time by first fit, and replays all records for each
decision.
"""

from chivespoke import resources
from chivespoke.scheduling import _records

Task = tuple[int, int]


class NaiveShard:
    """Check a record against all records accepted so far.

    It shares no code with the fold and keeps no state but the list of
    accepted records, which it scans from the beginning for each check.
    """

    def __init__(self) -> None:
        self.accepted: list[_records.Record] = []

    def accept(self, record: _records.Record) -> bool:
        """Return whether a record is legal now; add it if it is."""
        is_legal = self._is_legal(record)
        if is_legal:
            self.accepted.append(record)
        return is_legal

    def place_first_fit(self, version: int) -> _records.AttemptPlaced | None:
        """Return the first legal placement in order of tasks, or None."""
        for job, submitted in enumerate(self._list_jobs()):
            for index in range(submitted.tasks):
                for worker in range(len(self._list_workers())):
                    attempt = self._count_attempts((job, index)) + 1
                    placed = _records.AttemptPlaced(
                        job, index, attempt, worker, version
                    )
                    if self._is_legal(placed):
                        return placed
        return None

    def _is_legal(self, record: _records.Record) -> bool:
        match record:
            case _records.AttemptPlaced():
                return self._is_legal_placement(record)
            case _records.AttemptEnded():
                task = (record.job, record.index)
                return self._find_running().get(task) == record.attempt
            case _records.JobCancelled():
                return (
                    record.job < len(self._list_jobs())
                    and record not in self.accepted
                )
            case _records.JobSubmitted():
                return all(
                    job.job_id != record.job_id for job in self._list_jobs()
                )
            case _records.WorkerGivenUp():
                return self._is_up(record.worker)
            case _records.WorkerReadmitted():
                return record.worker < len(
                    self._list_workers()
                ) and not self._is_up(record.worker)
            case _records.ConfigurationObserved():
                return record.version > self._get_version()
            case _:
                return True

    def _is_legal_placement(self, record: _records.AttemptPlaced) -> bool:
        jobs, workers = self._list_jobs(), self._list_workers()
        if record.job >= len(jobs) or record.worker >= len(workers):
            return False
        job, worker = jobs[record.job], workers[record.worker]
        task = (record.job, record.index)
        out = self._get_data_centres_out()
        return (
            record.index < job.tasks
            and record.version >= self._get_version()
            and self._is_up(record.worker)
            and worker.data_centre not in out
            and task not in self._find_running()
            and not self._is_done(task, job.spec.retries)
            and _records.JobCancelled(record.job) not in self.accepted
            and record.attempt == self._count_attempts(task) + 1
            and (
                self._sum_committed(record.worker) + job.spec.size
            ).fits_within(worker.capacity)
        )

    def _list_jobs(self) -> list[_records.JobSubmitted]:
        return [
            record
            for record in self.accepted
            if isinstance(record, _records.JobSubmitted)
        ]

    def _list_workers(self) -> list[_records.WorkerRegistered]:
        return [
            record
            for record in self.accepted
            if isinstance(record, _records.WorkerRegistered)
        ]

    def _get_version(self) -> int:
        return max(
            (
                record.version
                for record in self.accepted
                if isinstance(record, _records.ConfigurationObserved)
            ),
            default=0,
        )

    def _get_data_centres_out(self) -> tuple[str, ...]:
        out: tuple[str, ...] = ()
        for record in self.accepted:
            if isinstance(record, _records.ConfigurationObserved):
                out = record.out_of_service
        return out

    def _is_up(self, worker: int) -> bool:
        up = worker < len(self._list_workers())
        for record in self.accepted:
            if isinstance(record, _records.WorkerGivenUp):
                up = up and record.worker != worker
            elif isinstance(record, _records.WorkerReadmitted):
                up = up or record.worker == worker
        return up

    def _find_running(self) -> dict[Task, int]:
        """Return the running tasks with their attempt numbers."""
        running: dict[Task, tuple[int, int]] = {}
        for record in self.accepted:
            if isinstance(record, _records.AttemptPlaced):
                running[(record.job, record.index)] = (
                    record.attempt,
                    record.worker,
                )
            elif isinstance(record, _records.AttemptEnded):
                del running[(record.job, record.index)]
            elif isinstance(record, _records.WorkerGivenUp):
                running = {
                    task: (attempt, worker)
                    for task, (attempt, worker) in running.items()
                    if worker != record.worker
                }
        return {task: attempt for task, (attempt, _) in running.items()}

    def _is_done(self, task: Task, retries: int) -> bool:
        ends = [
            record.outcome
            for record in self.accepted
            if isinstance(record, _records.AttemptEnded)
            and (record.job, record.index) == task
        ]
        failures = ends.count(_records.Outcome.FAILED)
        return _records.Outcome.COMPLETED in ends or failures > retries

    def _count_attempts(self, task: Task) -> int:
        return sum(
            isinstance(record, _records.AttemptPlaced)
            and (record.job, record.index) == task
            for record in self.accepted
        )

    def _sum_committed(self, worker: int) -> resources.Resources:
        jobs = self._list_jobs()
        running = self._find_running()
        return sum(
            (
                jobs[record.job].spec.size
                for record in self.accepted
                if isinstance(record, _records.AttemptPlaced)
                and record.worker == worker
                and running.get((record.job, record.index)) == record.attempt
            ),
            resources.NOTHING,
        )
