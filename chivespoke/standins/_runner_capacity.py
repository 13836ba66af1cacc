"""The capacity of the fake worker, and the starts that exceed it."""

import asyncio
import collections.abc

from chivespoke import workloads

INITIAL_CAPACITY = workloads.Resources(8000, 32000)


class RunnerCapacity:
    """Compare what runs on the worker with a capacity that may change."""

    __slots__ = (
        'current',
        'enforced',
        'notice_seconds',
        'sizes',
        'exceeded',
        '_earlier',
    )

    def __init__(self) -> None:
        self.current = INITIAL_CAPACITY
        # Whether the worker refuses what does not fit.
        self.enforced = True
        # Time for which a capacity still counts after it has changed.
        self.notice_seconds = 0.0
        # What a task takes, by step; the tasks of other steps take nothing.
        self.sizes: dict[str, workloads.Resources] = {}
        # Descriptions of the starts that exceeded the capacity.
        self.exceeded: list[str] = []
        # Earlier capacities, and the loop times at which they changed.
        self._earlier: list[tuple[float, workloads.Resources]] = []

    def change(self, capacity: workloads.Resources) -> None:
        """Set the capacity while the worker runs."""
        now = asyncio.get_running_loop().time()
        self._earlier.append((now, self.current))
        self.current = capacity

    def admits(
        self, task: str, running: collections.abc.Iterable[str]
    ) -> bool:
        """Return whether a task fits beside those that run."""
        return not self.enforced or self.current.covers(
            self._measure((*running, task))
        )

    def record_start(
        self, task: str, running: collections.abc.Iterable[str]
    ) -> None:
        """Record a start that exceeds the capacity."""
        in_use = self._measure((*running, task))
        expired_at = asyncio.get_running_loop().time() - self.notice_seconds
        limits = [self.current]
        limits += [
            earlier
            for changed_at, earlier in self._earlier
            if changed_at > expired_at
        ]
        if not any(limit.covers(in_use) for limit in limits):
            self.exceeded.append(
                f'the start of {task} brought the use to {in_use}, over the '
                f'capacity {self.current}'
            )

    def _measure(
        self, tasks: collections.abc.Iterable[str]
    ) -> workloads.Resources:
        in_use = workloads.Resources()
        for task in tasks:
            step = task.rpartition('.')[0]
            in_use = in_use.add(self.sizes.get(step, workloads.Resources()))
        return in_use
