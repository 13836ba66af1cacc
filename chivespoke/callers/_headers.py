"""The headers that callers and the system exchange."""

import math

import msgspec
import multidict

from chivespoke import backend_servers

TENANT = 'Chivespoke-Tenant'
REQUEST_CLASS = 'Chivespoke-Class'
# Milliseconds that the caller will wait.
DEADLINE = 'Chivespoke-Deadline-Ms'
REQUEST_KEY = 'Chivespoke-Request-Key'
OUTCOME = 'Chivespoke-Outcome'
CAUSE = 'Chivespoke-Cause'
RETRY_AFTER = 'Retry-After'

DEFAULT_TENANT = 'default'
# Seconds.
DEFAULT_DEADLINE = 10.0
LONGEST_DEADLINE = 60.0
LONGEST_NAME = 128
MILLISECONDS = 1000.0


class CallerHeaders(msgspec.Struct, frozen=True):
    """Hold what a caller says of its request."""

    tenant: str
    request_class: backend_servers.RequestClass
    # Seconds.
    deadline: float
    key: str


def read_headers(headers: 'multidict.CIMultiDictProxy[str]') -> CallerHeaders:
    """Read and check a caller's headers; raise ValueError."""
    key = headers.get(REQUEST_KEY, '')
    tenant = headers.get(TENANT, DEFAULT_TENANT)
    if len(key) > LONGEST_NAME or len(tenant) > LONGEST_NAME:
        raise ValueError(f'longer than {LONGEST_NAME} characters')
    return CallerHeaders(
        tenant, _read_class(headers), _read_deadline(headers), key
    )


def _read_class(
    headers: 'multidict.CIMultiDictProxy[str]',
) -> backend_servers.RequestClass:
    text = headers.get(REQUEST_CLASS)
    if text is None:
        return backend_servers.RequestClass.LATENCY_CRITICAL
    return backend_servers.RequestClass(text)


def _read_deadline(headers: 'multidict.CIMultiDictProxy[str]') -> float:
    text = headers.get(DEADLINE)
    if text is None:
        return DEFAULT_DEADLINE
    seconds = float(text) / MILLISECONDS
    if not math.isfinite(seconds) or seconds <= 0:
        raise ValueError(f'{DEADLINE} must be a positive number')
    return min(seconds, LONGEST_DEADLINE)
