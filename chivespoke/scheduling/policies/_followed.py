"""Policies that follow the weights and limits of the configuration."""

import collections.abc

from chivespoke import clock as clocks
from chivespoke import operators
from chivespoke import scheduling
from chivespoke.scheduling.policies import _guard
from chivespoke.scheduling.policies import _interference
from chivespoke.scheduling.policies import _knowledge
from chivespoke.scheduling.policies import _placement
from chivespoke.scheduling.policies import _sizes


class FollowedPlacement(scheduling.PlacementPolicy):
    """Place by weights that are read again when they change."""

    __slots__ = ('_source', '_knowledge', '_clock', '_weights', '_policy')

    def __init__(
        self,
        source: scheduling.ConfigurationSource,
        knowledge: _knowledge.Knowledge,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._knowledge = knowledge
        self._clock = clock
        self._weights = source.document.weights
        self._policy = _placement.WeighedPlacement(
            knowledge, self._weights, clock
        )

    def choose_worker(
        self,
        demand: scheduling.TaskDemand,
        candidates: collections.abc.Sequence[scheduling.WorkerView],
    ) -> scheduling.WorkerView | None:
        weights = self._source.document.weights
        if weights != self._weights:
            self._weights = weights
            self._policy = _placement.WeighedPlacement(
                self._knowledge, weights, self._clock
            )
        return self._policy.choose_worker(demand, candidates)


class FollowedGuard(scheduling.GuardPolicy):
    """Guard by weights and limits that are read again when they change."""

    __slots__ = ('_source', '_knowledge', '_read', '_guard')

    def __init__(
        self,
        source: scheduling.ConfigurationSource,
        knowledge: _knowledge.Knowledge,
    ) -> None:
        self._source = source
        self._knowledge = knowledge
        document = source.document
        self._read = (document.weights, document.limits)
        self._guard = _guard.SteppedGuard(knowledge, *self._read)

    def decide_actions(
        self, now: float, worker: scheduling.WorkerView
    ) -> tuple[scheduling.GuardAction, ...]:
        document = self._source.document
        read: tuple[operators.Weights, operators.Limits] = (
            document.weights,
            document.limits,
        )
        if read != self._read:
            self._read = read
            self._guard = _guard.SteppedGuard(self._knowledge, *read)
        return self._guard.decide_actions(now, worker)


def make_owner_policies(
    source: scheduling.ConfigurationSource, clock: clocks.Clock
) -> scheduling.OwnerPolicies:
    """Return the learning policies that an entry schedules by."""
    knowledge = _knowledge.Knowledge(
        _interference.PairwiseModel(), _sizes.LearntSizes()
    )
    return scheduling.OwnerPolicies(
        placement=FollowedPlacement(source, knowledge, clock),
        guard=FollowedGuard(source, knowledge),
        observer=knowledge,
    )
