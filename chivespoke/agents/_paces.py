"""What a sidecar knows of the pace of its worker's runs."""

import collections.abc

from chivespoke import coordination
from chivespoke import decisions
from chivespoke import logs
from chivespoke import platform

LOGGER = logs.make_logger('paces')

# An order is kept until so many looks in a row did not list its run: a start
# may take three tries.
LOOKS_KEPT = 15


class PaceKeeper:
    """Remember orders and paces, and say which paces are to change."""

    __slots__ = (
        '_worker',
        '_capacity_millis',
        '_pacer',
        '_pressures',
        '_orders',
        '_unlisted',
        '_set',
    )

    def __init__(self, worker: str, capacity_millis: int) -> None:
        self._worker = worker
        self._capacity_millis = capacity_millis
        self._pacer = decisions.Pacer()
        self._pressures = decisions.KnownPressures()
        # What pacing has to know of the runs, by task.
        self._orders: dict[str, coordination.StartOrder] = {}
        # Looks in a row that did not list them.
        self._unlisted: dict[str, int] = {}
        # Percent of full speed last set, by task; a run starts at full speed.
        self._set: dict[str, int] = {}

    def take_pressures(
        self, pressures: collections.abc.Iterable[decisions.Pressure]
    ) -> None:
        """Take in what the leader has learnt."""
        self._pressures = decisions.KnownPressures(pressures)

    def note_order(self, order: coordination.StartOrder) -> None:
        """Note that a run is about to start, or is adopted."""
        self._orders[order.task] = order
        self._unlisted[order.task] = 0
        if not order.repeated:
            self._set.pop(order.task, None)

    def note_set(self, order: decisions.PaceOrder) -> None:
        """Note that the worker has taken a pace."""
        self._set[order.task] = order.percent

    def adjust(
        self, look: platform.WorkerStatus, now: float
    ) -> list[decisions.PaceOrder]:
        """Return the runs of a look that are to have another pace."""
        self._forget(look)
        runs = self._list_runs(look)
        changes = self._pacer.adjust(
            runs, self._pressures, self._capacity_millis, now
        )
        if changes:
            LOGGER.info(
                'Paces change.',
                worker=self._worker,
                paces={change.task: change.percent for change in changes},
                tails={
                    run.task: (run.measure, run.target_latency_ms)
                    for run in runs
                    if run.target_latency_ms
                },
            )
        return changes

    def _list_runs(
        self, look: platform.WorkerStatus
    ) -> list[decisions.PacedRun]:
        runs = []
        for row in look.running:
            order = self._orders.get(row.task)
            if order is None or order.run != row.run:
                continue
            runs.append(
                decisions.PacedRun(
                    row.task,
                    row.run,
                    order.image,
                    order.filler,
                    order.target_latency_ms,
                    row.measure,
                    self._set.get(row.task, decisions.FULL_PACE),
                )
            )
        return runs

    def _forget(self, look: platform.WorkerStatus) -> None:
        listed = {row.task for row in look.running}
        for task in tuple(self._orders):
            # A look that was on its way when the run began does not list it.
            unlisted = self._unlisted.get(task, 0) + 1
            self._unlisted[task] = 0 if task in listed else unlisted
            if self._unlisted[task] > LOOKS_KEPT:
                del self._orders[task]
                del self._unlisted[task]
                self._set.pop(task, None)
