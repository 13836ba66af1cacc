"""Cache of the advisor's answers on which workers may run a step.

Some queues allow a step on certain workers only. An external advisor decides
for the workers named in a request. It is slow, answers one request at a time,
and issues tickets that expire. The cache therefore shares tickets among all
tasks of a step and remembers denials, so that the same worker is not asked
about twice. A request names only workers on which the step would be placed.
"""

import collections.abc

import msgspec

# Maximum number of workers named in one request. The answer time grows with
# each worker, and job objectives allow for one request of this size.
MAX_REQUEST_WORKERS = 30
# A ticket is not used within this time before its expiry, because the start
# order still has to be recorded and to reach the worker.
TICKET_MARGIN_SECONDS = 0.5


class AdviceRequest(msgspec.Struct, frozen=True):
    """Request the decision on which of some workers may run a step."""

    step: str
    # Worker identifiers, by key of the worker incarnation.
    workers: dict[str, str]
    # Expected time from the request to its answer.
    answer_seconds: float


class _Ticket(msgspec.Struct, frozen=True):
    text: str
    # Monotonic clock, in seconds.
    expires_at: float


class AdviceCache:
    """Cache the tickets and denials that the advisor returned."""

    __slots__ = ('_tickets', '_denied')

    def __init__(self) -> None:
        # By step, then by key of the worker incarnation.
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        # Keys of worker incarnations that may not run a step, by step. A
        # denial is permanent.
        self._denied: dict[str, set[str]] = {}

    def add_answer(
        self,
        request: AdviceRequest,
        tickets: collections.abc.Mapping[str, str],
        requested_at: float,
        valid_seconds: float,
    ) -> None:
        """Store an answer; requested workers without a ticket are denied.

        `tickets` is keyed by worker identifier; `requested_at` is in seconds
        of the monotonic clock.
        """
        step_tickets = self._tickets.setdefault(request.step, {})
        step_denials = self._denied.setdefault(request.step, set())
        # Counted from the request, because the validity period may have begun
        # as soon as the request arrived at the advisor.
        expires_at = requested_at + valid_seconds - TICKET_MARGIN_SECONDS
        for worker, identifier in request.workers.items():
            if identifier in tickets:
                step_tickets[worker] = _Ticket(tickets[identifier], expires_at)
            else:
                step_denials.add(worker)

    def find_ticket(self, step: str, worker: str, now: float) -> str | None:
        """Return a ticket that is still valid, or None."""
        ticket = self._tickets.get(step, {}).get(worker)
        if ticket is None or now >= ticket.expires_at:
            return None
        return ticket.text

    def is_denied(self, step: str, worker: str) -> bool:
        """Return whether the advisor denied a step on a worker."""
        return worker in self._denied.get(step, ())

    def drop_ticket(self, step: str, worker: str) -> None:
        """Remove a ticket that a worker has rejected."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: str) -> None:
        """Remove the entries of all steps of a job."""
        for cache in (self._tickets, self._denied):
            for step in tuple(cache):
                if step.partition('.')[0] == job:
                    del cache[step]
