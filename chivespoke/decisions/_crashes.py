"""Blame of tasks for the crashes of workers.

A task may crash each worker that starts it. Everything else on the worker is
lost in the same crash, so one crash does not tell which task is to blame. Runs
that were young at the crash are suspects. A task that was a suspect starts
again where no task of another job can become a suspect beside it, as in group
testing, so that another crash identifies it.
"""

import collections.abc
import datetime

import msgspec

from chivespoke import workloads

# Age from which on a run is not blamed for the crash of its worker.
SUSPECT_AGE_SECONDS = 1.0
# Different places at which a task must have crashed workers before its job is
# given up. A single crash may have been the worker's own.
MIN_CRASH_PLACES = 2
# Workers of a rack or a data centre that cease to answer within this time of
# each other have lost something that they share.
OUTAGE_SECONDS = 1.0
# Number of other workers that must have ceased to answer.
MIN_OUTAGE_WORKERS = 2
# Time for which a gang with a suspect waits for workers without others.
MAX_PROOF_WAIT_SECONDS = 2.0
# Number of crashes after which a job is given up even if other tasks were
# suspects each time, so that no task crashes one worker after the other.
MAX_CRASHES = 4


class LostRun(msgspec.Struct, frozen=True):
    """Hold a run that was lost when its worker crashed."""

    job: str
    task: str
    run: int
    # Time between the start of the run and the last sign of the worker.
    age_seconds: float
    # The run is known to have begun; its order may have come too late.
    begun: bool = True


def find_suspects(
    lost_runs: collections.abc.Iterable[LostRun],
) -> tuple[LostRun, ...]:
    """Return the runs that may be to blame for the crash of their worker."""
    return tuple(
        run for run in lost_runs if run.age_seconds < SUSPECT_AGE_SECONDS
    )


def is_conclusive(suspects: collections.abc.Iterable[LostRun]) -> bool:
    """Return whether only one job can be to blame for a crash."""
    runs = tuple(suspects)
    return len({run.job for run in runs}) == 1 and any(
        run.begun for run in runs
    )


def may_wait_for_proof(idle_seconds: float) -> bool:
    """Return whether a gang with a suspect waits to start without others."""
    return idle_seconds < MAX_PROOF_WAIT_SECONDS


def is_outage(silent: int, total: int) -> bool:
    """Return whether a crash is part of an outage of a rack or data centre.

    Counts the other workers there: those that ceased to answer, and all.
    """
    return silent >= MIN_OUTAGE_WORKERS and 2 * silent >= total


def is_hopeless(crashes: collections.abc.Sequence[workloads.Crash]) -> bool:
    """Return whether a task with these crashes must not start again.

    The last crash counts as proof if nothing else can have caused it; the
    earlier ones made the task a suspect.
    """
    if len(crashes) >= MAX_CRASHES:
        return True
    places = {crash.place for crash in crashes}
    return len(places) >= MIN_CRASH_PLACES and crashes[-1].conclusive


def describe_crashes(
    task: str, crashes: collections.abc.Sequence[workloads.Crash]
) -> str:
    """Return why a job was given up, with the workers and times in UTC."""
    places = ', '.join(
        f'{crash.worker} at {format_time(crash.at_ms)}' for crash in crashes
    )
    return f'task {task} crashed {len(crashes)} workers: {places}'


def format_time(wall_ms: int) -> str:
    """Return a wall-clock time as ISO 8601 in UTC, to the millisecond."""
    at = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return at.isoformat(timespec='milliseconds').replace('+00:00', 'Z')
