"""Which workers may run a step, and whom to ask about next.

Answers queues whose policy allows a step on some workers only, which an
advisor tells for workers named to it: slowly, one question at a time, and with
tickets that run out. Tickets are kept for all tasks of a step, what is known
is not asked again, and a question names the workers on which the step would
be placed.
"""

import collections.abc

import msgspec

# Workers that one question names at most: its answer takes time for each of
# them, and objectives allow for one question on so many.
MAX_REQUEST_WORKERS = 30
# A ticket is not used in its last part, in seconds: the order has to be
# recorded and to reach the worker.
TICKET_MARGIN_SECONDS = 0.5


class AdviceRequest(msgspec.Struct, frozen=True):
    """Name a step, and the workers to ask about."""

    step: str
    # Identifiers of workers, by the name of their life.
    workers: dict[str, str]
    # Time that the answer takes, in seconds.
    answer_seconds: float


class _Ticket(msgspec.Struct, frozen=True):
    text: str
    expires: float


class AdviceCache:
    """Keep what the advisor has said."""

    __slots__ = ('_tickets', '_denied')

    def __init__(self) -> None:
        # By step, then by life of a worker.
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        # Lives of workers that may not run a step, which does not change.
        self._denied: dict[str, set[str]] = {}

    def add_answer(
        self,
        request: AdviceRequest,
        tickets: collections.abc.Mapping[str, str],
        requested_at: float,
        valid_seconds: float,
    ) -> None:
        """Note an answer: tickets by identifier of the worker."""
        known = self._tickets.setdefault(request.step, {})
        denied = self._denied.setdefault(request.step, set())
        # It may have been valid since the question arrived.
        expires = requested_at + valid_seconds - TICKET_MARGIN_SECONDS
        for worker, identifier in request.workers.items():
            if identifier in tickets:
                known[worker] = _Ticket(tickets[identifier], expires)
            else:
                denied.add(worker)

    def find_ticket(self, step: str, worker: str, now: float) -> str | None:
        """Return a ticket that is valid now."""
        ticket = self._tickets.get(step, {}).get(worker)
        if ticket is None or now >= ticket.expires:
            return None
        return ticket.text

    def is_denied(self, step: str, worker: str) -> bool:
        """Tell whether a worker may not run a step."""
        return worker in self._denied.get(step, ())

    def drop_ticket(self, step: str, worker: str) -> None:
        """Forget a ticket that a worker has refused."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: str) -> None:
        """Forget the steps of a job."""
        for cache in (self._tickets, self._denied):
            for step in tuple(cache):
                if step.partition('.')[0] == job:
                    del cache[step]
