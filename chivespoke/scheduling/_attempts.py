"""What a worker has said of the attempts committed to it."""

import msgspec

from chivespoke import identifiers
from chivespoke.scheduling import _context
from chivespoke.scheduling import _index
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

MILLISECONDS = 1000
# Job, index and attempt.
AttemptKey = tuple[int, int, int]
AttemptName = tuple[identifiers.TaskId, identifiers.Attempt]
OUTCOMES = {
    workers.TaskPhase.COMPLETED: _records.Outcome.COMPLETED,
    workers.TaskPhase.FAILED: _records.Outcome.FAILED,
    workers.TaskPhase.STOPPED: _records.Outcome.EVICTED,
    workers.TaskPhase.NOT_STARTED: _records.Outcome.NOT_STARTED,
}


class Progress(msgspec.Struct):
    """Hold what a worker last said of a running attempt."""

    status: workers.TaskStatus
    heard_at: float


class AttemptBook:
    """Match what a worker says with what the shard commits to it."""

    __slots__ = (
        'running',
        'evicting',
        '_ended',
        '_unmatched',
        '_number',
        '_owner',
    )

    def __init__(self, owner: _context.LinkContext, number: int) -> None:
        self.running: dict[AttemptKey, Progress] = {}
        # Attempts to stop, and whether to save them before.
        self.evicting: dict[AttemptKey, bool] = {}
        # Final statuses that the log may not hold yet, and when heard.
        self._ended: dict[AttemptName, float] = {}
        # Attempts that the shard does not know, and since when.
        self._unmatched: dict[AttemptName, float] = {}
        self._number = number
        self._owner = owner

    def is_clean(self) -> bool:
        """Tell whether the worker runs nothing that it should not."""
        return not self._unmatched

    def forget_stale(self, name: AttemptName) -> None:
        """Note that an unknown attempt was stopped."""
        self._unmatched.pop(name, None)

    def take_statuses(self, heartbeat: workers.Heartbeat, now: float) -> None:
        self.running = {}
        unmatched = self._unmatched
        self._unmatched = {}
        for status in heartbeat.statuses:
            self.take_status(status, now)
            key = (status.task_id, status.attempt)
            if key in self._unmatched:
                self._unmatched[key] = unmatched.get(key, now)

    def take_status(self, status: workers.TaskStatus, now: float) -> None:
        key = self._match(status)
        if status.phase in OUTCOMES:
            self._ended[(status.task_id, status.attempt)] = now
            if key is not None:
                self.running.pop(key, None)
                self.evicting.pop(key, None)
                self._owner.propose(make_ended(key, status))
            return
        if key is None:
            self._unmatched[(status.task_id, status.attempt)] = now
            return
        known = self.find_attempt(key)
        self.running[key] = Progress(status, now)
        if known is not None and status.checkpoint != known.checkpoint:
            saved = status.ran_seconds - status.lost_seconds
            if saved > 0 and status.checkpoint:
                self._owner.propose(
                    _records.CheckpointSaved(
                        *key, status.checkpoint, int(saved * MILLISECONDS)
                    )
                )

    def _match(self, status: workers.TaskStatus) -> AttemptKey | None:
        return self._match_attempt(status.task_id, status.attempt)

    def _match_attempt(
        self, task_id: identifiers.TaskId, attempt: identifiers.Attempt
    ) -> AttemptKey | None:
        """Return the attempt that the shard commits to this worker."""
        job_id, _, index = task_id.rpartition('/')
        job = self._owner.shard.job_numbers.get(identifiers.JobId(job_id))
        if job is None or not index.isdigit():
            return None
        key = (job, int(index), int(attempt))
        return key if self.find_attempt(key) is not None else None

    def find_attempt(self, key: AttemptKey) -> _state.Attempt | None:
        job = self._owner.shard.jobs[key[0]]
        attempt = job.running.get(key[1])
        if attempt is None or attempt.number != key[2]:
            return None
        return attempt if attempt.worker == self._number else None

    def list_acknowledged(
        self,
    ) -> tuple[tuple[identifiers.TaskId, identifiers.Attempt], ...]:
        """Return final statuses of attempts that the log has ended.

        A state that is older than the status may not know the attempt yet.
        """
        proof = self._owner.get_shard_read_time()
        if proof is None:
            return ()
        done = [
            (task_id, attempt)
            for (task_id, attempt), heard_at in self._ended.items()
            if proof > heard_at
            and self._match_attempt(task_id, attempt) is None
        ]
        for key in done:
            del self._ended[key]
        return tuple(done)

    def has_ended(self, key: AttemptKey) -> bool:
        return self.name(key) in self._ended

    def list_stale(
        self,
    ) -> list[tuple[identifiers.TaskId, identifiers.Attempt]]:
        """Return attempts that a newer proof does not know either."""
        proof = self._owner.get_shard_read_time()
        if proof is None:
            return []
        return [key for key, since in self._unmatched.items() if proof > since]

    def name(
        self, key: AttemptKey
    ) -> tuple[identifiers.TaskId, identifiers.Attempt]:
        job = self._owner.shard.jobs[key[0]]
        return _index.make_task_id(job, key[1]), identifiers.Attempt(key[2])


def make_ended(key: AttemptKey, status: workers.TaskStatus) -> _records.Ended:
    """Return the record of a final status."""
    return _records.Ended(
        *key,
        OUTCOMES[status.phase],
        int(status.ran_seconds * MILLISECONDS),
        int(status.lost_seconds * MILLISECONDS),
        status.checkpoint,
        status.detail,
    )
