"""Check the invariants of a shard's state."""

from chivespoke import errors
from chivespoke import resources
from chivespoke.scheduling import _state


def check_worker(shard: _state.Shard, number: int) -> None:
    """Check the resources committed on a worker; raise InvariantError."""
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
        + len(job.requeued)
        + len(job.running)
        + counts.tasks_transferred_out
        + counts.completed
        + counts.failed
        + counts.cancelled
    )
    errors.check_invariant(
        total == counts.tasks_added,
        'counts add up',
        job.job_id,
        f'{total} of {counts.tasks_added}',
    )


def check_quota(shard: _state.Shard, team: str) -> None:
    """Check that a team's quota use is not negative; raise InvariantError."""
    used = {str(name): use for name, use in shard.used.items()}
    errors.check_invariant(
        used.get(team, resources.NOTHING).is_valid(), 'quota use', team
    )


def check_all(shard: _state.Shard) -> None:
    """Recompute all totals from the attempts; raise InvariantError."""
    committed: dict[int, resources.Resources] = {}
    committed_attempts: dict[int, set[tuple[int, int, int]]] = {}
    used: dict[str, resources.Resources] = {}
    for number, job in shard.jobs.items():
        check_job(job)
        _check_one_place(job)
        for index, attempt in job.running.items():
            worker = attempt.worker
            before = committed.get(worker, resources.NOTHING)
            committed[worker] = before + attempt.size
            committed_attempts.setdefault(worker, set()).add(
                (number, index, attempt.number)
            )
            team = job.spec.team
            use = used.get(team, resources.NOTHING)
            used[team] = use + attempt.size
    for number, state in shard.workers.items():
        check_worker(shard, number)
        errors.check_invariant(
            state.committed == committed.get(number, resources.NOTHING)
            and set(state.tasks.values())
            == committed_attempts.get(number, set()),
            'commitments add up',
            state.worker_id,
        )
    for team, use in shard.used.items():
        errors.check_invariant(
            use == used.get(team, resources.NOTHING), 'quota adds up', team
        )


def _check_one_place(job: _state.Job) -> None:
    """Check that each task is either fresh, requeued or running."""
    not_fresh = set(job.requeued) | set(job.running)
    errors.check_invariant(
        len(not_fresh) == len(job.requeued) + len(job.running)
        and not any(
            first <= index < stop
            for index in not_fresh
            for first, stop in job.fresh
        ),
        'a task stands in one place',
        job.job_id,
    )
