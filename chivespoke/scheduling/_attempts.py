"""Track the attempts on a worker by the statuses that it reports."""

import msgspec

from chivespoke import identifiers
from chivespoke.scheduling import _context
from chivespoke.scheduling import _index
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

MS_PER_SECOND = _records.MS_PER_SECOND
AttemptKey = _records.AttemptName
AttemptName = tuple[identifiers.TaskId, identifiers.Attempt]
OUTCOME_BY_PHASE = {
    workers.TaskPhase.COMPLETED: _records.Outcome.COMPLETED,
    workers.TaskPhase.FAILED: _records.Outcome.FAILED,
    workers.TaskPhase.STOPPED: _records.Outcome.EVICTED,
    workers.TaskPhase.NOT_STARTED: _records.Outcome.NOT_STARTED,
}


class Progress(msgspec.Struct):
    """Hold the last status of a running attempt and when it arrived."""

    status: workers.TaskStatus
    received_at: float


class AttemptTracker:
    """Match a worker's statuses with the attempts placed on it."""

    __slots__ = (
        'running',
        'pending_evictions',
        '_started',
        '_final_statuses',
        '_unknown_since',
        '_number',
        '_owner',
    )

    def __init__(self, owner: _context.LinkContext, number: int) -> None:
        self.running: dict[AttemptKey, Progress] = {}
        # Attempts to stop, and whether to checkpoint them first.
        self.pending_evictions: dict[AttemptKey, bool] = {}
        # Attempts whose start may have reached the worker.
        self._started: set[AttemptKey] = set()
        # Attempts with a final status, and when it arrived. An entry stays
        # until the shard's state shows that the log contains the end.
        self._final_statuses: dict[AttemptName, float] = {}
        # Attempts that the shard does not have on this worker, and since when.
        self._unknown_since: dict[AttemptName, float] = {}
        self._number = number
        self._owner = owner

    def runs_only_known_attempts(self) -> bool:
        """Return whether the worker runs only attempts placed on it."""
        return not self._unknown_since

    def note_start(self, key: AttemptKey) -> None:
        """Note that a start of an attempt is being sent."""
        self._started.add(key)

    def forget_start(self, key: AttemptKey) -> None:
        """Note that the worker refused the start of an attempt."""
        self._started.discard(key)

    def measure_age(self, key: AttemptKey, heard_at: float) -> float | None:
        """Return seconds for which an attempt is known to be at work.

        The worker was last known to be alive at heard_at. Return None for an
        attempt that was never started here.
        """
        progress = self.running.get(key)
        if progress is None:
            return 0.0 if key in self._started else None
        return progress.status.ran_seconds + max(
            heard_at - progress.received_at, 0.0
        )

    def forget_unknown(self, name: AttemptName) -> None:
        """Forget an unknown attempt that was stopped."""
        self._unknown_since.pop(name, None)

    def record_statuses(
        self, heartbeat: workers.Heartbeat, now: float
    ) -> None:
        self.running = {}
        self._started = {
            key for key in self._started if self.find_attempt(key) is not None
        }
        unknown_since = self._unknown_since
        self._unknown_since = {}
        for status in heartbeat.statuses:
            self.record_status(status, now)
            key = (status.task_id, status.attempt)
            if key in self._unknown_since:
                self._unknown_since[key] = unknown_since.get(key, now)

    def record_status(self, status: workers.TaskStatus, now: float) -> None:
        key = self._find_key(status)
        if status.phase in OUTCOME_BY_PHASE:
            self._final_statuses[(status.task_id, status.attempt)] = now
            if key is not None:
                self.running.pop(key, None)
                self.pending_evictions.pop(key, None)
                self._owner.propose(make_ended_record(key, status))
            return
        if key is None:
            self._unknown_since[(status.task_id, status.attempt)] = now
            return
        known = self.find_attempt(key)
        self.running[key] = Progress(status, now)
        if known is not None and status.checkpoint != known.checkpoint:
            checkpointed_seconds = status.ran_seconds - status.lost_seconds
            if checkpointed_seconds > 0 and status.checkpoint:
                self._owner.propose(
                    _records.CheckpointSaved(
                        *key,
                        status.checkpoint,
                        int(checkpointed_seconds * MS_PER_SECOND),
                    )
                )

    def _find_key(self, status: workers.TaskStatus) -> AttemptKey | None:
        return self._find_committed_key(status.task_id, status.attempt)

    def _find_committed_key(
        self, task_id: identifiers.TaskId, attempt: identifiers.Attempt
    ) -> AttemptKey | None:
        """Return the key of an attempt if it is placed on this worker."""
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
        """Return and forget the attempts whose end the log contains.

        A state that was read before the final status arrived is not evidence:
        it may lack the attempt because it lacks the placement.
        """
        read_time = self._owner.get_shard_read_time()
        if read_time is None:
            return ()
        acknowledged = [
            (task_id, attempt)
            for (task_id, attempt), received_at in self._final_statuses.items()
            if read_time > received_at
            and self._find_committed_key(task_id, attempt) is None
        ]
        for key in acknowledged:
            del self._final_statuses[key]
        return tuple(acknowledged)

    def has_ended(self, key: AttemptKey) -> bool:
        return self.get_name(key) in self._final_statuses

    def list_unknown(
        self,
    ) -> list[tuple[identifiers.TaskId, identifiers.Attempt]]:
        """Return attempts that a later read of the log does not contain."""
        read_time = self._owner.get_shard_read_time()
        if read_time is None:
            return []
        return [
            key
            for key, since in self._unknown_since.items()
            if read_time > since
        ]

    def get_name(
        self, key: AttemptKey
    ) -> tuple[identifiers.TaskId, identifiers.Attempt]:
        job = self._owner.shard.jobs[key[0]]
        return _index.make_task_id(job, key[1]), identifiers.Attempt(key[2])


def make_ended_record(
    key: AttemptKey, status: workers.TaskStatus
) -> _records.AttemptEnded:
    """Return the record that ends an attempt with its final status."""
    return _records.AttemptEnded(
        *key,
        OUTCOME_BY_PHASE[status.phase],
        int(status.ran_seconds * MS_PER_SECOND),
        int(status.lost_seconds * MS_PER_SECOND),
        status.checkpoint,
        status.detail,
    )
