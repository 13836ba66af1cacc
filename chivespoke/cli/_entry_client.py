"""Ask an entry over HTTP, for one command."""

import asyncio
import collections.abc
import typing

import aiohttp
import cyclopts
import msgspec

from chivespoke import errors

# Seconds for one whole question.
QUESTION_LIMIT = 30.0
UNAVAILABLE_STATUSES = (502, 503, 504)
CLIENT_ERROR = 400

EntryUrl = typing.Annotated[
    str,
    cyclopts.Parameter(
        name='--entry',
        env_var='CHIVESPOKE_ENTRY',
        help='Base URL of an entry.',
    ),
]
Answer = typing.TypeVar('Answer')


def ask(
    entry: str,
    method: str,
    path: str,
    expected: type[Answer],
    body: object = None,
    headers: collections.abc.Mapping[str, str] | None = None,
) -> Answer:
    """Return an entry's typed answer; raise by the answer's meaning."""
    return asyncio.run(
        _ask(entry, method, path, expected, body, headers or {})
    )


async def _ask(
    entry: str,
    method: str,
    path: str,
    expected: type[Answer],
    body: object,
    headers: collections.abc.Mapping[str, str],
) -> Answer:
    step = f'{method} {path}'
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=QUESTION_LIMIT)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, entry.rstrip('/') + path, data=data, headers=headers
            ) as response:
                answer = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        raise errors.UnavailableError(step, entry, repr(error)) from error
    text = answer.decode(errors='replace')
    if response.status in UNAVAILABLE_STATUSES:
        raise errors.UnavailableError(step, entry, text)
    if response.status >= CLIENT_ERROR:
        raise errors.RefusedError(step, entry, text)
    try:
        return msgspec.json.decode(answer, type=expected)
    except msgspec.MsgspecError as error:
        raise errors.UnavailableError(step, entry, str(error)) from error
