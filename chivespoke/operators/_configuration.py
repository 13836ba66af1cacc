"""A process's replica of the configuration: read, patch and wait."""

import asyncio
import collections
import collections.abc
import typing

from chivespoke import application
from chivespoke import clock as clocks
from chivespoke import errors
from chivespoke import identifiers
from chivespoke import logs
from chivespoke.operators import _document
from chivespoke.operators import _fold
from chivespoke.operators import _patch
from chivespoke.operators import _validation
from chivespoke import replication

LOGGER = logs.make_logger('configuration')
# Tasks may start only if the version was confirmed as the newest within this
# time.
MAX_READ_AGE_SECONDS = 3.0
# Time to wait for the decision on a proposal.
PROPOSAL_TIMEOUT_SECONDS = 10.0
# Versions whose arrival time is kept.
MAX_ARRIVAL_TIMES = 256
MAX_REBASE_ATTEMPTS = 8
STEP = 'patch the configuration'

Result = typing.TypeVar('Result')
VersionListener = collections.abc.Callable[[_document.Document], None]


class Configuration(application.Component):
    """Replicate the configuration stream and propose patches."""

    __slots__ = (
        'replica',
        'follower',
        '_committer',
        '_clock',
        '_arrivals',
        '_listeners',
        '_last_version',
    )

    def __init__(
        self,
        log: replication.Log,
        committer: replication.GroupCommitter,
        clock: clocks.Clock,
        relay: replication.Relay | None = None,
    ) -> None:
        self.replica = replication.Replica(
            _fold.STREAM, _fold.ConfigurationFold()
        )
        self.follower = replication.Follower(log, self.replica, clock, relay)
        self._committer = committer
        self._clock = clock
        # Monotonic time at which this process applied each version.
        self._arrivals: collections.OrderedDict[identifiers.Version, float] = (
            collections.OrderedDict()
        )
        self._listeners: list[VersionListener] = []
        self._last_version = _fold.FIRST_VERSION
        committer.watch(self.replica)
        self.replica.add_listener(self._handle_frame)

    @property
    def fold(self) -> _fold.ConfigurationFold:
        """Return the replicated state."""
        return self.replica.fold

    @property
    def document(self) -> _document.Document:
        """Return the document of the current version."""
        return self.replica.fold.document

    @property
    def version(self) -> identifiers.Version:
        """Return the newest version applied by this process."""
        return self.replica.fold.version

    @property
    def digest(self) -> str:
        """Return the digest of the current version."""
        return self.replica.fold.digest

    def add_listener(self, listener: VersionListener) -> None:
        """Call the listener now and after each change of the document."""
        self._listeners.append(listener)
        listener(self.document)

    def is_recent(self, max_age_seconds: float = MAX_READ_AGE_SECONDS) -> bool:
        """Return whether the version was recently confirmed as the newest."""
        return (
            self.replica.fault is None
            and self.follower.measure_read_age() <= max_age_seconds
        )

    def measure_lag(self, version: identifiers.Version) -> float:
        """Return the seconds since the version after this one arrived.

        Return 0 for the current version, infinity if the arrival time is
        no longer kept.
        """
        if version >= self.version:
            return 0.0
        arrived = self._arrivals.get(identifiers.Version(version + 1))
        if arrived is None:
            return float('inf')
        return self._clock.read_monotonic() - arrived

    async def start(self) -> None:
        await self.follower.start()

    async def stop(self) -> None:
        await self.follower.stop()

    async def wait_for_version(
        self, version: identifiers.Version, timeout_seconds: float
    ) -> bool:
        """Return whether the version is applied within the timeout."""

        def probe() -> bool | None:
            return True if self.version >= version else None

        return await self._wait(probe, timeout_seconds) is not None

    async def propose(
        self,
        proposal: _fold.PatchProposed,
        timeout_seconds: float = PROPOSAL_TIMEOUT_SECONDS,
    ) -> _fold.Decision:
        """Append a proposal and return the decision on it.

        Raise UnavailableError if the outcome is unknown after the timeout,
        RefusedError if the proposal was not appended.
        """
        known = self.find_decision(proposal.proposal_id)
        if known is not None:
            return known
        rejection = self._reject_early(proposal)
        if rejection is not None:
            return rejection
        committed = self._committer.submit(
            _fold.STREAM, _fold.encode_proposal(proposal)
        )

        def probe() -> _fold.Decision | errors.RefusedError | None:
            decision = self.find_decision(proposal.proposal_id)
            if decision is not None:
                return decision
            if committed.done() and not committed.cancelled():
                error = committed.exception()
                if isinstance(error, errors.RefusedError):
                    return error
            return None

        outcome: (
            _fold.Decision | errors.RefusedError | None
        ) = await self._wait(probe, timeout_seconds)
        if isinstance(outcome, errors.RefusedError):
            raise outcome
        if outcome is None:
            raise errors.UnavailableError(
                STEP,
                _fold.STREAM,
                f'the outcome of patch {proposal.proposal_id} is '
                'not known yet',
            )
        return outcome

    async def propose_rebased(
        self,
        proposal: _fold.PatchProposed,
        timeout_seconds: float = PROPOSAL_TIMEOUT_SECONDS,
    ) -> _fold.Decision:
        """Propose a patch; rebase it while no concurrent patch overlaps.

        The id of each attempt is derived from the first one, so that a
        repeated call finds the decisions on earlier attempts.
        """
        decision = await self.propose(proposal, timeout_seconds)
        for attempt in range(1, MAX_REBASE_ATTEMPTS):
            if decision.accepted or not self._can_rebase(proposal, decision):
                return decision
            retry_id = identifiers.ProposalId(
                f'{proposal.proposal_id}.{attempt}'
            )
            known = self.find_decision(retry_id)
            if known is not None:
                decision = known
                continue
            decision = await self.propose(
                _fold.PatchProposed(
                    retry_id,
                    self.version,
                    proposal.author,
                    proposal.proposed_at,
                    proposal.operations,
                ),
                timeout_seconds,
            )
        return decision

    def find_decision(
        self, proposal_id: identifiers.ProposalId
    ) -> _fold.Decision | None:
        """Return the decision on a proposal, None if none is known."""
        return self.fold.decisions.get(proposal_id)

    def _reject_early(
        self, proposal: _fold.PatchProposed
    ) -> _fold.Decision | None:
        """Return a refusal if appending the proposal could not change it."""
        if proposal.base >= self.version:
            if proposal.base > self.version:
                return None
            try:
                self.fold.preview(proposal.operations)
                return None
            except (_patch.PatchError, _validation.InvalidError):
                pass
        return self.fold.evaluate(proposal)

    def _can_rebase(
        self, proposal: _fold.PatchProposed, decision: _fold.Decision
    ) -> bool:
        later_patches = self.fold.list_changes_since(proposal.base)
        # No later patch, or the history since the base is not kept.
        if not later_patches or decision.version == proposal.base:
            return False
        later_paths = [
            path for patch in later_patches for path in patch.describe().paths
        ]
        own_paths = _patch.list_paths(proposal.operations)
        return _patch.find_overlap(own_paths, later_paths) is None

    def _handle_frame(self, applied: replication.AppliedFrame) -> None:
        if self.version == self._last_version:
            return
        errors.check_invariant(
            self.version > self._last_version,
            'versions only rise',
            _fold.STREAM,
            f'{self.version} after {self._last_version}',
        )
        now = self._clock.read_monotonic()
        for version in range(self._last_version + 1, self.version + 1):
            self._arrivals[identifiers.Version(version)] = now
            if len(self._arrivals) > MAX_ARRIVAL_TIMES:
                self._arrivals.popitem(last=False)
        self._last_version = self.version
        for listener in self._listeners:
            listener(self.document)

    async def _wait(
        self,
        probe: collections.abc.Callable[[], Result | None],
        timeout_seconds: float,
    ) -> Result | None:
        waiting = asyncio.ensure_future(self.follower.wait_until(probe))
        timeout = asyncio.ensure_future(self._clock.sleep(timeout_seconds))
        try:
            await asyncio.wait(
                (waiting, timeout), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timeout.cancel()
            if not waiting.done():
                waiting.cancel()
        return waiting.result() if waiting.done() else None
