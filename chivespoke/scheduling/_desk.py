"""Take jobs, workers and questions for the shards of a process."""

import asyncio
import collections.abc

import xxhash

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _feasibility
from chivespoke.scheduling import _owner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _requests
from chivespoke.scheduling import _state
from chivespoke.scheduling import _stream
from chivespoke import workers

# Seconds for a submission to be read back from the log.
COMMIT_LIMIT = 10.0
STEP = 'submit a job'


class Desk:
    """Hold the shards that a process follows, and their owners."""

    __slots__ = ('streams', 'owners', '_configuration')

    def __init__(
        self,
        configuration: _configuration.ConfigurationSource,
        owners: collections.abc.Iterable[_owner.ShardOwner],
    ) -> None:
        self.owners = {owner.stream.name: owner for owner in owners}
        self.streams: dict[str, _stream.ShardStream] = {
            name: owner.stream for name, owner in self.owners.items()
        }
        self._configuration = configuration

    async def submit(
        self, requests: collections.abc.Sequence[_requests.JobRequest]
    ) -> list[_requests.JobAnswer]:
        """Submit jobs; the same job again is accepted again.

        Raise UnavailableError when the fate of some is unknown.
        """
        answers = await asyncio.gather(
            *(self._submit_one(request) for request in requests)
        )
        return list(answers)

    async def _submit_one(
        self, request: _requests.JobRequest
    ) -> _requests.JobAnswer:
        job_id = identifiers.JobId(request.id)
        spec = _requests.make_spec(request)
        stream = self.choose_stream(job_id)
        shard = stream.fold.shard
        known = shard.job_numbers.get(job_id)
        if known is None:
            reason = _feasibility.find_impossibility(
                self._configuration.document,
                [other.fold.shard for other in self.streams.values()],
                spec,
            )
            if reason:
                return _refuse(job_id, reason)
            record = _records.JobSubmitted(job_id, spec, request.tasks)
            await self._commit(stream, record)
            shard = stream.fold.shard
            known = shard.job_numbers[job_id]
        job = shard.jobs[known]
        if job.spec != spec or job.submitted != request.tasks:
            return _refuse(job_id, 'another job has this id')
        return _requests.JobAnswer(id=job_id, accepted=True)

    async def cancel(
        self, job_ids: collections.abc.Sequence[identifiers.JobId]
    ) -> list[_requests.JobAnswer]:
        """Cancel jobs; one that is cancelled already is accepted."""
        answers = await asyncio.gather(
            *(self._cancel_one(job_id) for job_id in job_ids)
        )
        return list(answers)

    async def _cancel_one(
        self, job_id: identifiers.JobId
    ) -> _requests.JobAnswer:
        stream = self.choose_stream(job_id)
        number = stream.fold.shard.job_numbers.get(job_id)
        if number is None:
            return _refuse(job_id, 'the job is unknown')
        if stream.fold.shard.jobs[number].phase is _state.JobPhase.OPEN:
            await self._commit(stream, _records.JobCancelled(number))
        job = stream.fold.shard.jobs[number]
        if job.phase is _state.JobPhase.CANCELLED:
            return _requests.JobAnswer(id=job_id, accepted=True)
        return _refuse(job_id, 'the job has failed')

    async def register(self, registration: workers.Registration) -> None:
        """Add a worker to its group's shard."""
        stream = self.streams.get(registration.group)
        if stream is None:
            raise errors.RefusedError(
                'register a worker',
                registration.group,
                'this process does not follow the group',
            )
        shard = stream.fold.shard
        number = shard.worker_numbers.get(registration.worker_id)
        if number is None:
            await self._commit(stream, make_registration(registration))
        elif shard.workers[number].address != registration.address:
            await self._commit(
                stream,
                _records.WorkerAddressChanged(
                    registration.worker_id, registration.address
                ),
            )

    def request_heartbeat(
        self, group: str, worker_id: identifiers.WorkerId
    ) -> None:
        """Hear that something ended on a worker."""
        owner = self.owners.get(group)
        if owner is not None:
            owner.request_heartbeat(worker_id)

    def report_job(
        self, job_id: identifiers.JobId
    ) -> _requests.JobReport | None:
        """Return a job's report over the shards followed here."""
        parts: list[_state.Job] = []
        for stream in self.streams.values():
            shard = stream.fold.shard
            number = shard.job_numbers.get(job_id)
            if number is not None:
                parts.append(shard.jobs[number])
        return _requests.make_report(parts) if parts else None

    def report_jobs(self) -> list[_requests.JobReport]:
        """Return the reports of all jobs, by id."""
        names = {
            job_id
            for stream in self.streams.values()
            for job_id in stream.fold.shard.job_numbers
        }
        reports = [self.report_job(name) for name in sorted(names)]
        return [report for report in reports if report is not None]

    def report_workers(self) -> list[_requests.WorkerReport]:
        """Return the reports of all workers, by shard and number."""
        return [
            make_worker_report(stream.name, worker)
            for stream in self.streams.values()
            for worker in stream.fold.shard.workers.values()
        ]

    def choose_stream(self, job_id: identifiers.JobId) -> _stream.ShardStream:
        """Return the job's home by rendezvous hashing."""
        return max(
            self.streams.values(),
            key=lambda stream: xxhash.xxh3_64_intdigest(
                f'{stream.name}/{job_id}'
            ),
        )

    async def _commit(
        self, stream: _stream.ShardStream, record: _records.Record
    ) -> None:
        try:
            async with asyncio.timeout(COMMIT_LIMIT):
                await stream.commit(record)
        except TimeoutError as error:
            raise errors.UnavailableError(
                STEP, stream.name, 'the log did not answer in time'
            ) from error


def _refuse(job_id: identifiers.JobId, reason: str) -> _requests.JobAnswer:
    return _requests.JobAnswer(id=job_id, accepted=False, reason=reason)


def make_registration(
    registration: workers.Registration,
) -> _records.WorkerRegistered:
    """Return the record that adds a worker."""
    return _records.WorkerRegistered(
        registration.worker_id,
        registration.incarnation,
        registration.data_centre,
        registration.rack,
        registration.capacity,
        registration.address,
    )


def make_worker_report(
    shard: str, worker: _state.Worker
) -> _requests.WorkerReport:
    """Return what is shown of a worker."""
    return _requests.WorkerReport(
        id=worker.worker_id,
        shard=shard,
        data_centre=worker.data_centre,
        rack=worker.rack,
        state=worker.state.name.lower().replace('_', '-'),
        capacity=worker.capacity,
        committed=worker.committed,
        tasks=len(worker.tasks),
        task_limit=worker.task_limit,
    )
