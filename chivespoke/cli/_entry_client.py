"""Send HTTP requests to an entry."""

import asyncio
import collections.abc
import typing

import aiohttp
import cyclopts
import msgspec

from chivespoke import errors

# Includes reading the whole response.
REQUEST_TIMEOUT_SECONDS = 30.0
UNAVAILABLE_STATUSES = (502, 503, 504)
MIN_ERROR_STATUS = 400

EntryUrl = typing.Annotated[
    str,
    cyclopts.Parameter(
        name='--entry',
        env_var='CHIVESPOKE_ENTRY',
        help='Base URL of an entry.',
    ),
]
Answer = typing.TypeVar('Answer')


def send_request(
    entry: str,
    method: str,
    path: str,
    response_type: type[Answer],
    body: object = None,
    headers: collections.abc.Mapping[str, str] | None = None,
) -> Answer:
    """Send a request to an entry and return the decoded response.

    Raise UnavailableError if the entry does not answer, is unavailable or
    sends a response that cannot be decoded. Raise RefusedError on any other
    error status.
    """
    return asyncio.run(
        _send_request(entry, method, path, response_type, body, headers or {})
    )


async def _send_request(
    entry: str,
    method: str,
    path: str,
    response_type: type[Answer],
    body: object,
    headers: collections.abc.Mapping[str, str],
) -> Answer:
    step = f'{method} {path}'
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, entry.rstrip('/') + path, data=data, headers=headers
            ) as response:
                content = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        raise errors.UnavailableError(step, entry, repr(error)) from error
    text = content.decode(errors='replace')
    if response.status in UNAVAILABLE_STATUSES:
        raise errors.UnavailableError(step, entry, text)
    if response.status >= MIN_ERROR_STATUS:
        raise errors.RefusedError(step, entry, text)
    try:
        return msgspec.json.decode(content, type=response_type)
    except msgspec.MsgspecError as error:
        raise errors.UnavailableError(step, entry, str(error)) from error
