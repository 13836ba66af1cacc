"""Descriptions of the settings keys, generated from the structs."""

import enum
import typing

import msgspec
from msgspec import inspect

REQUIRED = 'required'


class KeyDescription(msgspec.Struct, frozen=True):
    """Describe one key of a settings file."""

    name: str
    type_name: str
    default: str


def list_keys(expected: type[msgspec.Struct]) -> list[KeyDescription]:
    """Return the keys of a struct; nested keys have dotted names."""
    found = inspect.type_info(expected)
    if not isinstance(found, inspect.StructType):
        return []
    return list(_iterate_keys(found, '', None))


def _iterate_keys(
    struct: inspect.StructType, prefix: str, default_object: object
) -> typing.Iterator[KeyDescription]:
    for field in struct.fields:
        name = prefix + field.encode_name
        default = (
            field.default
            if default_object is None
            else getattr(default_object, field.name)
        )
        if isinstance(field.type, inspect.StructType) and not field.required:
            yield from _iterate_keys(field.type, f'{name}.', default)
            continue
        yield KeyDescription(
            name, _name_type(field.type), _format_default(default)
        )


def _format_default(value: object) -> str:
    if value is msgspec.NODEFAULT:
        return REQUIRED
    if value is None:
        return 'none'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return '[]'
    return str(value)


def _name_type(found: inspect.Type) -> str:
    if isinstance(found, inspect.StrType):
        return 'text'
    if isinstance(found, inspect.BoolType):
        return 'true or false'
    if isinstance(found, inspect.IntType):
        return 'integer' + _name_range(found)
    if isinstance(found, inspect.FloatType):
        return 'number' + _name_range(found)
    if isinstance(found, inspect.LiteralType):
        return 'one of ' + ', '.join(str(value) for value in found.values)
    if isinstance(found, inspect.EnumType):
        return 'one of ' + ', '.join(member.value for member in found.cls)
    if isinstance(found, inspect.VarTupleType):
        return f'list of {_name_type(found.item_type)}'
    if isinstance(found, inspect.UnionType):
        return _name_type(found.types[0])
    if isinstance(found, inspect.StructType):
        names = ', '.join(field.encode_name for field in found.fields)
        return f'mapping of {names}'
    return 'value'


def _name_range(found: inspect.IntType | inspect.FloatType) -> str:
    bounds = (
        ('from', found.ge),
        ('above', found.gt),
        ('to', found.le),
        ('below', found.lt),
    )
    return ''.join(
        f' {word} {bound}' for word, bound in bounds if bound is not None
    )
