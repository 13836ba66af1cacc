"""Membership: entries announce, renew, leave and lapse."""

import asyncio
import collections.abc

import xxhash

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke.entries import _directory
from chivespoke.entries import _handlers
from chivespoke.entries import _membership_fold as folds
from chivespoke.entries import _membership_links as links
from chivespoke.entries import _membership_messages as messages
from chivespoke.entries import _messages
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import operators
from chivespoke import replication

LOGGER = logs.make_logger('membership')
# Neighbours that an entry watches; as many watch it.
NEIGHBOURS = 3
# Heartbeat intervals between two beats to a neighbour, and heartbeat limits
# of silence after which it lapses: a wrong lapse costs two appends.
BEAT_INTERVALS = 2
SILENCE_LIMITS = 3
# Seconds between two hearings of all members for the directory.
DIRECTORY_INTERVAL = 30.0
# A membership proof older than this says nothing on who is alive.
PROOF_LIMIT = 10.0
# Seconds that a read waits; who is alive is known from the beats.
POLL_WAIT = 5.0
# Seconds that a goodbye may take.
LEAVE_LIMIT = 1.0


class Membership(application.Component):
    """Keep the list of entries; the log decides who is a member.

    Each entry watches the next few on a ring of hashes, so the cost does
    not grow with their number. A silent one is reported to the log; one
    that is alive after all sees that there and renews.
    """

    __slots__ = (
        'follower',
        '_committer',
        '_links',
        '_directory',
        '_clock',
        '_own',
        '_find_own',
        '_beat_interval',
        '_silence_limit',
        '_renewal',
        '_leaving',
        '_tasks',
        '_reported',
        '_told_at',
        '_told_changes',
        '_watching_since',
    )

    def __init__(
        self,
        log: replication.Log,
        committer: replication.GroupCommitter,
        clock: clocks.Clock,
        peers: links.Links,
        directory: _directory.EntryDirectory,
        handlers: _handlers.Handlers,
        find_own: collections.abc.Callable[[], _messages.EntryAddress],
        heartbeat_interval: float,
        heartbeat_limit: float,
    ) -> None:
        replica = replication.Replica(folds.STREAM, folds.MembershipFold())
        self.follower = replication.Follower(
            log,
            replica,
            clock,
            links.LinkRelay(peers),
            poll_wait=POLL_WAIT,
        )
        self._committer = committer
        self._links = peers
        self._directory = directory
        self._clock = clock
        self._find_own = find_own
        self._own: _messages.EntryAddress | None = None
        self._beat_interval = heartbeat_interval * BEAT_INTERVALS
        self._silence_limit = heartbeat_limit * SILENCE_LIMITS
        self._renewal = 0
        self._leaving = False
        self._tasks = application.TaskOwner()
        # Lapses that were reported already.
        self._reported: set[tuple[identifiers.Incarnation, int]] = set()
        self._told_at = float('-inf')
        self._told_changes = -1
        # When the present stretch of watching without a pause began.
        self._watching_since = float('-inf')
        committer.watch(replica)
        handlers.register(messages.Beat, self._handle_beat)

    @property
    def members(self) -> dict[identifiers.Incarnation, folds.Member]:
        """Return the members by incarnation."""
        return self.follower.fold.members

    async def start(self) -> None:
        self._own = self._find_own()
        await self.follower.start()
        self._tasks.spawn(self._announce())
        self._tasks.spawn(self._watch())

    async def drain(self) -> None:
        """Say goodbye, as far as the log takes it in time."""
        if self._own is None:
            return
        self._leaving = True
        left = folds.ENCODER.encode(folds.Left(self._own.incarnation))
        try:
            async with asyncio.timeout(LEAVE_LIMIT):
                await self._committer.commit(folds.STREAM, left)
        except (TimeoutError, errors.ChivespokeError) as error:
            LOGGER.warning('The log took no goodbye.', error=repr(error))

    async def stop(self) -> None:
        await self._tasks.cancel()
        await self.follower.stop()

    def list_others(self) -> tuple[_messages.EntryAddress, ...]:
        """Return every other entry that is known, from the log or not."""
        found = {
            member.address.incarnation: member.address
            for member in self.members.values()
        }
        for address in self._directory.list_entries():
            if not self.follower.fold.has_ended(address.incarnation):
                found.setdefault(address.incarnation, address)
        if self._own is not None:
            found.pop(self._own.incarnation, None)
        return tuple(found.values())

    def list_neighbours(self) -> tuple[_messages.EntryAddress, ...]:
        """Return the next few entries on the ring."""
        if self._own is None:
            return ()
        own = _hash(self._own)
        others = sorted(
            self.list_others(),
            key=lambda other: (_hash(other) - own) % (1 << 64),
        )
        return tuple(others[:NEIGHBOURS])

    async def _announce(self) -> None:
        """Announce, and renew whenever the log says that we lapsed."""
        while True:
            changed = asyncio.ensure_future(
                self.follower.wait_until(self._probe_absence)
            )
            await changed
            if self._own is None or self._leaving:
                return
            self._renewal += 1
            record = folds.Announced(self._own, self._renewal)
            try:
                await self._committer.commit(
                    folds.STREAM, folds.ENCODER.encode(record)
                )
            except (errors.RefusedError, errors.UnavailableError) as error:
                LOGGER.warning('The log took no announcement.', error=error)
                await self._clock.sleep(self._beat_interval)
                continue
            await self.follower.wait_until(self._probe_presence)

    def _probe_absence(self) -> bool | None:
        present = self._own is not None and (
            self._own.incarnation in self.members
        )
        return None if present else True

    def _probe_presence(self) -> bool | None:
        return None if self._probe_absence() else True

    async def _watch(self) -> None:
        watched_at = float('-inf')
        while True:
            now = self._clock.read_monotonic()
            if now - watched_at > 2 * self._beat_interval:
                self._watching_since = now
            watched_at = now
            await self._links.adjust(self.list_neighbours())
            if self._own is not None:
                self._links.beat(self._own)
            self._report_silent()
            self._tell_directory()
            await self._clock.sleep(self._beat_interval)

    def _report_silent(self) -> None:
        now = self._clock.read_monotonic()
        # A process that was paused has heard nobody, which tells nothing.
        watched = now - self._watching_since > self._silence_limit
        proven = self.follower.measure_age() <= PROOF_LIMIT
        if self._own is None or not watched or not proven:
            return
        for address in self.list_neighbours():
            member = self.members.get(address.incarnation)
            if member is None:
                continue
            silence = self._links.measure_silence(address.incarnation)
            key = (address.incarnation, member.renewal)
            if silence <= self._silence_limit or key in self._reported:
                continue
            self._reported.add(key)
            LOGGER.warning('An entry is silent.', name=address.name)
            record = folds.Lapsed(*key, self._own.name)
            try:
                self._committer.submit(
                    folds.STREAM, folds.ENCODER.encode(record)
                )
            except errors.RefusedError:
                self._reported.discard(key)

    def _tell_directory(self) -> None:
        now = self._clock.read_monotonic()
        changes = self.follower.fold.changes
        due = now - self._told_at >= DIRECTORY_INTERVAL
        if not due and changes == self._told_changes:
            return
        if self.follower.measure_age() > PROOF_LIMIT:
            return
        self._told_at, self._told_changes = now, changes
        for member in self.members.values():
            self._directory.add(member.address, direct=True)
        for address in self._directory.list_entries():
            if self.follower.fold.has_ended(address.incarnation):
                self._directory.remove(address.incarnation)

    async def _handle_beat(
        self, peer: _handlers.Peer, beat: messages.Beat
    ) -> None:
        # The address is the peer's own word only for the peer itself.
        if beat.address.incarnation == peer.incarnation and (
            not self.follower.fold.has_ended(peer.incarnation)
        ):
            self._directory.add(beat.address, direct=True)
        peer.send(messages.BeatNoted())


