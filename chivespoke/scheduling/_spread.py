"""Spread the tasks of a job over what may fail together."""

import collections

from chivespoke import identifiers
from chivespoke.scheduling import _placing
from chivespoke.scheduling import _policy
from chivespoke.scheduling import _state


class Spread:
    """Keep the candidates that a job's next task should choose among.

    Replicas of a service go where there are fewest of them: by data
    centre, then rack, then worker. Tasks of a job stay off workers on
    which only failures of it were seen, unless there is nothing else.
    """

    __slots__ = ('_service', '_failed', '_centres', '_racks', '_workers')

    def __init__(self, shard: _state.Shard, job: _state.Job) -> None:
        self._service = _placing.is_service(job)
        self._failed = {
            shard.workers[number].worker_id
            for number in job.failed_on
            if number not in job.completed_on
        }
        self._centres: collections.Counter[identifiers.DataCentreName] = (
            collections.Counter()
        )
        self._racks: collections.Counter[
            tuple[identifiers.DataCentreName, identifiers.RackName]
        ] = collections.Counter()
        self._workers: collections.Counter[identifiers.WorkerId] = (
            collections.Counter()
        )
        if not self._service:
            return
        for attempt in job.running.values():
            if not attempt.stop_requested:
                worker = shard.workers[attempt.worker]
                self._count(worker.data_centre, worker.rack, worker.worker_id)

    def add(self, view: _policy.WorkerView) -> None:
        """Count a placement of the same batch."""
        if self._service:
            self._count(view.data_centre, view.rack, view.worker_id)

    def filter(
        self, candidates: list[_policy.WorkerView]
    ) -> list[_policy.WorkerView]:
        """Return the candidates that spread best, or all."""
        if self._failed:
            others = [
                view
                for view in candidates
                if view.worker_id not in self._failed
            ]
            candidates = others or candidates
        if not self._service or not candidates:
            return candidates
        best = min(self._rank(view) for view in candidates)
        return [view for view in candidates if self._rank(view) == best]

    def _rank(self, view: _policy.WorkerView) -> tuple[int, int, int]:
        return (
            self._centres[view.data_centre],
            self._racks[(view.data_centre, view.rack)],
            self._workers[view.worker_id],
        )

    def _count(
        self,
        data_centre: identifiers.DataCentreName,
        rack: identifiers.RackName,
        worker: identifiers.WorkerId,
    ) -> None:
        self._centres[data_centre] += 1
        self._racks[(data_centre, rack)] += 1
        self._workers[worker] += 1
