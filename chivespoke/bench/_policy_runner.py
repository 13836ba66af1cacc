"""Run the policies over seeds, and compare them."""

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

# Seconds after a data centre's return that count to its leaving.
RETURN_TIME = 600.0
TAIL = 0.99
MILLICORE_SECONDS = 3.6e6  # of one core hour


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the measures of one run."""

    user: str
    policy: str
    seed: int
    p99_slowdown: float
    # Core hours of work that lasted.
    batch_work: float
    evictions: int
    # Core hours around the leaving and the return of a data centre.
    data_centre_work: float


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the targets' figures of one user, as medians over the seeds."""

    user: str
    best_naive: str
    # The twin that ignores interference and does the most batch work.
    ignorant: str
    # Share by which the p99 slowdown is nearer to running alone.
    nearer: float
    throughput_share: float
    eviction_share: float
    oracle_share: float
    data_centre_share: float


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every run and the comparison."""

    runs: tuple[Measures, ...]
    comparisons: tuple[Comparison, ...]


def run_one(user: str, policy: str, seed: int) -> Measures:
    """Run one policy on one scenario."""
    shape = next(s for s in _policy_scenario.SHAPES if s.name == user)
    scenario = _policy_scenario.make_scenario(shape, seed)
    world = _policy_model.ModelWorld(scenario)
    clock = clocks.ManualClock(0.0)
    makers = {**_policy_suites.MAKERS, **_policy_suites.VARIANTS}
    suite = makers[policy](
        _policy_suites.Inputs(seed, shape.weights, clock, world)
    )
    life = _policy_life.LifeCycle(scenario, world, suite, clock)
    life.run()
    return _measure(user, policy, seed, life)


def run_all(
    seeds: typing.Sequence[int],
    names: typing.Sequence[str] = tuple(_policy_suites.MAKERS),
    processes: int = 0,
) -> Outcome:
    """Run every policy on both users' scenarios."""
    jobs = [
        (shape.name, name, seed)
        for shape in _policy_scenario.SHAPES
        for seed in seeds
        for name in names
    ]
    count = processes or max((os.cpu_count() or 2) // 2, 1)
    with concurrent.futures.ProcessPoolExecutor(count) as pool:
        runs = tuple(pool.map(run_one, *zip(*jobs, strict=True)))
    comparisons = tuple(
        compare(shape.name, runs)
        for shape in _policy_scenario.SHAPES
        if set(names) >= set(_policy_suites.MAKERS)
    )
    return Outcome(runs=runs, comparisons=comparisons)


def compare(user: str, runs: typing.Sequence[Measures]) -> Comparison:
    """Compare the learnt policy with its twins and the oracle."""

    def median(policy: str, measure: str) -> float:
        return statistics.median(select(runs, user, policy, measure))

    learnt = _policy_suites.LEARNT
    excess = {
        name: median(name, 'p99_slowdown') - 1.0
        for name in (*_policy_suites.NAIVE, learnt, _policy_suites.ORACLE)
    }
    best = min(_policy_suites.NAIVE, key=lambda name: excess[name])
    gain = excess[best] - excess[learnt]
    possible = excess[best] - excess[_policy_suites.ORACLE]
    ignorant = max(
        _policy_suites.IGNORANT, key=lambda name: median(name, 'batch_work')
    )
    storm = median(_policy_suites.EVICT_AT_ONCE, 'evictions')
    return Comparison(
        user=user,
        best_naive=best,
        ignorant=ignorant,
        nearer=gain / excess[best],
        throughput_share=median(learnt, 'batch_work')
        / median(ignorant, 'batch_work'),
        eviction_share=median(learnt, 'evictions') / max(storm, 1.0),
        oracle_share=gain / possible if possible > 0.0 else 1.0,
        data_centre_share=median(learnt, 'data_centre_work')
        / median(ignorant, 'data_centre_work'),
    )


def select(
    runs: typing.Sequence[Measures], user: str, policy: str, measure: str
) -> list[float]:
    """Return one measure over the seeds."""
    return [
        float(getattr(run, measure))
        for run in runs
        if run.user == user and run.policy == policy
    ]


def _measure(
    user: str, policy: str, seed: int, life: _policy_life.LifeCycle
) -> Measures:
    world = life.world
    begin, end = _policy_scenario.WARM_UP, _policy_scenario.HORIZON
    out = _policy_scenario.OUTAGE_FROM
    back = _policy_scenario.OUTAGE_UNTIL + RETURN_TIME
    return Measures(
        user=user,
        policy=policy,
        seed=seed,
        p99_slowdown=_find_tail(world.samples, begin),
        batch_work=_sum_work(world, begin, end),
        evictions=life.evictions,
        data_centre_work=_sum_work(world, out, back),
    )


def _find_tail(samples: list[_policy_model.Sample], begin: float) -> float:
    """Return the slowdown that all but one in a hundred requests beat."""
    kept = sorted((s.slowdown, s.requests) for s in samples if s.at >= begin)
    left = (1.0 - TAIL) * sum(requests for _, requests in kept)
    for slowdown, requests in reversed(kept):
        left -= requests
        if left <= 0.0:
            return slowdown
    return 1.0


def _sum_work(
    world: _policy_model.ModelWorld, begin: float, end: float
) -> float:
    done = sum(w for at, w in world.work.items() if begin <= at < end)
    lost = sum(w for at, w in world.lost_work.items() if begin <= at < end)
    return (done - lost) / MILLICORE_SECONDS
