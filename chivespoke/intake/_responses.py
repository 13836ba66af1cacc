"""HTTP responses to callers; status and headers say whether to retry."""

import enum

from aiohttp import web

# Time after which a refused caller should retry: most failures of the store
# last only a few seconds, and other entries may be healthy.
RETRY_AFTER_SECONDS = 1
JSON_TYPE = 'application/json'


class Outcome(enum.Enum):
    """Outcome of a request; the value is the HTTP status."""

    ACCEPTED = 200
    INVALID = 400
    UNKNOWN_QUEUE = 404
    UNKNOWN_JOB = 410
    TOO_LARGE = 413
    OVERLOADED = 429
    # The request had no effect and will have none.
    UNAVAILABLE = 503
    # The request may have taken effect or may still do so.
    UNCERTAIN = 504


RETRYABLE = (Outcome.OVERLOADED, Outcome.UNAVAILABLE)


def make_response(
    outcome: Outcome,
    body: bytes = b'{}',
    retry_seconds: int = RETRY_AFTER_SECONDS,
    closing: bool = False,
) -> web.Response:
    """Build the HTTP response for an outcome.

    `closing` asks the caller to close the connection.
    """
    headers = {}
    if outcome in RETRYABLE:
        headers['Retry-After'] = str(retry_seconds)
    if closing:
        headers['Connection'] = 'close'
    return web.Response(
        status=outcome.value,
        body=body,
        content_type=JSON_TYPE,
        headers=headers,
    )


def copy_response(
    status: int, body: bytes, retry_seconds: int = 0
) -> web.Response:
    """Build the HTTP response that passes on a neighbour's answer."""
    headers = {'Retry-After': str(retry_seconds)} if retry_seconds else {}
    return web.Response(
        status=status, body=body, content_type=JSON_TYPE, headers=headers
    )
