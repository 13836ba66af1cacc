"""Validation of a configuration document beyond its types."""

import collections.abc
import dataclasses
import re
import typing

import msgspec

from chivespoke import errors
from chivespoke.operators import _document
from chivespoke.operators import _patch
from chivespoke import resources

STEP = 'validate the configuration'
# Sections that map names to entries.
ENTRY_TYPES: dict[str, type[msgspec.Struct]] = {
    'data_centres': _document.DataCentre,
    'services': _document.Service,
    'teams': _document.Team,
    'shards': _document.ShardGroup,
}
# Sections that consist of one entry.
SINGLE_ENTRY_TYPES: dict[str, type[msgspec.Struct]] = {
    'weights': _document.Weights,
    'limits': _document.Limits,
}
ERROR_PATH_PATTERN = re.compile(r' - at `\$([^`]*)`')
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')


class InvalidError(errors.ChivespokeError):
    """Report an invalid document; `peer` holds the path."""


@dataclasses.dataclass(slots=True)
class Finding:
    """Describe what is wrong with a field of an entry."""

    field: str
    reason: str


def validate_tree(tree: _patch.Tree) -> _document.Document:
    """Validate a whole tree and return its document; raise InvalidError."""
    return validate_changes(
        tree, _document.Document(), [[key] for key in (*tree, *ENTRY_TYPES)]
    )


def validate_changes(
    tree: _patch.Tree,
    before: _document.Document,
    changes: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> _document.Document:
    """Return the typed document after changes at the given paths.

    Only what the changes can affect is converted and checked again. Raise
    InvalidError with the path in the document.
    """
    sections: dict[str, typing.Any] = {}
    changed_names: dict[str, set[str]] = {}
    for parts in changes:
        if not parts:
            return validate_tree(tree)
        _convert_change(tree, before, parts, sections, changed_names)
    document = msgspec.structs.replace(before, **sections)
    _check_references(document, before, changed_names)
    return document


def _convert_change(
    tree: _patch.Tree,
    before: _document.Document,
    parts: collections.abc.Sequence[str],
    sections: dict[str, typing.Any],
    changed_names: dict[str, set[str]],
) -> None:
    section = parts[0]
    if section in SINGLE_ENTRY_TYPES:
        sections[section] = _convert(
            tree.get(section, {}), SINGLE_ENTRY_TYPES[section], section
        )
        _raise_first(check_single_entry(sections[section]), section)
        return
    if section not in ENTRY_TYPES:
        if section in tree:
            raise InvalidError(
                STEP, _patch.join_pointer(section), 'unknown section'
            )
        return
    raw = tree.get(section, {})
    if not isinstance(raw, dict):
        raise InvalidError(STEP, f'/{section}', 'must be a map of names')
    if len(parts) > 1:
        names = {parts[1]}
        if section not in sections:
            sections[section] = dict(getattr(before, section))
    else:
        names = {*raw, *getattr(before, section)}
        sections[section] = {}
    entries = sections[section]
    for name in sorted(names):
        if name in raw:
            entries[name] = _convert_entry(raw[name], section, name)
        else:
            entries.pop(name, None)
    changed_names.setdefault(section, set()).update(names)


def _convert_entry(raw: typing.Any, section: str, name: str) -> typing.Any:
    if NAME_PATTERN.fullmatch(name) is None:
        raise InvalidError(
            STEP,
            _patch.join_pointer(section, name),
            'a name must start with a letter or digit and have at most 63 '
            'letters, digits, dots, dashes or underscores',
        )
    entry = _convert(raw, ENTRY_TYPES[section], section, name)
    _raise_first(check_entry(entry), section, name)
    return entry


def _convert(
    raw: typing.Any, expected: type[msgspec.Struct], *path: str
) -> typing.Any:
    try:
        return msgspec.convert(raw, expected)
    except msgspec.ValidationError as error:
        text = str(error)
        found = ERROR_PATH_PATTERN.search(text)
        inner = found.group(1) if found is not None else ''
        fields = re.findall(r'[^.\[\]]+', inner)
        raise InvalidError(
            STEP,
            _patch.join_pointer(*path, *fields),
            ERROR_PATH_PATTERN.sub('', text),
        ) from error


def _raise_first(
    findings: collections.abc.Iterable[Finding], *path: str
) -> None:
    for finding in findings:
        raise InvalidError(
            STEP, _patch.join_pointer(*path, finding.field), finding.reason
        )


def check_entry(entry: msgspec.Struct) -> collections.abc.Iterator[Finding]:
    """Yield the findings for one entry, without its references."""
    if isinstance(entry, _document.DataCentre):
        if not entry.region:
            yield Finding('region', 'must not be empty')
        yield from _check_positive(entry, ('leave_within',), zero=True)
    elif isinstance(entry, _document.Team):
        yield from _check_amount('quota', entry.quota)
        yield from _check_positive(entry, ('request_rate',), zero=True)
    elif isinstance(entry, _document.Service):
        yield from _check_amount('size', entry.size)
        yield from _check_positive(entry, ('replicas',), zero=True)
        yield from _check_positive(
            entry, ('latency_target', 'slots_per_server')
        )


def check_single_entry(
    entry: msgspec.Struct,
) -> collections.abc.Iterator[Finding]:
    """Yield the findings for a section that consists of one entry."""
    fields = entry.__struct_fields__
    yield from _check_positive(entry, fields, zero=True)
    if isinstance(entry, _document.Weights):
        if not any(getattr(entry, field) for field in fields):
            yield Finding(fields[0], 'not all weights may be 0')
    elif isinstance(entry, _document.Limits) and entry.body_bytes == 0:
        yield Finding('body_bytes', 'must be above 0')


def _check_positive(
    entry: msgspec.Struct,
    fields: collections.abc.Iterable[str],
    zero: bool = False,
) -> collections.abc.Iterator[Finding]:
    for field in fields:
        value = getattr(entry, field)
        # Written so that NaN fails the comparison too.
        if not (value > 0 or (zero and value == 0)) or value == float('inf'):
            bound = 'at least 0' if zero else 'above 0'
            yield Finding(field, f'must be finite and {bound}')


def _check_amount(
    field: str, amount: resources.Resources
) -> collections.abc.Iterator[Finding]:
    if not amount.is_valid():
        yield Finding(field, 'amounts must be at least 0')


def _check_references(
    document: _document.Document,
    before: _document.Document,
    changed_names: dict[str, set[str]],
) -> None:
    """Check that services refer to existing teams and data centres.

    All services are checked if a team or data centre was removed, else only
    the changed ones.
    """
    has_removed_names = any(
        name not in getattr(document, section)
        for section in ('teams', 'data_centres')
        for name in changed_names.get(section, ())
    )
    names: collections.abc.Iterable[str] = (
        document.services
        if has_removed_names
        else changed_names.get('services', ())
    )
    for name in sorted(names):
        service = document.services.get(typing.cast(typing.Any, name))
        if service is None:
            continue
        if service.team not in document.teams:
            raise InvalidError(
                STEP,
                _patch.join_pointer('services', name, 'team'),
                f'unknown team {service.team}',
            )
        for index, data_centre in enumerate(service.data_centres):
            if data_centre not in document.data_centres:
                raise InvalidError(
                    STEP,
                    _patch.join_pointer(
                        'services', name, 'data_centres', str(index)
                    ),
                    f'unknown data centre {data_centre}',
                )
