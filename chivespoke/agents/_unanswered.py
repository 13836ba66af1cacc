"""Calls to start runs that got no answer."""

import collections.abc
import contextlib

import msgspec

from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors

# Time after the beginning of a call after which it is no longer reported.
# Longer than the leader waits for the effect of a late call.
RETENTION_SECONDS = 15.0


class _Calls(msgspec.Struct):
    """Hold the calls for a run, of which at least one got no answer."""

    # Monotonic time of the last call without an answer.
    called_at: float
    # No other call was made for the run.
    is_only: bool


class UnansweredStarts:
    """Record the calls of a sidecar's process that may take effect late."""

    __slots__ = ('_clock', '_calls')

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # By task and run.
        self._calls: dict[tuple[str, int], _Calls] = {}

    @contextlib.contextmanager
    def record_call(
        self, task: str, run: int, is_first: bool = False
    ) -> collections.abc.Iterator[None]:
        """Record a call as unanswered unless it is answered or not sent.

        is_first tells that no other process has made a call for the run.
        """
        key = task, run
        earlier = self._calls.get(key)
        now = self._clock.read_monotonic()
        self._calls[key] = _Calls(now, is_first and earlier is None)
        answered = False
        try:
            yield
            answered = True
        except errors.RefusedError:
            answered = True
            raise
        finally:
            if answered and earlier is None:
                self._calls.pop(key, None)
            elif answered and earlier is not None:
                self._calls[key] = _Calls(earlier.called_at, is_only=False)

    def record_listing(self, task: str, run: int) -> None:
        """Record that a run is listed: its only call has been executed."""
        calls = self._calls.get((task, run))
        if calls is not None and calls.is_only:
            del self._calls[task, run]

    def list_starts(
        self, in_progress: collections.abc.Set[tuple[str, int]]
    ) -> tuple[coordination.UnansweredStart, ...]:
        """Return the runs that calls may still start.

        Calls may follow for the runs whose order is in progress.
        """
        now = self._clock.read_monotonic()
        self._calls = {
            key: calls
            for key, calls in self._calls.items()
            if now < calls.called_at + RETENTION_SECONDS
        }
        called_at = {
            key: calls.called_at for key, calls in self._calls.items()
        }
        return tuple(
            coordination.UnansweredStart(
                task,
                run,
                int((now - called_at.get((task, run), now)) * 1000),
                (task, run) in in_progress,
            )
            for task, run in called_at.keys() | in_progress
        )
