"""Answers to the requests of other entries for records and reports."""

import collections.abc
import typing

from chivespoke.entries import _handlers
from chivespoke.entries import _membership_messages as messages
from chivespoke import operators
from chivespoke import replication

# Largest state that is sent in one reply, to a process that does not know
# parts.
MAX_WHOLE_STATE_BYTES = 64 * 1024 * 1024


class PeerRequestHandler:
    """Handle requests of other entries for records and reports."""

    __slots__ = ('_followers', '_offers', '_reporters')

    def __init__(
        self,
        handlers: _handlers.Handlers,
        reporters: collections.abc.Iterable[operators.LocalReporter],
    ) -> None:
        self._followers: dict[str, replication.Follower[typing.Any]] = {}
        self._offers = replication.StateOffers()
        self._reporters = tuple(reporters)
        handlers.register(messages.RelayQuestion, self._handle_relay_question)
        handlers.register(messages.RollQuestion, self._handle_roll_question)

    def add_follower(self, follower: replication.Follower[typing.Any]) -> None:
        """Serve the records of a follower's stream to other entries."""
        self._followers[follower.replica.stream] = follower

    def list_reports(self) -> tuple[operators.ProcessReport, ...]:
        """Return the reports of this process and of its sidecars."""
        return tuple(
            report
            for reporter in self._reporters
            for report in reporter.list_reports()
        )

    async def _handle_relay_question(
        self, peer: _handlers.Peer, question: messages.RelayQuestion
    ) -> None:
        answer = self._find_answer(peer, question)
        if answer is None:
            peer.send(messages.RelayReply(question.request_number))
            return
        peer.send(
            messages.RelayReply(
                question.request_number,
                answer.page,
                answer.read_age_seconds,
                answer.peer_state,
                answer.part,
            )
        )

    def _find_answer(
        self, peer: _handlers.Peer, question: messages.RelayQuestion
    ) -> replication.RelayAnswer | None:
        follower = self._followers.get(question.stream)
        if follower is None:
            return None
        if question.part_index is not None:
            return self._offers.answer(
                follower,
                peer.incarnation,
                question.start,
                question.needs_state,
                question.part_index,
                question.checksum,
            )
        answer = replication.make_relay_answer(
            follower, question.start, question.needs_state
        )
        if answer is None or len(answer.peer_state) > MAX_WHOLE_STATE_BYTES:
            return None
        return answer

    async def _handle_roll_question(
        self, peer: _handlers.Peer, question: messages.RollQuestion
    ) -> None:
        peer.send(
            messages.RollReply(question.request_number, self.list_reports())
        )
