"""State machine that turns proposed patches into numbered versions."""

import collections
import collections.abc
import copy
import typing

import msgspec
import xxhash

from chivespoke import errors
from chivespoke import identifiers
from chivespoke.operators import _document
from chivespoke.operators import _patch
from chivespoke.operators import _validation
from chivespoke import replication

STREAM = 'configuration'
# Accepted patches kept for the history and for older versions.
MAX_HISTORY_PATCHES = 1024
# Decisions kept so that a retried proposal returns its first decision.
MAX_DECISIONS = 4096
# Changes listed in a refusal, newest.
MAX_LISTED_CHANGES = 20
FIRST_VERSION = identifiers.Version(0)


class PatchProposed(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='patch',
    forbid_unknown_fields=True,
):
    """Propose the next version of the configuration."""

    proposal_id: identifiers.ProposalId
    base: identifiers.Version
    author: str
    # Wall-clock time of the proposer, in seconds; for display only.
    proposed_at: float
    operations: tuple[_patch.Operation, ...]


class Change(msgspec.Struct, frozen=True):
    """Describe the author of a version and the paths that it changed."""

    version: identifiers.Version
    author: str
    paths: tuple[str, ...]


class Decision(msgspec.Struct, frozen=True):
    """Hold the immutable outcome of a proposal."""

    proposal_id: identifiers.ProposalId
    accepted: bool
    # The version created, or the current version at the refusal.
    version: identifiers.Version
    reason: str = ''
    # JSON pointer to the cause of the refusal; empty if there is no single
    # one.
    path: str = ''
    # The newest changes accepted since the proposal's base.
    changed: tuple[Change, ...] = ()


class AcceptedPatch(msgspec.Struct, frozen=True):
    """Record the patch that created a version."""

    version: identifiers.Version
    proposal_id: identifiers.ProposalId
    author: str
    proposed_at: float
    operations: tuple[_patch.Operation, ...]
    digest: str

    def describe(self) -> Change:
        """Return the author and the changed paths."""
        return Change(
            self.version, self.author, _patch.list_paths(self.operations)
        )


class Preview(typing.NamedTuple):
    """Hold the result of operations that have not been accepted."""

    tree: _patch.Tree
    document: _document.Document


class _State(msgspec.Struct, frozen=True, array_like=True):
    version: identifiers.Version
    digest: str
    tree: _patch.Tree
    oldest_version: identifiers.Version
    oldest_tree: _patch.Tree
    history: tuple[AcceptedPatch, ...]
    decisions: tuple[Decision, ...]


ENCODER = msgspec.msgpack.Encoder(order='deterministic')
RECORD_DECODER = msgspec.msgpack.Decoder(PatchProposed)
STATE_DECODER = msgspec.msgpack.Decoder(_State)


def encode_proposal(proposal: PatchProposed) -> bytes:
    """Return the log record of a proposal."""
    return ENCODER.encode(proposal)


