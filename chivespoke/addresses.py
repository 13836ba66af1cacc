"""Network addresses: IP address and port."""

import ipaddress
import typing

import msgspec

HOST_ERROR = 'host must be an IP address, for example 10.0.0.7'
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold an IP address and a port; port 0 binds to any free port."""

    host: str = '127.0.0.1'
    port: Port = 0

    def __post_init__(self) -> None:
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            raise ValueError(HOST_ERROR) from None

    def format_http(self) -> str:
        """Return the base URL of an HTTP server at this address."""
        return f'http://{self.host}:{self.port}'

    def format_tcp(self) -> str:
        """Return the endpoint of a message socket at this address."""
        return f'tcp://{self.host}:{self.port}'
