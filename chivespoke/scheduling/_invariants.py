"""Check what must hold in every state of a shard."""

from chivespoke import errors
from chivespoke import resources
from chivespoke.scheduling import _state


def check_worker(shard: _state.Shard, number: int) -> None:
    """Check one worker's commitment; raise InvariantError."""
    worker = shard.workers[number]
    errors.check_invariant(
        worker.committed.is_valid()
        and worker.committed.fits_within(worker.capacity),
        'never over-committed',
        worker.worker_id,
        f'{worker.committed} of {worker.capacity}',
    )


def check_job(job: _state.Job) -> None:
    """Check that a job's counts add up; raise InvariantError."""
    counts = job.counts
    total = (
        job.count_fresh()
        + len(job.waiting)
        + len(job.running)
        + counts.handed_out
        + counts.completed
        + counts.failed
        + counts.cancelled
    )
    errors.check_invariant(
        total == counts.entered,
        'counts add up',
        job.job_id,
        f'{total} of {counts.entered}',
    )


def check_quota(shard: _state.Shard, team: str) -> None:
    """Check that a team's use is not negative; raise InvariantError."""
    used = {str(name): use for name, use in shard.used.items()}
    errors.check_invariant(
        used.get(team, resources.NOTHING).is_valid(), 'quota use', team
    )


def check_all(shard: _state.Shard) -> None:
    """Recount everything from the attempts; raise InvariantError."""
    committed: dict[int, resources.Resources] = {}
    held: dict[int, set[tuple[int, int, int]]] = {}
    used: dict[str, resources.Resources] = {}
    for number, job in shard.jobs.items():
        check_job(job)
        _check_apart(job)
        for index, attempt in job.running.items():
            worker = attempt.worker
            before = committed.get(worker, resources.NOTHING)
            committed[worker] = before + attempt.size
            held.setdefault(worker, set()).add((number, index, attempt.number))
            team = job.spec.team
            use = used.get(team, resources.NOTHING)
            used[team] = use + attempt.size
    for number, worker_state in shard.workers.items():
        check_worker(shard, number)
        errors.check_invariant(
            worker_state.committed == committed.get(number, resources.NOTHING)
            and set(worker_state.tasks.values()) == held.get(number, set()),
            'commitments add up',
            worker_state.worker_id,
        )
    for team, use in shard.used.items():
        errors.check_invariant(
            use == used.get(team, resources.NOTHING), 'quota adds up', team
        )


def _check_apart(job: _state.Job) -> None:
    """Check that each task stands in one place."""
    standing = set(job.waiting) | set(job.running)
    errors.check_invariant(
        len(standing) == len(job.waiting) + len(job.running)
        and not any(
            first <= index < beyond
            for index in standing
            for first, beyond in job.fresh
        ),
        'a task stands in one place',
        job.job_id,
    )
