"""Tests of the policy benchmark."""

import dataclasses
import unittest

from chivespoke.bench import _policy_life
from chivespoke.bench import _policy_model
from chivespoke.bench import _policy_runner
from chivespoke.bench import _policy_scenario
from chivespoke.bench import _policy_suites
from chivespoke import clock as clocks
from chivespoke import workers

HORIZON = 2400.0  # seconds


class RecordedWorld(_policy_model.ModelWorld):
    """Records reports, or replays those recorded in another run."""

    def __init__(
        self,
        scenario: _policy_scenario.Scenario,
        replayed: dict[float, list[workers.UsageReport]] | None = None,
    ) -> None:
        super().__init__(scenario)
        self.recorded: dict[float, list[workers.UsageReport]] = {}
        self._replayed = replayed

    def receive_reports(self, now: float) -> list[workers.UsageReport]:
        if self._replayed is not None:
            return self._replayed[now]
        self.recorded[now] = super().receive_reports(now)
        return self.recorded[now]


def run(
    scenario: _policy_scenario.Scenario, world: RecordedWorld
) -> list[str]:
    """Return the decisions of the learning policies."""
    clock = clocks.ManualClock(0.0)
    inputs = _policy_suites.Inputs(1, scenario.shape.weights, clock, world)
    suite = _policy_suites.FACTORIES[_policy_suites.LEARNT](inputs)
    life_cycle = _policy_life.LifeCycle(scenario, world, suite, clock)
    life_cycle.run(HORIZON)
    return life_cycle.journal


class HiddenParametersTest(unittest.TestCase):
    """The policies see nothing of the model but its reports."""

    def test_same_reports_give_same_decisions(self) -> None:
        scenario = _policy_scenario.make_scenario(_policy_scenario.CEDAR, 3)
        other = dataclasses.replace(
            scenario,
            services=tuple(
                dataclasses.replace(
                    service,
                    alone=2.0 * service.alone,
                    high_gain=service.low_gain,
                    low_gain=service.high_gain,
                    cpu_interference={
                        family: 4.0 - value
                        for family, value in service.cpu_interference.items()
                    },
                )
                for service in scenario.services
            ),
        )
        first = RecordedWorld(scenario)
        journal = run(scenario, first)
        self.assertGreater(len(journal), 50)
        replay = run(other, RecordedWorld(other, first.recorded))
        self.assertEqual(journal, replay)
        # With reports of its own, the changed model leads to other decisions.
        self.assertNotEqual(journal, run(other, RecordedWorld(other)))


class ComparisonTest(unittest.TestCase):
    def test_shares_are_computed_from_medians(self) -> None:
        figures = {name: (5.0, 100.0, 10) for name in _policy_suites.NAIVE}
        figures['evict-at-once'] = (9.0, 50.0, 200)
        figures['learnt'] = (3.0, 96.0, 20)
        figures['oracle'] = (2.5, 98.0, 5)
        runs = [
            _policy_runner.Measures(
                user='u',
                policy=name,
                seed=seed,
                p99_slowdown=tail,
                batch_work=work,
                evictions=evictions,
                data_centre_work=work,
            )
            for name, (tail, work, evictions) in figures.items()
            for seed in (1, 2, 3)
        ]
        comparison = _policy_runner.compare('u', runs)
        self.assertAlmostEqual(comparison.nearer, 0.5)
        self.assertAlmostEqual(comparison.throughput_share, 0.96)
        self.assertAlmostEqual(comparison.eviction_share, 0.1)
        self.assertAlmostEqual(comparison.oracle_share, 0.8)
