"""Test the order, timing and limits of the guard's actions."""

import collections
import math
import unittest

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke import resources
from chivespoke import scheduling
from chivespoke.scheduling import policies
from chivespoke.scheduling.policies.tests import builders
from chivespoke import workers

ACTIONS = scheduling.GuardActionKind
REPORT_LAG_SECONDS = 40.0
SIZE = resources.Resources(500, 512, 0)
CAPACITY_MILLICORES = builders.CAPACITY.millicores
THROTTLED_USE = resources.Resources(150, 512, 0)
BASELINE_MS = 10.0
# Log slowdown by one task of each family.
LOG_SLOWDOWNS = {
    'noisy': 1.2,
    'calm': 0.0,
    'first': 0.4,
    'second': 0.4,
    'wave': 0.3,
}


class FixedModel(policies.InterferenceModel):
    """Predict a fixed log slowdown for each family."""

    def predict_slowdown(
        self,
        service: str,
        family: str,
        share: policies.Share,
        load: float,
    ) -> policies.Prediction:
        tasks = share.processors * CAPACITY_MILLICORES / SIZE.millicores
        return policies.Prediction(LOG_SLOWDOWNS.get(family, 0.0) * tasks, 0.0)

    def estimate_baseline_latency(
        self, service: str, load: float
    ) -> float | None:
        return BASELINE_MS


class GuardSimulation:
    """Simulate a guard on one worker whose reports are delayed."""

    def __init__(
        self, names: tuple[str, ...], checkpointing: bool = False
    ) -> None:
        self.estimator = policies.WorkloadEstimator(
            FixedModel(), policies.DeclaredSizes()
        )
        self.guard = policies.EscalatingGuard(
            self.estimator, operators.Weights(), operators.Limits()
        )
        demands = [
            builders.make_demand(
                name,
                size=SIZE,
                checkpointing=checkpointing,
            )
            for name in names
        ]
        replica = builders.make_demand('main/0')
        self.worker = builders.make_worker('w0', [replica, *demands])
        self.actions: list[tuple[float, scheduling.GuardAction]] = []
        self._sent: list[workers.UsageReport] = []
        self._tick = 0
        # Tick at which the worker's clock and reports began.
        self._started_at = 0

    def restart_worker(self) -> None:
        """Let the next incarnation of the worker run its tasks anew."""
        self.worker.incarnation = identifiers.Incarnation('later')
        self._started_at = self._tick
        self._sent = []
        for task_id, placed in self.worker.tasks.items():
            self.worker.tasks[task_id] = msgspec.structs.replace(
                placed, attempt=identifiers.Attempt(2), throttled=False
            )

    def run(
        self,
        ticks: int,
        baseline: float = 0.0,
        forced_slowdown: float | None = None,
    ) -> None:
        """Measure, deliver the delayed report and apply the actions.

        The replica's log slowdown is the baseline plus that of the batch
        tasks, or forced_slowdown regardless of the actions.
        """
        for _ in range(ticks):
            self._tick += 1
            now = self._tick * builders.REPORT_SECONDS
            self.estimator.matcher.observe_clock(
                now, self.worker.worker_id, self._read_worker_clock()
            )
            slowdown = (
                self.measure(baseline)
                if forced_slowdown is None
                else forced_slowdown
            )
            self._sent.append(self._make_report(slowdown))
            if len(self._sent) * builders.REPORT_SECONDS > REPORT_LAG_SECONDS:
                self.estimator.observe_report(
                    now, self._sent.pop(0), self.worker
                )
            for action in self.guard.decide_actions(now, self.worker):
                self.actions.append((now, action))
                self._apply(action)

    def _read_worker_clock(self) -> float:
        return (self._tick - self._started_at) * builders.REPORT_SECONDS

    def measure(self, baseline: float) -> float:
        """Return the log slowdown of the replica."""
        for placed in self.worker.tasks.values():
            task_slowdown = LOG_SLOWDOWNS.get(placed.demand.family, 0.0)
            baseline += task_slowdown * (0.3 if placed.throttled else 1.0)
        return baseline

    def _make_report(self, slowdown: float) -> workers.UsageReport:
        usages = []
        for placed in self.worker.tasks.values():
            use = THROTTLED_USE if placed.throttled else placed.demand.size
            usage = builders.make_usage(placed.demand, use=use)
            if usage.latency_p99 is not None:
                usage = builders.make_usage(
                    placed.demand, latency_p99=BASELINE_MS * math.exp(slowdown)
                )
            usages.append(
                msgspec.structs.replace(usage, attempt=placed.attempt)
            )
        sequence = self._tick - self._started_at
        return builders.make_report(self.worker, sequence, usages)

    def _apply(self, action: scheduling.GuardAction) -> None:
        placed = self.worker.tasks[action.task_id]
        if action.kind is ACTIONS.EVICT:
            del self.worker.tasks[action.task_id]
        elif action.kind is not ACTIONS.CHECKPOINT:
            self.worker.tasks[action.task_id] = msgspec.structs.replace(
                placed, throttled=action.kind is ACTIONS.THROTTLE
            )


