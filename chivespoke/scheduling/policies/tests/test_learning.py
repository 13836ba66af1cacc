"""Test what is learnt, by whom it can be steered, and how it is kept."""

import random
import typing
import unittest

from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import policies
from chivespoke.scheduling.policies.tests import builders
from chivespoke import workers

COEFFICIENTS = {'noisy': 6.0, 'calm': 0.4, 'other': 2.0}
REPORT_COUNT = 1200
Falsifier = typing.Callable[[list[workers.TaskUsage]], list[workers.TaskUsage]]


def falsify_use(
    usages: list[workers.TaskUsage],
) -> list[workers.TaskUsage]:
    """Report a tenth of the noisy use, and ten times the calm."""
    falsified = []
    for usage in usages:
        if usage.latency_p99 is None:
            factor = 0.1 if 'noisy' in usage.task_id else 8.0
            use = resources.Resources(
                int(usage.use.millicores * factor), 4096, 0
            )
            usage = workers.TaskUsage(
                task_id=usage.task_id,
                attempt=usage.attempt,
                use=use,
                progress=1.0,
            )
        falsified.append(usage)
    return falsified


def train(
    falsify: Falsifier | None = None, services: tuple[str, ...] = ('main',)
) -> policies.WorkloadEstimator:
    """Return a knowledge fed by six workers; the last may lie."""
    rng = random.Random(7)
    estimator = policies.WorkloadEstimator(
        policies.PairwiseRegressionModel(), policies.LearnedSizes()
    )
    views = {}
    sequences = dict.fromkeys(range(6), 0)
    for step in range(REPORT_COUNT):
        number = step % 6
        if sequences[number] % 10 == 0:
            views[number] = _make_random_worker(rng, number, services)
        sequences[number] += 1
        usages = _simulate_usages(rng, views[number])
        if falsify is not None and number == 5:
            usages = falsify(usages)
        report = builders.make_report(views[number], sequences[number], usages)
        estimator.observe_report(step * 2.0, report, views[number])
    return estimator


def _make_random_worker(
    rng: random.Random, number: int, services: tuple[str, ...]
) -> scheduling.WorkerView:
    demands = [builders.make_demand(f'{name}/{number}') for name in services]
    for family in ('noisy', 'calm', 'other'):
        if services != ('main',) and family == 'noisy' and number % 2:
            continue
        for index in range(rng.randint(0, 2)):
            name = f'{family}-{number}-{index}'
            demands.append(builders.make_demand(name))
    return builders.make_worker(f'w{number}', demands)


def _simulate_usages(
    rng: random.Random, view: scheduling.WorkerView
) -> list[workers.TaskUsage]:
    slowdown = sum(
        COEFFICIENTS.get(placed.demand.family, 0.0) * 2000 / 16000
        for placed in view.tasks.values()
    )
    usages = []
    for placed in view.tasks.values():
        usage = builders.make_usage(placed.demand)
        if usage.latency_p99 is not None:
            noise = rng.gauss(0.0, 0.1)
            usage = builders.make_usage(
                placed.demand, latency_p99=10.0 * 2.718 ** (slowdown + noise)
            )
        usages.append(usage)
    return usages


def predict(
    estimator: policies.WorkloadEstimator, family: str, service: str = 'main'
) -> policies.Prediction:
    """Return the harm of two processors of a family."""
    share = policies.make_share(
        resources.Resources(2000, 4096, 0), builders.CAPACITY
    )
    return estimator.model.predict_slowdown(service, family, share, 1.0)


def choose_between_workers(
    estimator: policies.WorkloadEstimator,
    family: str,
    weights: operators.Weights | None = None,
    first_batch: tuple[str, ...] = ('noisy-8', 'noisy-9'),
) -> identifiers.WorkerId | None:
    """Choose between a worker of much noisy work and one of calm work."""
    first = [builders.make_demand(n) for n in ('main/8', *first_batch)]
    second = [builders.make_demand(n) for n in ('main/9', 'calm-8', 'calm-9')]
    candidates = [
        builders.make_worker('w8', first),
        builders.make_worker('w9', second),
    ]
    placement = policies.CostBasedPlacement(
        estimator, weights or operators.Weights(), clocks.ManualClock()
    )
    demand = builders.make_demand(f'{family}-new')
    chosen = placement.choose_worker(demand, candidates)
    return chosen.worker_id if chosen is not None else None