class MemberRoll(operators.ReportCollector):
    """Ask every entry for the reports that it holds, on demand only."""

    __slots__ = ('_membership', '_links', '_answerer')

    def __init__(
        self,
        membership: Membership,
        peers: links.Links,
        answerer: links.QuestionAnswerer,
    ) -> None:
        self._membership = membership
        self._links = peers
        self._answerer = answerer

    async def collect_reports(
        self, seconds: float
    ) -> operators.CollectedReports:
        width = asyncio.Semaphore(links.ROLL_WIDTH)
        others = self._membership.list_others()

        async def ask(
            address: _messages.EntryAddress,
        ) -> tuple[operators.ProcessReport, ...] | None:
            async with width:
                return await self._links.ask_reports(address, seconds)

        answers = await asyncio.gather(*(ask(other) for other in others))
        # A sidecar reports to every entry; its newest report counts.
        found = {
            report.incarnation: report
            for report in self._answerer.list_reports()
        }
        unreachable: list[str] = []
        for address, reports in zip(others, answers, strict=True):
            if reports is None:
                unreachable.append(address.name)
            for report in reports or ():
                known = found.get(report.incarnation)
                if known is None or known.version < report.version:
                    found[report.incarnation] = report
        return operators.CollectedReports(
            tuple(found.values()), tuple(unreachable)
        )


def _hash(address: _messages.EntryAddress) -> int:
    return xxhash.xxh3_64_intdigest(address.incarnation)
