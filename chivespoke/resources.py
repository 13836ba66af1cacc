"""Amounts of processors, memory and accelerators."""

import msgspec

# In one processor, and mebibytes in one gibibyte.
MILLICORES_PER_PROCESSOR = 1000
MIB_PER_GIB = 1024


class Resources(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Hold one amount of each kind; integers, so that sums are exact."""

    # Thousandths of a processor.
    millicores: int = 0
    # Mebibytes.
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

    def fits_within(self, room: 'Resources') -> bool:
        """Tell whether every kind is at most the room's."""
        return (
            self.millicores <= room.millicores
            and self.memory_mib <= room.memory_mib
            and self.accelerators <= room.accelerators
        )

    def describe(self) -> str:
        """Return the amounts as operators read them."""
        return (
            f'{self.millicores / 1000:g} processors, {self.memory_mib} MiB, '
            f'{self.accelerators} accelerators'
        )

    def is_valid(self) -> bool:
        """Tell whether no kind is negative."""
        return min(self.millicores, self.memory_mib, self.accelerators) >= 0


NOTHING = Resources()
