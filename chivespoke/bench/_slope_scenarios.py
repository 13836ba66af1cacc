"""The scenarios of which slopes are measured."""

import collections.abc

from chivespoke.bench import _slopes
from chivespoke.bench import _slopes_requests
from chivespoke.bench import _slopes_tasks


def list_slope_scenarios() -> collections.abc.Sequence[_slopes.Scenario]:
    """Return every scenario."""
    return (
        _slopes_requests.EntrySidecars(),
        _slopes_tasks.EntryChanges(),
        _slopes_requests.SidecarEntries(),
        _slopes_tasks.ShardWorkers(),
        _slopes_tasks.ShardTasks(),
        _slopes_tasks.ShardStarts(),
    )
