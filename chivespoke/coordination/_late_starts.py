"""Starts that may still take effect although all leases have expired."""

import msgspec

from chivespoke.coordination import _fences
from chivespoke.coordination import _fleet
from chivespoke.coordination import _messages


class OpenOrder(msgspec.Struct, frozen=True):
    """Hold an order to start a run for which calls may follow.

    No report covers it yet, or the last one said that it is in progress.
    """

    session: str
    # Number of the directive with the order, or of the last one that the
    # report covers.
    directive: int
    # Time until which a call for the order may be executed.
    until: float

    def is_covered(self, report: _messages.Report) -> bool:
        """Return whether a report of the sidecar tells what became of it.

        The reports of a process name the calls of all its sessions, and no
        calls follow for the orders to an earlier session.
        """
        return (
            report.covered is None
            or (
                report.session == self.session
                and self.directive <= report.covered
            )
            or _fences.is_earlier(self.session, report.session)
        )


class LateStarts:
    """Tell which runs may still begin after all leases have expired.

    A call that got no answer may be executed late. The worker that executes it
    may have started again since, so that it knows neither the end of the run
    nor a fencing token that bars the call, and its clock starts anew.
    """

    __slots__ = (
        '_call_seconds',
        '_order_seconds',
        '_reported',
        '_ordered',
        '_in_progress',
    )

    def __init__(self, call_seconds: float, order_seconds: float) -> None:
        # Longest time from the beginning of a call to its execution.
        self._call_seconds = call_seconds
        # Longest time from a start order to the last call for it.
        self._order_seconds = order_seconds
        # Time until which a call that a sidecar reported may be executed, by
        # task and run.
        self._reported: dict[tuple[str, int], float] = {}
        # Orders that no report covers, and those that a report said to be in
        # progress; by sidecar, task and run.
        self._ordered: dict[str, dict[tuple[str, int], OpenOrder]] = {}
        self._in_progress: dict[str, dict[tuple[str, int], OpenOrder]] = {}

    def record_order(
        self,
        run: _fleet.Run,
        sidecar: str,
        session: str,
        directive: int,
        now: float,
    ) -> None:
        """Record an order to start a run."""
        until = now + self._order_seconds + self._call_seconds
        orders = self._ordered.setdefault(sidecar, {})
        orders[run.task_id, run.number] = OpenOrder(session, directive, until)

    def record_report(self, report: _messages.Report, now: float) -> None:
        """Record the calls without an answer that a sidecar reports."""
        for open_orders in (self._ordered, self._in_progress):
            orders = open_orders.get(report.sidecar, {})
            for key, order in tuple(orders.items()):
                if order.is_covered(report):
                    del orders[key]
        for start in report.unanswered:
            key = start.task, start.run
            until = now + self._call_seconds - start.age_ms / 1000
            if start.in_progress:
                # A later report tells whether its calls were answered.
                self._in_progress.setdefault(report.sidecar, {})[key] = (
                    OpenOrder(
                        report.session,
                        report.applied,
                        until + self._order_seconds,
                    )
                )
            else:
                self._reported[key] = max(
                    until, self._reported.get(key, until)
                )

    def record_late(self, task: str, run: int, until: float) -> None:
        """Record until when a call of an earlier leader may be executed."""
        key = task, run
        self._reported[key] = max(until, self._reported.get(key, until))

    def measure_left(self, run: _fleet.Run, now: float) -> float:
        """Return for how long a call to start a run may be executed.

        In seconds; 0 if it can no longer be.
        """
        key = run.task_id, run.number
        return max(
            0.0,
            self._reported.get(key, now) - now,
            *(
                orders[key].until - now
                for open_orders in (self._ordered, self._in_progress)
                for orders in open_orders.values()
                if key in orders
            ),
        )

    def may_begin(self, run: _fleet.Run, now: float) -> bool:
        """Return whether a call to start a run may still be executed."""
        return self.measure_left(run, now) > 0

    def forget_past(self, now: float) -> None:
        """Forget the calls that can no longer be executed."""
        self._reported = {
            key: until for key, until in self._reported.items() if now < until
        }
        for open_orders in (self._ordered, self._in_progress):
            for sidecar, orders in tuple(open_orders.items()):
                for key, order in tuple(orders.items()):
                    if now >= order.until:
                        del orders[key]
                if not orders:
                    del open_orders[sidecar]
