"""Resource amounts: processors, memory and accelerators."""

import msgspec

MILLICORES_PER_PROCESSOR = 1000
MIB_PER_GIB = 1024


class Resources(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold one amount of each kind of resource.

    Amounts are integers so that sums are exact.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_within(self, capacity: 'Resources') -> bool:
        """Return whether no amount exceeds the capacity's."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )

    def describe(self) -> str:
        """Format the amounts for operators."""
        return (
            f'{self.millicores / 1000:g} processors, {self.memory_mib} MiB, '
            f'{self.accelerators} accelerators'
        )

    def is_valid(self) -> bool:
        """Return whether no amount is negative."""
        return min(self.millicores, self.memory_mib, self.accelerators) >= 0


NOTHING = Resources()
