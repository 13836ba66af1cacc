"""One boot of the fake worker: its clock, lease and runs."""

import asyncio
import typing

from chivespoke.standins import _run_ledger
from chivespoke.standins import _runner_capacity
from chivespoke.standins import _runner_events
from chivespoke.standins import _runner_faults

# Processor time in use, or tail latency, of every run.
MEASURE = 100
# Maximum number of ended runs in one response.
MAX_LISTED_ENDS = 500


class _Run:
    """Hold a run in progress and the timer that ends it."""

    __slots__ = ('ran', 'seconds', 'ends')

    def __init__(
        self, ran: _run_ledger.Ran, seconds: float, ends: asyncio.TimerHandle
    ) -> None:
        self.ran = ran
        self.seconds = seconds
        self.ends = ends

    def measure_progress(self) -> int:
        """Return the completed percentage of the run."""
        remaining = self.ends.when() - asyncio.get_running_loop().time()
        return int(100 * (1 - max(0.0, remaining) / self.seconds))


class _End:
    """Hold the end of a run that is not acknowledged yet."""

    __slots__ = ('number', 'ran', 'cause', 'void')

    def __init__(self, number: int, ran: _run_ledger.Ran, cause: str) -> None:
        self.number = number
        self.ran = ran
        self.cause = cause
        # The lease has lapsed since, so that the result does not count.
        self.void = False


