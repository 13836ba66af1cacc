"""The reasons why records are refused."""

import enum


class Refusal(enum.Enum):
    """Name the reason why a record has no effect on the shard."""

    UNKNOWN_JOB = 'the job is unknown'
    DUPLICATE_JOB = 'the job id is taken by the same job'
    CONFLICTING_JOB = 'the job id is taken by another job'
    JOB_CLOSED = 'the job takes no more work'
    JOB_FLAGGED = 'the job cannot run anywhere now'
    UNKNOWN_WORKER = 'the worker is unknown'
    WORKER_NOT_UP = 'the worker is not up'
    WORKER_UP = 'the worker is up'
    WORKER_QUARANTINED = 'the worker is quarantined'
    WORKER_HAS_TASKS = 'the worker may still be running its tasks'
    WORKER_FULL = 'the task does not fit on the worker'
    TASK_NOT_PENDING = 'the task does not wait for a placement'
    WRONG_ATTEMPT = 'the attempt is not the next one'
    STALE_CONFIGURATION = 'the configuration is older than observed'
    DATA_CENTRE_OUT = 'the data centre is out of service'
    DATA_CENTRE_NOT_ALLOWED = 'the job may not run in the data centre'
    QUOTA_EXCEEDED = 'the shard has too little of the quota'
    NOT_RUNNING = 'the attempt is not running'
    STALE_EPOCH = 'the epoch is not the current one'
    STALE_INCARNATION = 'the incarnation replaced is not the current one'
    WRONG_SEQUENCE = 'the sequence is not the next one'
    WRONG_INDEX = 'the index is not the next one'
    NOTHING_CHANGED = 'the record changes nothing'
