"""Observe which attempts survive on a worker, and when it crashes."""

from chivespoke import decisions
from chivespoke.scheduling import _attempts
from chivespoke.scheduling import _context
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _records

# Time after which an attempt that survives has been at work for long enough
# by the worker's clock, too.
CONFIRM_MARGIN_SECONDS = 0.1
# Time until survivors are reported again, unless the log shows the report.
REPORT_INTERVAL_SECONDS = 5.5


class SurvivalMonitor:
    """Observe one incarnation of a worker."""

    __slots__ = (
        'confirm_at',
        'lost_at_ms',
        '_heard_at',
        '_tracker',
        '_owner',
    )

    def __init__(
        self,
        owner: _context.LinkContext,
        tracker: _attempts.AttemptTracker,
    ) -> None:
        # Time from which a heartbeat shows whether young attempts survived.
        self.confirm_at = float('inf')
        # Wall-clock time in ms of the first failed exchange after the last
        # one that succeeded; 0 for none.
        self.lost_at_ms = 0
        # Time of the last request that the worker answered.
        self._heard_at = float('-inf')
        self._tracker = tracker
        self._owner = owner

    def note_answer(self, sent_at: float) -> None:
        """Note that the worker answered a request."""
        self._heard_at = max(self._heard_at, sent_at)
        self.lost_at_ms = 0

    def note_loss(self) -> None:
        """Note that the worker did not answer, or that another one did."""
        if not self.lost_at_ms:
            self.lost_at_ms = int(
                self._owner.read_wall_clock() * _records.MS_PER_SECOND
            )

    @property
    def is_lost(self) -> bool:
        """Return whether the worker has not answered since its loss."""
        return bool(self.lost_at_ms)

    def is_recent(self, now: float) -> bool:
        """Return whether the worker answered a moment ago."""
        return now - self._heard_at < decisions.SUSPECT_AGE_SECONDS

    def note_started(self, now: float) -> None:
        """Expect an attempt that has just started to survive."""
        self.confirm_at = min(
            self.confirm_at,
            now + decisions.SUSPECT_AGE_SECONDS + CONFIRM_MARGIN_SECONDS,
        )

    def check_attempts(self, now: float, epoch: int) -> None:
        """Report suspected tasks that survive; ask again for young ones.

        Call this after each heartbeat.
        """
        self.confirm_at = float('inf')
        survived = []
        for key, progress in self._tracker.running.items():
            missing_seconds = (
                decisions.SUSPECT_AGE_SECONDS - progress.status.ran_seconds
            )
            if missing_seconds > 0:
                confirm_at = now + missing_seconds + CONFIRM_MARGIN_SECONDS
                self.confirm_at = min(self.confirm_at, confirm_at)
            elif _crashes.find_crashes(self._owner.shard, key[0], key[1]):
                survived.append(key)
        if survived:
            self._owner.propose(_records.OwnerRenewed(epoch, tuple(survived)))
            # The record may be lost.
            self.confirm_at = min(
                self.confirm_at, now + REPORT_INTERVAL_SECONDS
            )

    def has_survived(self, key: _attempts.AttemptKey) -> bool:
        """Return whether an attempt is at work and no longer young."""
        age = self._tracker.measure_age(key, self._heard_at)
        return age is not None and age >= decisions.SUSPECT_AGE_SECONDS

    def list_lost(
        self, placed: list[_attempts.AttemptKey], contacted: bool
    ) -> tuple[_records.LostAttempt, ...]:
        """Return those of the placed attempts that a crash has ended.

        The worker may never have been contacted. Then attempts that the
        previous owner placed shortly before it ended may have been young.
        """
        ages: list[tuple[_attempts.AttemptKey, float | None]] = []
        for key in placed:
            if not self._tracker.has_ended(key):
                age = self._tracker.measure_age(key, self._heard_at)
                if not contacted and age is None and self._is_unsettled(key):
                    age = 0.0
                ages.append((key, age))
        return tuple(
            _records.LostAttempt(*key, int(age * _records.MS_PER_SECOND))
            for key, age in ages
            if age is not None
        )

    def _is_unsettled(self, key: _attempts.AttemptKey) -> bool:
        attempt = self._tracker.find_attempt(key)
        shard = self._owner.shard
        return (
            attempt is not None
            and shard.unsettled_offset
            <= attempt.fencing_token
            < shard.claim_offset
        )
