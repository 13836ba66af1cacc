"""Calls to start runs that got no answer."""

import collections.abc
import contextlib

from chivespoke import clock
from chivespoke import coordination
from chivespoke import errors

# Time after the beginning of a call after which it is no longer reported.
# Longer than the leader waits for the effect of a late call.
RETENTION_SECONDS = 15.0


class UnansweredStarts:
    """Record the calls of a sidecar's process that may take effect late."""

    __slots__ = ('_clock', '_called_at')

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # Monotonic time of the last such call, by task and run.
        self._called_at: dict[tuple[str, int], float] = {}

    @contextlib.contextmanager
    def record_call(
        self, task: str, run: int
    ) -> collections.abc.Iterator[None]:
        """Record a call as unanswered unless it is answered or not sent."""
        key = task, run
        earlier = self._called_at.get(key)
        self._called_at[key] = self._clock.read_monotonic()
        answered = False
        try:
            yield
            answered = True
        except errors.RefusedError:
            answered = True
            raise
        finally:
            if answered and earlier is None:
                del self._called_at[key]
            elif answered and earlier is not None:
                self._called_at[key] = earlier

    def list_starts(
        self, in_progress: collections.abc.Set[tuple[str, int]]
    ) -> tuple[coordination.UnansweredStart, ...]:
        """Return the runs that calls may still start.

        Calls may follow for the runs whose order is in progress.
        """
        now = self._clock.read_monotonic()
        self._called_at = {
            key: called_at
            for key, called_at in self._called_at.items()
            if now < called_at + RETENTION_SECONDS
        }
        return tuple(
            coordination.UnansweredStart(
                task,
                run,
                int((now - self._called_at.get((task, run), now)) * 1000),
                (task, run) in in_progress,
            )
            for task, run in self._called_at.keys() | in_progress
        )
