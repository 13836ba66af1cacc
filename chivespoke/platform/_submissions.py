"""Decoding of submitted jobs and encoding of responses to callers."""

import collections.abc
import math
import typing

import msgspec

from chivespoke import decoding
from chivespoke import errors
from chivespoke import workloads

# Path of the load balancer's readiness check.
READINESS_PATH = '/ready'
IDENTIFIER_LENGTH = 16
HEXADECIMAL = frozenset('0123456789abcdefABCDEF')
# Milliseconds for which the caller waits for the answer.
DEADLINE_HEADER = 'Chivespoke-Deadline-Ms'
MS_PER_SECOND = 1000.0
# For callers that do not say how long they wait.
DEFAULT_WAIT_SECONDS = 3.0
MAX_WAIT_SECONDS = 10.0

_Milliseconds = typing.Annotated[
    float, msgspec.Meta(ge=0, le=decoding.MAX_NUMBER)
]


class _Step(msgspec.Struct):
    count: decoding.Amount
    cpu: decoding.Amount = 0
    mem_mb: decoding.Amount = 0
    gpu: decoding.Amount = 0
    estimated_ms: decoding.Amount = 0
    depends_on: list[decoding.Number] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ''
    affinity: str = ''
    anti_affinity: decoding.Amount = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: _Milliseconds = 0
    fills: bool = False
    may_miss: decoding.Amount = 0


class _Submission(msgspec.Struct):
    steps: list[_Step]
    spec: str = ''
    repeat_count: decoding.Amount = 0
    start_at_ms: decoding.Amount = 0
    interval_ms: decoding.Amount = 0


SUBMISSION_DECODER = msgspec.json.Decoder(_Submission)


class _JobStateResponse(msgspec.Struct, omit_defaults=True):
    state: str
    reason: str = ''


class _QueueResponse(msgspec.Struct):
    pending: int


def is_job_identifier(text: str) -> bool:
    """Tell whether a text is a valid job identifier."""
    return len(text) == IDENTIFIER_LENGTH and HEXADECIMAL.issuperset(text)


def names_job(path: str) -> bool:
    """Tell whether a path ends in a job identifier."""
    return is_job_identifier(path[-IDENTIFIER_LENGTH:])


def read_caller_wait(
    headers: collections.abc.Mapping[str, str],
) -> float:
    """Return for how many seconds a caller waits for the answer.

    A value that is not a positive number counts as none.
    """
    try:
        seconds = float(headers.get(DEADLINE_HEADER, '')) / MS_PER_SECOND
    except ValueError:
        return DEFAULT_WAIT_SECONDS
    if not math.isfinite(seconds) or seconds <= 0:
        return DEFAULT_WAIT_SECONDS
    return min(seconds, MAX_WAIT_SECONDS)


def encode_caller_wait(seconds: float) -> dict[str, str]:
    """Return the headers that tell how long a caller waits."""
    return {DEADLINE_HEADER: str(int(seconds * MS_PER_SECOND))}


def decode_submission(
    body: bytes, identifier: str, queue: workloads.Queue, accepted_ms: int
) -> workloads.Job:
    """Return the job that a request body describes; raise RefusedError."""
    submission = decoding.decode(
        SUBMISSION_DECODER, body, 'read submission', identifier
    )
    job = workloads.Job(
        identifier=identifier,
        queue=queue.name,
        terms=queue.terms,
        payload=submission.spec,
        steps=tuple(_convert_step(step) for step in submission.steps),
        accepted_ms=accepted_ms,
        occurrences=submission.repeat_count,
        first_due_ms=submission.start_at_ms,
        interval_ms=submission.interval_ms,
    )
    flaw = workloads.describe_flaw(job)
    if flaw:
        raise errors.RefusedError('check submission', identifier, flaw)
    return job


def _convert_step(step: _Step) -> workloads.Step:
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


def encode_phase(phase: workloads.JobPhase, reason: str = '') -> bytes:
    """Return the response body to a query of a job's state."""
    return msgspec.json.encode(_JobStateResponse(phase.value, reason))


def encode_pending(count: int) -> bytes:
    """Return the response body to a query of a queue."""
    return msgspec.json.encode(_QueueResponse(count))
