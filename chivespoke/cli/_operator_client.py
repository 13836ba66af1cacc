"""Call an entry with the operators' client from synchronous commands."""

import asyncio
import collections.abc
import typing

import aiohttp

from chivespoke import operators

DEFAULT_ADDRESS = 'http://127.0.0.1:8080'

Result = typing.TypeVar('Result')


def call_entry(
    address: str,
    call: collections.abc.Callable[
        [operators.OperatorClient], collections.abc.Awaitable[Result]
    ],
) -> Result:
    """Run a call with a client of the entry and return its result."""

    async def run() -> Result:
        async with aiohttp.ClientSession() as session:
            client = operators.OperatorClient(address.rstrip('/'), session)
            return await call(client)

    return asyncio.run(run())
