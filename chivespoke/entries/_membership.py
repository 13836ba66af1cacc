"""Membership of entries, with failure detection between neighbours."""

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
from chivespoke.entries import _membership_requests as requests
from chivespoke.entries import _messages
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke import operators
from chivespoke import replication

LOGGER = logs.make_logger('membership')
# Neighbours that each entry monitors, and that monitor each entry.
NEIGHBOUR_COUNT = 3
# Interval between two beats to a neighbour, in heartbeat intervals, and the
# silence after which a neighbour is reported as lapsed, in heartbeat limits.
# The silence is this long because a false report costs two appends to the log.
BEAT_INTERVAL_FACTOR = 2
SILENCE_LIMIT_FACTOR = 3
# Interval at which all members are added to the directory again, so that they
# do not expire there.
DIRECTORY_REFRESH_SECONDS = 30.0
# Limit on the age of the membership state. An older state does not show which
# entries are alive.
MAX_PROOF_AGE_SECONDS = 10.0
# Long poll of the membership stream. It may be slow, because the beats show
# which neighbours are alive.
POLL_WAIT_SECONDS = 5.0
LEAVE_TIMEOUT_SECONDS = 1.0


class Membership(application.Component):
    """Maintain the list of entries; the log determines the members.

    Each entry monitors the next few entries on a hash ring, so its cost does
    not grow with the number of entries. It reports a silent neighbour to the
    log, which ends the membership. An entry that was reported but is alive
    reads the report there and renews its announcement.
    """

    __slots__ = (
        'follower',
        '_committer',
        '_links',
        '_directory',
        '_clock',
        '_own_address',
        '_get_own_address',
        '_beat_interval',
        '_silence_limit',
        '_renewal',
        '_draining',
        '_tasks',
        '_reported_lapses',
        '_directory_updated_at',
        '_directory_changes',
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
        get_own_address: collections.abc.Callable[[], _messages.EntryAddress],
        heartbeat_interval: float,
        heartbeat_limit: float,
    ) -> None:
        replica = replication.Replica(folds.STREAM, folds.MembershipFold())
        self.follower = replication.Follower(
            log,
            replica,
            clock,
            links.NeighbourRelay(peers),
            poll_wait_seconds=POLL_WAIT_SECONDS,
        )
        self._committer = committer
        self._links = peers
        self._directory = directory
        self._clock = clock
        self._get_own_address = get_own_address
        self._own_address: _messages.EntryAddress | None = None
        self._beat_interval = heartbeat_interval * BEAT_INTERVAL_FACTOR
        self._silence_limit = heartbeat_limit * SILENCE_LIMIT_FACTOR
        self._renewal = 0
        self._draining = False
        self._tasks = application.TaskOwner()
        # Incarnations and renewals that were already reported as silent.
        self._reported_lapses: set[tuple[identifiers.Incarnation, int]] = set()
        self._directory_updated_at = float('-inf')
        self._directory_changes = -1
        # Start of the current period of monitoring without a pause.
        self._watching_since = float('-inf')
        committer.watch(replica)
        handlers.register(messages.Beat, self._handle_beat)

    @property
    def members(self) -> dict[identifiers.Incarnation, folds.Member]:
        """Return the current members by incarnation."""
        return self.follower.fold.members

    async def start(self) -> None:
        self._own_address = self._get_own_address()
        await self.follower.start()
        self._tasks.spawn_loop(self._maintain_announcement)
        self._tasks.spawn_loop(self._monitor_neighbours)

    async def drain(self) -> None:
        """Append a leave record, if the log accepts it within the timeout."""
        if self._own_address is None:
            return
        self._draining = True
        leave_record = folds.ENCODER.encode(
            folds.Left(self._own_address.incarnation)
        )
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self._committer.commit(folds.STREAM, leave_record)
        except (TimeoutError, errors.ChivespokeError) as error:
            LOGGER.warning(
                'Could not append the leave record to the log.',
                error=repr(error),
            )

    async def stop(self) -> None:
        await self._tasks.cancel()
        await self.follower.stop()

    def list_others(self) -> tuple[_messages.EntryAddress, ...]:
        """Return all other entries known from the log or the directory."""
        known_entries = {
            member.address.incarnation: member.address
            for member in self.members.values()
        }
        for address in self._directory.list_entries():
            if not self.follower.fold.has_ended(address.incarnation):
                known_entries.setdefault(address.incarnation, address)
        if self._own_address is not None:
            known_entries.pop(self._own_address.incarnation, None)
        return tuple(known_entries.values())

    def list_neighbours(self) -> tuple[_messages.EntryAddress, ...]:
        """Return the entries to monitor: the next few on the hash ring."""
        if self._own_address is None:
            return ()
        own_hash = _hash_incarnation(self._own_address)
        others = sorted(
            self.list_others(),
            key=lambda other: (
                (_hash_incarnation(other) - own_hash) % (1 << 64)
            ),
        )
        return tuple(others[:NEIGHBOUR_COUNT])

    async def _maintain_announcement(self) -> None:
        """Announce this entry, and again whenever its membership has ended."""
        while True:
            absent = asyncio.ensure_future(
                self.follower.wait_until(self._probe_absence)
            )
            await absent
            if self._own_address is None or self._draining:
                return
            self._renewal += 1
            record = folds.Announced(self._own_address, self._renewal)
            try:
                await self._committer.commit(
                    folds.STREAM, folds.ENCODER.encode(record)
                )
            except (errors.RefusedError, errors.UnavailableError) as error:
                LOGGER.warning(
                    'Could not append the announcement to the log.',
                    error=error,
                )
                await self._clock.sleep(self._beat_interval)
                continue
            await self.follower.wait_until(self._probe_presence)

    def _probe_absence(self) -> bool | None:
        """Return True if this entry is no member, else None to wait on."""
        present = self._own_address is not None and (
            self._own_address.incarnation in self.members
        )
        return None if present else True

    def _probe_presence(self) -> bool | None:
        """Return True if this entry is a member, else None to wait on."""
        return None if self._probe_absence() else True

    async def _monitor_neighbours(self) -> None:
        iterated_at = float('-inf')
        while True:
            now = self._clock.read_monotonic()
            if now - iterated_at > 2 * self._beat_interval:
                self._watching_since = now
            iterated_at = now
            await self._links.set_connections(self.list_neighbours())
            if self._own_address is not None:
                self._links.send_beats(self._own_address)
            self._report_silent_neighbours()
            self._update_directory()
            await self._clock.sleep(self._beat_interval)

    def _report_silent_neighbours(self) -> None:
        now = self._clock.read_monotonic()
        # A process that was paused has received nothing meanwhile, so silence
        # counts only after a full period of monitoring.
        watched_long_enough = now - self._watching_since > self._silence_limit
        proof_is_fresh = (
            self.follower.measure_read_age() <= MAX_PROOF_AGE_SECONDS
        )
        if (
            self._own_address is None
            or not watched_long_enough
            or not proof_is_fresh
        ):
            return
        for address in self.list_neighbours():
            member = self.members.get(address.incarnation)
            if member is None:
                continue
            silence = self._links.measure_silence(address.incarnation)
            lapse = (address.incarnation, member.renewal)
            if (
                silence <= self._silence_limit
                or lapse in self._reported_lapses
            ):
                continue
            self._reported_lapses.add(lapse)
            LOGGER.warning(
                'Entry is silent; reporting it as lapsed.', name=address.name
            )
            record = folds.Lapsed(*lapse, self._own_address.name)
            try:
                self._committer.submit(
                    folds.STREAM, folds.ENCODER.encode(record)
                )
            except errors.RefusedError:
                self._reported_lapses.discard(lapse)

    def _update_directory(self) -> None:
        now = self._clock.read_monotonic()
        changes = self.follower.fold.changes
        refresh_due = (
            now - self._directory_updated_at >= DIRECTORY_REFRESH_SECONDS
        )
        if not refresh_due and changes == self._directory_changes:
            return
        if self.follower.measure_read_age() > MAX_PROOF_AGE_SECONDS:
            return
        self._directory_updated_at, self._directory_changes = now, changes
        for member in self.members.values():
            self._directory.add(member.address, direct=True)
        for address in self._directory.list_entries():
            if self.follower.fold.has_ended(address.incarnation):
                self._directory.remove(address.incarnation)

    async def _handle_beat(
        self, peer: _handlers.Peer, beat: messages.Beat
    ) -> None:
        # Only the address of the sender itself counts as direct contact.
        if beat.address.incarnation == peer.incarnation and (
            not self.follower.fold.has_ended(peer.incarnation)
        ):
            self._directory.add(beat.address, direct=True)
        peer.send(messages.BeatNoted())


