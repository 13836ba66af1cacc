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

HARM = {'noisy': 6.0, 'calm': 0.4, 'other': 2.0}
REPORTS = 1200
Twist = typing.Callable[[list[workers.TaskUsage]], list[workers.TaskUsage]]


def lie_about_use(
    usages: list[workers.TaskUsage],
) -> list[workers.TaskUsage]:
    """Report a tenth of the noisy use, and ten times the calm."""
    told = []
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
        told.append(usage)
    return told


def teach(
    twist: Twist | None = None, services: tuple[str, ...] = ('main',)
) -> policies.Knowledge:
    """Return a knowledge fed by six workers; the last may lie."""
    source = random.Random(7)
    knowledge = policies.Knowledge(
        policies.PairwiseModel(), policies.LearntSizes()
    )
    views = {}
    sent = dict.fromkeys(range(6), 0)
    for turn in range(REPORTS):
        number = turn % 6
        if sent[number] % 10 == 0:
            views[number] = _draw_view(source, number, services)
        sent[number] += 1
        usages = _measure(source, views[number])
        if twist is not None and number == 5:
            usages = twist(usages)
        report = builders.make_report(views[number], sent[number], usages)
        knowledge.observe_report(turn * 2.0, report, views[number])
    return knowledge


def _draw_view(
    source: random.Random, number: int, services: tuple[str, ...]
) -> scheduling.WorkerView:
    demands = [builders.make_demand(f'{name}/{number}') for name in services]
    for family in ('noisy', 'calm', 'other'):
        if services != ('main',) and family == 'noisy' and number % 2:
            continue
        for index in range(source.randint(0, 2)):
            name = f'{family}-{number}-{index}'
            demands.append(builders.make_demand(name))
    return builders.make_worker(f'w{number}', demands)


def _measure(
    source: random.Random, view: scheduling.WorkerView
) -> list[workers.TaskUsage]:
    slowdown = sum(
        HARM.get(placed.demand.family, 0.0) * 2000 / 16000
        for placed in view.tasks.values()
    )
    usages = []
    for placed in view.tasks.values():
        usage = builders.make_usage(placed.demand)
        if usage.latency_p99 is not None:
            noise = source.gauss(0.0, 0.1)
            usage = builders.make_usage(
                placed.demand, latency_p99=10.0 * 2.718 ** (slowdown + noise)
            )
        usages.append(usage)
    return usages


def predict(
    knowledge: policies.Knowledge, family: str, service: str = 'main'
) -> policies.Prediction:
    """Return the harm of two processors of a family."""
    share = policies.make_share(
        resources.Resources(2000, 4096, 0), builders.CAPACITY
    )
    return knowledge.model.predict_harm(service, family, share, 1.0)


def choose(
    knowledge: policies.Knowledge,
    family: str,
    weights: operators.Weights | None = None,
    beside: tuple[str, ...] = ('noisy-8', 'noisy-9'),
) -> identifiers.WorkerId | None:
    """Choose between a worker of much noisy work and one of calm work."""
    first = [builders.make_demand(n) for n in ('main/8', *beside)]
    second = [builders.make_demand(n) for n in ('main/9', 'calm-8', 'calm-9')]
    candidates = [
        builders.make_worker('w8', first),
        builders.make_worker('w9', second),
    ]
    placement = policies.WeighedPlacement(
        knowledge, weights or operators.Weights(), clocks.ManualClock()
    )
    demand = builders.make_demand(f'{family}-new')
    chosen = placement.choose_worker(demand, candidates)
    return chosen.worker_id if chosen is not None else None


