"""Runs the policies with several seeds and compares the results."""

import concurrent.futures
import os
import statistics
import typing

import msgspec

from chivespoke.bench import _policy_life
from chivespoke.bench import _policy_model
from chivespoke.bench import _policy_scenario
from chivespoke.bench import _policy_suites
from chivespoke import clock as clocks

# Time after an outage that is still measured as part of it.
RECOVERY_SECONDS = 600.0
TAIL_QUANTILE = 0.99
MILLICORE_SECONDS_PER_CORE_HOUR = 3.6e6


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run."""

    user: str
    policy: str
    seed: int
    p99_slowdown: float
    # Core hours of batch work, without work lost when tasks were stopped.
    batch_work: float
    evictions: int
    # The same during the outage of a data centre and the recovery from it.
    data_centre_work: float


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Comparison of the policies for one user, by medians over the seeds.

    The shares relate the learning policy to the other policies.
    """

    user: str
    best_naive: str
    # The interference-unaware policy that completes the most batch work.
    ignorant: str
    # Relative reduction of the excess p99 slowdown against the best naive
    # policy.
    nearer: float
    throughput_share: float
    eviction_share: float
    oracle_share: float
    data_centre_share: float


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all runs and their comparisons."""

    runs: tuple[Measures, ...]
    comparisons: tuple[Comparison, ...]


def run_one(user: str, policy: str, seed: int) -> Measures:
    """Run one policy with the scenario of a user and a seed."""
    shape = next(s for s in _policy_scenario.SHAPES if s.name == user)
    scenario = _policy_scenario.make_scenario(shape, seed)
    world = _policy_model.ModelWorld(scenario)
    clock = clocks.ManualClock(0.0)
    factories = {
        **_policy_suites.FACTORIES,
        **_policy_suites.VARIANT_FACTORIES,
    }
    suite = factories[policy](
        _policy_suites.Inputs(seed, shape.weights, clock, world)
    )
    life_cycle = _policy_life.LifeCycle(scenario, world, suite, clock)
    life_cycle.run()
    return _measure(user, policy, seed, life_cycle)


def run_all(
    seeds: typing.Sequence[int],
    names: typing.Sequence[str] = tuple(_policy_suites.FACTORIES),
    processes: int = 0,
) -> Outcome:
    """Run policies with the scenarios of both users.

    Users are compared only if all policies of FACTORIES are run.
    """
    runs_to_perform = [
        (shape.name, name, seed)
        for shape in _policy_scenario.SHAPES
        for seed in seeds
        for name in names
    ]
    process_count = processes or max((os.cpu_count() or 2) // 2, 1)
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        runs = tuple(pool.map(run_one, *zip(*runs_to_perform, strict=True)))
    comparisons = tuple(
        compare(shape.name, runs)
        for shape in _policy_scenario.SHAPES
        if set(names) >= set(_policy_suites.FACTORIES)
    )
    return Outcome(runs=runs, comparisons=comparisons)


def compare(user: str, runs: typing.Sequence[Measures]) -> Comparison:
    """Compare the learning policy with the naive ones and the oracle."""

    def median(policy: str, measure: str) -> float:
        return statistics.median(select(runs, user, policy, measure))

    learnt = _policy_suites.LEARNT
    excess = {
        name: median(name, 'p99_slowdown') - 1.0
        for name in (*_policy_suites.NAIVE, learnt, _policy_suites.ORACLE)
    }
    best = min(_policy_suites.NAIVE, key=lambda name: excess[name])
    gain = excess[best] - excess[learnt]
    oracle_gain = excess[best] - excess[_policy_suites.ORACLE]
    ignorant = max(
        _policy_suites.INTERFERENCE_UNAWARE,
        key=lambda name: median(name, 'batch_work'),
    )
    baseline_evictions = median(_policy_suites.EVICT_AT_ONCE, 'evictions')
    return Comparison(
        user=user,
        best_naive=best,
        ignorant=ignorant,
        nearer=gain / excess[best],
        throughput_share=median(learnt, 'batch_work')
        / median(ignorant, 'batch_work'),
        eviction_share=median(learnt, 'evictions')
        / max(baseline_evictions, 1.0),
        oracle_share=gain / oracle_gain if oracle_gain > 0.0 else 1.0,
        data_centre_share=median(learnt, 'data_centre_work')
        / median(ignorant, 'data_centre_work'),
    )


def select(
    runs: typing.Sequence[Measures], user: str, policy: str, measure: str
) -> list[float]:
    """Return the values of one measure for all seeds."""
    return [
        float(getattr(run, measure))
        for run in runs
        if run.user == user and run.policy == policy
    ]


def _measure(
    user: str, policy: str, seed: int, life_cycle: _policy_life.LifeCycle
) -> Measures:
    world = life_cycle.world
    begin, end = _policy_scenario.WARM_UP, _policy_scenario.HORIZON
    outage_start = _policy_scenario.OUTAGE_START
    recovery_end = _policy_scenario.OUTAGE_END + RECOVERY_SECONDS
    return Measures(
        user=user,
        policy=policy,
        seed=seed,
        p99_slowdown=_compute_tail_slowdown(world.samples, begin),
        batch_work=_sum_work(world, begin, end),
        evictions=life_cycle.evictions,
        data_centre_work=_sum_work(world, outage_start, recovery_end),
    )


def _compute_tail_slowdown(
    samples: list[_policy_model.Sample], begin: float
) -> float:
    """Return the slowdown at TAIL_QUANTILE, weighted by requests."""
    slowdowns = sorted(
        (s.slowdown, s.requests) for s in samples if s.at >= begin
    )
    remaining = (1.0 - TAIL_QUANTILE) * sum(
        requests for _, requests in slowdowns
    )
    for slowdown, requests in reversed(slowdowns):
        remaining -= requests
        if remaining <= 0.0:
            return slowdown
    return 1.0


def _sum_work(
    world: _policy_model.ModelWorld, begin: float, end: float
) -> float:
    done = sum(w for at, w in world.work.items() if begin <= at < end)
    lost = sum(w for at, w in world.lost_work.items() if begin <= at < end)
    return (done - lost) / MILLICORE_SECONDS_PER_CORE_HOUR
