"""Test the estimator, the policies that use it, and its saved state."""

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

# Log slowdown by a whole worker of a family's processors.
COEFFICIENTS = {'noisy': 6.0, 'calm': 0.4, 'other': 2.0}
REPORT_COUNT = 1200
Falsifier = typing.Callable[[list[workers.TaskUsage]], list[workers.TaskUsage]]


def falsify_use(
    usages: list[workers.TaskUsage],
) -> list[workers.TaskUsage]:
    """Report 0.1 times the usage of noisy tasks and 8 times the others'."""
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
    """Return an estimator trained by reports of six workers.

    The reports of the last worker are passed through falsify.
    """
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
    """Return the slowdown by two processors of a family."""
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
    """Place a task on w8, beside first_batch, or w9, beside calm tasks."""
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
    def test_interference_is_learned_for_each_family(self) -> None:
        estimator = train()
        for family, coefficient in COEFFICIENTS.items():
            with self.subTest(family=family):
                found = predict(estimator, family)
                self.assertAlmostEqual(found.mean, coefficient / 8, delta=0.12)
                self.assertGreater(found.deviation, 0.0)
        self.assertEqual(choose_between_workers(estimator, 'noisy'), 'w9')

    def test_unmeasured_pair_uses_family_mean_and_is_less_certain(
        self,
    ) -> None:
        estimator = train(services=('main', 'sessions'))
        model = estimator.model
        assert isinstance(model, policies.PairwiseRegressionModel)
        shares = {'calm': policies.Share(0.1, 0.05, 0.0)}
        for _ in range(200):
            model.observe_latency('search', 0.9, 10.0, shares, 1.0)
        unmeasured = predict(estimator, 'noisy', 'search')
        measured = predict(estimator, 'noisy', 'main')
        self.assertGreater(unmeasured.deviation, measured.deviation)
        prior = predict(
            policies.WorkloadEstimator(
                policies.PairwiseRegressionModel(), policies.LearnedSizes()
            ),
            'noisy',
        )
        self.assertGreater(unmeasured.mean, 2 * prior.mean)

    def test_no_exploration_beyond_slowdown_limit(self) -> None:
        estimator = train()
        crowded = tuple(f'noisy-{n}' for n in (5, 6, 7, 8, 9))
        chosen = choose_between_workers(
            estimator, 'unknown', first_batch=crowded
        )
        self.assertEqual(chosen, 'w9')
        weights = operators.Weights(tail_latency=1.0, batch_throughput=0.0)
        demands = [builders.make_demand(n) for n in ('main/8', *crowded)]
        placement = policies.CostBasedPlacement(
            estimator, weights, clocks.ManualClock()
        )
        self.assertIsNone(
            placement.choose_worker(
                builders.make_demand('unknown-1'),
                [builders.make_worker('w8', demands)],
            )
        )

    def test_false_reports_of_one_worker_do_not_change_placement(
        self,
    ) -> None:
        honest_estimator, falsified_estimator = train(), train(falsify_use)
        declared = resources.Resources(6000, 16384, 0)
        for family in COEFFICIENTS:
            with self.subTest(family=family):
                self.assertEqual(
                    choose_between_workers(honest_estimator, family),
                    choose_between_workers(falsified_estimator, family),
                )
                self.assertAlmostEqual(
                    predict(honest_estimator, family).mean,
                    predict(falsified_estimator, family).mean,
                    delta=0.2,
                )
                self.assertEqual(
                    honest_estimator.sizes.correct_size(family, declared).size,
                    falsified_estimator.sizes.correct_size(
                        family, declared
                    ).size,
                )

    def test_wrong_declaration_is_corrected_with_note(self) -> None:
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

    def test_servers_beside_noisy_tasks_get_lower_weights(self) -> None:
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
    def test_successor_restores_state(self) -> None:
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
        # The state of one service and three families must be much smaller
        # than a frame of the log.
        self.assertLess(len(data), 8 * 1024)

    def test_damaged_state_is_rejected(self) -> None:
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
