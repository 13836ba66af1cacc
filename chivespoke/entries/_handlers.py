"""Registry of message handlers by message type."""

import abc
import collections.abc
import typing

import msgspec

from chivespoke.entries import _messages
from chivespoke import identifiers


class Peer(abc.ABC):
    """Represent one incarnation of the process at the other end."""

    __slots__ = ('name', 'incarnation')

    def __init__(
        self, name: str, incarnation: identifiers.Incarnation
    ) -> None:
        self.name = name
        self.incarnation = incarnation

    @abc.abstractmethod
    def send(self, message: _messages.Message) -> None:
        """Send without blocking; raise RefusedError if nothing was sent."""


MessageType = typing.TypeVar('MessageType', bound=_messages.Message)
Handler = collections.abc.Callable[
    [Peer, typing.Any], collections.abc.Awaitable[None]
]
LossHandler = collections.abc.Callable[[Peer], None]


class Handlers:
    """Hold one handler per message type.

    All handlers must be registered before the endpoint starts.
    """

    __slots__ = ('_handlers', '_decoder', 'loss_handlers')

    def __init__(self) -> None:
        self._handlers: dict[type[_messages.Message], Handler] = {}
        self._decoder: msgspec.msgpack.Decoder[typing.Any] | None = None
        self.loss_handlers: list[LossHandler] = []

    def register(
        self,
        message_type: type[MessageType],
        handler: collections.abc.Callable[
            [Peer, MessageType], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Register a handler; it is awaited in message order for each peer."""
        self._handlers[message_type] = handler
        self._decoder = None

    def register_loss(self, handler: LossHandler) -> None:
        """Register a function to call when a peer is lost."""
        self.loss_handlers.append(handler)

    def decode(self, payload: bytes) -> _messages.Message:
        """Decode a message; raise msgspec.DecodeError if it is malformed."""
        if self._decoder is None:
            message_types: typing.Any = typing.Union.__getitem__(
                tuple(self._handlers)
            )
            self._decoder = msgspec.msgpack.Decoder(message_types)
        message: _messages.Message = self._decoder.decode(payload)
        return message

    async def handle(self, peer: Peer, message: _messages.Message) -> None:
        """Await the handler of the message type."""
        await self._handlers[type(message)](peer, message)

    def report_loss(self, peer: Peer) -> None:
        """Call all loss handlers for a lost peer."""
        for handler in self.loss_handlers:
            handler(peer)
