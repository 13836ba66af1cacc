"""Give up jobs whose tasks crash the workers that start them."""

from chivespoke import decisions
from chivespoke.scheduling import _crashes
from chivespoke.scheduling import _planner
from chivespoke.scheduling import _records


class CrashPlanner(_planner.Planner):
    """Fail the jobs of tasks that must not start again."""

    __slots__ = ()

    def plan(
        self, now: float, context: _planner.PlanContext
    ) -> list[_records.Record]:
        del now
        shard = context.shard
        return [
            _records.JobFailed(
                job_number,
                decisions.describe_crashes(
                    f'{shard.jobs[job_number].job_id}/{index}',
                    _crashes.find_crashes(shard, job_number, index),
                ),
            )
            for job_number, index in _crashes.find_hopeless(shard).items()
        ]
