"""What a random run checks from outside, beside the program's own."""

import collections

from chivespoke.bench import _cluster
from chivespoke.bench import _gates
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _permits
from chivespoke import standins

# Seconds that floating point may be off.
ROUNDING = 1e-6


class Witness:
    """See every run on every worker, on one clock."""

    __slots__ = (
        'checks',
        '_cluster',
        '_seen',
        '_runs',
        '_out_since',
        '_killed',
    )

    def __init__(self, cluster: _cluster.Cluster) -> None:
        self.checks: collections.Counter[str] = collections.Counter()
        self._cluster = cluster
        # Runs already taken in, by agent's id; dead ones are kept alive.
        self._seen: dict[int, int] = {}
        self._killed: list[standins.WorkerAgent] = []
        # The last run of each task, with its agent.
        self._runs: dict[
            identifiers.TaskId, tuple[standins.Run, standins.WorkerAgent]
        ] = {}
        self._out_since: dict[identifiers.DataCentreName, float] = {}

    def note_published(self, document: operators.Document) -> None:
        """Note which data centres are out from now on."""
        now = self._cluster.now()
        out = {
            name
            for name, data_centre in document.data_centres.items()
            if data_centre.state is operators.ServiceState.OUT_OF_SERVICE
        }
        self._out_since = {
            name: self._out_since.get(name, now) for name in out
        }

    def note_killed(self, agent: standins.WorkerAgent) -> None:
        """Note that everything on a worker ended with it."""
        agent.advance_runs()
        self.check()
        self._killed.append(agent)
        now = agent.clock.read_monotonic()
        for run in agent.runs.values():
            run.ended_at = now
        agent.runs.clear()

    def check(self) -> None:
        """Check every run that began since the last call, in order."""
        fresh: list[tuple[float, standins.Run, standins.WorkerAgent]] = []
        for agent in self._cluster.list_agents():
            fresh.extend(self._take_fresh(agent))
        self._check_runs(fresh)

    def check_agent(self, agent: standins.WorkerAgent) -> None:
        """Check one worker's new runs."""
        self._check_runs(self._take_fresh(agent))

    def _check_runs(
        self,
        fresh: list[tuple[float, standins.Run, standins.WorkerAgent]],
    ) -> None:
        for began, run, agent in sorted(fresh, key=lambda item: item[0]):
            self._check_run(began, run, agent)

    def _take_fresh(
        self, agent: standins.WorkerAgent
    ) -> list[tuple[float, standins.Run, standins.WorkerAgent]]:
        """Return a worker's new runs and check its commitment."""
        begin = self._seen.get(id(agent), 0)
        self._seen[id(agent)] = len(agent.history)
        self.checks['never over-committed, at the worker'] += 1
        errors.check_invariant(
            agent.compute_committed_resources().fits_within(
                agent.registration.capacity
            ),
            'never over-committed',
            agent.registration.worker_id,
        )
        return [
            (convert(agent, run.started_at), run, agent)
            for run in agent.history[begin:]
        ]

    def _check_run(
        self,
        began: float,
        run: standins.Run,
        agent: standins.WorkerAgent,
    ) -> None:
        task_id = run.command.task_id
        before = self._runs.get(task_id)
        if before is not None:
            earlier, where = before
            ended = earlier.ended_at
            self.checks['never twice at once'] += 1
            errors.check_invariant(
                ended is not None
                and convert(where, ended) <= began + ROUNDING,
                'never twice at once',
                task_id,
                f'attempt {earlier.command.attempt} on '
                f'{where.registration.worker_id} beside attempt '
                f'{run.command.attempt} on {agent.registration.worker_id}',
            )
            self.checks['resumed exactly once'] += 1
            errors.check_invariant(
                run.command.attempt > earlier.command.attempt,
                'each attempt runs once',
                task_id,
                f'{run.command.attempt} after {earlier.command.attempt}',
            )
        self._runs[task_id] = (run, agent)
        self._check_start(began, run, agent)

    def _check_start(
        self, began: float, run: standins.Run, agent: standins.WorkerAgent
    ) -> None:
        since = self._out_since.get(agent.registration.data_centre)
        self.checks['no late start'] += 1
        late = began - since if since is not None else 0.0
        errors.check_invariant(
            late <= _permits.MAX_START_DELAY_SECONDS,
            'no late start',
            run.command.task_id,
            f'{late:.3f} s after {agent.registration.data_centre} was out',
        )


def convert(agent: standins.WorkerAgent, reading: float) -> float:
    """Return the common clock's time of an agent's reading."""
    clock = agent.clock
    if isinstance(clock, _gates.SkewedClock):
        return clock.convert(reading)
    return reading
