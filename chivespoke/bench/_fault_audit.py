"""What a random run checks and counts over all processes."""

import sys
import typing

from chivespoke.bench import _cluster
from chivespoke.bench import _fault_checks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import replication
from chivespoke import scheduling

Submitted = dict[identifiers.JobId, tuple[typing.Any, int]]


class FaultAudit:
    """Compare processes with each other, and counts with what was sent."""

    __slots__ = ('_cluster', '_witness', '_submitted', '_first', '_shards')

    def __init__(
        self,
        cluster: _cluster.Cluster,
        witness: _fault_checks.Witness,
        submitted: Submitted,
        first_process: str,
        shards: tuple[str, ...],
    ) -> None:
        self._cluster = cluster
        self._witness = witness
        # Read at the time of a check: it grows while the run goes on.
        self._submitted = submitted
        self._first = first_process
        self._shards = shards

    def compare_states(self) -> None:
        """Check that every process folded the same, as a whole replay."""
        for shard in self._shards:
            states: dict[int, bytes] = {}
            for process in self._cluster.processes.values():
                stream = process.api.streams[shard]
                if not stream.replica.is_ready:
                    continue
                state = stream.replica.encode_state()
                offset = int(stream.replica.next_offset)
                known = states.setdefault(offset, state)
                self._witness.checks['same state at the same offset'] += 1
                errors.check_invariant(
                    known == state, 'same state', process.name
                )

    def check_counts(self) -> None:
        """Check that every task of every job ended once."""
        api = self._cluster.processes[self._first].api
        for job_id, (_, tasks) in self._submitted.items():
            report = api.report_job(job_id)
            done = 0
            if report is not None:
                done = report.completed + report.failed + report.cancelled
            self._witness.checks['nothing lost, nothing twice'] += 1
            errors.check_invariant(
                report is not None and done == tasks == report.submitted,
                'nothing lost, nothing twice',
                job_id,
                f'{done} of {tasks}: {report}',
            )

    async def replay(self) -> None:
        """Fold each stream from its beginning and compare."""
        process = self._cluster.processes[self._first]
        for name, stream in process.api.streams.items():
            replica = replication.Replica(
                stream.replica.stream, scheduling.ShardFold(name)
            )
            page = await self._cluster.log.read(
                replica.stream, identifiers.Offset(0), sys.maxsize, 0.0
            )
            replica.apply_page(page)
            self._witness.checks['whole replay'] += 1
            if replica.next_offset == stream.replica.next_offset:
                errors.check_invariant(
                    replica.encode_state() == stream.replica.encode_state(),
                    'whole replay',
                    name,
                )

    def fill(
        self,
        checked: dict[str, int],
        refused: dict[str, int],
    ) -> None:
        """Tell what was checked and refused."""
        for process in self._cluster.processes.values():
            for stream in process.api.streams.values():
                self._witness.checks['invariants of the fold'] += (
                    stream.fold.applied
                )
                for refusal, count in stream.fold.refused.items():
                    key = refusal.value
                    refused[key] = max(refused.get(key, 0), count)
        checked.update(sorted(self._witness.checks.items()))

    def total(self, report: typing.Any) -> None:
        """Add up the counts of all jobs."""
        api = self._cluster.processes[self._first].api
        report.simulated_seconds = round(self._cluster.now() - 1000.0, 1)
        report.jobs = len(self._submitted)
        for job_id in self._submitted:
            try:
                found = api.report_job(job_id)
            except errors.NotLoadedError:
                # The run has failed while the process was behind.
                continue
            if found is None:
                continue
            report.tasks += found.submitted
            for field in (
                'completed',
                'failed',
                'cancelled',
                'attempts',
                'evictions',
                'abandoned',
                'lost_seconds',
            ):
                total = getattr(report, field) + getattr(found, field)
                setattr(report, field, total)
