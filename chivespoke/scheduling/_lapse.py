"""Judge when the tasks of a silent worker may run elsewhere."""

from chivespoke import errors
from chivespoke import operators
from chivespoke.scheduling import _link
from chivespoke.scheduling import _permits
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state


class LapseJudge(_planner.Planner):
    """Give silent workers up, and take them back when they answer."""

    __slots__ = ('_claim_proven_at', '_fence_proven_at')

    def __init__(self) -> None:
        # Own times by which the claim, and the last predecessor's fence,
        # were read; None until then.
        self._claim_proven_at: float | None = None
        self._fence_proven_at: float | None = None

    def begin(self) -> None:
        """Count anew, for a new epoch."""
        self._claim_proven_at = None
        self._fence_proven_at = None

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        if self._claim_proven_at is None:
            self._claim_proven_at = now
        if self._fence_proven_at is None and not owner.shard.unfenced:
            self._fence_proven_at = now
        records: list[_records.Record] = []
        for number, worker in owner.shard.workers.items():
            link = owner.links.get(number)
            if link is None:
                continue
            if worker.state is _state.WorkerState.UP:
                reason = self._find_reason(now, owner, worker, link)
                if reason:
                    link.giving_up = True
                    records.append(
                        _records.WorkerGivenUp(number, owner.epoch, reason)
                    )
                continue
            # The log has decided.
            link.giving_up = False
            if _may_return(link) and not _is_dead(owner, worker):
                records.append(_records.WorkerReadmitted(number, owner.epoch))
        return records

    def _find_reason(
        self,
        now: float,
        owner: _planner.PlanContext,
        worker: _state.Worker,
        link: _link.WorkerLink,
    ) -> str:
        """Return why the worker can be running nothing, or nothing."""
        if _is_dead(owner, worker):
            return 'its data centre is declared dead'
        if link.giving_up:
            return 'it was silent for longer than its lease'
        if not link.failures:
            return ''
        if not link.contacted:
            return self._find_inherited_reason(now)
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

    def _find_inherited_reason(self, now: float) -> str:
        """Judge by what earlier owners may have renewed."""
        fenced = self._fence_proven_at
        if fenced is not None:
            if now - fenced > _permits.compute_predecessor_wait(True):
                return 'every earlier owner is fenced and its leases lapsed'
        claim = self._claim_proven_at
        if claim is not None:
            if now - claim > _permits.compute_predecessor_wait(False):
                return 'no earlier owner can have renewed for so long'
        return ''


def _is_dead(owner: _planner.PlanContext, worker: _state.Worker) -> bool:
    """Tell whether operators vouch that nothing runs there."""
    data_centre = owner.document.data_centres.get(worker.data_centre)
    return (
        data_centre is not None
        and data_centre.declared_dead
        and data_centre.state is operators.ServiceState.OUT_OF_SERVICE
    )


def _may_return(link: _link.WorkerLink) -> bool:
    """Tell whether the worker answers and runs nothing of old."""
    return (
        link.contacted
        and not link.failures
        and link.tracker.runs_only_known_attempts()
    )