class RunnerBoot:
    """Run tasks under a lease and fencing tokens, until the boot ends.

    Orders return the reason of a refusal, or an empty string.
    """

    __slots__ = (
        'identifier',
        'born_ms',
        'clock_origin',
        'sequence',
        'number',
        'changed',
        'ended',
        '_faults',
        '_capacity',
        '_ledger',
        '_began',
        '_events',
        '_running',
        '_ends',
        '_over',
        '_fence',
        'lease_end_ms',
        'polls',
    )

    def __init__(
        self,
        identifier: str,
        born_ms: int,
        clock_origin: float,
        faults: _runner_faults.RunnerFaults,
        capacity: _runner_capacity.RunnerCapacity,
        ledger: _run_ledger.RunLedger,
        began: list[_run_ledger.Ran],
        events: list[_runner_events.RunnerEvent],
    ) -> None:
        self.identifier = identifier
        self.born_ms = born_ms
        # Loop time in seconds at which the clock reads 0.
        self.clock_origin = clock_origin
        # Sequence number of the last registration.
        self.sequence = 0
        # Sequence number of the last ended run.
        self.number = 0
        # Set when a run or the boot ends.
        self.changed = asyncio.Event()
        self.ended = False
        self._faults = faults
        self._capacity = capacity
        self._ledger = ledger
        # The started runs of all boots of the worker.
        self._began = began
        self._events = events
        self._running: dict[str, _Run] = {}
        self._ends: list[_End] = []
        # Highest identifier of a run that was stopped or ended, by task.
        self._over: dict[str, int] = {}
        # Highest fencing token seen.
        self._fence = 0
        # Clock reading in milliseconds at which the lease expires.
        self.lease_end_ms = 0
        # Number of executed polls.
        self.polls = 0

    @property
    def running(self) -> frozenset[str]:
        """Return the running tasks."""
        return frozenset(self._running)

    def read_clock(self) -> int:
        """Return the reading of this boot's clock in milliseconds."""
        now = asyncio.get_running_loop().time()
        return int((now - self.clock_origin) * 1000)

    def end(self) -> None:
        """Lose all runs and ends without a trace."""
        for run in self._running.values():
            run.ends.cancel()
            self._ledger.record_end(run.ran)
            self._record_end(run.ran, 'crashed')
        self._running.clear()
        self._ends.clear()
        self.ended = True
        self.changed.set()

    def record_call(
        self, calls: str, body: dict[str, typing.Any], outcome: str
    ) -> None:
        """Add a call that this boot has carried out to the trace."""
        self._events.append(
            _runner_events.RunnerEvent(
                asyncio.get_running_loop().time(),
                self.read_clock(),
                self.identifier,
                self.born_ms,
                calls,
                outcome,
                body.get('task', ''),
                body.get('run_id', 0),
                body.get('fencing_token', 0),
                body.get('deadline_ms', 0),
                body.get('ack_cursor', 0),
                self.lease_end_ms,
            )
        )

    def enforce_lease(self) -> None:
        """End all runs if the lease has expired."""
        if self.read_clock() <= self.lease_end_ms:
            return
        for task in tuple(self._running):
            self._end_run(task, 'lapsed')
        for end in self._ends:
            end.void = True

    def start_run(
        self, body: dict[str, typing.Any], seconds: float, has_ticket: bool
    ) -> str:
        """Start a run that ends after a time in seconds."""
        self.enforce_lease()
        task, number = body['task'], body['run_id']
        if not self.admit(body):
            return 'fence'
        current = self._running.get(task)
        if current is not None and current.ran.run == number:
            self._extend_lease(body)
            return ''
        if number <= self._over.get(task, 0) or current is not None:
            self._extend_lease(body)
            return 'old'
        if body['deadline_ms'] < self.read_clock():
            return 'late'
        if self._faults.full or not self._capacity.admits(task, self._running):
            self._extend_lease(body)
            return 'room'
        if not has_ticket:
            return 'ticket'
        self._extend_lease(body)
        ran = _run_ledger.Ran(
            task,
            number,
            body.get('checkpoint', ''),
            self.identifier,
            self.born_ms,
        )
        cause = 'failed' if self._faults.fails_all else 'done'
        ends = asyncio.get_running_loop().call_later(
            seconds, self._end_run, task, cause
        )
        self._capacity.record_start(task, self._running)
        self._running[task] = _Run(ran, seconds, ends)
        self._began.append(ran)
        self._ledger.record_start(ran)
        return ''

    def stop_run(self, body: dict[str, typing.Any]) -> str:
        """Stop a run after a short delay, and reject it from now on."""
        self.enforce_lease()
        if not self.admit(body):
            return 'fence'
        task, number = body['task'], body['run_id']
        self._over[task] = max(self._over.get(task, 0), number)
        current = self._running.get(task)
        if current is not None and current.ran.run <= number:
            asyncio.get_running_loop().call_later(
                self._faults.stop_seconds, self._finish_stop, current
            )
        return ''

    def hold(self, body: dict[str, typing.Any]) -> str:
        """Extend the lease and forget the acknowledged ends."""
        self.enforce_lease()
        if not self.admit(body):
            return 'fence'
        self.polls += 1
        self._extend_lease(body)
        cursor = body['ack_cursor']
        for end in self._ends:
            if end.number <= cursor and end.cause == 'done' and not end.void:
                self._ledger.record_completion(end.ran)
        self._ends = [end for end in self._ends if end.number > cursor]
        return ''

    def has_ends(self) -> bool:
        """Return whether there are unacknowledged ends."""
        return bool(self._ends)

    def list_runs(self) -> dict[str, typing.Any]:
        """Return the lists of runs as a response shows them."""
        return {
            'running': [
                [
                    task,
                    run.ran.run,
                    run.ran.checkpoint,
                    run.measure_progress(),
                    MEASURE,
                ]
                for task, run in self._running.items()
            ],
            'ended_runs': [
                [
                    end.number,
                    end.ran.task,
                    end.ran.run,
                    end.cause,
                    end.ran.checkpoint,
                ]
                for end in self._ends[:MAX_LISTED_ENDS]
            ],
            'born': self.born_ms,
        }

    def admit(self, body: dict[str, typing.Any]) -> bool:
        """Record the fencing token; return whether it is the highest."""
        token = body.get('fencing_token', 0)
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend_lease(self, body: dict[str, typing.Any]) -> None:
        until = body.get('deadline_ms', 0)
        if self._faults.max_hold_ms is not None:
            until = min(until, self.read_clock() + self._faults.max_hold_ms)
        self.lease_end_ms = max(self.lease_end_ms, until)

    def _finish_stop(self, run: _Run) -> None:
        if self._running.get(run.ran.task) is run:
            self._end_run(run.ran.task, 'stopped')

    def _end_run(self, task: str, cause: str) -> None:
        run = self._running.pop(task)
        run.ends.cancel()
        self._over[task] = max(self._over.get(task, 0), run.ran.run)
        self.number += 1
        self._ends.append(_End(self.number, run.ran, cause))
        self._ledger.record_end(run.ran, cause)
        self._record_end(run.ran, cause)
        self.changed.set()

    def _record_end(self, ran: _run_ledger.Ran, cause: str) -> None:
        self._events.append(
            _runner_events.RunnerEvent(
                asyncio.get_running_loop().time(),
                self.read_clock(),
                self.identifier,
                self.born_ms,
                'end',
                cause,
                ran.task,
                ran.run,
                lease_until_ms=self.lease_end_ms,
            )
        )