class LearningTest(unittest.TestCase):
    def test_harm_is_learnt_for_each_family(self) -> None:
        knowledge = teach()
        for family, harm in HARM.items():
            with self.subTest(family=family):
                found = predict(knowledge, family)
                self.assertAlmostEqual(found.mean, harm / 8, delta=0.12)
                self.assertGreater(found.deviation, 0.0)
        self.assertEqual(choose(knowledge, 'noisy'), 'w9')

    def test_unseen_pair_is_shrunk_to_its_family_and_less_certain(
        self,
    ) -> None:
        knowledge = teach(services=('main', 'sessions'))
        model = knowledge.model
        assert isinstance(model, policies.PairwiseModel)
        shares = {'calm': policies.Share(0.1, 0.05, 0.0)}
        for _ in range(200):
            model.observe_latency('search', 0.9, 10.0, shares, 1.0)
        unseen = predict(knowledge, 'noisy', 'search')
        seen = predict(knowledge, 'noisy', 'main')
        self.assertGreater(unseen.deviation, seen.deviation)
        prior = predict(
            policies.Knowledge(
                policies.PairwiseModel(), policies.LearntSizes()
            ),
            'noisy',
        )
        self.assertGreater(unseen.mean, 2 * prior.mean)

    def test_exploration_never_spends_a_budget_that_is_gone(self) -> None:
        knowledge = teach()
        crowded = tuple(f'noisy-{n}' for n in (5, 6, 7, 8, 9))
        chosen = choose(knowledge, 'unknown', beside=crowded)
        self.assertEqual(chosen, 'w9')
        weights = operators.Weights(tail_latency=1.0, batch_throughput=0.0)
        only = [builders.make_demand(n) for n in ('main/8', *crowded)]
        placement = policies.WeighedPlacement(
            knowledge, weights, clocks.ManualClock()
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
        honest, steered = teach(), teach(lie_about_use)
        declared = resources.Resources(6000, 16384, 0)
        for family in HARM:
            with self.subTest(family=family):
                self.assertEqual(
                    choose(honest, family), choose(steered, family)
                )
                self.assertAlmostEqual(
                    predict(honest, family).mean,
                    predict(steered, family).mean,
                    delta=0.2,
                )
                self.assertEqual(
                    honest.sizes.correct_size(family, declared).size,
                    steered.sizes.correct_size(family, declared).size,
                )

    def test_declaration_far_off_is_corrected_with_a_note(self) -> None:
        knowledge = teach()
        declared = resources.Resources(6000, 16384, 0)
        corrected = knowledge.sizes.correct_size('calm', declared)
        self.assertAlmostEqual(corrected.size.millicores, 2100, delta=100)
        self.assertIn('declared 6000', corrected.note)
        near = resources.Resources(2200, 4500, 0)
        self.assertEqual(
            knowledge.sizes.correct_size('calm', near),
            policies.CorrectedSize(size=near),
        )

    def test_disturbed_servers_weigh_less_in_routing(self) -> None:
        knowledge = teach()
        routing = policies.DisturbanceRouting(knowledge)
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
        knowledge = teach()
        data = policies.encode_state(knowledge)
        successor = policies.Knowledge(
            policies.PairwiseModel(), policies.LearntSizes()
        )
        policies.decode_state(data, successor)
        for family in HARM:
            with self.subTest(family=family):
                self.assertAlmostEqual(
                    predict(successor, family).mean,
                    predict(knowledge, family).mean,
                    delta=0.02,
                )
        declared = resources.Resources(6000, 16384, 0)
        self.assertEqual(
            successor.sizes.correct_size('calm', declared),
            knowledge.sizes.correct_size('calm', declared),
        )
        # Well under a frame of the log, for one service and three families.
        self.assertLess(len(data), 8 * 1024)

    def test_damaged_state_is_refused(self) -> None:
        data = policies.encode_state(teach())
        for damaged in (b'', data[:-9], b'\x93' + data[1:]):
            with self.subTest(size=len(damaged)):
                with self.assertRaises(errors.RefusedError):
                    policies.decode_state(
                        damaged,
                        policies.Knowledge(
                            policies.PairwiseModel(), policies.LearntSizes()
                        ),
                    )
