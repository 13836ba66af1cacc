"""Keep services at their wanted number of replicas."""

import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke import workers

# The share of a service's replicas that is replaced at once.
SURGE_SHARE = 0.25
# Seconds for which a replacement may be without room before an old replica
# makes way for it.
ROOM_WAIT = 30.0
# Seconds after which replicas leave a data centre that is out, replaced or
# not, when operators set no time.
LEAVE_WAIT = 60.0
UNBOUNDED_RETRIES = 1_000_000


class Standing(msgspec.Struct):
    """Sort the replicas of one service in one shard."""

    # Placed as wanted, and running.
    ready: list[int] = []
    # Placed as wanted, and not heard to run yet.
    starting: list[int] = []
    # To be replaced: an old revision, or a place that must be left.
    old: list[int] = []
    # Of those, past the time by which they must have left.
    overdue: list[int] = []
    pending: int = 0


class ServicePlanner(_planner.Planner):
    """Add, replace and retire replicas."""

    __slots__ = ('_blocked_since', '_out_since')

    def __init__(self) -> None:
        self._blocked_since: dict[int, float] = {}
        self._out_since: dict[identifiers.DataCentreName, float] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        self._out_since = {
            name: self._out_since.get(name, now)
            for name in shard.out_of_service
        }
        records: list[_records.Record] = []
        wanted = list_wanted(owner.document, shard.name)
        for name, (service, replicas) in wanted.items():
            spec = make_service_spec(name, service)
            job_id = make_service_id(name, shard.name)
            number = shard.job_numbers.get(job_id)
            if number is None:
                if replicas:
                    records.append(_records.JobSubmitted(job_id, spec, 0))
            elif shard.jobs[number].spec != spec:
                records.append(_records.JobRevised(number, spec))
            else:
                records.extend(self._keep(now, owner, number, replicas))
        records.extend(self._retire_removed(owner, wanted))
        return records

    def _keep(
        self,
        now: float,
        owner: _planner.PlanContext,
        number: int,
        wanted: int,
    ) -> list[_records.Record]:
        job = owner.shard.jobs[number]
        standing = self._sort(now, owner, number, job)
        records: list[_records.Record] = []
        coming = len(standing.ready) + len(standing.starting)
        missing = wanted - coming - standing.pending
        if standing.old and missing > 0:
            # A pending replacement counts against the surge.
            surge = max(1, int(wanted * SURGE_SHARE))
            moving = standing.pending + len(standing.starting)
            missing = min(missing, max(0, surge - moving))
        if missing > 0:
            records.append(
                _records.ReplicasAdded(number, job.next_index, missing)
            )
        records.extend(self._retire(now, owner, number, wanted, standing))
        return records

    def _retire(
        self,
        now: float,
        owner: _planner.PlanContext,
        number: int,
        wanted: int,
        standing: Standing,
    ) -> list[_records.Record]:
        alive = len(standing.ready) + len(standing.old)
        surplus = max(0, alive - wanted)
        if self._lacks_room(now, owner, number, standing):
            surplus = max(surplus, 1)
        leaving = list(standing.overdue)
        leaving += [index for index in standing.old if index not in leaving]
        leaving = leaving[: max(surplus, len(standing.overdue))]
        excess = len(standing.ready) + len(standing.starting) - wanted
        if not standing.old and excess > 0:
            job = owner.shard.jobs[number]
            leaving += sorted((*standing.ready, *standing.starting))[-excess:]
            waiting = standing.pending
        else:
            coming = len(standing.ready) + len(standing.starting)
            waiting = max(0, coming + standing.pending - wanted)
        job = owner.shard.jobs[number]
        leaving += _list_pending(job)[:waiting]
        return [_records.ReplicaRetired(number, index) for index in leaving]

    def _lacks_room(
        self,
        now: float,
        owner: _planner.PlanContext,
        number: int,
        standing: Standing,
    ) -> bool:
        """Tell whether an old replica has to make room."""
        blocked = number in owner.blocked and standing.pending > 0
        if not blocked or not standing.old:
            self._blocked_since.pop(number, None)
            return False
        since = self._blocked_since.setdefault(number, now)
        if now - since < ROOM_WAIT:
            return False
        self._blocked_since[number] = now
        return True

    def _sort(
        self,
        now: float,
        owner: _planner.PlanContext,
        number: int,
        job: _state.Job,
    ) -> Standing:
        shard = owner.shard
        standing = Standing(pending=job.count_fresh() + len(job.requeued))
        for index, attempt in job.running.items():
            if attempt.stop_requested:
                continue
            worker = shard.workers[attempt.worker]
            key = (number, index, attempt.number)
            link = owner.links.get(attempt.worker)
            leaves = worker.data_centre in shard.out_of_service
            if (
                leaves
                or worker.task_limit == 0
                or attempt.revision != job.spec.revision
            ):
                standing.old.append(index)
                if leaves and self._is_overdue(now, owner, worker):
                    standing.overdue.append(index)
            elif link is not None and key in link.running:
                standing.ready.append(index)
            else:
                standing.starting.append(index)
        return standing

    def _is_overdue(
        self,
        now: float,
        owner: _planner.PlanContext,
        worker: _state.Worker,
    ) -> bool:
        since = self._out_since.get(worker.data_centre, now)
        data_centre = owner.document.data_centres.get(worker.data_centre)
        within = data_centre.leave_within if data_centre is not None else 0.0
        return now - since >= (within or LEAVE_WAIT)

    def _retire_removed(
        self,
        owner: _planner.PlanContext,
        wanted: dict[identifiers.ServiceName, tuple[operators.Service, int]],
    ) -> list[_records.Record]:
        """Cancel services that the configuration has no more."""
        kept = {make_service_id(name, owner.shard.name) for name in wanted}
        return [
            _records.JobCancelled(number)
            for number, job in owner.shard.jobs.items()
            if job.spec.kind is workers.TaskKind.LATENCY_CRITICAL
            and job.job_id not in kept
            and job.phase is _state.JobPhase.OPEN
        ]


def list_wanted(
    document: operators.Document, shard: str
) -> dict[identifiers.ServiceName, tuple[operators.Service, int]]:
    """Return the services, and how many replicas a shard should keep."""
    return {
        name: (service, divide_replicas(document, service, shard))
        for name, service in document.services.items()
    }


def divide_replicas(
    document: operators.Document, service: operators.Service, shard: str
) -> int:
    """Return a shard's part of a service's replicas."""
    names = [
        name
        for name, group in sorted(document.shards.items())
        if _may_serve(document, service, group)
    ]
    if not document.shards:
        names = [_configuration.DEFAULT_SHARD]
    if shard not in names:
        return 0
    share, rest = divmod(service.replicas, len(names))
    return share + (1 if names.index(shard) < rest else 0)


def _may_serve(
    document: operators.Document,
    service: operators.Service,
    group: operators.ShardGroup,
) -> bool:
    """Tell whether a group has a data centre for the service now."""
    out = _configuration.list_out_of_service(document)
    places = group.data_centres or tuple(document.data_centres)
    allowed = service.data_centres or places
    return any(name in allowed and name not in out for name in places)


def make_service_id(
    name: identifiers.ServiceName, shard: str
) -> identifiers.JobId:
    """Return the job that stands for a service in a shard."""
    return identifiers.JobId(f'service:{name}@{shard}')


def make_service_spec(
    name: identifiers.ServiceName, service: operators.Service
) -> _records.JobSpec:
    """Return what the replicas of a service look like."""
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
        index for first, beyond in job.fresh for index in range(first, beyond)
    ]
    return [*reversed(fresh), *job.requeued]