class LearningTest(unittest.TestCase):
    def test_harm_is_learnt_for_each_family(self) -> None:
        estimator = train()
        for family, coefficient in COEFFICIENTS.items():
            with self.subTest(family=family):
                found = predict(estimator, family)
                self.assertAlmostEqual(found.mean, coefficient / 8, delta=0.12)
                self.assertGreater(found.deviation, 0.0)
        self.assertEqual(choose_between_workers(estimator, 'noisy'), 'w9')

    def test_unseen_pair_is_shrunk_to_its_family_and_less_certain(
        self,
    ) -> None:
        estimator = train(services=('main', 'sessions'))
        model = estimator.model
        assert isinstance(model, policies.PairwiseRegressionModel)
        shares = {'calm': policies.Share(0.1, 0.05, 0.0)}
        for _ in range(200):
            model.observe_latency('search', 0.9, 10.0, shares, 1.0)
        unseen = predict(estimator, 'noisy', 'search')
        seen = predict(estimator, 'noisy', 'main')
        self.assertGreater(unseen.deviation, seen.deviation)
        prior = predict(
            policies.WorkloadEstimator(
                policies.PairwiseRegressionModel(), policies.LearnedSizes()
            ),
            'noisy',
        )
        self.assertGreater(unseen.mean, 2 * prior.mean)

    def test_exploration_never_spends_a_budget_that_is_gone(self) -> None:
        estimator = train()
        crowded = tuple(f'noisy-{n}' for n in (5, 6, 7, 8, 9))
        chosen = choose_between_workers(
            estimator, 'unknown', first_batch=crowded
        )
        self.assertEqual(chosen, 'w9')
        weights = operators.Weights(tail_latency=1.0, batch_throughput=0.0)
        only = [builders.make_demand(n) for n in ('main/8', *crowded)]
        placement = policies.CostBasedPlacement(
            estimator, weights, clocks.ManualClock()
        )
        self.assertIsNone(
            placement.choose_worker(
                builders.make_demand('unknown-1'),
                [builders.make_worker('w8', only)],
            )
        )

    def test_one_lying_worker_does_not_steer_placement_elsewhere(
        self,
    ) -> None:
        baseline, attacked = train(), train(falsify_use)
        declared = resources.Resources(6000, 16384, 0)
        for family in COEFFICIENTS:
            with self.subTest(family=family):
                self.assertEqual(
                    choose_between_workers(baseline, family),
                    choose_between_workers(attacked, family),
                )
                self.assertAlmostEqual(
                    predict(baseline, family).mean,
                    predict(attacked, family).mean,
                    delta=0.2,
                )
                self.assertEqual(
                    baseline.sizes.correct_size(family, declared).size,
                    attacked.sizes.correct_size(family, declared).size,
                )

    def test_declaration_far_off_is_corrected_with_a_note(self) -> None:
        estimator = train()
        declared = resources.Resources(6000, 16384, 0)
        corrected = estimator.sizes.correct_size('calm', declared)
        self.assertAlmostEqual(corrected.size.millicores, 2100, delta=100)
        self.assertIn('declared 6000', corrected.note)
        near = resources.Resources(2200, 4500, 0)
        self.assertEqual(
            estimator.sizes.correct_size('calm', near),
            policies.CorrectedSize(size=near),
        )

    def test_disturbed_servers_weigh_less_in_routing(self) -> None:
        estimator = train()
        routing = policies.SlowdownAwareRouting(estimator)
        weights = []
        for names in (('noisy-1', 'noisy-2'), ('calm-1',), ()):
            demands = [builders.make_demand(n) for n in ('main/8', *names)]
            worker = builders.make_worker('w8', demands)
            replica = worker.tasks[identifiers.TaskId('main/8')]
            weights.append(routing.compute_weight(worker, replica))
        self.assertLess(weights[0], weights[1])
        self.assertEqual(weights[2], 1.0)
        self.assertGreater(weights[0], 0.0)


class StateTest(unittest.TestCase):
    def test_state_passes_to_a_successor(self) -> None:
        estimator = train()
        data = policies.encode_state(estimator)
        successor = policies.WorkloadEstimator(
            policies.PairwiseRegressionModel(), policies.LearnedSizes()
        )
        policies.decode_state(data, successor)
        for family in COEFFICIENTS:
            with self.subTest(family=family):
                self.assertAlmostEqual(
                    predict(successor, family).mean,
                    predict(estimator, family).mean,
                    delta=0.02,
                )
        declared = resources.Resources(6000, 16384, 0)
        self.assertEqual(
            successor.sizes.correct_size('calm', declared),
            estimator.sizes.correct_size('calm', declared),
        )
        # Well under a frame of the log, for one service and three families.
        self.assertLess(len(data), 8 * 1024)

    def test_damaged_state_is_refused(self) -> None:
        data = policies.encode_state(train())
        for damaged in (b'', data[:-9], b'\x93' + data[1:]):
            with self.subTest(size=len(damaged)):
                with self.assertRaises(errors.RefusedError):
                    policies.decode_state(
                        damaged,
                        policies.WorkloadEstimator(
                            policies.PairwiseRegressionModel(),
                            policies.LearnedSizes(),
                        ),
                    )
