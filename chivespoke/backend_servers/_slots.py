"""Slots of a backend server and the bounded queue in front of them."""

import asyncio
import collections
import collections.abc
import enum

from chivespoke.backend_servers import _estimate
from chivespoke.backend_servers import _messages
from chivespoke import errors

BYTES_PER_MEBIBYTE = 1024 * 1024
# Share of the remaining time that the predicted wait and run may use.
MAX_PREDICTED_SHARE = 0.9
EXPIRED_IN_QUEUE = 'deadline passed in queue'
MAX_QUEUE_BYTES = 64 * BYTES_PER_MEBIBYTE


class TicketState(enum.Enum):
    """List the states of an admitted request."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


class Ticket:
    """Hold the state of an admitted request until its end."""

    __slots__ = (
        'dispatch',
        'expires_at',
        'queued_at',
        'started_at',
        'state',
        'granted',
    )

    def __init__(
        self, dispatch: _messages.Dispatch, now: float, expires_at: float
    ) -> None:
        self.dispatch = dispatch
        self.queued_at = now
        self.expires_at = expires_at
        self.started_at = 0.0
        self.state = TicketState.QUEUED
        # Set to an empty string when the request gets a slot, otherwise to
        # the cause for which it will not run.
        self.granted: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )


class AdmissionError(Exception):
    """Report that a request is not admitted."""

    __slots__ = ('cause', 'retry_after_seconds')

    def __init__(self, cause: str, retry_after_seconds: float) -> None:
        super().__init__(cause)
        self.cause = cause
        self.retry_after_seconds = retry_after_seconds


class Slots:
    """Admit requests, queue them and grant them slots.

    Latency-critical requests are granted slots before batch requests, which
    are evicted from a full queue.
    """

    __slots__ = (
        '_slots',
        '_queue_limit',
        '_queues',
        '_running',
        '_queue_bytes',
        'estimate',
    )

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._queues: dict[
            _messages.RequestClass, collections.deque[Ticket]
        ] = {
            request_class: collections.deque()
            for request_class in _messages.RequestClass
        }
        self._running: set[Ticket] = set()
        self._queue_bytes = 0
        self.estimate = _estimate.RunTimeEstimate()

    @property
    def outstanding(self) -> int:
        """Return the number of running and queued requests."""
        return len(self._running) + self._count_queued()

    def admit(self, dispatch: _messages.Dispatch, now: float) -> Ticket:
        """Grant a slot or queue the request, or else raise AdmissionError."""
        ticket = Ticket(dispatch, now, now + dispatch.remaining_seconds)
        if len(self._running) < self._slots:
            self._grant(ticket, now)
            return ticket
        self._check_deadline(dispatch, now)
        self._free_queue_space(dispatch)
        self._queues[dispatch.request_class].append(ticket)
        self._queue_bytes += len(dispatch.body)
        return ticket

    def withdraw(self, ticket: Ticket, cause: str) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        if ticket.state is not TicketState.QUEUED:
            return False
        self._queues[ticket.dispatch.request_class].remove(ticket)
        self._queue_bytes -= len(ticket.dispatch.body)
        ticket.state = TicketState.ENDED
        if not ticket.granted.done():
            ticket.granted.set_result(cause)
        return True

    def release(self, ticket: Ticket, now: float) -> None:
        """Free the slot of an ended request and grant it to the next one."""
        errors.check_invariant(
            ticket in self._running, 'a slot is freed once', 'slots'
        )
        self._running.discard(ticket)
        ticket.state = TicketState.ENDED
        self.estimate.observe(now - ticket.started_at)
        self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> None:
        for queue in self._queues.values():
            while queue and len(self._running) < self._slots:
                ticket = queue.popleft()
                self._queue_bytes -= len(ticket.dispatch.body)
                if ticket.expires_at <= now:
                    ticket.state = TicketState.ENDED
                    ticket.granted.set_result(EXPIRED_IN_QUEUE)
                else:
                    self._grant(ticket, now)

    def _grant(self, ticket: Ticket, now: float) -> None:
        errors.check_invariant(
            ticket.state is TicketState.QUEUED, 'granted once', 'slots'
        )
        self._running.add(ticket)
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        ticket.granted.set_result('')
        errors.check_invariant(
            len(self._running) <= self._slots, 'slots not exceeded', 'slots'
        )

    def _check_deadline(
        self, dispatch: _messages.Dispatch, now: float
    ) -> None:
        wait_seconds = self._predict_wait(dispatch.request_class, now)
        allowed_seconds = dispatch.remaining_seconds * MAX_PREDICTED_SHARE
        if wait_seconds + self.estimate.upper_bound_seconds > allowed_seconds:
            raise AdmissionError(
                'wait would exceed the deadline', wait_seconds
            )

    def _predict_wait(
        self, request_class: _messages.RequestClass, now: float
    ) -> float:
        queued_ahead = len(
            self._queues[_messages.RequestClass.LATENCY_CRITICAL]
        )
        if request_class is _messages.RequestClass.BATCH:
            queued_ahead = self._count_queued()
        elapsed = [now - ticket.started_at for ticket in self._running]
        return self.estimate.predict_wait(queued_ahead, self._slots, elapsed)

    def _free_queue_space(self, dispatch: _messages.Dispatch) -> None:
        batch = self._queues[_messages.RequestClass.BATCH]
        is_batch = dispatch.request_class is _messages.RequestClass.BATCH
        while self._is_queue_full(len(dispatch.body)):
            if is_batch or not batch:
                raise AdmissionError(
                    'queue full',
                    self.estimate.mean_seconds * self._count_queued(),
                )
            self.withdraw(batch[-1], 'gave way to a quicker class')

    def _is_queue_full(self, size: int) -> bool:
        return (
            self._count_queued() >= self._queue_limit
            or self._queue_bytes + size > MAX_QUEUE_BYTES
        )

    def _count_queued(self) -> int:
        return sum(len(queue) for queue in self._queues.values())
