"""Tests of the configuration fold, also against a naive model."""

import copy
import typing
import unittest

import hypothesis
from hypothesis import strategies
import jsonpatch
import jsonpointer
import msgspec

from chivespoke import identifiers
from chivespoke import operators
from chivespoke.operators import _fold
from chivespoke.operators import _patch
from chivespoke.operators.tests import builders

# The operation and the path that the refusal must name; None for any path.
REFUSED_CASES: tuple[tuple[tuple[str, str, typing.Any], str | None], ...] = (
    (('add', '/services/x', {'team': 'nobody'}), '/services/x/team'),
    (
        ('add', '/services/counts/data_centres/-', 'jaffna-1'),
        '/services/counts/data_centres/1',
    ),
    (('remove', '/teams/counting', None), '/services/counts/team'),
    (('remove', '/teams', None), '/services/counts/team'),
    (
        ('replace', '/services/counts/replicas', -1),
        '/services/counts/replicas',
    ),
    (
        ('replace', '/services/counts/replicas', '3'),
        '/services/counts/replicas',
    ),
    (('add', '/services/counts/password', 's'), '/services/counts'),
    (('add', '/secrets', {}), '/secrets'),
    (('replace', '/weights/tail_latency', -1.0), '/weights/tail_latency'),
    (('add', '/teams/-bad-', {'quota': [1, 1, 1]}), '/teams/-bad-'),
    (('replace', '/services/none/replicas', 1), '/services/none/replicas'),
    (('test', '/services/counts/replicas', 9), '/services/counts/replicas'),
    (('replace', '', []), ''),
    (('replace', 'no-pointer', 1), 'no-pointer'),
    (('remove', '/services/counts/data_centres/x', None), None),
)

NAMES = strategies.sampled_from(('a', 'b', 'counts'))
PATHS = strategies.sampled_from(
    (
        '',
        '/services',
        '/services/a',
        '/services/counts/replicas',
        '/services/counts/data_centres/0',
        '/services/counts/data_centres/-',
        '/teams/counting',
        '/teams/a',
        '/data_centres/colombo-2',
        '/data_centres/colombo-1/state',
        '/weights/evictions',
        '/limits',
        '/other',
    )
)
VALUES = strategies.sampled_from(
    (
        0,
        5,
        -1,
        'colombo-2',
        'out-of-service',
        {},
        {'team': 'counting', 'replicas': 2},
        {'team': 'a'},
        {'quota': [1000, 1000, 0]},
        {'region': 'western'},
        builders.BASE_TREE,
    )
)
OPERATIONS = strategies.builds(
    operators.Operation,
    strategies.sampled_from(operators.OperationKind),
    PATHS,
    VALUES,
    strategies.none() | PATHS,
)
PATCHES = strategies.tuples(
    strategies.integers(-1, 2),
    strategies.integers(0, 40),
    strategies.lists(OPERATIONS, min_size=1, max_size=3),
)


class NaiveConfiguration:
    """Replay all proposals from the start, with deep copies."""

    def __init__(self) -> None:
        self.proposals: list[operators.PatchProposed] = []

    def replay(self) -> tuple[int, typing.Any, dict[str, bool]]:
        version = 0
        tree: typing.Any = msgspec.to_builtins(operators.Document())
        outcomes: dict[str, bool] = {}
        for proposal in self.proposals:
            if proposal.proposal_id in outcomes:
                continue
            candidate = None
            if proposal.base == version:
                candidate = self.patch(tree, proposal)
            outcomes[proposal.proposal_id] = candidate is not None
            if candidate is not None:
                version, tree = version + 1, candidate
        return version, tree, outcomes

    def patch(
        self, tree: typing.Any, proposal: operators.PatchProposed
    ) -> typing.Any:
        operations = msgspec.to_builtins(proposal.operations)
        try:
            changed = jsonpatch.apply_patch(copy.deepcopy(tree), operations)
            msgspec.convert(changed, operators.Document)
            operators.validate_tree(changed)
        except (
            jsonpatch.JsonPatchException,
            jsonpointer.JsonPointerException,
            msgspec.ValidationError,
            operators.InvalidError,
            TypeError,
            KeyError,
            AttributeError,
        ):
            return None
        return changed


