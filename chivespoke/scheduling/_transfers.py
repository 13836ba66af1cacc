"""Transfer quota and tasks between shards, exactly once."""

import asyncio
import collections.abc

from chivespoke import errors
from chivespoke import identifiers
from chivespoke import resources
from chivespoke.scheduling import _configuration
from chivespoke.scheduling import _placer
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records
from chivespoke.scheduling import _state
from chivespoke.scheduling import _task_lifecycle

# Interval of requests for quota of the same team.
REQUEST_INTERVAL_SECONDS = 5.0
# Number of pending tasks of one job that count as demand for quota.
MAX_REQUESTED_TASKS = 64
# Time for which quota must be unused before it is returned.
IDLE_QUOTA_SECONDS = 30.0
# Time for which a job must be blocked before its tasks are transferred.
BLOCKED_SECONDS = 5.0
# Tasks in one transfer.
MAX_TRANSFERRED_TASKS = 64

Propose = collections.abc.Callable[
    [_records.Record, str], asyncio.Future[identifiers.Offset]
]
ListPeers = collections.abc.Callable[[], dict[str, _state.Shard]]


class TransferPlanner(_planner.Planner):
    """Append each transfer to its receiver's stream; retry until it succeeds.

    The receiver recognises a repeated transfer by its sequence.
    """

    __slots__ = ('_propose', '_appends')

    def __init__(self, propose: Propose) -> None:
        self._propose = propose
        self._appends: dict[
            tuple[str, int], asyncio.Future[identifiers.Offset]
        ] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        records: list[_records.Record] = []
        shard = context.shard
        for receiver, queue in shard.outbox.items():
            if queue and self._deliver(shard.name, receiver, queue[0]):
                records.append(
                    _records.TransferAcknowledged(receiver, queue[0].sequence)
                )
        return records

    def _deliver(
        self, sender: str, receiver: str, transfer: _state.Transfer
    ) -> bool:
        """Append a transfer; return whether an append has succeeded."""
        key = (receiver, transfer.sequence)
        future = self._appends.get(key)
        if future is not None and not future.done():
            return False
        if future is not None and future.exception() is None:
            return True
        try:
            self._appends[key] = self._propose(
                _records.TransferReceived(
                    sender, transfer.sequence, transfer.content
                ),
                receiver,
            )
        except errors.RefusedError:
            self._appends.pop(key, None)
        return False


class QuotaPlanner(_planner.Planner):
    """Request, grant and return quota.

    One shard mints all quotas and grants parts of them on request. The other
    shards request what their pending tasks need and return unused quota.
    """

    __slots__ = ('_propose', '_requested_at', '_idle_since')

    def __init__(self, propose: Propose) -> None:
        self._propose = propose
        self._requested_at: dict[identifiers.TeamName, float] = {}
        self._idle_since: dict[identifiers.TeamName, float] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        quota_shard = _configuration.get_quota_shard(context.document)
        if shard.name == quota_shard:
            return self._grant_requests(context)
        demand = compute_demand(shard)
        records: list[_records.Record] = []
        for team in shard.limited_teams:
            wanted = demand.get(team, resources.NOTHING)
            unused = compute_unused_quota(shard, team)
            if wanted != resources.NOTHING:
                self._idle_since.pop(team, None)
                if not wanted.fits_within(unused):
                    self._request(now, shard, quota_shard, team, wanted)
            elif max(unused.millicores, unused.memory_mib) > 0:
                since = self._idle_since.setdefault(team, now)
                if now - since >= IDLE_QUOTA_SECONDS and unused.is_valid():
                    del self._idle_since[team]
                    records.append(
                        _make_quota_transfer(shard, quota_shard, team, unused)
                    )
        return records

    def _grant_requests(
        self, context: _planner.PlanContext
    ) -> list[_records.Record]:
        """Grant unused quota to the requesting shards, in order of request.

        While there are requests, this shard limits its own use to a fair
        share.
        """
        shard = context.shard
        fair_shares = compute_fair_shares(shard)
        context.set_usage_caps(fair_shares)
        demand = compute_demand(shard)
        granted: set[str] = set()
        records: list[_records.Record] = []
        for request in shard.quota_requests.values():
            # At most one transfer for each receiver and each team, as its
            # sequence and amount are computed from the current state.
            team = request.team
            if request.sender in granted or team in granted:
                continue
            room = compute_unused_quota(shard, team)
            if team in demand:
                used = shard.used.get(team, resources.NOTHING)
                room = room - compute_minimum(fair_shares[team] - used, room)
            amount = compute_minimum(request.amount, room)
            if amount.millicores and amount.memory_mib:
                granted.update((request.sender, team))
                records.append(
                    _make_quota_transfer(shard, request.sender, team, amount)
                )
        return records

    def _request(
        self,
        now: float,
        shard: _state.Shard,
        quota_shard: str,
        team: identifiers.TeamName,
        amount: resources.Resources,
    ) -> None:
        requested_at = self._requested_at.get(team, float('-inf'))
        if now - requested_at < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at[team] = now
        try:
            self._propose(
                _records.QuotaRequested(shard.name, team, amount), quota_shard
            )
        except errors.RefusedError:
            self._requested_at.pop(team)


