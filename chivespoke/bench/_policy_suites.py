"""Policies compared by the benchmark: naive, learning and oracle."""

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
    """Policies used in one run."""

    placement: scheduling.PlacementPolicy
    guard: scheduling.GuardPolicy
    observer: scheduling.ReportObserver
    sizes: policies.SizePolicy
    routing: policies.RoutingPolicy
    estimator: policies.WorkloadEstimator | None = None
    # Creates the suite of the process that takes over halfway through the run.
    make_successor: (
        typing.Callable[[policies.WorkloadEstimator], 'Suite'] | None
    ) = None


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Inputs of a suite factory; only the oracle may use the world."""

    seed: int
    weights: operators.Weights
    clock: clocks.Clock
    world: _policy_model.ModelWorld


class OracleModel(policies.InterferenceModel):
    """Interference model that reads the hidden parameters of the world."""

    __slots__ = ('_world',)

    def __init__(self, world: _policy_model.ModelWorld) -> None:
        self._world = world

    def predict_slowdown(
        self, service: str, family: str, share: policies.Share, load: float
    ) -> policies.Prediction:
        truth = self._world.get_truth(service)
        interference = _policy_model.compute_task_interference(
            truth,
            family,
            share.processors,
            share.memory,
            share.accelerators,
        )
        gain = _policy_model.compute_load_gain(truth, load)
        return policies.Prediction(gain * interference, 0.0)

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        truth = self._world.get_truth(service)
        return truth.alone * (1.0 + 0.5 * load**2)


class OracleSizes(policies.DeclaredSizes):
    """Size policy that knows the true resource usage of every family."""

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


class OracleEstimator(policies.WorkloadEstimator):
    """Workload estimator that reads the hidden state, exact and up to date."""

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
        interference = _policy_model.compute_interference(
            truth, model_worker, load
        )
        return policies.ReplicaState(
            load=load,
            slowdown=interference,
            last_slowdown=interference,
            measured_from=math.inf,
        )


def make_naive_suite(
    placement: scheduling.PlacementPolicy,
    guard: policies.EvictAtOnce | None = None,
) -> Suite:
    """Return a suite that does not learn."""
    return Suite(
        placement=placement,
        guard=guard or policies.NoGuard(),
        observer=guard or policies.IgnoreReports(),
        sizes=policies.DeclaredSizes(),
        routing=policies.EvenRouting(),
    )


def make_estimating_suite(
    inputs: Inputs,
    estimator: policies.WorkloadEstimator,
    guard: scheduling.GuardPolicy | None = None,
    routing: policies.RoutingPolicy | None = None,
) -> Suite:
    """Return a suite that decides by a workload estimator."""
    return Suite(
        placement=policies.CostBasedPlacement(
            estimator, inputs.weights, inputs.clock
        ),
        guard=guard
        or policies.EscalatingGuard(
            estimator, inputs.weights, operators.Limits()
        ),
        observer=estimator,
        sizes=estimator.sizes,
        routing=routing or policies.SlowdownAwareRouting(estimator),
        estimator=estimator,
    )


def _make_oracle(inputs: Inputs) -> Suite:
    uses = inputs.world.get_uses()
    return make_estimating_suite(inputs, OracleEstimator(inputs.world, uses))


def _make_no_learning(inputs: Inputs) -> Suite:
    estimator = policies.WorkloadEstimator(
        policies.NoInterferenceModel(), policies.LearnedSizes()
    )
    return make_estimating_suite(
        inputs,
        estimator,
        guard=policies.NoGuard(),
        routing=policies.EvenRouting(),
    )


def _make_estimator(
    options: policies.FitOptions = policies.DEFAULT_OPTIONS,
) -> policies.WorkloadEstimator:
    return policies.WorkloadEstimator(
        policies.PairwiseRegressionModel(options), policies.LearnedSizes()
    )


def _make_learning(inputs: Inputs) -> Suite:
    return make_estimating_suite(inputs, _make_estimator())


def _make_variant(
    options: policies.FitOptions,
) -> typing.Callable[[Inputs], Suite]:
    return lambda inputs: make_estimating_suite(
        inputs, _make_estimator(options)
    )


def _make_pair_averages(inputs: Inputs) -> Suite:
    estimator = policies.WorkloadEstimator(
        policies.PairwiseAverageModel(), policies.LearnedSizes()
    )
    return make_estimating_suite(inputs, estimator)


def _make_current_task_attribution(inputs: Inputs) -> Suite:
    estimator = policies.WorkloadEstimator(
        policies.PairwiseRegressionModel(),
        policies.LearnedSizes(),
        uses_current_tasks=True,
    )
    return make_estimating_suite(inputs, estimator)


def _make_without_guard(inputs: Inputs) -> Suite:
    return make_estimating_suite(
        inputs, _make_estimator(), guard=policies.NoGuard()
    )


def _make_evict_at_once_guard(inputs: Inputs) -> Suite:
    suite = make_estimating_suite(inputs, _make_estimator())
    guard = policies.EvictAtOnce()
    return dataclasses.replace(
        suite,
        guard=guard,
        observer=_CompositeObserver(suite.observer, guard),
    )


def _make_even_routing(inputs: Inputs) -> Suite:
    return make_estimating_suite(
        inputs, _make_estimator(), routing=policies.EvenRouting()
    )


def _make_process_replacement(inputs: Inputs, passes_state: bool) -> Suite:
    """Return a suite whose process is replaced halfway through the run.

    The new process starts from the state of the old one or from scratch.
    """

    def make_successor(old: policies.WorkloadEstimator) -> Suite:
        new = _make_estimator()
        if passes_state:
            policies.decode_state(policies.encode_state(old), new)
        return make_estimating_suite(inputs, new)

    suite = make_estimating_suite(inputs, _make_estimator())
    return dataclasses.replace(suite, make_successor=make_successor)


class _CompositeObserver(scheduling.ReportObserver):
    """Forwards reports to several observers."""

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
# Policies that ignore interference; the last one does learn task sizes.
INTERFERENCE_UNAWARE = ('first-fit', 'random', 'least-loaded', 'no-learning')
NAIVE = (*INTERFERENCE_UNAWARE, EVICT_AT_ONCE)

FACTORIES: dict[str, typing.Callable[[Inputs], Suite]] = {
    'first-fit': lambda inputs: make_naive_suite(policies.FirstFit()),
    'random': lambda inputs: make_naive_suite(
        policies.RandomChoice(inputs.seed)
    ),
    'least-loaded': lambda inputs: make_naive_suite(policies.LeastLoaded()),
    EVICT_AT_ONCE: lambda inputs: make_naive_suite(
        policies.LeastLoaded(), policies.EvictAtOnce()
    ),
    'no-learning': _make_no_learning,
    LEARNT: _make_learning,
    ORACLE: _make_oracle,
}

POLICY_NAMES = tuple(FACTORIES)

# Alternatives that were evaluated; they run only if selected by name.
VARIANT_FACTORIES: dict[str, typing.Callable[[Inputs], Suite]] = {
    'pair-averages': _make_pair_averages,
    'no-load': _make_variant(policies.FitOptions(learns_gains=False)),
    'no-pooling': _make_variant(policies.FitOptions(pools_families=False)),
    'blame-arrivals': _make_current_task_attribution,
    'no-guard': _make_without_guard,
    'evicting-guard': _make_evict_at_once_guard,
    'even-routing': _make_even_routing,
    'state-lost': lambda inputs: _make_process_replacement(inputs, False),
    'state-passed': lambda inputs: _make_process_replacement(inputs, True),
}