class ConfigurationFold(replication.Fold[PatchProposed]):
    """Hold the configuration, its history and decisions on proposals."""

    __slots__ = (
        'version',
        'digest',
        'tree',
        'document',
        'history',
        'decisions',
        'oldest_version',
        '_oldest_tree',
    )

    def __init__(self) -> None:
        self.version = FIRST_VERSION
        # Hash chain over the accepted patches: equal digests mean equal
        # histories.
        self.digest = ''
        # Contains every section, so that the first patch can add to any.
        self.tree: _patch.Tree = msgspec.to_builtins(_document.Document())
        self.document = _document.Document()
        self.history: collections.deque[AcceptedPatch] = collections.deque()
        self.decisions: collections.OrderedDict[
            identifiers.ProposalId, Decision
        ] = collections.OrderedDict()
        # The version to which the oldest patch in the history was applied.
        self.oldest_version = FIRST_VERSION
        self._oldest_tree: _patch.Tree = self.tree

    def decode(self, record: bytes) -> PatchProposed:
        try:
            return RECORD_DECODER.decode(record)
        except msgspec.MsgspecError as error:
            raise replication.UnreadableError(
                'read a patch', STREAM, str(error)
            ) from error

    def apply(
        self, record: PatchProposed, position: replication.Position
    ) -> None:
        if record.proposal_id in self.decisions:
            return
        decision, preview = self._evaluate(record)
        if preview is not None:
            self._accept(record, preview)
        self.decisions[record.proposal_id] = decision
        if len(self.decisions) > MAX_DECISIONS:
            self.decisions.popitem(last=False)

    def encode_state(self) -> bytes:
        return ENCODER.encode(
            _State(
                self.version,
                self.digest,
                self.tree,
                self.oldest_version,
                self._oldest_tree,
                tuple(self.history),
                tuple(self.decisions.values()),
            )
        )

    def restore_state(self, state: bytes) -> None:
        try:
            decoded = STATE_DECODER.decode(state)
            document = _validation.validate_tree(decoded.tree)
        except (msgspec.MsgspecError, _validation.InvalidError) as error:
            raise replication.UnreadableError(
                'read a snapshot', STREAM, str(error)
            ) from error
        errors.check_invariant(
            decoded.version >= self.version,
            'versions only rise',
            STREAM,
            f'{decoded.version} after {self.version}',
        )
        errors.check_invariant(
            decoded.version > self.version
            or decoded.digest == self.digest
            or not self.digest,
            'an accepted version never reverts',
            STREAM,
        )
        self.version = decoded.version
        self.digest = decoded.digest
        self.tree = decoded.tree
        self.document = document
        self.history = collections.deque(decoded.history)
        self.decisions = collections.OrderedDict(
            (decision.proposal_id, decision) for decision in decoded.decisions
        )
        self.oldest_version = decoded.oldest_version
        self._oldest_tree = decoded.oldest_tree

    def preview(self, operations: tuple[_patch.Operation, ...]) -> Preview:
        """Return the result of operations on the current version.

        The state is unchanged. Raise PatchError or InvalidError.
        """
        tree = _patch.apply_operations(self.tree, operations)
        paths = _patch.list_paths(operations)
        changes = [_patch.split_pointer(path) for path in paths]
        document = _validation.validate_changes(tree, self.document, changes)
        return Preview(tree, document)

    def list_changes_since(
        self, base: identifiers.Version
    ) -> tuple[AcceptedPatch, ...] | None:
        """Return the patches after a version, None if some are not kept."""
        if base < self.oldest_version or base > self.version:
            return None
        count = self.version - base
        start = len(self.history) - count
        return tuple(self.history[index + start] for index in range(count))

    def rebuild_tree(self, version: identifiers.Version) -> _patch.Tree | None:
        """Return the document tree of a version, None if it is not kept."""
        if version < self.oldest_version or version > self.version:
            return None
        tree = copy.deepcopy(self._oldest_tree)
        for accepted in self.history:
            if accepted.version > version:
                break
            tree = _patch.apply_operations(tree, accepted.operations)
        return tree

    def evaluate(self, proposal: PatchProposed) -> Decision:
        """Return the decision on a proposal without applying it."""
        return self._evaluate(proposal)[0]

    def _evaluate(
        self, proposal: PatchProposed
    ) -> tuple[Decision, Preview | None]:
        if proposal.base != self.version:
            return self._refuse_base(proposal), None
        if not proposal.operations:
            reason = 'the patch has no operations'
            return self._refuse(proposal, reason), None
        try:
            preview = self.preview(proposal.operations)
        except (_patch.PatchError, _validation.InvalidError) as error:
            reason = f'{error.step}: {error.detail}'
            return self._refuse(proposal, reason, error.peer), None
        version = identifiers.Version(self.version + 1)
        return Decision(proposal.proposal_id, True, version), preview

    def _accept(self, proposal: PatchProposed, preview: Preview) -> None:
        version = identifiers.Version(self.version + 1)
        self.tree = preview.tree
        self.document = preview.document
        self.digest = _chain_digest(self.digest, proposal)
        self.version = version
        self.history.append(
            AcceptedPatch(
                version,
                proposal.proposal_id,
                proposal.author,
                proposal.proposed_at,
                proposal.operations,
                self.digest,
            )
        )
        if len(self.history) > MAX_HISTORY_PATCHES:
            oldest = self.history.popleft()
            self._oldest_tree = _patch.apply_operations(
                self._oldest_tree, oldest.operations
            )
            self.oldest_version = oldest.version

    def _refuse(
        self, proposal: PatchProposed, reason: str, path: str = ''
    ) -> Decision:
        return Decision(
            proposal.proposal_id, False, self.version, reason, path
        )

    def _refuse_base(self, proposal: PatchProposed) -> Decision:
        if proposal.base > self.version:
            return self._refuse(
                proposal, f'version {proposal.base} does not exist'
            )
        later_patches = self.list_changes_since(proposal.base)
        reason = (
            f'the base is version {proposal.base}, the configuration '
            f'stands at {self.version}'
        )
        changed = [patch.describe() for patch in later_patches or ()]
        paths = _patch.list_paths(proposal.operations)
        overlapping_path = _find_overlapping_path(paths, changed)
        return Decision(
            proposal.proposal_id,
            False,
            self.version,
            reason,
            overlapping_path,
            tuple(changed[-MAX_LISTED_CHANGES:]),
        )


def _find_overlapping_path(
    paths: collections.abc.Iterable[str],
    changed: collections.abc.Iterable[Change],
) -> str:
    changed_paths = [path for change in changed for path in change.paths]
    try:
        return _patch.find_overlap(paths, changed_paths) or ''
    except _patch.APPLY_ERRORS:
        # A malformed pointer overlaps no path.
        return ''


def _chain_digest(previous: str, proposal: PatchProposed) -> str:
    content: typing.Any = (previous, proposal.operations)
    return xxhash.xxh3_64_hexdigest(ENCODER.encode(content))
