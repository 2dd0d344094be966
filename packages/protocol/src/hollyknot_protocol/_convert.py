"""Builds converters between attrs classes and their thrift structs.

A converter is built once per registered class. The class and its struct have
the same field names. These Python types are converted to these thrift types:

- `int`: `i16`, `i32`, `i64`; or `binary` of 8 bytes for an unsigned 64-bit int;
- `bool`: `bool`; `float`: `double`; `str`: `string`; `bytes`: `binary`;
- an enum: `string`, `i16`, `i32` or `i64`, depending on its values;
- an attrs class: a struct;
- `tuple[X, ...]`: `list<X>`; `frozenset[X]`: `set<X>`;
- `dict[K, V]`: `map<K, V>`;
- `X | None`: any of these; `None` is an absent field.

An empty tuple in a field whose default is one is an absent field too.
"""

import enum
import operator
import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
from thrift.Thrift import TType

from hollyknot_protocol._errors import UnknownValueError

Convert = Callable[[Any], Any]

_INTEGERS = (TType.I16, TType.I32, TType.I64)
_SCALAR_TTYPES = {
    int: _INTEGERS,
    bool: (TType.BOOL,),
    float: (TType.DOUBLE,),
    str: (TType.STRING,),
    bytes: (TType.STRING,),
}
_U64_BYTES = 8
_BINARY = "BINARY"


@attrs.frozen
class Converter:
    """The conversions of one class in both directions.

    Attributes:
        to_struct: Converts an attrs instance to a thrift struct.
        from_struct: Converts a thrift struct to an attrs instance. Raises
            `UnknownValueError` for an unknown enum value, and whatever the
            class's validators raise.
    """

    to_struct: Convert
    from_struct: Convert


@attrs.frozen
class _Pair:
    """The conversions of one type; `_identity` where values stay unchanged."""

    to_wire: Convert
    from_wire: Convert


def _identity(value: Any) -> Any:
    return value


_IDENTITY = _Pair(_identity, _identity)


def make_converter(message: type[Any], struct: type[Any]) -> Converter:
    """Builds the converter between an attrs class and a thrift struct.

    Raises:
        TypeError: The fields of the two differ in name or type, or the class
            has a keyword-only field.
    """
    specs = {spec[2]: spec for spec in struct.thrift_spec if spec}
    hints = typing.get_type_hints(message)
    names = [field.name for field in attrs.fields(message)]
    if any(field.kw_only for field in attrs.fields(message)):
        raise TypeError(
            f"{message.__name__} has a kw_only field; make it positional, as"
            " the converter passes the fields by position"
        )
    if set(names) != set(specs):
        raise TypeError(
            f"{message.__name__}: the attrs class has the fields"
            f" {sorted(names)}, its thrift struct has {sorted(specs)}; make"
            " them equal and run `make generate`"
        )
    pairs = {
        name: _make_pair(
            f"{message.__name__}.{name}", hints[name], *specs[name][1:4:2]
        )
        for name in names
    }
    for field in attrs.fields(message):
        if field.default == ():
            pairs[field.name] = _without_empty(pairs[field.name])
    # The constructor of a generated struct takes the fields in the order of
    # its slots.
    order = tuple(struct.__slots__)
    return Converter(
        _make_to_struct(struct, order, pairs),
        _make_from_struct(message, tuple(names), pairs),
    )