class FoldTest(unittest.TestCase):
    """Test accepted and refused patches, history and snapshots."""

    def test_refusals_name_the_path(self) -> None:
        for number, (operation, path) in enumerate(REFUSED_CASES):
            with self.subTest(operation=operation):
                fold = builders.build_fold()
                before = copy.deepcopy(fold.tree)
                fold.apply(
                    builders.build_proposal(
                        f'p{number}', 1, builders.build_operation(*operation)
                    ),
                    builders.build_position(1),
                )
                decision = tuple(fold.decisions.values())[-1]
                self.assertFalse(decision.accepted)
                self.assertTrue(decision.reason)
                if path is not None:
                    self.assertEqual(path, decision.path)
                self.assertEqual((1, before), (fold.version, fold.tree))

    def test_conflict_refusal_lists_concurrent_changes(self) -> None:
        fold = builders.build_fold()
        path = '/services/counts/replicas'
        for name, count in (('kumari', 4), ('ravi', 5)):
            fold.apply(
                builders.build_proposal(
                    name,
                    1,
                    builders.build_operation('replace', path, count),
                    author=name,
                ),
                builders.build_position(1),
            )
        accepted, refused = tuple(fold.decisions.values())[-2:]
        self.assertTrue(accepted.accepted)
        self.assertFalse(refused.accepted)
        self.assertEqual(path, refused.path)
        self.assertEqual(
            (operators.Change(fold.version, 'kumari', (path,)),),
            refused.changed,
        )
        self.assertIn('version 1', refused.reason)

    def test_history_is_bounded_and_kept_versions_are_rebuilt(self) -> None:
        fold = builders.build_fold()
        trees = {0: operators.ConfigurationFold().tree, 1: fold.tree}
        extra = 40
        for version in range(1, _fold.MAX_HISTORY_PATCHES + extra):
            fold.apply(
                builders.build_proposal(
                    f'p{version}',
                    version,
                    builders.build_operation(
                        'replace', '/services/counts/replicas', version
                    ),
                ),
                builders.build_position(version),
            )
            trees[version + 1] = fold.tree
        self.assertEqual(_fold.MAX_HISTORY_PATCHES, len(fold.history))
        oldest = fold.oldest_version
        self.assertIsNone(fold.rebuild_tree(identifiers.Version(oldest - 1)))
        for kept in (oldest, identifiers.Version(oldest + 7), fold.version):
            self.assertEqual(trees[kept], fold.rebuild_tree(kept))

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(strategies.lists(PATCHES, max_size=12))
    def test_fold_matches_naive_replay_and_restored_snapshots(
        self, patches: list[tuple[int, int, list[operators.Operation]]]
    ) -> None:
        fold = builders.build_fold()
        naive = NaiveConfiguration()
        naive.proposals.append(
            builders.build_proposal('first', 0, *builders.BASE_OPERATIONS)
        )
        for offset, (base_offset, proposal_number, operations) in enumerate(
            patches, 1
        ):
            proposal = builders.build_proposal(
                f'p{proposal_number}', fold.version + base_offset, *operations
            )
            naive.proposals.append(proposal)
            before = fold.version
            fold.apply(
                fold.decode(operators.encode_proposal(proposal)),
                builders.build_position(offset),
            )
            self.assertIn(fold.version - before, (0, 1))
            # Simulate a process that starts from a snapshot at this point.
            restored = operators.ConfigurationFold()
            restored.restore_state(fold.encode_state())
            self.assertEqual(fold.encode_state(), restored.encode_state())
            self.assertEqual(fold.document, restored.document)
            fold = restored
        version, tree, outcomes = naive.replay()
        self.assertEqual(version, fold.version)
        self.assertEqual(tree, fold.tree)
        self.assertEqual(
            outcomes,
            {
                key: decision.accepted
                for key, decision in fold.decisions.items()
            },
        )
        self.assertEqual(operators.validate_tree(tree), fold.document)


class OverlapTest(unittest.TestCase):
    """Test which paths overlap."""

    def test_overlaps(self) -> None:
        cases = (
            ('/a/b', '/a/b', True),
            ('/a', '/a/b', True),
            ('/a/b', '/a', True),
            ('/a/b', '/a/c', False),
            ('/a/b', '/a/bc', False),
            ('/a/0', '/a/7', True),
            ('/a/-', '/a/0', True),
            ('/a/0', '/b/0', False),
            ('', '/b', True),
            ('/a~1b', '/a/b', False),
        )
        for path, other_path, overlaps in cases:
            with self.subTest(path=path, other_path=other_path):
                found = _patch.find_overlap((path,), (other_path,))
                self.assertEqual(path if overlaps else None, found)


if __name__ == '__main__':
    unittest.main()
