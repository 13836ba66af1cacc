"""Decide when the tasks of an unreachable worker may run elsewhere."""

from chivespoke import errors
from chivespoke import operators
from chivespoke.scheduling import _link
from chivespoke.scheduling import _permits
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


class LeaseExpiryPlanner(_planner.Planner):
    """Give up workers whose leases have expired; readmit those that answer.

    The tasks of a worker must not be placed elsewhere before every lease
    that it holds has expired, or a task could run twice.
    """

    __slots__ = ('_claim_read_at', '_fence_read_at')

    def __init__(self) -> None:
        # Monotonic times at which this process first saw its own claim in
        # the shard, and first saw every earlier owner fenced; None until then.
        self._claim_read_at: float | None = None
        self._fence_read_at: float | None = None

    def reset(self) -> None:
        """Forget the times read; call at the start of an epoch."""
        self._claim_read_at = None
        self._fence_read_at = None

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        if self._claim_read_at is None:
            self._claim_read_at = now
        if self._fence_read_at is None and not context.shard.unfenced:
            self._fence_read_at = now
        records: list[_records.Record] = []
        for worker_number, worker in context.shard.workers.items():
            link = context.links.get(worker_number)
            if link is None:
                continue
            if worker.state is _state.WorkerState.UP:
                reason = self._find_expiry_reason(now, context, worker, link)
                if reason:
                    link.giving_up = True
                    records.append(
                        _records.WorkerGivenUp(
                            worker_number, context.epoch, reason
                        )
                    )
                continue
            # The log contains the record that gave the worker up.
            link.giving_up = False
            if _can_return(link) and not _is_declared_dead(context, worker):
                records.append(
                    _records.WorkerReadmitted(worker_number, context.epoch)
                )
        return records

    def _find_expiry_reason(
        self,
        now: float,
        context: _planner.PlanContext,
        worker: _state.Worker,
        link: _link.WorkerLink,
    ) -> str:
        """Return why no task can still run there, or an empty string."""
        if _is_declared_dead(context, worker):
            return 'its data centre is declared dead'
        if link.giving_up:
            return 'it was silent for longer than its lease'
        if link.successor is not None:
            is_elsewhere = link.successor.group != context.shard.name
            if is_elsewhere and link.address == worker.address:
                return 'its next incarnation is in another group'
            # The registration of that incarnation requeues the tasks.
            return ''
        if not link.failures:
            return ''
        if not link.contacted:
            return self._find_predecessor_reason(now)
        if link.is_lease_expired(now):
            clock_reading = link.clock_reading
            errors.check_invariant(
                clock_reading is not None
                and clock_reading.compute_lower_bound(now)
                > link.max_lease_until,
                'given up after the lease only',
                worker.worker_id,
            )
            return 'its lease lapsed'
        return ''

    def _find_predecessor_reason(self, now: float) -> str:
        """Return why all leases have expired, or an empty string.

        The worker has not answered this owner, so only earlier owners can
        have renewed its lease. One that is not fenced may have done so for up
        to BLIND_LIMIT seconds after it last read the log.
        """
        fenced = self._fence_read_at
        if fenced is not None:
            if now - fenced > _permits.compute_predecessor_wait(True):
                return 'every earlier owner is fenced and its leases lapsed'
        claim = self._claim_read_at
        if claim is not None:
            if now - claim > _permits.compute_predecessor_wait(False):
                return 'no earlier owner can have renewed for so long'
        return ''


def _is_declared_dead(
    context: _planner.PlanContext, worker: _state.Worker
) -> bool:
    """Return whether operators declared the worker's data centre dead.

    By declaring it dead, they assert that nothing runs there.
    """
    data_centre = context.document.data_centres.get(worker.data_centre)
    return (
        data_centre is not None
        and data_centre.declared_dead
        and data_centre.state is operators.ServiceState.OUT_OF_SERVICE
    )


def _can_return(link: _link.WorkerLink) -> bool:
    """Return whether the worker answers and runs no unknown attempts."""
    return (
        link.contacted
        and not link.failures
        and link.tracker.runs_only_known_attempts()
    )
