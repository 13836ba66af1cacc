"""Move quota and tasks between shards, each exactly once."""

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

# Seconds between two requests for the same quota.
REQUEST_INTERVAL = 5.0
# Tasks for which quota is asked for at once.
REQUEST_TASKS = 64
# Seconds for which a share lies unused before it flows back.
IDLE_SECONDS = 30.0
# Seconds for which a job finds no room before its tasks move.
BLOCKED_SECONDS = 5.0
# Tasks moved to another shard at once.
BATCH_TASKS = 64

Propose = collections.abc.Callable[
    [_records.Record, str], asyncio.Future[identifiers.Offset]
]
Peers = collections.abc.Callable[[], dict[str, _state.Shard]]


class TransferCourier(_planner.Planner):
    """Write each transfer into its receiver's stream until it is there."""

    __slots__ = ('_propose', '_under_way')

    def __init__(self, propose: Propose) -> None:
        self._propose = propose
        self._under_way: dict[
            tuple[str, int], asyncio.Future[identifiers.Offset]
        ] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        records: list[_records.Record] = []
        shard = owner.shard
        for receiver, queue in shard.outbox.items():
            if queue and self._deliver(shard.name, receiver, queue[0]):
                records.append(
                    _records.TransferSettled(receiver, queue[0].sequence)
                )
        return records

    def _deliver(
        self, sender: str, receiver: str, transfer: _state.Transfer
    ) -> bool:
        """Tell whether the receiver's stream holds the transfer."""
        key = (receiver, transfer.sequence)
        future = self._under_way.get(key)
        if future is not None and not future.done():
            return False
        if future is not None and future.exception() is None:
            return True
        try:
            self._under_way[key] = self._propose(
                _records.TransferReceived(
                    sender, transfer.sequence, transfer.content
                ),
                receiver,
            )
        except errors.RefusedError:
            self._under_way.pop(key, None)
        return False


class QuotaPlanner(_planner.Planner):
    """Ask the home shard for quota, grant it there, give back the rest."""

    __slots__ = ('_propose', '_asked_at', '_idle_since')

    def __init__(self, propose: Propose) -> None:
        self._propose = propose
        self._asked_at: dict[identifiers.TeamName, float] = {}
        self._idle_since: dict[identifiers.TeamName, float] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        home = _configuration.get_quota_home(owner.document)
        if shard.name == home:
            return self._grant(owner)
        demand = measure_demand(shard)
        records: list[_records.Record] = []
        for team in shard.bounded:
            wanted = demand.get(team, resources.NOTHING)
            unused = measure_unused(shard, team)
            if wanted != resources.NOTHING:
                self._idle_since.pop(team, None)
                if not wanted.fits_within(unused):
                    self._ask(now, shard, home, team, wanted)
            elif max(unused.millicores, unused.memory_mib) > 0:
                since = self._idle_since.setdefault(team, now)
                if now - since >= IDLE_SECONDS and unused.is_valid():
                    del self._idle_since[team]
                    records.append(_make_sent(shard, home, team, unused))
        return records

    def _grant(self, owner: _planner.PlanContext) -> list[_records.Record]:
        """Grant what is unused here to those who asked, in turn.

        While others ask, this shard keeps to a fair share itself.
        """
        shard = owner.shard
        fair = measure_fair_shares(shard)
        owner.set_usage_caps(fair)
        demand = measure_demand(shard)
        granted: set[str] = set()
        records: list[_records.Record] = []
        for request in shard.requests.values():
            # One transfer a receiver and team at a time keeps the
            # sequences, and the shares, simple to follow.
            team = request.team
            if request.sender in granted or team in granted:
                continue
            room = measure_unused(shard, team)
            if team in demand:
                used = shard.used.get(team, resources.NOTHING)
                room = room - take_smaller(fair[team] - used, room)
            amount = take_smaller(request.amount, room)
            if amount.millicores and amount.memory_mib:
                granted.update((request.sender, team))
                records.append(_make_sent(shard, request.sender, team, amount))
        return records

    def _ask(
        self,
        now: float,
        shard: _state.Shard,
        home: str,
        team: identifiers.TeamName,
        amount: resources.Resources,
    ) -> None:
        asked_at = self._asked_at.get(team, float('-inf'))
        if now - asked_at < REQUEST_INTERVAL:
            return
        self._asked_at[team] = now
        try:
            self._propose(
                _records.QuotaRequested(shard.name, team, amount), home
            )
        except errors.RefusedError:
            self._asked_at.pop(team)


