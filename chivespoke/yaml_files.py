"""Typed reading of YAML files.

Errors name the line and the key and suggest a correction.
"""

import difflib
import pathlib
import re
import typing

import msgspec
import ruamel.yaml
from ruamel.yaml import comments
from ruamel.yaml import error as yaml_error

from chivespoke import errors

UNKNOWN_FIELD = re.compile('unknown field `([^`]*)`')
MISSING_FIELD = re.compile('missing required field `([^`]*)`')
# A location is `$` followed by steps of the form `.key`, `[3]` or `[...]`.
LOCATION = re.compile(r' - at `(?:key in )?\$([^`]*)`$')
LOCATION_STEP = re.compile(r'\.([^.\[]+)|\[(\d+|\.\.\.)\]')

Expected = typing.TypeVar('Expected')


def read_yaml(
    path: pathlib.Path, expected: type[Expected], step: str
) -> Expected:
    """Read a file as the expected struct; raise SettingsError."""
    text = _read_text(path, step)
    value = _load(text, path, step, 'safe')
    try:
        return msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        # Only the round-trip loader keeps line numbers, but its scalars are
        # not the plain numbers that msgspec.convert requires.
        tree = _load(text, path, step, 'rt')
        line, detail = _explain_error(tree, str(error), expected)
        raise errors.SettingsError(step, f'{path}:{line}', detail) from error


def read_keys(path: pathlib.Path, step: str) -> frozenset[str]:
    """Return the top-level keys of a file; raise SettingsError."""
    value = _load(_read_text(path, step), path, step, 'safe')
    if not isinstance(value, dict):
        return frozenset()
    return frozenset(str(key) for key in value)


def _read_text(path: pathlib.Path, step: str) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        detail = error.strerror or str(error)
        raise errors.SettingsError(step, str(path), detail) from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(
            step, str(path), 'the file is not UTF-8 text'
        ) from error


def _load(text: str, path: pathlib.Path, step: str, kind: str) -> typing.Any:
    try:
        return ruamel.yaml.YAML(typ=kind, pure=True).load(text)
    except yaml_error.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 1
        problem = str(error.problem).splitlines()[0]
        raise errors.SettingsError(
            step, f'{path}:{line}', f'not valid YAML: {problem}'
        ) from error


def _explain_error(
    tree: typing.Any, message: str, expected: type
) -> tuple[int, str]:
    """Return the line and a message with the key and what is expected."""
    location = LOCATION.search(message)
    reason = LOCATION.sub('', message)
    keys = _split_location(location.group(1)) if location else []
    unknown = UNKNOWN_FIELD.search(message)
    missing = MISSING_FIELD.search(message)
    if unknown is not None:
        name = unknown.group(1)
        line, _ = _locate(tree, [*keys, name])
        return line, _explain_unknown(keys, name, expected)
    line, value = _locate(tree, keys)
    if missing is not None:
        name = '.'.join([*keys, missing.group(1)])
        return line, f'the key {name} is missing; add it'
    # Messages of a struct's __post_init__ begin with the key concerned.
    subject = reason.partition(' ')[0]
    if isinstance(value, dict) and subject in value:
        keys.append(subject)
        line, value = _locate(tree, keys)
    if not keys:
        return line, reason
    shown = value if isinstance(value, str | int | float | bool) else 'value'
    return line, f'{".".join(keys)}: {shown!r} is invalid: {reason}'


def _explain_unknown(keys: list[str], name: str, expected: type) -> str:
    known = _list_fields(expected, keys)
    close = difflib.get_close_matches(name, known, 1)
    suggestion = f'did you mean {close[0]}?' if close else 'remove it'
    full_name = '.'.join([*keys, name])
    return (
        f'unknown key {full_name}; {suggestion} Known here: {", ".join(known)}'
    )


def _list_fields(expected: type, keys: list[str]) -> list[str]:
    """Return the field names of the struct at the path of keys."""
    found: msgspec.inspect.Type = msgspec.inspect.type_info(expected)
    for key in keys:
        if isinstance(found, msgspec.inspect.StructType):
            fields = {field.encode_name: field for field in found.fields}
            if key not in fields:
                return []
            found = fields[key].type
        elif isinstance(found, msgspec.inspect.DictType):
            found = found.value_type
        if isinstance(found, msgspec.inspect.UnionType):
            found = found.types[0]
    if isinstance(found, msgspec.inspect.StructType):
        return [field.encode_name for field in found.fields]
    return []


def _split_location(location: str) -> list[str]:
    return [key or index for key, index in LOCATION_STEP.findall(location)]


def _locate(tree: typing.Any, keys: list[str]) -> tuple[int, typing.Any]:
    """Return the line and the value of the deepest key that exists."""
    line = 1
    for key in keys:
        if isinstance(tree, comments.CommentedMap) and key in tree:
            line = tree.lc.key(key)[0] + 1
            tree = tree[key]
        elif isinstance(tree, comments.CommentedSeq) and key.isdigit():
            line = tree.lc.item(int(key))[0] + 1
            tree = tree[int(key)]
        else:
            break
    return line, tree
