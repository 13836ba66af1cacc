"""Jobs as callers submit them, and the answers they read."""

import msgspec

from chivespoke import errors
from chivespoke import workloads

# Where the balancer asks whether to send connections.
READINESS_PATH = '/ready'
IDENTIFIER_LENGTH = 16
HEXADECIMAL = frozenset('0123456789abcdefABCDEF')


class _Step(msgspec.Struct):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: int = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Submission(msgspec.Struct):
    steps: list[_Step]
    spec: str = ''
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class _State(msgspec.Struct):
    state: str


class _Pending(msgspec.Struct):
    pending: int


def is_job_identifier(text: str) -> bool:
    """Tell whether a text is what callers name their jobs by."""
    return len(text) == IDENTIFIER_LENGTH and HEXADECIMAL.issuperset(text)


def decode_submission(
    body: bytes, identifier: str, queue: workloads.Queue, accepted_ms: int
) -> workloads.Job:
    """Return the job that a body describes; raise RefusedError."""
    try:
        found = msgspec.json.decode(body, type=_Submission)
    except msgspec.MsgspecError as error:
        raise errors.RefusedError(
            'read submission', identifier, str(error)
        ) from error
    _check_steps(found, identifier)
    return workloads.Job(
        identifier=identifier,
        queue=queue.name,
        terms=queue.terms,
        payload=found.spec,
        steps=tuple(_convert(step) for step in found.steps),
        accepted_ms=accepted_ms,
        occurrences=found.repeat_count,
        first_due_ms=found.start_at_ms,
        interval_ms=found.interval_ms,
    )


def _check_steps(found: _Submission, identifier: str) -> None:
    for number, step in enumerate(found.steps):
        if step.count < 1:
            detail = f'step {number} has no tasks'
        elif any(not 0 <= other < number for other in step.depends_on):
            detail = f'step {number} depends on a step that is not before it'
        else:
            continue
        raise errors.RefusedError('check submission', identifier, detail)
    if not found.steps:
        raise errors.RefusedError('check submission', identifier, 'no steps')


def _convert(step: _Step) -> workloads.Step:
    return workloads.Step(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimated_ms=step.estimated_ms,
        depends_on=tuple(step.depends_on),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        preferred_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        allow_copies=step.allow_duplicates,
        long_running=step.long_running,
        image=step.image,
        target_latency_ms=int(step.target_ms),
        filler=step.fills,
        max_unavailable=step.may_miss,
    )


def encode_phase(phase: workloads.JobPhase) -> bytes:
    """Return the answer to a question for a job's state."""
    return msgspec.json.encode(_State(phase.value))


def encode_pending(count: int) -> bytes:
    """Return the answer to a question for a queue."""
    return msgspec.json.encode(_Pending(count))
