"""A long random run of the task life cycle under every fault."""

import asyncio
import collections
import random

import loguru
import msgspec

from chivespoke.bench import _fault_actions
from chivespoke.bench import _fault_world
from chivespoke import errors

# Steps between two comparisons of the processes' states.
COMPARE_INTERVAL = 250
# Runs that shortening a failed history may take.
SHRINK_RUNS = 40
SHOWN_ACTIONS = 40


class FaultReport(msgspec.Struct, kw_only=True):
    """Hold what one run injected, checked and found."""

    seed: int
    steps: int
    # Seconds of the common clock.
    simulated_seconds: float = 0.0
    injected: dict[str, int] = {}
    checked: dict[str, int] = {}
    refused: dict[str, int] = {}
    jobs: int = 0
    tasks: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0
    attempts: int = 0
    evictions: int = 0
    abandoned: int = 0
    lost_seconds: float = 0.0
    failure: str = ''
    # The shortest history found that still fails.
    history: tuple[str, ...] = ()


def run_faults(seed: int, steps: int, shrink: bool = True) -> FaultReport:
    """Run one seed; on failure report a shortened history."""
    actions = _fault_actions.make_actions(seed, steps)
    report = _run(seed, steps, actions)
    if report.failure and shrink:
        shortest = _shrink(seed, steps, actions, report.failure)
        report.history = tuple(
            f'step {action.step}: {action.kind.value} '
            f'(choice {action.choice:.3f}, size {action.size:.3f}, '
            f'{action.duration:.1f} s)'
            for action in shortest[-SHOWN_ACTIONS:]
        )
    return report


def _run(
    seed: int, steps: int, actions: list[_fault_actions.Action]
) -> FaultReport:
    report = FaultReport(seed=seed, steps=steps)
    return asyncio.run(_run_actions(report, actions))


async def _run_actions(
    report: FaultReport, actions: list[_fault_actions.Action]
) -> FaultReport:
    world = _fault_world.FaultWorld(random.Random(report.seed))
    failures: list[str] = []
    # Background tasks log what they raise.
    sink = loguru.logger.add(
        lambda message: failures.append(
            str(message.record['extra'].get('fields', message))
        ),
        level='ERROR',
    )
    try:
        await world.start()
        await _drive(world, report.steps, actions, failures)
        await world.heal_and_finish()
    except errors.ChivespokeError as error:
        report.failure = str(error)
    finally:
        loguru.logger.remove(sink)
        report.injected.update(sorted(world.injected.items()))
        world.audit.fill(report.checked, report.refused)
        world.audit.total(report)
        await world.stop()
    if failures:
        report.failure = failures[0]
    return report


async def _drive(
    world: _fault_world.FaultWorld,
    steps: int,
    actions: list[_fault_actions.Action],
    failures: list[str],
) -> None:
    by_step: dict[int, list[_fault_actions.Action]] = collections.defaultdict(
        list
    )
    for action in actions:
        by_step[action.step].append(action)
    for step in range(steps):
        for action in by_step.get(step, ()):
            await world.act(action)
        await world.step()
        if failures:
            return
        if step % COMPARE_INTERVAL == 0:
            world.audit.compare_states()


def _shrink(
    seed: int,
    steps: int,
    actions: list[_fault_actions.Action],
    failure: str,
) -> list[_fault_actions.Action]:
    """Drop parts of the history while the same invariant still breaks."""
    kind = failure.split('(')[0]
    shortest = list(actions)
    size = max(1, len(shortest) // 2)
    runs = 0
    while size and runs < SHRINK_RUNS:
        position = 0
        while position < len(shortest) and runs < SHRINK_RUNS:
            shorter = shortest[:position] + shortest[position + size :]
            runs += 1
            if _run(seed, steps, shorter).failure.startswith(kind):
                shortest = shorter
            else:
                position += size
        size //= 2
    return shortest