class EscalatingGuardTest(unittest.TestCase):
    def test_actions_escalate_from_mild_to_severe(self) -> None:
        for checkpointing, expected in (
            (True, [ACTIONS.THROTTLE, ACTIONS.CHECKPOINT, ACTIONS.EVICT]),
            (False, [ACTIONS.THROTTLE, ACTIONS.EVICT]),
        ):
            with self.subTest(checkpointing=checkpointing):
                simulation = GuardSimulation(
                    ('noisy-1', 'calm-1'), checkpointing
                )
                simulation.run(120, forced_slowdown=3.0)
                kinds = [action.kind for _, action in simulation.actions]
                self.assertEqual(kinds, expected)
                # The model attributes no slowdown to the calm family.
                task_ids = {action.task_id for _, action in simulation.actions}
                self.assertEqual(task_ids, {'noisy-1'})

    def test_next_action_waits_for_effect_of_previous(self) -> None:
        simulation = GuardSimulation(
            tuple(f'noisy-{index}' for index in range(9))
        )
        simulation.run(200, forced_slowdown=3.5)
        times = sorted({at for at, _ in simulation.actions})
        self.assertGreater(len(times), 4)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), REPORT_LAG_SECONDS)

    def test_many_noisy_tasks_cause_no_eviction_storm(self) -> None:
        """After all tasks are throttled, few evictions are needed."""
        simulation = GuardSimulation(
            tuple(f'wave-{index}' for index in range(20))
        )
        simulation.run(180)
        counts = collections.Counter(a.kind for _, a in simulation.actions)
        self.assertGreaterEqual(counts[ACTIONS.THROTTLE], 16)
        limit = policies.derive_parameters(operators.Weights()).guard_limit
        # Number of evictions that bring the slowdown of the throttled tasks
        # below the limit.
        throttled = 0.3 * LOG_SLOWDOWNS['wave']
        needed = math.ceil((20 * throttled - limit) / throttled)
        self.assertLessEqual(counts[ACTIONS.EVICT], needed + 1)
        self.assertLess(simulation.measure(0.0), limit)

    def test_evictions_stay_within_rate_limit(self) -> None:
        simulation = GuardSimulation(
            tuple(f'noisy-{index}' for index in range(30))
        )
        ticks = 90
        simulation.run(ticks, forced_slowdown=4.0)
        counts = collections.Counter(a.kind for _, a in simulation.actions)
        minutes = ticks * builders.REPORT_SECONDS / 60.0
        rate = operators.Limits().evictions_per_minute
        self.assertLessEqual(counts[ACTIONS.EVICT], 1 + rate * minutes)

    def test_no_oscillation_at_the_limit(self) -> None:
        """A slowdown that keeps crossing the limit causes one throttle."""
        simulation = GuardSimulation(('noisy-1',))
        for period in range(60):
            simulation.run(6, baseline=0.6 if period % 2 == 0 else 0.35)
        kinds = [action.kind for _, action in simulation.actions]
        self.assertEqual(kinds, [ACTIONS.THROTTLE])

    def test_guard_waits_for_the_clock_of_an_earlier_incarnation(
        self,
    ) -> None:
        simulation = GuardSimulation(('noisy-1',))
        simulation.run(200, baseline=0.0)
        simulation.run(30, baseline=0.5)
        simulation.restart_worker()
        simulation.run(30, baseline=0.5)
        kinds = [action.kind for _, action in simulation.actions]
        self.assertEqual(kinds, [ACTIONS.THROTTLE, ACTIONS.THROTTLE])

    def test_throttle_is_released_after_recovery(self) -> None:
        simulation = GuardSimulation(('noisy-1',))
        simulation.run(30, baseline=0.8)
        simulation.run(60, baseline=0.0)
        kinds = [action.kind for _, action in simulation.actions]
        self.assertEqual(kinds, [ACTIONS.THROTTLE, ACTIONS.RELEASE])

    def test_throttles_are_spread_over_families(self) -> None:
        names = [f'{name}-{i}' for name in ('first', 'second') for i in (1, 2)]
        simulation = GuardSimulation(tuple(names))
        simulation.run(60, baseline=0.5)
        counts = collections.Counter(
            action.task_id.split('-')[0]
            for _, action in simulation.actions
            if action.kind is ACTIONS.THROTTLE
        )
        self.assertGreaterEqual(sum(counts.values()), 2)
        self.assertLessEqual(abs(counts['first'] - counts['second']), 1)
