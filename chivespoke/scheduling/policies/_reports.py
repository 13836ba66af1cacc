"""Validation of usage reports and matching to the measured tasks."""

import collections
import enum
import math

import msgspec

from chivespoke import identifiers
from chivespoke import resources
from chivespoke import scheduling
from chivespoke import workers

# Number of departed tasks whose demands are kept for each worker, because
# reports arrive late.
MAX_DEPARTED_TASKS = 128
# Reports on older measurements are rejected as stale.
MAX_REPORT_AGE_SECONDS = 600.0
# A measured interval may end this much after the estimated time of the
# worker's clock.
MAX_CLOCK_LEAD_SECONDS = 2.0
# Usage above this multiple of the worker's capacity is malformed.
MAX_USE_RATIO = 4.0
MAX_REQUESTS_PER_SECOND = 1e7
MAX_LATENCY_MS = 1e7


class RejectionReason(enum.Enum):
    """Name the reasons to reject a report or a part of it.

    A report with SPANS_CHANGE is still used, but not for learning: its tasks
    are not those of the previous report, or reports in between are missing.
    """

    DUPLICATE = 'duplicate'
    FUTURE = 'future'
    STALE = 'stale'
    MALFORMED = 'malformed'
    MISSING = 'missing'
    UNKNOWN_TASK = 'unknown-task'
    SPANS_CHANGE = 'spans-change'


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the valid measurement of one task and the task's demand."""

    usage: workers.TaskUsage
    demand: scheduling.TaskDemand


class MatchedReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a valid report and the tasks that ran during its measurement.

    Times are in seconds of the worker's clock.
    """

    worker_id: identifiers.WorkerId
    measured_from: float
    measured_until: float
    capacity: resources.Resources
    observations: tuple[Observation, ...]
    # Whether the same attempts ran during the whole interval, and every part
    # of the report is valid.
    is_colocation_stable: bool


class _WorkerHistory:
    """Hold the recent tasks, the last report and the clock of a worker.

    Each incarnation of the worker has its own.
    """

    __slots__ = (
        'incarnation',
        'demands',
        'sequence',
        'last_measured_until',
        'attempts',
        'clock_offset',
    )

    def __init__(
        self,
        incarnation: identifiers.Incarnation = identifiers.Incarnation(''),
    ) -> None:
        self.incarnation = incarnation
        self.demands: collections.OrderedDict[
            tuple[str, int], scheduling.TaskDemand
        ] = collections.OrderedDict()
        self.sequence = -1
        self.last_measured_until = -math.inf
        self.attempts: frozenset[tuple[str, int]] = frozenset()
        # Smallest observed difference between the scheduler's clock and the
        # worker's, in seconds: delays of heartbeats only increase it.
        self.clock_offset = math.inf


class ReportMatcher:
    """Reject invalid reports and match valid ones to the measured tasks."""

    __slots__ = ('rejections', '_histories')

    def __init__(self) -> None:
        self.rejections: collections.Counter[RejectionReason] = (
            collections.Counter()
        )
        self._histories: dict[identifiers.WorkerId, _WorkerHistory] = {}

    def observe_clock(
        self, now: float, worker_id: identifiers.WorkerId, clock: float
    ) -> None:
        """Update the clock offset of a worker from a heartbeat."""
        history = self._get_history(worker_id)
        if math.isfinite(clock):
            history.clock_offset = min(history.clock_offset, now - clock)

    def estimate_worker_clock(
        self, now: float, worker_id: identifiers.WorkerId
    ) -> float:
        """Return the worker's clock at a time of the scheduler's clock.

        It is infinite if the worker's clock was never observed.
        """
        offset = self._get_history(worker_id).clock_offset
        return now - offset if math.isfinite(offset) else math.inf

    def match_report(
        self,
        now: float,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
    ) -> MatchedReport | None:
        """Return the valid part of a report, or None if it is rejected.

        Rejections are counted by reason.
        """
        history = self._get_history(report.worker_id)
        if history.incarnation != worker.incarnation:
            history = _WorkerHistory(worker.incarnation)
            self._histories[report.worker_id] = history
        self._remember_tasks(history, worker)
        reason = self._check_header(now, report, history)
        if reason is not None:
            self.rejections[reason] += 1
            return None
        is_next = report.sequence == history.sequence + 1
        attempts = frozenset(
            (usage.task_id, usage.attempt) for usage in report.tasks
        )
        is_unchanged = is_next and attempts == history.attempts
        history.sequence = report.sequence
        history.last_measured_until = report.measured_until
        history.attempts = attempts
        if not is_unchanged:
            self.rejections[RejectionReason.SPANS_CHANGE] += 1
        observations, is_complete = self._check_tasks(report, worker, history)
        return MatchedReport(
            worker_id=report.worker_id,
            measured_from=report.measured_from,
            measured_until=report.measured_until,
            capacity=worker.capacity,
            observations=observations,
            is_colocation_stable=is_unchanged and is_complete,
        )

    def _get_history(self, worker_id: identifiers.WorkerId) -> _WorkerHistory:
        history = self._histories.get(worker_id)
        if history is None:
            history = self._histories[worker_id] = _WorkerHistory()
        return history

    def _remember_tasks(
        self, history: _WorkerHistory, worker: scheduling.WorkerView
    ) -> None:
        for placed in worker.tasks.values():
            key = (placed.demand.task_id, placed.attempt)
            if key not in history.demands:
                history.demands[key] = placed.demand
        while len(history.demands) > MAX_DEPARTED_TASKS + len(worker.tasks):
            history.demands.popitem(last=False)

    def _check_header(
        self,
        now: float,
        report: workers.UsageReport,
        history: _WorkerHistory,
    ) -> RejectionReason | None:
        start, end = report.measured_from, report.measured_until
        if not (math.isfinite(start) and math.isfinite(end) and start < end):
            return RejectionReason.MALFORMED
        if report.sequence <= history.sequence:
            return RejectionReason.DUPLICATE
        if end <= history.last_measured_until:
            return RejectionReason.STALE
        if math.isfinite(history.clock_offset):
            clock = now - history.clock_offset
            if end > clock + MAX_CLOCK_LEAD_SECONDS:
                return RejectionReason.FUTURE
            if end < clock - MAX_REPORT_AGE_SECONDS:
                return RejectionReason.STALE
        return None

    def _check_tasks(
        self,
        report: workers.UsageReport,
        worker: scheduling.WorkerView,
        history: _WorkerHistory,
    ) -> tuple[tuple[Observation, ...], bool]:
        """Return the valid observations, and whether all parts are valid."""
        valid: list[Observation] = []
        for usage in report.tasks:
            demand = history.demands.get((usage.task_id, usage.attempt))
            reason = _check_usage(usage, demand, worker.capacity)
            if reason is not None or demand is None:
                self.rejections[reason or RejectionReason.UNKNOWN_TASK] += 1
                continue
            valid.append(Observation(usage=usage, demand=demand))
        return tuple(valid), len(valid) == len(report.tasks)


def _check_usage(
    usage: workers.TaskUsage,
    demand: scheduling.TaskDemand | None,
    capacity: resources.Resources,
) -> RejectionReason | None:
    if demand is None:
        return RejectionReason.UNKNOWN_TASK
    if not usage.use.is_valid() or not _is_plausible(usage.use, capacity):
        return RejectionReason.MALFORMED
    if demand.kind is workers.TaskKind.BATCH:
        return _check_number(usage.progress, 1.5, positive=False)
    return _check_number(
        usage.latency_p99, MAX_LATENCY_MS, positive=True
    ) or _check_number(
        usage.request_rate, MAX_REQUESTS_PER_SECOND, positive=False
    )


def _is_plausible(
    use: resources.Resources, capacity: resources.Resources
) -> bool:
    return (
        use.millicores <= MAX_USE_RATIO * capacity.millicores
        and use.memory_mib <= MAX_USE_RATIO * capacity.memory_mib
        and use.accelerators <= MAX_USE_RATIO * capacity.accelerators
    )


def _check_number(
    number: float | None, limit: float, positive: bool
) -> RejectionReason | None:
    if number is None:
        return RejectionReason.MISSING
    if not math.isfinite(number) or number < 0.0 or number > limit:
        return RejectionReason.MALFORMED
    if positive and number == 0.0:
        return RejectionReason.MALFORMED
    return None
