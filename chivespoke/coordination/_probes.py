"""Starts of suspects on workers that are kept free of other suspects."""

import typing

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _suspects
from chivespoke import decisions
from chivespoke import workloads

# Share of the workers that accept tasks that are kept for suspects at most.
MAX_KEPT_SHARE = 0.5
# Time for which a worker is kept until its latest runs are no longer young:
# longer than SUSPECT_AGE_SECONDS, counted from the answer to their orders.
RESERVATION_SECONDS = 3.0

# Descriptions of the workers that accept tasks, by worker.
Candidates: typing.TypeAlias = dict[str, decisions.CandidateWorker]


class _Reservation(typing.NamedTuple):
    """Hold the worker that a waiting suspect gets next."""

    name: workloads.TaskName
    worker: str
    # Monotonic time in seconds.
    until: float


class ProbePlanner:
    """Keep workers for suspects, so that a crash there has one culprit."""

    __slots__ = (
        '_state',
        '_now',
        '_max_kept',
        '_held',
        '_kept',
        '_reservations',
    )

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        self._now = 0.0
        self._max_kept = 0
        # Workers on which suspects have started, and the jobs of these.
        self._held: dict[str, str] = {}
        # Descriptions of the workers that get no tasks of other jobs.
        self._kept: Candidates = {}
        self._reservations: dict[str, _Reservation] = {}

    def begin_plan(self, candidates: Candidates, now: float) -> None:
        """Take the workers out of a plan that are kept for suspects."""
        self._now = now
        self._kept = {}
        if not self._state.suspects:
            self._held = {}
            self._reservations = {}
            return
        self._max_kept = max(1, int(MAX_KEPT_SHARE * len(candidates)))
        self._held = self._state.suspects.find_held_workers(
            self._state.jobs, self._state.workers, now
        )
        self._reservations = {
            task_id: reservation
            for task_id, reservation in self._reservations.items()
            if now < reservation.until
            and reservation.worker in candidates
            and reservation.worker not in self._held
            and self._is_waiting(reservation.name)
        }
        for worker in (
            *self._held,
            *(item.worker for item in self._reservations.values()),
        ):
            self._keep(worker, candidates)

    def list_candidates(
        self, name: workloads.TaskName, candidates: Candidates
    ) -> Candidates:
        """Return the workers where a suspect may start.

        Those with the least to lose come first.
        """
        reservation = self._reservations.get(name.format())
        pool = {
            worker: candidate
            for worker, candidate in self._kept.items()
            if self._held.get(worker) == name.job
            or (reservation is not None and reservation.worker == worker)
        }
        if self._may_keep_more() or reservation is not None:
            pool.update(candidates)
        return dict(
            sorted(
                (
                    (worker, candidate)
                    for worker, candidate in pool.items()
                    if not self._has_other_suspects(worker, name.job)
                ),
                key=lambda item: self._make_loss_key(item[0], name),
            )
        )

    def record_start(
        self, worker: str, name: workloads.TaskName, candidates: Candidates
    ) -> None:
        """Keep the worker on which a suspect starts."""
        self._reservations.pop(name.format(), None)
        self._held[worker] = name.job
        # Replaces the description from before the start.
        self._kept.pop(worker, None)
        self._keep(worker, candidates)

    def reserve(
        self,
        name: workloads.TaskName,
        eligible: list[decisions.CandidateWorker],
        candidates: Candidates,
    ) -> None:
        """Keep a worker until the tasks that started there last are cleared.

        Otherwise a suspect could wait forever while other tasks start
        everywhere.
        """
        if name.format() in self._reservations or not self._may_keep_more():
            return
        workers = [item.worker for item in eligible]
        if not workers:
            return
        worker = min(workers, key=lambda key: self._make_loss_key(key, name))
        self._reservations[name.format()] = _Reservation(
            name, worker, self._now + RESERVATION_SECONDS
        )
        self._keep(worker, candidates)

    def _keep(self, worker: str, candidates: Candidates) -> None:
        candidate = candidates.pop(worker, None)
        if candidate is not None:
            self._kept[worker] = candidate

    def _may_keep_more(self) -> bool:
        kept = self._held.keys() | {
            item.worker for item in self._reservations.values()
        }
        return len(kept) < self._max_kept

    def _is_waiting(self, name: workloads.TaskName) -> bool:
        state = self._state.jobs.get(name.job)
        return state is not None and not state.final and state.is_waiting(name)

    def _has_other_suspects(self, worker: str, job: str) -> bool:
        """Return whether a crash could be blamed on another job as well."""
        return any(
            run.name.job != job and _suspects.is_young(run, self._now)
            for run in self._state.workers[worker].runs.values()
        )

    def _make_loss_key(
        self, worker: str, name: workloads.TaskName
    ) -> tuple[bool, bool, int]:
        state = self._state.jobs[name.job]
        task = state.find_task(name)
        described = self._state.workers[worker]
        crashed_here = task is not None and any(
            crash.place == described.sidecar for crash in task.crashes
        )
        return crashed_here, described.serving_millis > 0, len(described.runs)
