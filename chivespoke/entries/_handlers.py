"""The kinds of messages that a process takes, and who handles each."""

import abc
import collections.abc
import typing

import msgspec

from chivespoke.entries import _messages
from chivespoke import identifiers


class Peer(abc.ABC):
    """Be the other end of a connection, in one of its lives."""

    __slots__ = ('name', 'incarnation')

    def __init__(
        self, name: str, incarnation: identifiers.Incarnation
    ) -> None:
        self.name = name
        self.incarnation = incarnation

    @abc.abstractmethod
    def send(self, message: _messages.Message) -> None:
        """Send without waiting; raise RefusedError if nothing was sent."""


MessageType = typing.TypeVar('MessageType', bound=_messages.Message)
Handler = collections.abc.Callable[
    [Peer, typing.Any], collections.abc.Awaitable[None]
]
LossHandler = collections.abc.Callable[[Peer], None]


class Handlers:
    """Hold a handler for each kind of message; fill before the start."""

    __slots__ = ('_handlers', '_decoder', 'loss_handlers')

    def __init__(self) -> None:
        self._handlers: dict[type[_messages.Message], Handler] = {}
        self._decoder: msgspec.msgpack.Decoder[typing.Any] | None = None
        self.loss_handlers: list[LossHandler] = []

    def register(
        self,
        kind: type[MessageType],
        handler: collections.abc.Callable[
            [Peer, MessageType], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Have a kind of message handled; awaited in order for each peer."""
        self._handlers[kind] = handler
        self._decoder = None

    def register_loss(self, handler: LossHandler) -> None:
        """Have a function called when a peer falls silent."""
        self.loss_handlers.append(handler)

    def decode(self, payload: bytes) -> _messages.Message:
        """Return the message; raise msgspec.DecodeError on a bad one."""
        if self._decoder is None:
            kinds: typing.Any = typing.Union.__getitem__(tuple(self._handlers))
            self._decoder = msgspec.msgpack.Decoder(kinds)
        message: _messages.Message = self._decoder.decode(payload)
        return message

    async def handle(self, peer: Peer, message: _messages.Message) -> None:
        """Await the handler of the message's kind."""
        await self._handlers[type(message)](peer, message)

    def report_loss(self, peer: Peer) -> None:
        """Tell everyone who asked that a peer is gone."""
        for handler in self.loss_handlers:
            handler(peer)
