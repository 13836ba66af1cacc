"""Test that the policies read nothing of the model but its messages."""

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
    """Keep the reports, or hand out those kept of another run."""

    def __init__(
        self,
        scenario: _policy_scenario.Scenario,
        replayed: dict[float, list[workers.UsageReport]] | None = None,
    ) -> None:
        super().__init__(scenario)
        self.kept: dict[float, list[workers.UsageReport]] = {}
        self._replayed = replayed

    def receive_reports(self, now: float) -> list[workers.UsageReport]:
        if self._replayed is not None:
            return self._replayed[now]
        self.kept[now] = super().receive_reports(now)
        return self.kept[now]


def run(
    scenario: _policy_scenario.Scenario, world: RecordedWorld
) -> list[str]:
    """Return the decisions of the learnt policies."""
    clock = clocks.ManualClock(0.0)
    inputs = _policy_suites.Inputs(1, scenario.shape.weights, clock, world)
    suite = _policy_suites.MAKERS[_policy_suites.LEARNT](inputs)
    life = _policy_life.LifeCycle(scenario, world, suite, clock)
    life.run(HORIZON)
    return life.journal


class HiddenParametersTest(unittest.TestCase):
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
                    processor_harm={
                        family: 4.0 - harm
                        for family, harm in service.processor_harm.items()
                    },
                )
                for service in scenario.services
            ),
        )
        first = RecordedWorld(scenario)
        journal = run(scenario, first)
        self.assertGreater(len(journal), 50)
        replay = run(other, RecordedWorld(other, first.kept))
        self.assertEqual(journal, replay)
        # The hidden parameters do matter when the reports are their own.
        self.assertNotEqual(journal, run(other, RecordedWorld(other)))


class ComparisonTest(unittest.TestCase):
    def test_targets_are_worked_out_from_the_medians(self) -> None:
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
        found = _policy_runner.compare('u', runs)
        self.assertAlmostEqual(found.nearer, 0.5)
        self.assertAlmostEqual(found.throughput_share, 0.96)
        self.assertAlmostEqual(found.eviction_share, 0.1)
        self.assertAlmostEqual(found.oracle_share, 0.8)
