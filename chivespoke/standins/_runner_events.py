"""What the fake worker has carried out, as a trace of its boots."""

import msgspec


class RunnerEvent(msgspec.Struct, frozen=True):
    """Hold a call that a boot has carried out, or the end of a run."""

    # Loop time in seconds, and the reading of the boot's clock.
    at: float
    clock_ms: int
    worker: str
    born_ms: int
    # 'end', or the kind of the call in the plural.
    what: str
    # Cause of the end, or the reason of a refusal.
    outcome: str
    task: str = ''
    run: int = 0
    fencing_token: int = 0
    # As the call states it; 0 if it does not.
    deadline_ms: int = 0
    acknowledged: int = 0
    # Clock reading at which the lease expires, after the call.
    lease_until_ms: int = 0
