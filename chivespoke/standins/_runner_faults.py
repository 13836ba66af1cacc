"""The faults and limits of the fake worker."""

import msgspec


class RunnerFaults(msgspec.Struct):
    """Configure the faults that the worker injects, and its limits.

    A late call gets no response and takes effect after ``late_seconds``, on
    the boot that then has the identifier that the call names. A lost call
    takes effect at once and gets no response.
    """

    # Numbers of calls.
    late_starts: int = 0
    late_stops: int = 0
    late_holds: int = 0
    late_paces: int = 0
    lost_starts: int = 0
    lost_stops: int = 0
    lost_holds: int = 0
    lost_paces: int = 0
    late_seconds: float = 0.2
    # Whether the connection of a late call breaks at once.
    breaks_late_calls: bool = False
    # Number of starts that are refused with status 503, as by an unhealthy
    # worker.
    unhealthy_starts: int = 0
    # Whether every start is refused for lack of capacity.
    full: bool = False
    # Whether /hold gets no response and has no effect, after
    # ``holds_before_stall`` more calls.
    holds_stall: bool = False
    holds_before_stall: int = 0
    # Number of /hold calls that are executed after ``slow_seconds``.
    slow_holds: int = 0
    slow_seconds: float = 0.8
    # Delay between a stop order and the end of the run.
    stop_seconds: float = 0.02
    # Whether the worker does not register.
    skips_registration: bool = False
    # Whether every task fails at its end.
    fails_all: bool = False
    # Tasks that crash the worker shortly after their start.
    deadly_tasks: frozenset[str] = frozenset()
    # Time after which the worker starts again, under another identifier.
    crash_seconds: float = 0.5
    # Longest lease, None if leases are not limited.
    max_hold_ms: int | None = None

    def use_up(self, fault: str) -> bool:
        """Return whether a counted fault is due, and count it down."""
        count: int = getattr(self, fault)
        if count:
            setattr(self, fault, count - 1)
        return count > 0

    def is_hold_stalled(self) -> bool:
        """Return whether the next /hold stalls, and count it."""
        return self.holds_stall and not self.use_up('holds_before_stall')
