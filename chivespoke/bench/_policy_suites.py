"""The policies that the bench compares: naive twins, learnt, oracle."""

import dataclasses
import math
import typing

from chivespoke.bench import _policy_model
from chivespoke import clock as clocks
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import policies
from chivespoke import workers


@dataclasses.dataclass(slots=True)
class Suite:
    """Hold the policies of one run."""

    placement: scheduling.PlacementPolicy
    guard: scheduling.GuardPolicy
    observer: scheduling.ReportObserver
    sizes: policies.SizePolicy
    routing: policies.RoutingPolicy
    knowledge: policies.WorkloadEstimator | None = None
    # Makes the suite of the process that takes over in mid-run.
    successor: (
        typing.Callable[[policies.WorkloadEstimator], 'Suite'] | None
    ) = None


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Hold what a suite may be built from; the world is the oracle's."""

    seed: int
    weights: operators.Weights
    clock: clocks.Clock
    world: _policy_model.ModelWorld


class OracleModel(policies.InterferenceModel):
    """Read the hidden parameters of the model."""

    __slots__ = ('_world',)

    def __init__(self, world: _policy_model.ModelWorld) -> None:
        self._world = world

    def predict_slowdown(
        self, service: str, family: str, share: policies.Share, load: float
    ) -> policies.Prediction:
        truth = self._world.get_truth(service)
        harm = _policy_model.compute_task_harm(
            truth,
            family,
            share.processors,
            share.memory,
            share.accelerators,
        )
        gain = _policy_model.compute_gain(truth, load)
        return policies.Prediction(gain * harm, 0.0)

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        truth = self._world.get_truth(service)
        return truth.alone * (1.0 + 0.5 * load**2)


class OracleSizes(policies.DeclaredSizes):
    """Read the true use of every family."""

    __slots__ = ('_uses',)

    def __init__(self, uses: dict[str, resources.Resources]) -> None:
        self._uses = uses

    def correct_size(
        self, family: str, declared: resources.Resources
    ) -> policies.CorrectedSize:
        use = self._uses.get(family, declared)
        size = resources.Resources(
            int(use.millicores * 1.05),
            int(use.memory_mib * 1.3),
            declared.accelerators,
        )
        return policies.CorrectedSize(size=size)

    def estimate_use(
        self, demand: scheduling.TaskDemand
    ) -> resources.Resources:
        return self._uses.get(demand.family, demand.size)


class OracleKnowledge(policies.WorkloadEstimator):
    """Read the hidden state without lag or noise."""

    __slots__ = ('_world',)

    def __init__(
        self,
        world: _policy_model.ModelWorld,
        uses: dict[str, resources.Resources],
    ) -> None:
        super().__init__(OracleModel(world), OracleSizes(uses))
        self._world = world

    def observe_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> None:
        return None

    def get_replica_state(
        self, worker: scheduling.WorkerView, replica: scheduling.PlacedTask
    ) -> policies.ReplicaState:
        service = replica.demand.family
        truth = self._world.get_truth(service)
        model_worker = self._world.workers[worker.worker_id]
        task = model_worker.tasks[replica.demand.task_id]
        load = task.rate / truth.peak_rate
        harm = _policy_model.compute_harm(truth, model_worker, load)
        return policies.ReplicaState(
            load=load,
            slowdown=harm,
            last_slowdown=harm,
            measured_from=math.inf,
        )


def make_naive(
    placement: scheduling.PlacementPolicy,
    guard: policies.EvictAtOnce | None = None,
) -> Suite:
    """Return a suite without learning."""
    return Suite(
        placement=placement,
        guard=guard or policies.NoGuard(),
        observer=guard or policies.IgnoreReports(),
        sizes=policies.DeclaredSizes(),
        routing=policies.EvenRouting(),
    )


def make_learnt(
    inputs: Inputs,
    knowledge: policies.WorkloadEstimator,
    guard: scheduling.GuardPolicy | None = None,
    routing: policies.RoutingPolicy | None = None,
) -> Suite:
    """Return the suite that decides by a knowledge."""
    return Suite(
        placement=policies.CostBasedPlacement(
            knowledge, inputs.weights, inputs.clock
        ),
        guard=guard
        or policies.EscalatingGuard(
            knowledge, inputs.weights, operators.Limits()
        ),
        observer=knowledge,
        sizes=knowledge.sizes,
        routing=routing or policies.SlowdownAwareRouting(knowledge),
        knowledge=knowledge,
    )


