"""How commands reach an entry."""

import asyncio
import collections.abc
import typing

import aiohttp

from chivespoke import operators

DEFAULT_ADDRESS = 'http://127.0.0.1:8080'

Result = typing.TypeVar('Result')


def ask_entry(
    address: str,
    ask: collections.abc.Callable[
        [operators.OperatorClient], collections.abc.Awaitable[Result]
    ],
) -> Result:
    """Return what a question to an entry gives."""

    async def run() -> Result:
        async with aiohttp.ClientSession() as session:
            client = operators.OperatorClient(address.rstrip('/'), session)
            return await ask(client)

    return asyncio.run(run())
