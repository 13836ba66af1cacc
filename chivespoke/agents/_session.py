"""One life of a worker, as its sidecar deals with it."""

import abc
import asyncio
import collections.abc

from chivespoke.agents import _paces
from chivespoke import application
from chivespoke import clock
from chivespoke import coordination
from chivespoke import decisions
from chivespoke import errors
from chivespoke import logs
from chivespoke import platform
from chivespoke import telemetry

LOGGER = logs.make_logger('session')

# Leases are renewed this far ahead, in seconds: a machine may stand still for
# 3.5 s without losing what runs beside it.
HOLD_SECONDS = 5.0
# Share of the worker's longest lease that is asked for at most.
HOLD_SHARE = 0.9
# A look waits for an end for so long, in seconds; it also renews leases and
# brings the figures that pacing needs.
LOOK_SECONDS = 0.3
LOOK_RETRY_SECONDS = 0.2
# Pause while ends wait to be recorded, in seconds: about the time it takes.
ENDED_SECONDS = 0.02
# The worker's clock may be slow by this share, and more for rounding.
CLOCK_DRIFT = 0.03
START_ATTEMPTS = 3
START_RETRY_SECONDS = 0.2
STOP_RETRY_SECONDS = 0.3


class SessionOwner(abc.ABC):
    """Be told when there is something to report."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Send a report soon."""