def _make_oracle(inputs: Inputs) -> Suite:
    uses = inputs.world.get_uses()
    return make_learnt(inputs, OracleKnowledge(inputs.world, uses))


def _make_no_learning(inputs: Inputs) -> Suite:
    knowledge = policies.WorkloadEstimator(
        policies.NoInterferenceModel(), policies.LearnedSizes()
    )
    return make_learnt(
        inputs,
        knowledge,
        guard=policies.NoGuard(),
        routing=policies.EvenRouting(),
    )


def _make_knowledge(
    options: policies.FitOptions = policies.DEFAULT_OPTIONS,
) -> policies.WorkloadEstimator:
    return policies.WorkloadEstimator(
        policies.PairwiseRegressionModel(options), policies.LearnedSizes()
    )


def _make_full(inputs: Inputs) -> Suite:
    return make_learnt(inputs, _make_knowledge())


def _make_variant(
    options: policies.FitOptions,
) -> typing.Callable[[Inputs], Suite]:
    return lambda inputs: make_learnt(inputs, _make_knowledge(options))


def _make_pair_averages(inputs: Inputs) -> Suite:
    knowledge = policies.WorkloadEstimator(
        policies.PairwiseAverageModel(), policies.LearnedSizes()
    )
    return make_learnt(inputs, knowledge)


def _make_blaming_arrivals(inputs: Inputs) -> Suite:
    knowledge = policies.WorkloadEstimator(
        policies.PairwiseRegressionModel(),
        policies.LearnedSizes(),
        uses_current_tasks=True,
    )
    return make_learnt(inputs, knowledge)


def _make_unguarded(inputs: Inputs) -> Suite:
    return make_learnt(inputs, _make_knowledge(), guard=policies.NoGuard())


def _make_evicting(inputs: Inputs) -> Suite:
    suite = make_learnt(inputs, _make_knowledge())
    guard = policies.EvictAtOnce()
    return dataclasses.replace(
        suite,
        guard=guard,
        observer=_BothObservers(suite.observer, guard),
    )


def _make_even_routing(inputs: Inputs) -> Suite:
    return make_learnt(
        inputs, _make_knowledge(), routing=policies.EvenRouting()
    )


def _make_replaced(inputs: Inputs, passes_state: bool) -> Suite:
    """Replace the process in mid-run, with its state or without."""

    def succeed(old: policies.WorkloadEstimator) -> Suite:
        fresh = _make_knowledge()
        if passes_state:
            policies.decode_state(policies.encode_state(old), fresh)
        return make_learnt(inputs, fresh)

    suite = make_learnt(inputs, _make_knowledge())
    return dataclasses.replace(suite, successor=succeed)


class _BothObservers(scheduling.ReportObserver):
    """Pass reports on to two observers."""

    __slots__ = ('_observers',)

    def __init__(self, *observers: scheduling.ReportObserver) -> None:
        self._observers = observers

    def observe_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> None:
        for observer in self._observers:
            observer.observe_report(now, report, worker)


LEARNT = 'learnt'
ORACLE = 'oracle'
EVICT_AT_ONCE = 'evict-at-once'
# Twins that ignore interference; the last has learnt sizes all the same.
IGNORANT = ('first-fit', 'random', 'least-loaded', 'no-learning')
NAIVE = (*IGNORANT, EVICT_AT_ONCE)

MAKERS: dict[str, typing.Callable[[Inputs], Suite]] = {
    'first-fit': lambda inputs: make_naive(policies.FirstFit()),
    'random': lambda inputs: make_naive(policies.RandomChoice(inputs.seed)),
    'least-loaded': lambda inputs: make_naive(policies.LeastLoaded()),
    EVICT_AT_ONCE: lambda inputs: make_naive(
        policies.LeastLoaded(), policies.EvictAtOnce()
    ),
    'no-learning': _make_no_learning,
    LEARNT: _make_full,
    ORACLE: _make_oracle,
}

POLICY_NAMES = tuple(MAKERS)

# Ways that were tried; they run only when they are named.
VARIANTS: dict[str, typing.Callable[[Inputs], Suite]] = {
    'pair-averages': _make_pair_averages,
    'no-load': _make_variant(policies.FitOptions(learns_gains=False)),
    'no-pooling': _make_variant(policies.FitOptions(pools_families=False)),
    'blame-arrivals': _make_blaming_arrivals,
    'no-guard': _make_unguarded,
    'evicting-guard': _make_evicting,
    'even-routing': _make_even_routing,
    'state-lost': lambda inputs: _make_replaced(inputs, False),
    'state-passed': lambda inputs: _make_replaced(inputs, True),
}
