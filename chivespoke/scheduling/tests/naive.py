"""A naive scheduler: one task at a time, first fit, whole replay."""

from chivespoke import resources
from chivespoke.scheduling import _records

Task = tuple[int, int]


class NaiveShard:
    """Judge a record by replaying all accepted ones from the beginning.

    It shares no code with the fold: lists, sums over everything, and no
    state between two questions.
    """

    def __init__(self) -> None:
        self.accepted: list[_records.Record] = []

    def accept(self, record: _records.Record) -> bool:
        """Tell whether a record is legal now; keep it if it is."""
        legal = self._judge(record)
        if legal:
            self.accepted.append(record)
        return legal

    def place_first_fit(self, version: int) -> _records.AttemptPlaced | None:
        """Return the first legal placement, task by task."""
        for job, submitted in enumerate(self._list_jobs()):
            for index in range(submitted.tasks):
                for worker in range(len(self._list_workers())):
                    attempt = self._count_attempts((job, index)) + 1
                    placed = _records.AttemptPlaced(
                        job, index, attempt, worker, version
                    )
                    if self._judge(placed):
                        return placed
        return None

    def _judge(self, record: _records.Record) -> bool:
        match record:
            case _records.AttemptPlaced():
                return self._judge_placed(record)
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

    def _judge_placed(self, record: _records.AttemptPlaced) -> bool:
        jobs, workers = self._list_jobs(), self._list_workers()
        if record.job >= len(jobs) or record.worker >= len(workers):
            return False
        job, worker = jobs[record.job], workers[record.worker]
        task = (record.job, record.index)
        out = self._get_out()
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
            each
            for each in self.accepted
            if isinstance(each, _records.JobSubmitted)
        ]

    def _list_workers(self) -> list[_records.WorkerRegistered]:
        return [
            each
            for each in self.accepted
            if isinstance(each, _records.WorkerRegistered)
        ]

    def _get_version(self) -> int:
        return max(
            (
                each.version
                for each in self.accepted
                if isinstance(each, _records.ConfigurationObserved)
            ),
            default=0,
        )

    def _get_out(self) -> tuple[str, ...]:
        out: tuple[str, ...] = ()
        for each in self.accepted:
            if isinstance(each, _records.ConfigurationObserved):
                out = each.out_of_service
        return out

    def _is_up(self, worker: int) -> bool:
        up = worker < len(self._list_workers())
        for each in self.accepted:
            if isinstance(each, _records.WorkerGivenUp):
                up = up and each.worker != worker
            elif isinstance(each, _records.WorkerReadmitted):
                up = up or each.worker == worker
        return up

    def _find_running(self) -> dict[Task, int]:
        """Return the attempt of each running task."""
        running: dict[Task, tuple[int, int]] = {}
        for each in self.accepted:
            if isinstance(each, _records.AttemptPlaced):
                running[(each.job, each.index)] = (each.attempt, each.worker)
            elif isinstance(each, _records.AttemptEnded):
                del running[(each.job, each.index)]
            elif isinstance(each, _records.WorkerGivenUp):
                running = {
                    task: (attempt, worker)
                    for task, (attempt, worker) in running.items()
                    if worker != each.worker
                }
        return {task: attempt for task, (attempt, _) in running.items()}

    def _is_done(self, task: Task, retries: int) -> bool:
        ends = [
            each.outcome
            for each in self.accepted
            if isinstance(each, _records.AttemptEnded)
            and (each.job, each.index) == task
        ]
        failures = ends.count(_records.Outcome.FAILED)
        return _records.Outcome.COMPLETED in ends or failures > retries

    def _count_attempts(self, task: Task) -> int:
        return sum(
            isinstance(each, _records.AttemptPlaced)
            and (each.job, each.index) == task
            for each in self.accepted
        )

    def _sum_committed(self, worker: int) -> resources.Resources:
        jobs = self._list_jobs()
        running = self._find_running()
        return sum(
            (
                jobs[each.job].spec.size
                for each in self.accepted
                if isinstance(each, _records.AttemptPlaced)
                and each.worker == worker
                and running.get((each.job, each.index)) == each.attempt
            ),
            resources.NOTHING,
        )
