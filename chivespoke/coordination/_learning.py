"""What the leader learns from reports, and keeps for the next leader."""

import math

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _jobs
from chivespoke.coordination import _learned_record
from chivespoke.coordination import _records
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import workloads

LOGGER = logs.make_logger('leader')

# Minimum time between two records, and the mean rate that they keep to. A
# process spends at most 3 kB/s on control.
RECORD_INTERVAL_SECONDS = 2.0
MAX_BYTES_PER_SECOND = 1000
# Age from which on a record is replaced although little has changed, so that a
# later leader does not discount it for its age.
REFRESH_SECONDS = 30.0
# Age at which a record counts for half of its weight. Load changes within
# seconds, but how images interfere, and what estimates are worth, stays the
# same for as long as the images and the submitters do.
INTERFERENCE_HALF_LIFE_SECONDS = 600.0
DURATION_HALF_LIFE_SECONDS = 3600.0


class LearningKeeper:
    """Keep what the leader learns over a change of leader.

    Both the record and its use are confined to configurations in which a
    service is shared by queues of different priorities.
    """

    __slots__ = (
        'record_age',
        '_state',
        '_configuration',
        '_shared_queues',
        '_offered',
        '_contents',
        '_recorded_samples',
        '_taken_samples',
        '_recorded_at',
        '_due_at',
    )

    def __init__(self, state: _engine_state.State) -> None:
        # Age in seconds of the record that was taken up; None if there was
        # none.
        self.record_age: float | None = None
        self._state = state
        self._configuration: workloads.Configuration | None = None
        self._shared_queues: frozenset[str] = frozenset()
        self._offered = b''
        # Of the last record.
        self._contents: _learned_record.Contents = {}
        self._recorded_samples = self._count_samples()
        # For the metrics.
        self._taken_samples: dict[str, int] = {}
        self._recorded_at = -math.inf
        self._due_at = -math.inf

    def offer(self, encoded: bytes) -> None:
        """Provide the record of an earlier leader, empty if there is none.

        It is taken up with the first configuration that calls for it.
        """
        self._offered = encoded

    def apply_configuration(
        self, configuration: workloads.Configuration, wall: float
    ) -> None:
        """Use what is learned for the queues that call for it."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._shared_queues = find_shared_queues(configuration)
        self._state.durations.applied_queues = self._shared_queues
        if self._shared_queues and self._offered:
            encoded, self._offered = self._offered, b''
            self._take_up(encoded, wall)

    def make_record(self, now: float, wall: float) -> bytes | None:
        """Return the record to store; None if none is due."""
        if not self._shared_queues or now < self._due_at:
            return None
        samples = self._count_samples()
        if samples == self._recorded_samples:
            return None
        self._due_at = now + RECORD_INTERVAL_SECONDS
        record = _learned_record.make_record(export_state(self._state), wall)
        contents = _learned_record.list_contents(record)
        if (
            now < self._recorded_at + REFRESH_SECONDS
            and not _learned_record.is_changed(self._contents, contents)
        ):
            return None
        encoded = _records.ENCODER.encode(record)
        self._due_at = now + max(
            RECORD_INTERVAL_SECONDS, len(encoded) / MAX_BYTES_PER_SECOND
        )
        self._contents = contents
        self._recorded_samples = samples
        self._recorded_at = now
        return platform.encode_record(_records.LEARNED_KEY, encoded)

    def take_samples(self) -> dict[str, int]:
        """Return the number of samples since the last call, by model."""
        totals = self._count_samples()
        taken = {
            model: total - self._taken_samples.get(model, 0)
            for model, total in totals.items()
        }
        self._taken_samples = totals
        return taken

    def _count_samples(self) -> dict[str, int]:
        return {
            'interference': self._state.interference.samples,
            'durations': self._state.durations.samples,
        }

    def _take_up(self, encoded: bytes, wall: float) -> None:
        try:
            record = _learned_record.decode_record(encoded)
            learned = _learned_record.read_record(record)
        except errors.RefusedError as error:
            LOGGER.error(
                'The record of what was learned is unusable; skipped.',
                bytes=len(encoded),
                error=str(error),
            )
            return
        # Clocks of machines differ a little.
        age = max(0.0, wall - record.written_ms / 1000)
        self._state.interference.restore(
            learned.pairs, 0.5 ** (age / INTERFERENCE_HALF_LIFE_SECONDS)
        )
        self._state.durations.restore(
            learned.durations,
            0.5 ** (age / DURATION_HALF_LIFE_SECONDS),
            {key for key, job in self._state.jobs.items() if not job.final},
        )
        self.record_age = age
        self._contents = _learned_record.list_contents(record)
        LOGGER.info(
            'What an earlier leader has learned is taken up.',
            age_seconds=round(age, 1),
            bytes=len(encoded),
            pairs=len(record.pairs),
            queues=len(record.fits),
            images=len(record.images),
            steps=len(record.steps),
        )


def find_shared_queues(
    configuration: workloads.Configuration,
) -> frozenset[str]:
    """Return the queues whose service has queues of other priorities."""
    return frozenset(
        queue.name
        for queue in configuration.queues
        if configuration.is_contended(queue.terms.service)
    )


def observe_progress(
    durations: decisions.LearnedDurations,
    state: _jobs.JobState | None,
    run: _fleet.Run,
) -> None:
    """Learn the work of a task from a run that has advanced."""
    tracker = run.speed_tracker
    work_seconds = tracker.work_seconds if tracker else None
    if work_seconds is None or state is None or state.final:
        return
    durations.observe_run(
        state.job.queue,
        run.step_id,
        run.step,
        run.name.index,
        work_seconds,
    )


def observe_end(
    durations: decisions.LearnedDurations,
    state: _jobs.JobState,
    run: _fleet.Run,
    now: float,
) -> None:
    """Learn the work of a task that a run has completed."""
    tracker = run.speed_tracker
    work_seconds = tracker.work_seconds if tracker else None
    if work_seconds is None:
        work_seconds = measure_short_run(run, now)
    if work_seconds is not None:
        durations.observe_end(
            state.job.queue,
            run.step_id,
            run.step,
            run.name.index,
            work_seconds,
        )


def measure_short_run(run: _fleet.Run, now: float) -> float | None:
    """Return the work of a run that ended before its progress was followed.

    None if it may have begun earlier than it was observed, or from a
    checkpoint. It worked for no longer than it was listed.
    """
    if run.started_at is None or run.inherited or run.number > 1:
        return None
    speed = run.speed_tracker.speed if run.speed_tracker else 1.0
    return max(decisions.MIN_SECONDS, (now - run.started_at) * speed)


def export_state(state: _engine_state.State) -> _learned_record.LearnedState:
    """Return what the leader has learned."""
    return _learned_record.LearnedState(
        state.interference.export(), state.durations.export()
    )
