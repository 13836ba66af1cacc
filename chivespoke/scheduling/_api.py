"""Submit and cancel jobs, register workers, and report on both."""

import asyncio
import collections.abc

import xxhash

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _feasibility
from chivespoke.scheduling import _owner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _requests
from chivespoke.scheduling import _state
from chivespoke.scheduling import _stream
from chivespoke import workers

# Time limit for a record to be committed and read back from the log.
COMMIT_TIMEOUT_SECONDS = 10.0
SUBMIT_STEP = 'submit a job'
LOOK_UP_STEP = 'look up jobs'


class SchedulingApi:
    """Provide the operations on jobs and workers to callers.

    They cover the shards that this process follows.
    """

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
        """Submit jobs; a repeated submission of the same job is accepted.

        Raise UnavailableError when the outcome of any is unknown.
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
        job_number = shard.job_numbers.get(job_id)
        if job_number is None:
            reason = _feasibility.find_permanent_obstacle(
                self._configuration.document,
                [followed.fold.shard for followed in self.streams.values()],
                spec,
            )
            if reason:
                self._check_configuration(stream)
                self.check_current()
                return _refuse(job_id, reason)
            record = _records.JobSubmitted(job_id, spec, request.tasks)
            await self._commit(stream, record)
            shard = stream.fold.shard
            job_number = shard.job_numbers[job_id]
        job = shard.jobs[job_number]
        if job.spec != spec or job.submitted != request.tasks:
            return _refuse(job_id, 'another job has this id')
        return _requests.JobAnswer(id=job_id, accepted=True)

    async def cancel(
        self, job_ids: collections.abc.Sequence[identifiers.JobId]
    ) -> list[_requests.JobAnswer]:
        """Cancel jobs; repeated cancellations are accepted.

        Raise NotLoadedError when one is not known and its shard not current.
        """
        answers = await asyncio.gather(
            *(self._cancel_one(job_id) for job_id in job_ids)
        )
        return list(answers)

    async def _cancel_one(
        self, job_id: identifiers.JobId
    ) -> _requests.JobAnswer:
        stream = self.choose_stream(job_id)
        job_number = stream.fold.shard.job_numbers.get(job_id)
        if job_number is None:
            _check_stream(stream)
            return _refuse(job_id, 'the job is unknown')
        if stream.fold.shard.jobs[job_number].phase is _state.JobPhase.OPEN:
            await self._commit(stream, _records.JobCancelled(job_number))
        job = stream.fold.shard.jobs[job_number]
        if job.phase is _state.JobPhase.CANCELLED:
            return _requests.JobAnswer(id=job_id, accepted=True)
        return _refuse(job_id, 'the job has failed')

    async def register(self, registration: workers.Registration) -> None:
        """Add a worker to its group's shard, or update its address.

        Raise RefusedError when this process does not follow the group.
        """
        stream = self.streams.get(registration.group)
        if stream is None:
            raise errors.RefusedError(
                'register a worker',
                registration.group,
                'this process does not follow the group',
            )
        shard = stream.fold.shard
        worker_number = shard.worker_numbers.get(registration.worker_id)
        if worker_number is None:
            await self._commit(stream, make_registration(registration))
            return
        worker = shard.workers[worker_number]
        known = {worker.address}
        if registration.incarnation != worker.incarnation:
            known.add(worker.other_address)
        if registration.address not in known:
            await self._commit(
                stream,
                _records.WorkerAddressChanged(
                    registration.worker_id,
                    registration.address,
                    registration.incarnation,
                ),
            )

    def request_heartbeat(
        self, group: str, worker_id: identifiers.WorkerId
    ) -> None:
        """Fetch the status of a worker on which a task has ended."""
        owner = self.owners.get(group)
        if owner is not None:
            owner.request_heartbeat(worker_id)

    def report_job(
        self, job_id: identifiers.JobId
    ) -> _requests.JobReport | None:
        """Return the report of a job over all followed shards, or None.

        Raise NotLoadedError before all of them are loaded, or if the job is
        unknown and one of them is not current.
        """
        self.check_loaded()
        report = self._find_report(job_id)
        if report is None:
            self.check_current()
        return report

    def _find_report(
        self, job_id: identifiers.JobId
    ) -> _requests.JobReport | None:
        job_parts: list[_state.Job] = []
        crashed_workers = 0
        for stream in self.streams.values():
            shard = stream.fold.shard
            job_number = shard.job_numbers.get(job_id)
            if job_number is not None:
                job_parts.append(shard.jobs[job_number])
                crashed_workers += _crashes.count_crashed_workers(
                    shard, job_number
                )
        if not job_parts:
            return None
        return _requests.make_report(job_parts, crashed_workers)

    def report_jobs(self) -> list[_requests.JobReport]:
        """Return the reports of all jobs, ordered by id."""
        names = {
            job_id
            for stream in self.streams.values()
            for job_id in stream.fold.shard.job_numbers
        }
        reports = [self._find_report(name) for name in sorted(names)]
        return [report for report in reports if report is not None]

    def report_workers(self) -> list[_requests.WorkerReport]:
        """Return the reports of all workers, ordered by shard and number."""
        return [
            make_worker_report(stream.name, worker)
            for stream in self.streams.values()
            for worker in stream.fold.shard.workers.values()
        ]

    def choose_stream(self, job_id: identifiers.JobId) -> _stream.ShardStream:
        """Return the stream of a job's home shard, by rendezvous hashing."""
        return max(
            self.streams.values(),
            key=lambda stream: xxhash.xxh3_64_intdigest(
                f'{stream.name}/{job_id}'
            ),
        )

    def check_loaded(self) -> None:
        """Raise NotLoadedError unless all followed shards are loaded."""
        for stream in self.streams.values():
            if not stream.is_loaded:
                raise errors.NotLoadedError(
                    LOOK_UP_STEP,
                    stream.name,
                    'the shard is still being loaded',
                )

    def check_current(self) -> None:
        """Raise NotLoadedError unless all followed shards are current."""
        for stream in self.streams.values():
            _check_stream(stream)

    def _check_configuration(self, stream: _stream.ShardStream) -> None:
        read_at = self._configuration.last_read_at
        if (
            read_at is None
            or stream.follower.measure_age(read_at)
            > operators.MAX_READ_AGE_SECONDS
        ):
            raise errors.NotLoadedError(
                SUBMIT_STEP,
                'configuration',
                'its newest version has not been read',
            )

    async def _commit(
        self, stream: _stream.ShardStream, record: _records.Record
    ) -> None:
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                await stream.commit(record)
        except TimeoutError as error:
            raise errors.UnavailableError(
                SUBMIT_STEP, stream.name, 'the log did not confirm it in time'
            ) from error


def _check_stream(stream: _stream.ShardStream) -> None:
    if stream.measure_read_age() > operators.MAX_READ_AGE_SECONDS:
        raise errors.NotLoadedError(
            LOOK_UP_STEP, stream.name, 'its newest records have not been read'
        )


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
    """Return the report of a worker."""
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
