"""Messages to bytes and back: thrift's compact protocol, in C."""

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
    """Why a well-formed message cannot be understood."""

    KIND = "kind"
    """No such number is registered here."""

    VALUE = "value"
    """A field holds an enum value that is not known here."""


@attrs.frozen
class Unknown:
    """A message of a newer version, to be ignored or refused, never guessed.

    A known kind with an unknown value is unknown as a whole: a receiver that
    left out just one element of a list would act on half a message.

    Attributes:
        kind: The number that it came with.
        reason: What is not known.
        detail: For the log.
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
            raise TypeError(f"{kind.name} is registered twice in _kinds.py")
        converter = make_converter(kind.message, kind.struct)
        entries[kind.message] = _Entry(kind, converter)
    return entries


def _by_number(kinds: tuple[Kind, ...]) -> dict[int, type[Any]]:
    numbers: dict[int, type[Any]] = {}
    for kind in kinds:
        if kind.number in numbers:
            raise TypeError(
                f"{kind.name} has the number of"
                f" {numbers[kind.number].__name__}; take a free one"
            )
        numbers[kind.number] = kind.message
    return numbers


_ENTRIES = _register(UNENVELOPED + KINDS)
_MESSAGES = _by_number(KINDS)


def kind_of(message: Any) -> Kind:
    """Returns a message's kind.

    Raises:
        UnencodableMessageError: Its class is not registered.
    """
    return _entry_of(type(message)).kind


def kind_name(number: int) -> str:
    """Returns the name of a kind for logs and measures."""
    message = _MESSAGES.get(number)
    return "unknown" if message is None else message.__name__


def encode(message: Any) -> bytes:
    """Returns the bytes of a message of a registered class.

    Raises:
        UnencodableMessageError: Its class is not registered, or a field's
            value does not fit the thrift type.
    """
    entry = _entry_of(type(message))
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=False)
    try:
        entry.converter.to_struct(message).write(protocol)
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise UnencodableMessageError(
            f"{entry.kind.name}: {error}; check the types of its fields"
        ) from error
    return bytes(buffer.getvalue())


def decode(number: int, body: bytes) -> Any:
    """Returns the message of a kind's number and its bytes.

    Returns:
        An instance of the registered attrs class, or `Unknown` for what a
        newer version may have sent. Fields that are not known here are
        skipped, absent ones get the class's default.

    Raises:
        MalformedMessageError: The bytes are no such message.
    """
    message = _MESSAGES.get(number)
    if message is None:
        return Unknown(number, UnknownReason.KIND)
    try:
        return decode_as(message, body)
    except UnknownValueError as error:
        return Unknown(number, UnknownReason.VALUE, str(error))


def decode_as(message: type[_M], body: bytes) -> _M:
    """Returns the message of a known class, as `decode` does.

    Raises:
        MalformedMessageError: The bytes are no such message.
        UnknownValueError: A field holds an enum value not known here.
    """
    entry = _entry_of(message)
    try:
        found: _M = _read(entry, body)
    except UnknownValueError:
        raise
    except Exception as error:
        # The bytes are a stranger's. thrift's decoder answers to rubbish with
        # at least six exception types, attrs classes add their own; one that
        # got through would end the task of a link that did nothing wrong.
        raise MalformedMessageError(
            f"{entry.kind.name}: {type(error).__name__}: {error}"
        ) from error
    return found


def _read(entry: _Entry, body: bytes) -> Any:
    # Every string byte and container element takes a byte at least, so a
    # length above the body's is a lie. The decoder would meet the end of the
    # bytes anyhow; the limit refuses at once, and does not lean on how much a
    # version of the decoder reserves before that.
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
        raise ValueError(f"{rest} bytes after the end")
    return entry.converter.from_struct(struct)


def _entry_of(message: type[Any]) -> _Entry:
    entry = _ENTRIES.get(message)
    if entry is None:
        raise UnencodableMessageError(
            f"{message.__name__} is not registered; add a line to"
            " hollyknot_protocol/_kinds.py"
        )
    return entry
