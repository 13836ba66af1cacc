"""Detection of tasks that run twice, across all workers."""

import msgspec


class Ran(msgspec.Struct, frozen=True):
    """Describe a started run and the boot of the worker that it is on."""

    task: str
    run: int
    checkpoint: str
    worker: str = ''
    born_ms: int = 0

    def describe(self) -> str:
        """Return the run and the boot for a message."""
        return f'run {self.run} on {self.worker} (born {self.born_ms})'


class RunLedger:
    """Detect tasks that run twice, across all workers."""

    __slots__ = ('broken', '_running', '_done', '_acknowledged')

    def __init__(self) -> None:
        self.broken: list[str] = []
        # Current runs, by task.
        self._running: dict[str, list[Ran]] = {}
        # Unacknowledged runs that ended as done, by task, each with the runs
        # that have started since.
        self._done: dict[str, dict[Ran, list[Ran]]] = {}
        # Runs whose end as done was acknowledged, by task.
        self._acknowledged: dict[str, list[Ran]] = {}

    def record_start(self, ran: Ran) -> None:
        """Record that a run has started."""
        for other in self._running.get(ran.task, ()):
            self.broken.append(
                f'{ran.task} has two concurrent runs: {ran.describe()} '
                f'started during {other.describe()}'
            )
        for other in self._acknowledged.get(ran.task, ()):
            self._report_restart(ran, other)
        for later in self._done.get(ran.task, {}).values():
            later.append(ran)
        self._running.setdefault(ran.task, []).append(ran)

    def record_end(self, ran: Ran, cause: str = '') -> None:
        """Record that a run has ended, without a cause if its worker did."""
        self._running[ran.task].remove(ran)
        if cause == 'done':
            self._done.setdefault(ran.task, {})[ran] = []

    def record_completion(self, ran: Ran) -> None:
        """Record that the end of a run as done was acknowledged."""
        for later in self._done.get(ran.task, {}).pop(ran, ()):
            self._report_restart(later, ran)
        self._acknowledged.setdefault(ran.task, []).append(ran)

    def _report_restart(self, ran: Ran, completed: Ran) -> None:
        self.broken.append(
            f'{ran.task} started again after its completion, which was '
            f'acknowledged: {ran.describe()} started after '
            f'{completed.describe()}'
        )