class BalancePlanner(_planner.Planner):
    """Hand tasks that find no room here to a shard that has some."""

    __slots__ = ('_peers', '_blocked_since')

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._blocked_since: dict[int, float] = {}

    def plan(
        self, now: float, owner: _planner.PlanContext
    ) -> list[_records.Record]:
        shard = owner.shard
        self._blocked_since = {
            number: self._blocked_since.get(number, now)
            for number in owner.blocked_jobs
            if shard.jobs[number].fresh
        }
        for number, since in self._blocked_since.items():
            job = shard.jobs[number]
            if now - since < BLOCKED_SECONDS or _task_lifecycle.is_service(
                job
            ):
                continue
            record = self._hand_over(shard, job)
            if record is not None:
                del self._blocked_since[number]
                return [record]
        return []

    def _hand_over(
        self, shard: _state.Shard, job: _state.Job
    ) -> _records.Record | None:
        rooms = {
            name: count_room(peer, job)
            for name, peer in self._peers().items()
            if name != shard.name and not has_waiting(peer)
        }
        if not rooms:
            return None
        receiver = max(rooms, key=lambda name: (rooms[name], name))
        first, beyond = job.fresh[-1]
        count = min(rooms[receiver], BATCH_TASKS, beyond - first)
        if not count or shard.outbox.get(receiver):
            return None
        return _records.TransferSent(
            receiver,
            shard.sent.get(receiver, 0) + 1,
            _records.TaskBatch(job.job_id, job.spec, beyond - count, count),
        )


def count_room(shard: _state.Shard, job: _state.Job) -> int:
    """Return how many of a job's tasks a shard has room for."""
    size = job.spec.size
    allowed = job.spec.data_centres
    room = 0
    for worker in shard.workers.values():
        fits = (
            worker.state is _state.WorkerState.UP
            and worker.task_limit < 0
            and worker.data_centre not in shard.out
            and (not allowed or worker.data_centre in allowed)
        )
        if fits:
            room += _divide(worker.free, size)
    return room


def _divide(room: resources.Resources, size: resources.Resources) -> int:
    counts = [
        part // whole
        for part, whole in (
            (room.millicores, size.millicores),
            (room.memory_mib, size.memory_mib),
            (room.accelerators, size.accelerators),
        )
        if whole
    ]
    return max(0, min(counts, default=0))


def has_waiting(shard: _state.Shard) -> bool:
    """Tell whether a shard has work of its own that waits."""
    return any(
        _placer.count_pending(job) and not job.flag
        for job in shard.jobs.values()
    )


def measure_demand(
    shard: _state.Shard,
) -> dict[identifiers.TeamName, resources.Resources]:
    """Return what the waiting tasks of each bounded team need."""
    demand: dict[identifiers.TeamName, resources.Resources] = {}
    for job in shard.jobs.values():
        team = job.spec.team
        count = min(_placer.count_pending(job), REQUEST_TASKS)
        if not count or team not in shard.bounded or job.flag:
            continue
        size = job.spec.size
        whole = resources.Resources(
            count * size.millicores,
            count * size.memory_mib,
            count * size.accelerators,
        )
        demand[team] = demand.get(team, resources.NOTHING) + whole
    return demand


def measure_fair_shares(
    shard: _state.Shard,
) -> dict[identifiers.TeamName, resources.Resources]:
    """Return an equal share of each quota that others ask for."""
    askers: dict[identifiers.TeamName, int] = {}
    for request in shard.requests.values():
        askers[request.team] = askers.get(request.team, 0) + 1
    shares: dict[identifiers.TeamName, resources.Resources] = {}
    for team, count in askers.items():
        whole = shard.minted.get(team, resources.NOTHING)
        shares[team] = resources.Resources(
            whole.millicores // (count + 1),
            whole.memory_mib // (count + 1),
            whole.accelerators // (count + 1),
        )
    return shares


def measure_unused(
    shard: _state.Shard, team: identifiers.TeamName
) -> resources.Resources:
    """Return what a shard could give of a team's quota."""
    used = shard.used.get(team, resources.NOTHING)
    return _state.get_balance(shard, team) - used


def take_smaller(
    wanted: resources.Resources, room: resources.Resources
) -> resources.Resources:
    """Return the smaller of each kind, and at least nothing."""
    return resources.Resources(
        max(0, min(wanted.millicores, room.millicores)),
        max(0, min(wanted.memory_mib, room.memory_mib)),
        max(0, min(wanted.accelerators, room.accelerators)),
    )


def _make_sent(
    shard: _state.Shard,
    receiver: str,
    team: identifiers.TeamName,
    amount: resources.Resources,
) -> _records.Record:
    return _records.TransferSent(
        receiver,
        shard.sent.get(receiver, 0) + 1,
        _records.QuotaAmount(team, amount),
    )