class BalancePlanner(_planner.Planner):
    """Transfer fresh tasks of blocked batch jobs to a shard with capacity."""

    __slots__ = ('_list_peers', '_blocked_since')

    def __init__(self, peers: ListPeers) -> None:
        self._list_peers = peers
        self._blocked_since: dict[int, float] = {}

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = context.shard
        self._blocked_since = {
            number: self._blocked_since.get(number, now)
            for number in context.blocked_jobs
            if shard.jobs[number].fresh
        }
        for number, since in self._blocked_since.items():
            job = shard.jobs[number]
            if now - since < BLOCKED_SECONDS or _task_lifecycle.is_service(
                job
            ):
                continue
            record = self._make_task_transfer(shard, job)
            if record is not None:
                del self._blocked_since[number]
                return [record]
        return []

    def _make_task_transfer(
        self, shard: _state.Shard, job: _state.Job
    ) -> _records.Record | None:
        room_by_shard = {
            name: count_room(peer, job)
            for name, peer in self._list_peers().items()
            if name != shard.name and not has_pending_tasks(peer)
        }
        if not room_by_shard:
            return None
        receiver = max(
            room_by_shard, key=lambda name: (room_by_shard[name], name)
        )
        first, stop = job.fresh[-1]
        count = min(
            room_by_shard[receiver], MAX_TRANSFERRED_TASKS, stop - first
        )
        if not count or shard.outbox.get(receiver):
            return None
        return _records.TransferSent(
            receiver,
            shard.sent_sequences.get(receiver, 0) + 1,
            _records.TaskBatch(job.job_id, job.spec, stop - count, count),
        )


def count_room(shard: _state.Shard, job: _state.Job) -> int:
    """Return how many tasks of a job fit on the workers of a shard."""
    size = job.spec.size
    allowed = job.spec.data_centres
    room = 0
    for worker in shard.workers.values():
        fits = (
            worker.state is _state.WorkerState.UP
            and worker.task_limit < 0
            and worker.data_centre not in shard.out_of_service
            and (not allowed or worker.data_centre in allowed)
        )
        if fits:
            room += _count_fitting(worker.free, size)
    return room


def _count_fitting(
    room: resources.Resources, size: resources.Resources
) -> int:
    counts = [
        available // needed
        for available, needed in (
            (room.millicores, size.millicores),
            (room.memory_mib, size.memory_mib),
            (room.accelerators, size.accelerators),
        )
        if needed
    ]
    return max(0, min(counts, default=0))


def has_pending_tasks(shard: _state.Shard) -> bool:
    """Return whether a shard has pending tasks that could run."""
    return any(
        _placer.count_pending(job) and not job.infeasible_reason
        for job in shard.jobs.values()
    )


def compute_demand(
    shard: _state.Shard,
) -> dict[identifiers.TeamName, resources.Resources]:
    """Return the resources that pending tasks need, by limited team."""
    demand: dict[identifiers.TeamName, resources.Resources] = {}
    for job in shard.jobs.values():
        team = job.spec.team
        count = min(_placer.count_pending(job), MAX_REQUESTED_TASKS)
        if (
            not count
            or team not in shard.limited_teams
            or job.infeasible_reason
        ):
            continue
        size = job.spec.size
        job_demand = resources.Resources(
            count * size.millicores,
            count * size.memory_mib,
            count * size.accelerators,
        )
        demand[team] = demand.get(team, resources.NOTHING) + job_demand
    return demand


def compute_fair_shares(
    shard: _state.Shard,
) -> dict[identifiers.TeamName, resources.Resources]:
    """Return an equal share of each requested quota, by team."""
    requesters: dict[identifiers.TeamName, int] = {}
    for request in shard.quota_requests.values():
        requesters[request.team] = requesters.get(request.team, 0) + 1
    shares: dict[identifiers.TeamName, resources.Resources] = {}
    for team, count in requesters.items():
        quota = shard.minted_quotas.get(team, resources.NOTHING)
        shares[team] = resources.Resources(
            quota.millicores // (count + 1),
            quota.memory_mib // (count + 1),
            quota.accelerators // (count + 1),
        )
    return shares


def compute_unused_quota(
    shard: _state.Shard, team: identifiers.TeamName
) -> resources.Resources:
    """Return the part of a shard's share of a quota that is not in use."""
    used = shard.used.get(team, resources.NOTHING)
    return _state.get_quota_share(shard, team) - used


def compute_minimum(
    wanted: resources.Resources, room: resources.Resources
) -> resources.Resources:
    """Return the minimum of each resource, but not less than 0."""
    return resources.Resources(
        max(0, min(wanted.millicores, room.millicores)),
        max(0, min(wanted.memory_mib, room.memory_mib)),
        max(0, min(wanted.accelerators, room.accelerators)),
    )


def _make_quota_transfer(
    shard: _state.Shard,
    receiver: str,
    team: identifiers.TeamName,
    amount: resources.Resources,
) -> _records.Record:
    return _records.TransferSent(
        receiver,
        shard.sent_sequences.get(receiver, 0) + 1,
        _records.QuotaAmount(team, amount),
    )