class MemberReportCollector(operators.ReportCollector):
    """Collect the reports that all entries hold, on request of an operator."""

    __slots__ = ('_membership', '_links', '_request_handler')

    def __init__(
        self,
        membership: Membership,
        peers: links.Links,
        request_handler: requests.PeerRequestHandler,
    ) -> None:
        self._membership = membership
        self._links = peers
        self._request_handler = request_handler

    async def collect_reports(
        self, seconds: float
    ) -> operators.CollectedReports:
        semaphore = asyncio.Semaphore(links.MAX_CONCURRENT_REPORT_REQUESTS)
        others = self._membership.list_others()

        async def request_reports_of(
            address: _messages.EntryAddress,
        ) -> tuple[operators.ProcessReport, ...] | None:
            async with semaphore:
                return await self._links.request_reports(address, seconds)

        replies = await asyncio.gather(
            *(request_reports_of(other) for other in others)
        )
        # A sidecar reports to every entry; its highest version is used.
        newest_reports = {
            report.incarnation: report
            for report in self._request_handler.list_reports()
        }
        unreachable: list[str] = []
        for address, reports in zip(others, replies, strict=True):
            if reports is None:
                unreachable.append(address.name)
            for report in reports or ():
                known = newest_reports.get(report.incarnation)
                if known is None or known.version < report.version:
                    newest_reports[report.incarnation] = report
        return operators.CollectedReports(
            tuple(newest_reports.values()), tuple(unreachable)
        )


def _hash_incarnation(address: _messages.EntryAddress) -> int:
    return xxhash.xxh3_64_intdigest(address.incarnation)
