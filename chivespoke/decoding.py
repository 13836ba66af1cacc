"""Decoding of bytes that another process may have written."""

import ipaddress
import typing

import msgspec

from chivespoke import errors

# Larger numbers lose digits in JSON readers that use floating point.
MAX_NUMBER = 2**53
MAX_PORT = 65_535
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Quantity = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Decoded = typing.TypeVar('Decoded', covariant=True)


class Decoder(typing.Protocol[Decoded]):
    """Decode bytes, as the decoders of msgspec do."""

    def decode(self, content: bytes, /) -> Decoded:
        """Return the decoded value."""


def decode(
    decoder: Decoder[Decoded], content: bytes, step: str, peer: str
) -> Decoded:
    """Return the decoded value; raise RefusedError if it is unreadable."""
    try:
        return decoder.decode(content)
    except (
        msgspec.MsgspecError,
        # Of unknown fields that are nested too deeply.
        RecursionError,
        # Of text, numbers and dates beyond what Python holds.
        ValueError,
        OverflowError,
    ) as error:
        raise errors.RefusedError(step, peer, repr(error)) from error


def check_finite(value: object, step: str, peer: str) -> None:
    """Raise RefusedError if a decoded value holds an unusable number."""
    pending = [msgspec.to_builtins(value)]
    while pending:
        item = pending.pop()
        if isinstance(item, dict):
            pending += item.values()
        elif isinstance(item, list | tuple):
            pending += item
        elif isinstance(item, int | float) and not abs(item) <= MAX_NUMBER:
            raise errors.RefusedError(step, peer, f'the number {item!r}')


def check_address(text: str, step: str, peer: str) -> str:
    """Return the address of a process; raise RefusedError if it is none.

    It names an IP address and a port other than 0.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError as error:
        raise errors.RefusedError(step, peer, repr(error)) from error
    if not is_number(port) or not 0 < int(port) <= MAX_PORT:
        raise errors.RefusedError(step, peer, f'{port[:20]!r} is no port')
    return text


def is_number(text: str) -> bool:
    """Return whether a text is a number of which no digits would be lost."""
    return (
        text.isascii()
        and text.isdecimal()
        and len(text) < len(str(MAX_NUMBER))
    )
