"""What is known of the leaders before this one; no I/O.

An earlier leader may renew leases for as long as its mandate lasts, unless it
says that it has stopped, or another process has taken its address. From then
on only the leases that it has granted are to be waited for.
"""

import collections.abc

import msgspec

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke import logs

LOGGER = logs.make_logger('leader')


class LeaderEnd(msgspec.Struct, frozen=True):
    """Hold what is known of an earlier leader that renews no leases."""

    # Monotonic time in seconds since which it does not.
    ended_at: float
    # What was left of the leases at that time, by sidecar; only of sidecars
    # with runs, and empty if the leader's process has ended.
    sidecars: dict[str, _records.SilentSidecar]


class Predecessors:
    """Bound the waits for workers by what earlier leaders may have done."""

    __slots__ = (
        '_state',
        'are_on_record',
        '_taken_over_at',
        '_leaders',
        '_ends',
        '_silent_sidecars',
    )

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        # Each earlier leader whose leases may last was on record. An entry of
        # an earlier version leaves no record.
        self.are_on_record = False
        self._taken_over_at = 0.0
        # On record as silent when this leader took over.
        self._silent_sidecars: frozenset[str] = frozenset()
        # Those on record, by epoch.
        self._leaders: dict[int, _records.LeaderRecord] = {}
        self._ends: dict[int, LeaderEnd] = {}

    def load(
        self,
        leaders: collections.abc.Mapping[int, _records.LeaderRecord],
        silent_sidecars: collections.abc.Iterable[str],
        now: float,
    ) -> None:
        """Take over the records of the leaders before."""
        self._taken_over_at = now
        self._state.earlier_leases_end_at = (
            now + self._state.timeouts.max_wait_seconds
        )
        self._silent_sidecars = frozenset(silent_sidecars)
        self._leaders = dict(leaders)
        self.are_on_record = bool(leaders)

    def list_unknown(self) -> dict[int, _records.LeaderRecord]:
        """Return the earlier leaders that may still renew leases."""
        return {
            epoch: leader
            for epoch, leader in self._leaders.items()
            if epoch not in self._ends
        }

    def record_end(self, epoch: int, end: LeaderEnd, now: float) -> None:
        """Record that an earlier leader renews no leases any more."""
        if epoch not in self._leaders or epoch in self._ends:
            return
        self._ends[epoch] = end
        LOGGER.info(
            'An earlier leader renews no leases.',
            epoch=epoch,
            member=self._leaders[epoch].member,
            seconds=round(now - end.ended_at, 1),
            sidecars=len(end.sidecars),
            unknown=len(self.list_unknown()),
        )
        # Its record may go before all others have told.
        for key, unreported in self._state.unreported.items():
            self._record_late_starts(
                end, _messages.find_sidecar(key), unreported.runs
            )
        if not self.list_unknown():
            self._bound_waits()

    def make_tombstones(self, now: float) -> list[bytes]:
        """Return tombstones of leaders whose leases have all expired."""
        past = [epoch for epoch in self._leaders if self._is_past(epoch, now)]
        for epoch in past:
            del self._leaders[epoch]
            self._ends.pop(epoch, None)
        return [_records.encode_past_leader(epoch) for epoch in past]

    def _is_past(self, epoch: int, now: float) -> bool:
        timeouts = self._state.timeouts
        end = self._ends.get(epoch)
        if end is None:
            return now >= self._taken_over_at + timeouts.max_wait_seconds
        left_millis = max(
            (left.lease_millis for left in end.sidecars.values()), default=0
        )
        return now >= end.ended_at + max(
            timeouts.max_lease_seconds, left_millis / 1000
        )

    def _bound_waits(self) -> None:
        self._state.earlier_leases_end_at = (
            max(end.ended_at for end in self._ends.values())
            + self._state.timeouts.max_lease_seconds
        )
        for key in self._state.unreported:
            sidecar = _messages.find_sidecar(key)
            self._state.bound_unreported_leases(
                sidecar,
                max(
                    self._find_lease_end(end, sidecar)
                    for end in self._ends.values()
                ),
            )

    def _find_lease_end(self, end: LeaderEnd, sidecar: str) -> float:
        """Return when the leases that a leader has granted have expired."""
        left = end.sidecars.get(sidecar)
        return end.ended_at + (
            self._state.timeouts.max_lease_seconds
            if left is None
            else left.lease_millis / 1000
        )

    def _record_late_starts(
        self,
        end: LeaderEnd,
        sidecar: str,
        runs: collections.abc.Iterable[_fleet.Run],
    ) -> None:
        """Record the calls to start runs that may be executed late.

        A leader that has stopped names them, and so does the record of a
        silent sidecar, which gets no orders. Otherwise it is only known which
        runs no call can start any more.
        """
        late_starts = self._state.late_starts
        left = end.sidecars.get(sidecar)
        if left is not None:
            for start in left.late_starts:
                late_starts.record_late(
                    start.task, start.run, end.ended_at + start.millis / 1000
                )
            return
        if sidecar in self._silent_sidecars:
            return
        timeouts = self._state.timeouts
        for run in runs:
            if not self._state.is_settled(run):
                late_starts.record_late(
                    run.task_id,
                    run.number,
                    end.ended_at
                    + timeouts.start_order_seconds
                    + timeouts.late_call_seconds,
                )