def _values_of(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Returns a function that reads the attributes `names` in this order."""
    if not names:
        return lambda _: ()
    getter = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda value: (getter(value),)
    return getter


def _make_to_struct(
    struct: type[Any], order: tuple[str, ...], pairs: dict[str, _Pair]
) -> Convert:
    values_of = _values_of(order)
    steps = [
        (i, pairs[name].to_wire)
        for i, name in enumerate(order)
        if pairs[name].to_wire is not _identity
    ]
    if not steps:
        return lambda message: struct(*values_of(message))

    def to_struct(message: Any) -> Any:
        values = list(values_of(message))
        for i, convert in steps:
            if values[i] is not None:
                values[i] = convert(values[i])
        return struct(*values)

    return to_struct


def _make_from_struct(
    message: type[Any], names: tuple[str, ...], pairs: dict[str, _Pair]
) -> Convert:
    values_of = _values_of(names)
    steps = [
        (i, pairs[name].from_wire)
        for i, name in enumerate(names)
        if pairs[name].from_wire is not _identity
    ]

    def from_struct(struct: Any) -> Any:
        values = list(values_of(struct))
        for i, convert in steps:
            if values[i] is not None:
                values[i] = convert(values[i])
        for value in values:
            if value is None:
                return message(**_present_fields(names, values))
        return message(*values)

    return from_struct


def _present_fields(
    names: tuple[str, ...], values: list[Any]
) -> dict[str, Any]:
    """Returns the fields that are present; absent ones get their default."""
    pairs = zip(names, values, strict=True)
    return {name: value for name, value in pairs if value is not None}


def _make_pair(field_name: str, hint: Any, ttype: int, args: Any) -> _Pair:
    """Returns the conversions of one type.

    Args:
        field_name: Names of the class and the field, for error messages.
        hint: Type of the attrs field.
        ttype: Number of the thrift type.
        args: Arguments of the thrift type, as in `thrift_spec`.
    """
    hint = _without_none(hint)
    origin = typing.get_origin(hint)
    if origin is None and isinstance(hint, type):
        pair = _make_scalar_pair(field_name, hint, ttype, args)
    else:
        pair = _make_container_pair(field_name, hint, ttype, args)
    if pair is None:
        raise TypeError(
            f"{field_name}: type {hint} does not match its thrift type; see the"
            " list at the top of hollyknot_protocol/_convert.py"
        )
    return pair


def _without_none(hint: Any) -> Any:
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        rest = [a for a in typing.get_args(hint) if a is not type(None)]
        if len(rest) == 1:
            return rest[0]
    return hint


def _make_scalar_pair(
    field_name: str, hint: type[Any], ttype: int, args: Any
) -> _Pair | None:
    if attrs.has(hint):
        if ttype != TType.STRUCT:
            return None
        nested = make_converter(hint, args[0])
        return _Pair(nested.to_struct, nested.from_struct)
    if issubclass(hint, enum.Enum):
        return _make_enum_pair(field_name, hint, ttype)
    if hint is int and ttype == TType.STRING and args == _BINARY:
        return _Pair(_u64_to_wire, _u64_from_wire)
    if ttype not in _SCALAR_TTYPES.get(hint, ()):
        return None
    if hint in (str, bytes) and (hint is bytes) != (args == _BINARY):
        return None
    return _IDENTITY


def _make_enum_pair(
    field_name: str, hint: type[enum.Enum], ttype: int
) -> _Pair | None:
    values = {member.value: member for member in hint}
    wanted = str if ttype == TType.STRING else int
    fits = ttype == TType.STRING or ttype in _INTEGERS
    if not fits or not all(isinstance(v, wanted) for v in values):
        return None

    def from_wire(value: Any) -> enum.Enum:
        member = values.get(value)
        if member is None:
            raise UnknownValueError(f"{field_name}: unknown value {value!r}")
        return member

    return _Pair(operator.attrgetter("value"), from_wire)


def _u64_to_wire(value: int) -> bytes:
    return value.to_bytes(_U64_BYTES, "big")


def _u64_from_wire(value: bytes) -> int:
    if len(value) != _U64_BYTES:
        raise ValueError(
            f"unsigned 64-bit integer has {len(value)} bytes; it needs 8"
        )
    return int.from_bytes(value, "big")


def _make_container_pair(
    field_name: str, hint: Any, ttype: int, args: Any
) -> _Pair | None:
    origin, params = typing.get_origin(hint), typing.get_args(hint)
    if origin is dict and ttype == TType.MAP:
        keys = _make_pair(field_name, params[0], args[0], args[1])
        values = _make_pair(field_name, params[1], args[2], args[3])
        return _make_map_pair(keys, values)
    if origin is tuple and ttype == TType.LIST and params[1:] == (...,):
        items = _make_pair(field_name, params[0], args[0], args[1])
        return _make_items_pair(items, list, tuple)
    if origin is frozenset and ttype == TType.SET:
        items = _make_pair(field_name, params[0], args[0], args[1])
        return _make_items_pair(items, set, frozenset)
    return None


def _make_items_pair(
    items: _Pair,
    wire_type: Callable[[Any], Any],
    attrs_type: Callable[[Any], Any],
) -> _Pair:
    if items is _IDENTITY:
        return _Pair(wire_type, attrs_type)
    to_wire, from_wire = items.to_wire, items.from_wire
    return _Pair(
        lambda value: wire_type([to_wire(v) for v in value]),
        lambda value: attrs_type([from_wire(v) for v in value]),
    )


def _without_empty(pair: _Pair) -> _Pair:
    """Returns the conversions of a field that is absent if it is empty."""
    return attrs.evolve(
        pair, to_wire=lambda value: pair.to_wire(value) if value else None
    )


def _make_map_pair(keys: _Pair, values: _Pair) -> _Pair:
    if keys is _IDENTITY and values is _IDENTITY:
        return _Pair(_identity, dict)
    key_to, key_from = keys.to_wire, keys.from_wire
    value_to, value_from = values.to_wire, values.from_wire
    return _Pair(
        lambda value: {key_to(k): value_to(v) for k, v in value.items()},
        lambda value: {key_from(k): value_from(v) for k, v in value.items()},
    )