class Session:
    """Renew the leases of a worker's runs and carry out orders on it."""

    __slots__ = (
        'registration',
        'epoch',
        'departing',
        '_sidecar',
        '_client',
        '_owner',
        '_clock',
        '_hold_seconds',
        '_tasks',
        '_lease_limit_ms',
        '_lease_sent_ms',
        '_acknowledged',
        '_look',
        '_looked_at',
        '_look_number',
        '_looked',
        '_answering',
        '_outcomes',
        '_handling',
        '_paces',
        '_granted',
        '_telemetry',
    )

    def __init__(
        self,
        sidecar: str,
        registration: platform.Registration,
        client: platform.WorkerClient,
        owner: SessionOwner,
        time: clock.Clock,
        longest_lease: float,
        epoch: int,
        instruments: telemetry.Telemetry,
    ) -> None:
        self._telemetry = instruments
        self.registration = registration
        # The leader that orders are taken from, as a fencing token.
        self.epoch = epoch
        self.departing = False
        self._sidecar = sidecar
        self._client = client
        self._owner = owner
        self._clock = time
        self._hold_seconds = min(HOLD_SECONDS, HOLD_SHARE * longest_lease)
        self._tasks = application.TaskOwner()
        self._lease_limit_ms = 0
        self._lease_sent_ms = 0
        self._acknowledged = 0
        self._look: platform.Look | None = None
        self._looked_at = 0.0
        self._look_number = 0
        self._looked = asyncio.Condition()
        self._answering = False
        self._outcomes: list[coordination.OrderOutcome] = []
        self._handling: set[tuple[str, int]] = set()
        self._paces = _paces.PaceKeeper(
            self.life.key, registration.capacity.cpu_millis
        )
        self._granted = asyncio.Event()

    @property
    def life(self) -> coordination.WorkerIncarnation:
        """Return the description of this life."""
        found = self.registration
        return coordination.WorkerIncarnation(
            self._sidecar,
            found.identifier,
            found.born_ms,
            found.service,
            found.data_centre,
            found.labels,
            found.capacity,
        )

    def start(self) -> None:
        """Begin to look at the worker."""
        self._tasks.spawn(self._keep_looking())

    async def close(self) -> None:
        """End all dealings with this life."""
        await self._tasks.cancel()

    def obey(self, directive: coordination.Directive) -> None:
        """Take a lease and orders for this life."""
        if directive.epoch > self.epoch:
            self.epoch = directive.epoch
        self._granted.set()
        if directive.incarnation != self.life.key:
            return
        self._lease_limit_ms = max(
            self._lease_limit_ms, directive.lease_until_ms
        )
        self._acknowledged = max(self._acknowledged, directive.acknowledged)
        self._paces.take_pressures(directive.interference)
        for start in directive.starts:
            self._paces.note_order(start)
            self._handle(
                start.task,
                start.run,
                self._start(start, directive.lease_until_ms),
            )
        for stop in directive.stops:
            self._handle(stop.task, stop.run, self._stop(stop))

    def make_report(self, incarnation: str) -> coordination.Report:
        """Return what the leader has to know, and forget told outcomes."""
        outcomes = tuple(self._outcomes)
        self._outcomes.clear()
        look = self._look or platform.Look(0, (), ())
        return coordination.Report(
            sidecar=self._sidecar,
            sidecar_incarnation=incarnation,
            epoch=self.epoch,
            incarnation=self.life if self._look else None,
            draining=self.registration.draining or self.departing,
            answering=self._answering,
            lapsed=self._has_lapsed(),
            clock_ms=look.clock_ms,
            running=look.running,
            ended=tuple(
                end for end in look.ended if end.number > self._acknowledged
            ),
            outcomes=outcomes,
        )

    def _has_lapsed(self) -> bool:
        if self._answering or self._look is None:
            return False
        if self.departing:
            return True
        passed = self._clock.read_monotonic() - self._looked_at
        earliest = self._look.clock_ms + passed * 1000 * (1 - CLOCK_DRIFT)
        return earliest > self._lease_sent_ms

    def _choose_lease(self) -> int | None:
        """Return the reading of the worker's clock to renew leases to."""
        if self._look is None or not self._lease_limit_ms:
            return None
        passed = self._clock.read_monotonic() - self._looked_at
        wanted = self._look.clock_ms + int(
            (passed + self._hold_seconds) * 1000
        )
        chosen = min(wanted, self._lease_limit_ms)
        if chosen <= self._lease_sent_ms:
            return None
        self._lease_sent_ms = chosen
        return chosen

    async def _keep_looking(self) -> None:
        await self._granted.wait()
        while True:
            try:
                await self._look_once()
            except errors.ChivespokeError as error:
                self._note_answering(False, str(error))
                await self._clock.sleep(LOOK_RETRY_SECONDS)

    async def _look_once(self) -> None:
        first = self._look is None
        asked = self._clock.read_monotonic()
        look = await self._client.look(
            self.epoch,
            self._acknowledged,
            self._choose_lease(),
            0.0 if first else LOOK_SECONDS,
        )
        before = self._look
        self._note_answering(True, '')
        async with self._looked:
            self._look = look
            # The reading may be as old as the question.
            self._looked_at = asked if first else self._clock.read_monotonic()
            self._look_number += 1
            self._looked.notify_all()
        if before is None or is_news(before, look):
            self._owner.wake()
        for order in self._paces.adjust(look, self._clock.read_monotonic()):
            self._handle(order.task, order.run, self._pace(order))
        if look.ended:
            # Ends that are not acknowledged yet make a look return at once.
            await self._clock.sleep(ENDED_SECONDS)

    def _note_answering(self, answering: bool, detail: str) -> None:
        if answering == self._answering:
            return
        self._answering = answering
        if answering:
            LOGGER.info('The worker answers.', worker=self.life.key)
        else:
            LOGGER.warning(
                'The worker does not answer.',
                worker=self.life.key,
                error=detail,
            )
        self._owner.wake()

    def _handle(
        self,
        task: str,
        run: int,
        work: collections.abc.Coroutine[object, object, None],
    ) -> None:
        if (task, run) in self._handling:
            # An order on it is under way; the leader repeats the others.
            work.close()
            return
        self._handling.add((task, run))
        self._tasks.spawn(self._finish(task, run, work))

    async def _finish(
        self,
        task: str,
        run: int,
        work: collections.abc.Coroutine[object, object, None],
    ) -> None:
        try:
            await work
        finally:
            self._handling.discard((task, run))

    def _tell(
        self, task: str, run: int, refusal: platform.Refusal | None
    ) -> None:
        LOGGER.info(
            'An order is settled.',
            task=task,
            run=run,
            worker=self.life.key,
            refusal=refusal.value if refusal else None,
            epoch=self.epoch,
        )
        self._telemetry.order_outcomes.add(
            1, {'outcome': refusal.value if refusal else 'taken'}
        )
        self._outcomes.append(coordination.OrderOutcome(task, run, refusal))
        self._owner.wake()

    async def _start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> None:
        if self._is_listed(order.task, order.run):
            self._tell(order.task, order.run, None)
            return
        uncertain = order.repeated
        refusal = platform.Refusal.UNHEALTHY
        if not (self.registration.draining or self.departing):
            for _ in range(START_ATTEMPTS):
                try:
                    await self._send_start(order, lease_until_ms)
                except platform.OrderRefusedError as error:
                    refusal = error.refusal
                    uncertain |= refusal is platform.Refusal.SUPERSEDED
                    break
                except errors.RefusedError:
                    await self._clock.sleep(START_RETRY_SECONDS)
                except errors.UnavailableError as error:
                    LOGGER.warning(
                        'A start got no answer; it may still happen.',
                        task=order.task,
                        run=order.run,
                        error=error,
                    )
                    uncertain = True
                else:
                    self._tell(order.task, order.run, None)
                    return
        if uncertain:
            await self._bar(order.task, order.run)
        self._tell(order.task, order.run, refusal)

    async def _send_start(
        self, order: coordination.StartOrder, lease_until_ms: int
    ) -> None:
        # An order may have waited in a connection until the leader gave its
        # run up: no later lease than its own makes it valid again, and the
        # worker refuses it as late.
        self._choose_lease()
        await self._client.start(
            order.task,
            order.run,
            order.payload,
            min(self._lease_sent_ms, lease_until_ms),
            self.epoch,
            order.checkpoint,
            order.ticket,
        )

    async def _stop(self, order: coordination.StopOrder) -> None:
        await self._bar(order.task, order.run)
        self._tell(order.task, order.run, platform.Refusal.SUPERSEDED)

    async def _bar(self, task: str, run: int) -> None:
        """Return once a run is over and can never start."""
        while True:
            try:
                await self._client.stop(task, run, self.epoch)
                break
            except errors.ChivespokeError as error:
                LOGGER.warning(
                    'A stop failed; it is repeated.',
                    task=task,
                    run=run,
                    error=error,
                )
                await self._clock.sleep(STOP_RETRY_SECONDS)
        # A look that began after the stop's answer shows what is left.
        async with self._looked:
            fresh = self._look_number + 2
            await self._looked.wait_for(
                lambda: (
                    self._look_number >= fresh
                    and not self._is_listed(task, run)
                )
            )

    async def _pace(self, order: decisions.PaceChange) -> None:
        try:
            await self._client.pace(
                order.task, order.run, order.percent, self.epoch
            )
        except errors.ChivespokeError as error:
            LOGGER.warning(
                'A pace was not set; the next look tries again.',
                task=order.task,
                percent=order.percent,
                error=error,
            )
        else:
            self._paces.note_set(order)

    def _is_listed(self, task: str, run: int) -> bool:
        return self._look is not None and any(
            row.task == task and row.run == run for row in self._look.running
        )


def is_news(before: platform.Look, after: platform.Look) -> bool:
    """Tell whether the leader should hear of a look at once."""
    if len(after.ended) != len(before.ended):
        return True
    return bool(after.ended) and after.ended[-1] != before.ended[-1]
