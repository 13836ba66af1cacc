"""Reconcile services with their desired number of replicas."""

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# Share of a service's replicas that may be replaced at once.
SURGE_SHARE = 0.25
# An outdated replica is retired to free its resources when a replacement
# could not be placed for this long.
ROOM_TIMEOUT_SECONDS = 30.0
# Replicas are retired this long after their data centre went out of service,
# replaced or not. Applies when operators set no time.
LEAVE_TIMEOUT_SECONDS = 60.0
# For the job spec of a service; replicas are always retried anyway.
UNBOUNDED_RETRIES = 1_000_000


class ReplicaGroups(msgspec.Struct):
    """Group the replicas of a service in a shard by status.

    The lists hold task indexes.
    """

    # Up to date, and reported as running by the worker.
    ready: list[int] = []
    # Up to date, and not yet reported as running.
    starting: list[int] = []
    # To be replaced: of an old revision, on a worker in quarantine, or in a
    # data centre out of service.
    outdated: list[int] = []
    # Outdated replicas past the time by which they had to leave.
    overdue: list[int] = []
    # Number of tasks without a placement.
    pending: int = 0


class ServicePlanner(_planner.Planner):
    """Add, replace and retire replicas of services."""

    __slots__ = ('_blocked_since', '_out_since')

    def __init__(self) -> None:
        self._blocked_since: dict[int, float] = {}
        self._out_since: dict[identifiers.DataCentreName, float] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        self._out_since = {
            name: self._out_since.get(name, now)
            for name in shard.out_of_service
        }
        records: list[_records.Record] = []
        desired = list_desired_services(context.document, shard.name)
        for name, (service, replicas) in desired.items():
            spec = make_service_spec(name, service)
            job_id = make_service_id(name, shard.name)
            job_number = shard.job_numbers.get(job_id)
            if job_number is None:
                if replicas:
                    records.append(_records.JobSubmitted(job_id, spec, 0))
            elif shard.jobs[job_number].spec != spec:
                records.append(_records.JobRevised(job_number, spec))
            else:
                records.extend(
                    self._reconcile(now, context, job_number, replicas)
                )
        records.extend(self._cancel_removed(context, desired))
        return records

    def _reconcile(
        self,
        now: float,
        context: _planner.PlanContext,
        job_number: int,
        desired: int,
    ) -> list[_records.Record]:
        job = context.shard.jobs[job_number]
        groups = self._group_replicas(now, context, job_number, job)
        records: list[_records.Record] = []
        if job.phase is _state.JobPhase.FAILED:
            # It was given up; what stays may have to leave.
            return self._retire(now, context, job_number, desired, groups)
        current = len(groups.ready) + len(groups.starting)
        to_add = desired - current - groups.pending
        if groups.outdated and to_add > 0:
            # Pending replacements count towards the surge.
            surge = max(1, int(desired * SURGE_SHARE))
            replacing = groups.pending + len(groups.starting)
            to_add = min(to_add, max(0, surge - replacing))
        if to_add > 0:
            records.append(
                _records.ReplicasAdded(job_number, job.next_index, to_add)
            )
        records.extend(self._retire(now, context, job_number, desired, groups))
        return records

    def _retire(
        self,
        now: float,
        context: _planner.PlanContext,
        job_number: int,
        desired: int,
        groups: ReplicaGroups,
    ) -> list[_records.Record]:
        live = len(groups.ready) + len(groups.outdated)
        retire_count = max(0, live - desired)
        if self._must_free_room(now, context, job_number, groups):
            retire_count = max(retire_count, 1)
        retiring = list(groups.overdue)
        retiring += [
            index for index in groups.outdated if index not in retiring
        ]
        retiring = retiring[: max(retire_count, len(groups.overdue))]
        surplus = len(groups.ready) + len(groups.starting) - desired
        if not groups.outdated and surplus > 0:
            job = context.shard.jobs[job_number]
            retiring += sorted((*groups.ready, *groups.starting))[-surplus:]
            pending_surplus = groups.pending
        else:
            current = len(groups.ready) + len(groups.starting)
            pending_surplus = max(0, current + groups.pending - desired)
        job = context.shard.jobs[job_number]
        retiring += _list_pending(job)[:pending_surplus]
        return [
            _records.ReplicaRetired(job_number, index) for index in retiring
        ]

    def _must_free_room(
        self,
        now: float,
        context: _planner.PlanContext,
        job_number: int,
        groups: ReplicaGroups,
    ) -> bool:
        """Return whether to retire an outdated replica to free resources."""
        is_blocked = job_number in context.blocked_jobs and groups.pending > 0
        if not is_blocked or not groups.outdated:
            self._blocked_since.pop(job_number, None)
            return False
        since = self._blocked_since.setdefault(job_number, now)
        if now - since < ROOM_TIMEOUT_SECONDS:
            return False
        self._blocked_since[job_number] = now
        return True

    def _group_replicas(
        self,
        now: float,
        context: _planner.PlanContext,
        job_number: int,
        job: _state.Job,
    ) -> ReplicaGroups:
        shard = context.shard
        groups = ReplicaGroups(pending=job.count_fresh() + len(job.requeued))
        for index, attempt in job.running.items():
            if attempt.stop_requested:
                continue
            worker = shard.workers[attempt.worker]
            key = (job_number, index, attempt.number)
            link = context.links.get(attempt.worker)
            must_leave = worker.data_centre in shard.out_of_service
            if (
                must_leave
                or worker.task_limit == 0
                or attempt.revision != job.spec.revision
            ):
                groups.outdated.append(index)
                if must_leave and self._is_overdue(now, context, worker):
                    groups.overdue.append(index)
            elif link is not None and key in link.running:
                groups.ready.append(index)
            else:
                groups.starting.append(index)
        return groups

    def _is_overdue(
        self,
        now: float,
        context: _planner.PlanContext,
        worker: _state.Worker,
    ) -> bool:
        since = self._out_since.get(worker.data_centre, now)
        data_centre = context.document.data_centres.get(worker.data_centre)
        leave_within = (
            data_centre.leave_within if data_centre is not None else 0.0
        )
        return now - since >= (leave_within or LEAVE_TIMEOUT_SECONDS)

    def _cancel_removed(
        self,
        context: _planner.PlanContext,
        desired: dict[identifiers.ServiceName, tuple[operators.Service, int]],
    ) -> list[_records.Record]:
        """Cancel services that the configuration no longer contains."""
        desired_ids = {
            make_service_id(name, context.shard.name) for name in desired
        }
        removed = [
            (job_number, job)
            for job_number, job in context.shard.jobs.items()
            if job.spec.kind is workers.TaskKind.LATENCY_CRITICAL
            and job.job_id not in desired_ids
        ]
        records: list[_records.Record] = [
            _records.JobCancelled(job_number)
            for job_number, job in removed
            if job.phase is _state.JobPhase.OPEN
        ]
        # Replicas of a service that was given up may have stayed.
        records.extend(
            _records.ReplicaRetired(job_number, index)
            for job_number, job in removed
            if job.phase is _state.JobPhase.FAILED
            for index, attempt in job.running.items()
            if not attempt.stop_requested
        )
        return records


