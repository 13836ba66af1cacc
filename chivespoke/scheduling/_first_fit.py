"""The baseline placement policy: first fit."""

import collections.abc

from chivespoke.scheduling import _policy


class FirstFit(_policy.PlacementPolicy):
    """Choose the first candidate."""

    __slots__ = ()

    def choose_worker(
        self,
        demand: _policy.TaskDemand,
        candidates: collections.abc.Sequence[_policy.WorkerView],
    ) -> _policy.WorkerView | None:
        del demand
        return candidates[0] if candidates else None
