"""The scenarios of which slopes are measured."""

import collections.abc

from chivespoke.bench import _slopes


def list_slope_scenarios() -> collections.abc.Sequence[_slopes.Scenario]:
    """Return every scenario."""
    return ()
