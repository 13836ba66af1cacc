"""The faults and requests that a random run injects."""

import enum
import random

import msgspec


class ActionKind(enum.Enum):
    """Name what may happen in one step."""

    SUBMIT = 'job submitted'
    CANCEL_WAVE = 'cancellation wave'
    CUT_WORKER = 'worker cut off'
    RESTART_WORKER = 'worker restarted'
    REPLACE_WORKER = 'worker replaced elsewhere while it runs'
    CUT_RACK = 'rack cut off'
    LOSE_WORKER_ANSWERS = 'worker answers lost'
    BREAK_WORKER = 'worker fails everything'
    REPAIR_WORKER = 'worker repaired'
    KILL_PROCESS = 'process died and restarted'
    PAUSE_PROCESS = 'process paused'
    CUT_PROCESS = 'process cut off from the log'
    SLOW_COMMANDS = 'commands to workers slow'
    LOG_DOWN = 'log down'
    LOG_APPENDS_DOWN = 'log appends down'
    LOG_SLOW = 'log slow'
    LOSE_LOG_ANSWERS = 'log answers lost'
    DUPLICATE_APPENDS = 'appends stored twice'
    TAKE_OUT = 'data centre taken out'
    TAKE_OUT_TWO = 'two data centres taken out'
    RETURN = 'data centres returned'
    SCALE_SERVICE = 'service scaled'
    ROLL_SERVICE = 'service rolled'
    CHANGE_QUOTA = 'quota changed'
    REPEAT_SUBMIT = 'job submitted again'
    JUMP = 'time passed'
    SUBMIT_DEADLY = 'job submitted that crashes its workers'


WEIGHTS = {
    ActionKind.SUBMIT: 30,
    ActionKind.CANCEL_WAVE: 6,
    ActionKind.CUT_WORKER: 10,
    ActionKind.RESTART_WORKER: 4,
    ActionKind.REPLACE_WORKER: 2,
    ActionKind.CUT_RACK: 2,
    ActionKind.LOSE_WORKER_ANSWERS: 10,
    ActionKind.BREAK_WORKER: 1,
    ActionKind.REPAIR_WORKER: 3,
    ActionKind.KILL_PROCESS: 4,
    ActionKind.PAUSE_PROCESS: 5,
    ActionKind.CUT_PROCESS: 3,
    ActionKind.SLOW_COMMANDS: 5,
    ActionKind.LOG_DOWN: 2,
    ActionKind.LOG_APPENDS_DOWN: 2,
    ActionKind.LOG_SLOW: 2,
    ActionKind.LOSE_LOG_ANSWERS: 6,
    ActionKind.DUPLICATE_APPENDS: 4,
    ActionKind.TAKE_OUT: 4,
    ActionKind.TAKE_OUT_TWO: 2,
    ActionKind.RETURN: 7,
    ActionKind.SCALE_SERVICE: 2,
    ActionKind.ROLL_SERVICE: 2,
    ActionKind.CHANGE_QUOTA: 2,
    ActionKind.REPEAT_SUBMIT: 3,
    ActionKind.JUMP: 20,
    ActionKind.SUBMIT_DEADLY: 3,
}
# The share of steps in which only time passes.
QUIET_SHARE = 0.8
# Seconds that a fault lasts: most short, a few long.
SHORT_FAULT = (0.5, 8.0)
LONG_FAULT = (30.0, 150.0)
LONG_SHARE = 0.12


class Action(msgspec.Struct, frozen=True):
    """Hold one action; its numbers choose the target and the size."""

    step: int
    kind: ActionKind
    # From 0 up to 1.
    choice: float
    size: float
    # Seconds.
    duration: float


def make_actions(seed: int, steps: int) -> list[Action]:
    """Return the actions of a seed; each stands for itself."""
    source = random.Random(seed)
    kinds = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    actions: list[Action] = []
    for step in range(steps):
        if source.random() < QUIET_SHARE:
            continue
        kind = source.choices(kinds, weights)[0]
        long = source.random() < LONG_SHARE
        duration = source.uniform(*(LONG_FAULT if long else SHORT_FAULT))
        actions.append(
            Action(step, kind, source.random(), source.random(), duration)
        )
    return actions
