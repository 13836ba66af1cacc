"""Sidecars that a leader does not hear, on record for its successors; no I/O.

A successor has to expect that the leader before it renews leases for as long
as its mandate lasts. Of a sidecar on record as silent it need not: no leader
renews a lease there before it has withdrawn the record, which also tells how
long the leases may still last.
"""

import collections.abc

from chivespoke.coordination import _engine_state
from chivespoke.coordination import _fleet
from chivespoke.coordination import _messages
from chivespoke.coordination import _records
from chivespoke import logs

LOGGER = logs.make_logger('leader')

# Time without a report after which a sidecar is put on record. A sidecar that
# restarts is silent for about a second, and each record has to be withdrawn
# before leases are renewed again.
SILENCE_SECONDS = 2.0
# Time between two plans above which this process may have stood still, and the
# reports of that time are yet to be read.
MAX_PLAN_GAP_SECONDS = 1.0


class SilentSidecars:
    """Decide which sidecars are on record as silent."""

    __slots__ = (
        '_state',
        '_listens_since',
        '_planned_at',
        '_heard_at',
        '_recorded',
    )

    def __init__(self, state: _engine_state.State) -> None:
        self._state = state
        # Time since which reports are read as they come.
        self._listens_since = 0.0
        self._planned_at = float('-inf')
        # Time of the last report, by sidecar.
        self._heard_at: dict[str, float] = {}
        # Those whose record stands, or is under way.
        self._recorded: set[str] = set()

    def load(
        self, sidecar: str, silence: _records.KnownSilence, now: float
    ) -> None:
        """Take over the record of an earlier leader."""
        self._recorded.add(sidecar)
        record = silence.record
        # It was written before it was read.
        written_by = now if silence.read_at is None else silence.read_at
        self._state.bound_unreported_leases(
            sidecar, written_by + record.lease_millis / 1000
        )
        for start in record.late_starts:
            self._state.late_starts.record_late(
                start.task, start.run, written_by + start.millis / 1000
            )

    def record_report(self, sidecar: str, now: float) -> None:
        """Record that a sidecar reports."""
        self._heard_at[sidecar] = now

    def may_renew(self, sidecar: str) -> bool:
        """Return whether leases on a sidecar's worker may be renewed."""
        return sidecar not in self._recorded

    def list_recorded(self) -> tuple[str, ...]:
        """Return the sidecars whose record stands, or is under way."""
        return tuple(sorted(self._recorded))

    def make_records(self, now: float) -> tuple[list[bytes], tuple[str, ...]]:
        """Return records to store, and the sidecars that they withdraw."""
        if now > self._planned_at + MAX_PLAN_GAP_SECONDS:
            self._listens_since = now
        self._planned_at = now
        records = []
        for sidecar, lease_end in self._list_lease_ends():
            silent_since = max(
                self._listens_since, self._heard_at.get(sidecar, 0.0)
            )
            if (
                sidecar in self._recorded
                or now < silent_since + SILENCE_SECONDS
            ):
                continue
            self._recorded.add(sidecar)
            record = self._describe(sidecar, lease_end, now)
            LOGGER.info(
                'A sidecar is put on record as silent.',
                sidecar=sidecar,
                lease_seconds=round(record.lease_millis / 1000, 1),
                late_starts=len(record.late_starts),
            )
            records.append(_records.encode_silent_sidecar(sidecar, record))
        withdrawn = tuple(
            sidecar
            for sidecar in sorted(self._recorded)
            if now < self._heard_at.get(sidecar, 0.0) + SILENCE_SECONDS
        )
        records += [_records.encode_heard_sidecar(each) for each in withdrawn]
        return records, withdrawn

    def confirm_withdrawn(self, sidecars: tuple[str, ...]) -> None:
        """Allow leases where the record of the silence is withdrawn."""
        for sidecar in sidecars:
            LOGGER.info(
                'The record of a silent sidecar is withdrawn.',
                sidecar=sidecar,
            )
        self._recorded.difference_update(sidecars)

    def describe_all(
        self, now: float, with_unreported: bool
    ) -> dict[str, _records.SilentSidecar]:
        """Return what is left of the leases, by sidecar with runs.

        Leases on workers that this leader has not heard count if asked for.
        """
        heard = {worker.sidecar for worker in self._state.workers.values()}
        return {
            sidecar: self._describe(
                sidecar,
                lease_end if with_unreported or sidecar in heard else now,
                now,
            )
            for sidecar, lease_end in self._list_lease_ends()
        }

    def _describe(
        self, sidecar: str, lease_end: float, now: float
    ) -> _records.SilentSidecar:
        return _records.SilentSidecar(
            int(max(0.0, lease_end - now) * 1000) + 1,
            self._list_late_starts(sidecar, now),
        )

    def _list_lease_ends(
        self,
    ) -> collections.abc.Iterator[tuple[str, float]]:
        """Yield the sidecars with runs, and when their leases have expired."""
        ends: dict[str, float] = {}
        for worker in self._state.workers.values():
            if worker.runs:
                ends[worker.sidecar] = worker.leases_expire_at
        for key, unreported in self._state.unreported.items():
            sidecar = _messages.find_sidecar(key)
            ends[sidecar] = max(unreported.expires_at, ends.get(sidecar, 0.0))
        yield from ends.items()

    def _list_late_starts(
        self, sidecar: str, now: float
    ) -> tuple[_records.LateStart, ...]:
        runs: list[_fleet.Run] = []
        worker = self._state.find_worker_of(sidecar)
        if worker is not None:
            runs += worker.runs.values()
        for key, unreported in self._state.unreported.items():
            if _messages.is_worker_of(key, sidecar):
                runs += unreported.runs
        late_starts = (
            _records.LateStart(
                run.task_id,
                run.number,
                int(self._state.late_starts.measure_left(run, now) * 1000),
            )
            for run in runs
        )
        return tuple(start for start in late_starts if start.millis > 0)
