"""HTTP headers of requests from callers and of their responses."""

import math

import msgspec
import multidict

from chivespoke import backend_servers

TENANT_HEADER = 'Chivespoke-Tenant'
REQUEST_CLASS_HEADER = 'Chivespoke-Class'
# Milliseconds that the caller waits for the response.
DEADLINE_HEADER = 'Chivespoke-Deadline-Ms'
REQUEST_KEY_HEADER = 'Chivespoke-Request-Key'
OUTCOME_HEADER = 'Chivespoke-Outcome'
CAUSE_HEADER = 'Chivespoke-Cause'
RETRY_AFTER_HEADER = 'Retry-After'

DEFAULT_TENANT = 'default'
DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 60.0
MAX_NAME_CHARACTERS = 128
MS_PER_SECOND = 1000.0


class CallerHeaders(msgspec.Struct, frozen=True):
    """Hold the parsed request headers of a caller."""

    tenant: str
    request_class: backend_servers.RequestClass
    timeout_seconds: float
    key: str


def read_headers(headers: 'multidict.CIMultiDictProxy[str]') -> CallerHeaders:
    """Parse a caller's headers; raise ValueError on an invalid value."""
    key = headers.get(REQUEST_KEY_HEADER, '')
    tenant = headers.get(TENANT_HEADER, DEFAULT_TENANT)
    if len(key) > MAX_NAME_CHARACTERS or len(tenant) > MAX_NAME_CHARACTERS:
        raise ValueError(f'longer than {MAX_NAME_CHARACTERS} characters')
    return CallerHeaders(
        tenant, _read_class(headers), _read_timeout(headers), key
    )


def _read_class(
    headers: 'multidict.CIMultiDictProxy[str]',
) -> backend_servers.RequestClass:
    text = headers.get(REQUEST_CLASS_HEADER)
    if text is None:
        return backend_servers.RequestClass.LATENCY_CRITICAL
    return backend_servers.RequestClass(text)


def _read_timeout(headers: 'multidict.CIMultiDictProxy[str]') -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    seconds = float(text) / MS_PER_SECOND
    if not math.isfinite(seconds) or seconds <= 0:
        raise ValueError(f'{DEADLINE_HEADER} must be a positive number')
    return min(seconds, MAX_TIMEOUT_SECONDS)
