"""JSON patches (RFC 6902) of the configuration document."""

import collections.abc
import copy
import enum
import functools
import typing

import jsonpatch
import jsonpointer
import msgspec

from chivespoke import errors

Tree = dict[str, typing.Any]
POINTER_CACHE_SIZE = 4096
APPLY_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    # Raised by the library for operands of unexpected types.
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


class OperationKind(enum.Enum):
    """List the operations of RFC 6902."""

    ADD = 'add'
    REMOVE = 'remove'
    REPLACE = 'replace'
    MOVE = 'move'
    COPY = 'copy'
    TEST = 'test'


class Operation(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={'source': 'from'},
):
    """Represent one operation of a patch."""

    op: OperationKind
    path: str
    value: typing.Any = msgspec.UNSET
    source: str | None = None


class PatchError(errors.ChivespokeError):
    """Report a patch that cannot be applied; `peer` holds the path."""


OPERATIONS_DECODER = msgspec.json.Decoder(tuple[Operation, ...])


def decode_operations(encoded: bytes) -> tuple[Operation, ...]:
    """Return the operations of a JSON patch; raise PatchError."""
    try:
        return OPERATIONS_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise PatchError('read a patch', '', str(error)) from error


def apply_operations(
    tree: Tree, operations: collections.abc.Iterable[Operation]
) -> Tree:
    """Return a patched copy of a tree; raise PatchError.

    Only the containers along the changed paths are copied: the library's
    deep copy of the whole document would dominate the time of a replay.
    """
    changed: typing.Any = dict(tree)
    for operation in operations:
        if _set_member(changed, operation):
            continue
        try:
            _copy_containers(changed, operation.path)
            if operation.source is not None:
                _copy_containers(changed, operation.source)
            changed = jsonpatch.apply_patch(
                changed, [msgspec.to_builtins(operation)], in_place=True
            )
        except APPLY_ERRORS as error:
            raise PatchError(
                f'apply {operation.op.value}', operation.path, str(error)
            ) from error
    if not isinstance(changed, dict):
        raise PatchError('apply a patch', '', 'the document must be a map')
    return changed


@functools.lru_cache(maxsize=POINTER_CACHE_SIZE)
def split_pointer(pointer: str) -> tuple[str, ...]:
    """Return the parts of a JSON pointer."""
    parts = jsonpointer.JsonPointer(pointer).parts
    return tuple(str(part) for part in parts)


def join_pointer(*parts: str) -> str:
    """Return the JSON pointer with the given parts."""
    return str(jsonpointer.JsonPointer.from_parts(parts).path)


def list_paths(
    operations: collections.abc.Iterable[Operation],
) -> tuple[str, ...]:
    """Return the distinct paths in the operations, in order."""
    paths: dict[str, None] = {}
    for operation in operations:
        paths[operation.path] = None
        if operation.source is not None:
            paths[operation.source] = None
    return tuple(paths)


def find_overlap(
    paths: collections.abc.Iterable[str],
    other_paths: collections.abc.Iterable[str],
) -> str | None:
    """Return the first path that overlaps one of the other paths.

    Two paths overlap if they are equal or one contains the other.
    """
    other_prefixes = [_truncate_at_index(path) for path in other_paths]
    for path in paths:
        prefix = _truncate_at_index(path)
        for other in other_prefixes:
            common_length = min(len(prefix), len(other))
            if prefix[:common_length] == other[:common_length]:
                return path
    return None


def make_operations(before: Tree, after: Tree) -> tuple[Operation, ...]:
    """Return the operations that transform one tree into the other."""
    return msgspec.convert(
        jsonpatch.make_patch(before, after).patch, tuple[Operation, ...]
    )


def _truncate_at_index(pointer: str) -> list[str]:
    """Return the parts of a pointer before the first list index.

    An insertion shifts all later elements, so any two paths into the same
    list count as overlapping.
    """
    leading_parts: list[str] = []
    for part in split_pointer(pointer):
        if part == '-' or part.isdigit():
            break
        leading_parts.append(part)
    return leading_parts


def _set_member(tree: typing.Any, operation: Operation) -> bool:
    """Add or replace a member of a map; return whether it was done.

    This is a fast path for nearly every patch: the library takes about
    twenty times as long. Other operations and errors are left to the
    library.
    """
    if operation.op not in (OperationKind.ADD, OperationKind.REPLACE) or (
        operation.value is msgspec.UNSET or not operation.path
    ):
        return False
    try:
        *parents, name = split_pointer(operation.path)
    except APPLY_ERRORS:
        return False
    node = tree
    for part in parents:
        node = node.get(part) if isinstance(node, dict) else None
    if not isinstance(node, dict) or (
        operation.op is OperationKind.REPLACE and name not in node
    ):
        return False
    for part in parents:
        tree[part] = tree = dict(tree[part])
    tree[name] = operation.value
    return True


def _copy_containers(tree: typing.Any, pointer: str) -> None:
    node = tree
    for part in split_pointer(pointer)[:-1]:
        if isinstance(node, list):
            if not part.isdigit() or int(part) >= len(node):
                return
            key: typing.Any = int(part)
        elif isinstance(node, dict) and part in node:
            key = part
        else:
            return
        node[key] = copy.copy(node[key])
        node = node[key]
