"""Answers to callers, each with what the caller should do next."""

import enum

from aiohttp import web

# Seconds after which a refused caller should come again: the store's usual
# troubles pass within a few seconds, and other entries may be well.
RETRY_AFTER_SECONDS = 1
JSON_TYPE = 'application/json'


class Outcome(enum.Enum):
    """Say what became of a request, and with which status it is answered."""

    ACCEPTED = 200
    INVALID = 400
    UNKNOWN_QUEUE = 404
    UNKNOWN_JOB = 410
    TOO_LARGE = 413
    OVERLOADED = 429
    # Nothing was done, and nothing will be.
    UNAVAILABLE = 503
    # The request may have taken effect, or may yet.
    UNCERTAIN = 504


RETRYABLE = (Outcome.OVERLOADED, Outcome.UNAVAILABLE)


def make_response(
    outcome: Outcome,
    body: bytes = b'{}',
    retry_seconds: int = RETRY_AFTER_SECONDS,
    closing: bool = False,
) -> web.Response:
    """Return the HTTP answer for an outcome."""
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
