"""Questions to a neighbour and states that arrive from it in parts."""

import asyncio

from chivespoke.entries import _membership_messages as messages
from chivespoke import identifiers
from chivespoke import replication

Reply = messages.RelayReply | messages.RollReply


class OpenQuestion:
    """Hold a question to a neighbour and its reply, however late."""

    __slots__ = ('question', 'asked_at', 'reply')

    def __init__(
        self, question: messages.RelayQuestion, asked_at: float
    ) -> None:
        self.question = question
        # When it was first sent.
        self.asked_at = asked_at
        self.reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )


class StateTransfer:
    """Hold the parts of a state that have arrived from a neighbour."""

    __slots__ = ('neighbour', 'state', 'progress_at', 'has_stalled')

    def __init__(
        self, neighbour: identifiers.Incarnation, stream: str
    ) -> None:
        self.neighbour = neighbour
        self.state = replication.PartialState(stream)
        self.progress_at = 0.0
        # Whether the last question was not answered in time.
        self.has_stalled = False
