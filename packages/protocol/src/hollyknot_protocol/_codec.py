"""Encodes messages to bytes and back by thrift's compact protocol, in C."""

import enum
from typing import Any, TypeVar

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from hollyknot_protocol._convert import Converter, make_converter
from hollyknot_protocol._errors import (
    MalformedMessageError,
    UnencodableMessageError,
    UnknownValueError,
)
from hollyknot_protocol._kinds import KINDS, UNENVELOPED, Kind

_M = TypeVar("_M")


class UnknownReason(enum.Enum):
    """Reasons why a well-formed message is not understood."""

    KIND = "kind"
    """The number of the message's kind is not registered."""

    VALUE = "value"
    """A field holds an enum value that this version does not define."""


@attrs.frozen
class Unknown:
    """A message of a newer version, which the receiver ignores or refuses.

    A message of a known kind that holds an unknown value is unknown as a whole:
    a receiver that left out one element of a list would act on half a message.

    Attributes:
        kind: Number of the message's kind.
        reason: What is unknown.
        detail: Description for the log.
    """

    kind: int
    reason: UnknownReason
    detail: str = ""


@attrs.frozen
class _Entry:
    kind: Kind
    converter: Converter


def _register(kinds: tuple[Kind, ...]) -> dict[type[Any], _Entry]:
    entries: dict[type[Any], _Entry] = {}
    for kind in kinds:
        if kind.message in entries:
            raise TypeError(
                f"{kind.name} is registered twice in _kinds.py; remove one line"
            )
        converter = make_converter(kind.message, kind.struct)
        entries[kind.message] = _Entry(kind, converter)
    return entries


def _by_number(kinds: tuple[Kind, ...]) -> dict[int, type[Any]]:
    numbers: dict[int, type[Any]] = {}
    for kind in kinds:
        if kind.number in numbers:
            raise TypeError(
                f"{kind.name} has number {kind.number}, which is that of"
                f" {numbers[kind.number].__name__}; give it an unused one"
            )
        numbers[kind.number] = kind.message
    return numbers


_ENTRIES = _register(UNENVELOPED + KINDS)
_MESSAGES = _by_number(KINDS)


def kind_of(message: Any) -> Kind:
    """Returns the kind of a message.

    Raises:
        UnencodableMessageError: The message's class is not registered.
    """
    return _entry_of(type(message)).kind


def kind_name(number: int) -> str:
    """Returns the name of a kind for logs and metrics."""
    message = _MESSAGES.get(number)
    return "unknown" if message is None else message.__name__


def encode(message: Any) -> bytes:
    """Returns the bytes of a message of a registered class.

    Raises:
        UnencodableMessageError: The message's class is not registered, or the
            value of a field does not fit the field's thrift type.
    """
    entry = _entry_of(type(message))
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=False)
    try:
        entry.converter.to_struct(message).write(protocol)
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise UnencodableMessageError(
            f"cannot encode {entry.kind.name}: {error}; check the types of its"
            " fields"
        ) from error
    return bytes(buffer.getvalue())


def decode(number: int, body: bytes) -> Any:
    """Decodes a message, given the number of its kind.

    Returns:
        An instance of the registered attrs class, or `Unknown` for what a newer
        version may have sent. Unknown fields are skipped; absent fields get the
        class's default.

    Raises:
        MalformedMessageError: The bytes are not a message of this kind.
    """
    message = _MESSAGES.get(number)
    if message is None:
        return Unknown(number, UnknownReason.KIND)
    try:
        return decode_as(message, body)
    except UnknownValueError as error:
        return Unknown(number, UnknownReason.VALUE, str(error))


def decode_as(message: type[_M], body: bytes) -> _M:
    """Decodes a message, given its class.

    Unknown and absent fields are treated as by `decode`.

    Raises:
        MalformedMessageError: The bytes are not a message of this class.
        UnknownValueError: A field holds an enum value that this version does
            not define.
    """
    entry = _entry_of(message)
    try:
        found: _M = _read(entry, body)
    except UnknownValueError:
        raise
    except Exception as error:
        # The bytes are untrusted. thrift's decoder raises at least six types
        # of exceptions for malformed ones, and attrs classes add their own. An
        # exception that was not converted here would end the task of a link
        # that did nothing wrong.
        raise MalformedMessageError(
            f"cannot decode {entry.kind.name}: {type(error).__name__}: {error}"
        ) from error
    return found


def _read(entry: _Entry, body: bytes) -> Any:
    # Every byte of a string and every element of a container takes at least
    # one byte, so a stated length above the body's is false. The decoder would
    # also fail at the end of the bytes, but the limit fails before any memory
    # is reserved, whatever a version of the decoder reserves by itself.
    limit = max(1, len(body))
    buffer = TMemoryBuffer(body)
    protocol = TCompactProtocolAccelerated(
        buffer,
        string_length_limit=limit,
        container_length_limit=limit,
        fallback=False,
    )
    struct = entry.kind.struct()
    struct.read(protocol)
    rest = len(body) - buffer.cstringio_buf.tell()
    if rest:
        raise ValueError(f"{rest} bytes follow the end of the message")
    return entry.converter.from_struct(struct)


def _entry_of(message: type[Any]) -> _Entry:
    entry = _ENTRIES.get(message)
    if entry is None:
        raise UnencodableMessageError(
            f"{message.__name__} is not registered as a message; add a line to"
            " hollyknot_protocol/_kinds.py"
        )
    return entry
