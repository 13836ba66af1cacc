"""Spread the replicas of a service over failure domains."""

import collections

from chivespoke import identifiers
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle


class ReplicaSpread:
    """Filter the candidates for the next task of a job.

    A replica goes to the data centre with the fewest replicas of its
    service; among equals, to the rack and then the worker with the fewest.
    Workers on which the job failed and never completed are avoided if there
    are others.
    """

    __slots__ = (
        '_is_service',
        '_failed_workers',
        '_count_by_data_centre',
        '_count_by_rack',
        '_count_by_worker',
    )

    def __init__(self, shard: _state.Shard, job: _state.Job) -> None:
        self._is_service = _task_lifecycle.is_service(job)
        self._failed_workers = {
            shard.workers[worker_number].worker_id
            for worker_number in job.failed_on
            if worker_number not in job.completed_on
        }
        self._count_by_data_centre: collections.Counter[
            identifiers.DataCentreName
        ] = collections.Counter()
        self._count_by_rack: collections.Counter[
            tuple[identifiers.DataCentreName, identifiers.RackName]
        ] = collections.Counter()
        self._count_by_worker: collections.Counter[identifiers.WorkerId] = (
            collections.Counter()
        )
        if not self._is_service:
            return
        for attempt in job.running.values():
            if not attempt.stop_requested:
                worker = shard.workers[attempt.worker]
                self._count_replica(
                    worker.data_centre, worker.rack, worker.worker_id
                )

    def add(self, view: _policy.WorkerView) -> None:
        """Count a placement made in the current batch."""
        if self._is_service:
            self._count_replica(view.data_centre, view.rack, view.worker_id)

    def filter(
        self, candidates: list[_policy.WorkerView]
    ) -> list[_policy.WorkerView]:
        """Return the preferred candidates; all when none is preferred."""
        if self._failed_workers:
            without_failures = [
                view
                for view in candidates
                if view.worker_id not in self._failed_workers
            ]
            candidates = without_failures or candidates
        if not self._is_service or not candidates:
            return candidates
        lowest_rank = min(self._compute_rank(view) for view in candidates)
        return [
            view
            for view in candidates
            if self._compute_rank(view) == lowest_rank
        ]

    def _compute_rank(self, view: _policy.WorkerView) -> tuple[int, int, int]:
        return (
            self._count_by_data_centre[view.data_centre],
            self._count_by_rack[(view.data_centre, view.rack)],
            self._count_by_worker[view.worker_id],
        )

    def _count_replica(
        self,
        data_centre: identifiers.DataCentreName,
        rack: identifiers.RackName,
        worker: identifiers.WorkerId,
    ) -> None:
        self._count_by_data_centre[data_centre] += 1
        self._count_by_rack[(data_centre, rack)] += 1
        self._count_by_worker[worker] += 1