def list_desired_services(
    document: operators.Document, shard: str
) -> dict[identifiers.ServiceName, tuple[operators.Service, int]]:
    """Return the services with the replicas that a shard should run."""
    return {
        name: (service, compute_shard_replicas(document, service, shard))
        for name, service in document.services.items()
    }


def compute_shard_replicas(
    document: operators.Document, service: operators.Service, shard: str
) -> int:
    """Return how many replicas of a service a shard should run."""
    serving_shards = [
        name
        for name, group in sorted(document.shards.items())
        if _can_serve(document, service, group)
    ]
    if not document.shards:
        serving_shards = [_configuration.DEFAULT_SHARD]
    if shard not in serving_shards:
        return 0
    share, remainder = divmod(service.replicas, len(serving_shards))
    return share + (1 if serving_shards.index(shard) < remainder else 0)


def _can_serve(
    document: operators.Document,
    service: operators.Service,
    group: operators.ShardGroup,
) -> bool:
    """Return whether a group has an allowed data centre in service."""
    out = _configuration.list_out_of_service(document)
    group_centres = group.data_centres or tuple(document.data_centres)
    allowed = service.data_centres or group_centres
    return any(name in allowed and name not in out for name in group_centres)


def make_service_id(
    name: identifiers.ServiceName, shard: str
) -> identifiers.JobId:
    """Return the id of the job that holds a service's replicas."""
    return identifiers.JobId(f'service:{name}@{shard}')


def make_service_spec(
    name: identifiers.ServiceName, service: operators.Service
) -> _records.JobSpec:
    """Return the job spec of a service's replicas."""
    return _records.JobSpec(
        kind=workers.TaskKind.LATENCY_CRITICAL,
        family=name,
        team=service.team,
        size=service.size,
        priority=0,
        data_centres=service.data_centres,
        retries=UNBOUNDED_RETRIES,
        revision=service.revision,
    )


def _list_pending(job: _state.Job) -> list[int]:
    fresh = [
        index for first, stop in job.fresh for index in range(first, stop)
    ]
    return [*reversed(fresh), *job.requeued]
