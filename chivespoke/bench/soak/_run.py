"""One run of the soak."""

import asyncio
import collections
import pathlib

import msgspec

from chivespoke import application
from chivespoke.bench.soak import _callers
from chivespoke.bench.soak import _checks
from chivespoke.bench.soak import _lasting_tasks
from chivespoke.bench.soak import _odd_writer
from chivespoke.bench.soak import _schedule
from chivespoke.bench.soak import _world

# Time for the first entry to answer, and for accepted jobs to be completed
# once all faults are over.
START_SECONDS = 30.0
SETTLE_SECONDS = 45.0
POLL_SECONDS = 0.5
# Jobs whose tasks last, and their tasks.
LASTING_JOBS = ('00000000000000f1', '00000000000000f2')
LASTING_TASKS = 4
# Jobs with long tasks are handed in until their tasks would end this long
# before the faults do.
LONG_JOBS_END_SECONDS = 4.0


class SoakOptions(msgspec.Struct, frozen=True):
    """Hold the seed and the size of a run."""

    seed: int
    seconds: float = 20.0
    entries: int = 3
    sidecars: int = 3
    callers: int = 6
    version_bytes: int = 250_000


class SoakReport(msgspec.Struct, frozen=True):
    """Hold the outcome of a run."""

    options: SoakOptions
    faults: int
    versions: int
    # Number of requests, by status; 0 without an answer.
    requests: dict[int, int]
    accepted_jobs: int
    # Longest time for which the process of the soak stood still.
    longest_stall: float
    violations: tuple[_checks.Violation, ...]


async def run_soak(options: SoakOptions, folder: pathlib.Path) -> SoakReport:
    """Run the daemons under faults; keep logs and timeline in a folder."""
    world = _world.World(folder, options.entries, options.sidecars)
    schedule = _schedule.make_schedule(
        options.seed, options.seconds, world.entries, world.sidecars
    )
    (folder / 'schedule.json').write_bytes(msgspec.json.encode(schedule))
    history = _callers.History()
    operator = _callers.Operator(world, history, options.version_bytes)
    await operator.write_first()
    tasks = application.TaskOwner()
    lasting_tasks = _lasting_tasks.LastingTasks(world.runners, LASTING_JOBS)
    watching = application.TaskOwner()
    try:
        await world.start()
        judge = _callers.Caller(world, history, options.seed)
        await _wait_for_entries(judge)
        for job in LASTING_JOBS:
            await judge.submit_lasting_job(job, LASTING_TASKS)
        watching.spawn(lasting_tasks.watch())
        callers = [
            _callers.Caller(world, history, options.seed * 1000 + number)
            for number in range(options.callers)
        ]
        tasks.spawn(operator.run())
        tasks.spawn(_odd_writer.OddWriter(world).run())
        for caller in callers:
            tasks.spawn(caller.run())
        # Not so late that the end of the run waits for them.
        tasks.spawn(
            judge.submit_long_jobs(
                history.read_time()
                + options.seconds
                - _callers.LONG_TASK_SECONDS
                - LONG_JOBS_END_SECONDS
            )
        )
        await _carry_out(world, schedule, options.seconds)
        await tasks.cancel()
        completed = await _wait_for_completion(judge, history)
        await lasting_tasks.wait_until_all_run(SETTLE_SECONDS)
        await judge.close()
        exited = world.list_exited()
    finally:
        await tasks.cancel()
        await watching.cancel()
        await world.stop()
    violations = [
        *_judge(world, history, completed, exited),
        *lasting_tasks.check(world.faults),
    ]
    report = SoakReport(
        options,
        len(schedule),
        len(history.routes),
        dict(
            sorted(
                collections.Counter(
                    seen.status for seen in history.observations
                ).items()
            )
        ),
        len(_list_accepted(history)),
        max(
            (stall.end - stall.begin for stall in lasting_tasks.stalls),
            default=0.0,
        ),
        tuple(violations),
    )
    (folder / 'observations.json').write_bytes(
        msgspec.json.encode(history.observations)
    )
    (folder / 'runs.json').write_bytes(
        msgspec.json.encode(
            sorted(
                (each for runner in world.runners for each in runner.events),
                key=lambda each: each.at,
            )
        )
    )
    (folder / 'report.json').write_bytes(msgspec.json.encode(report))
    return report


async def _wait_for_entries(judge: _callers.Caller) -> None:
    async with asyncio.timeout(START_SECONDS):
        while not await judge.is_served():
            await asyncio.sleep(POLL_SECONDS)


async def _carry_out(
    world: _world.World,
    schedule: tuple[_schedule.Fault, ...],
    seconds: float,
) -> None:
    """Bring all faults about; return when all are over."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def carry_out(fault: _schedule.Fault) -> None:
        await asyncio.sleep(started_at + fault.at - loop.time())
        await world.do_harm(fault)

    await asyncio.gather(
        asyncio.sleep(seconds), *(carry_out(fault) for fault in schedule)
    )


def _list_accepted(history: _callers.History) -> set[str]:
    return {
        seen.job
        for seen in history.observations
        if seen.method == 'POST' and 200 <= seen.status < 300
    } - set(LASTING_JOBS)


async def _wait_for_completion(
    judge: _callers.Caller, history: _callers.History
) -> set[str]:
    """Return the accepted jobs that are completed in time."""
    waiting = _list_accepted(history)
    completed: set[str] = set()
    deadline = history.read_time() + SETTLE_SECONDS
    while waiting and history.read_time() < deadline:
        states = await judge.find_states(sorted(waiting))
        done = {job for job, state in states.items() if state == 'completed'}
        completed |= done
        waiting -= done
        await asyncio.sleep(POLL_SECONDS)
    return completed


def _judge(
    world: _world.World,
    history: _callers.History,
    completed: set[str],
    exited: list[str],
) -> list[_checks.Violation]:
    started = {
        ran.task.partition('.')[0]
        for runner in world.runners
        for ran in runner.began
    }
    return [
        *_checks.check_routes(history.routes, history.observations),
        *_checks.check_jobs(
            history.observations, started, completed | set(LASTING_JOBS)
        ),
        *(
            _checks.Violation(_checks.Promise.TASKS_RUN_ONCE_AT_A_TIME, detail)
            for detail in world.ledger.broken
        ),
        *(
            _checks.Violation(_checks.Promise.PROCESSES_END_WHEN_TOLD, name)
            for name in exited
        ),
    ]
