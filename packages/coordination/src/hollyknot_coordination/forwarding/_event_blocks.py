"""Reads single blocks of a stream of server-sent events.

A block is what ends in a blank line. It is an event if it has data. Blocks of
comments and reconnection times, and empty ones, may stand between events.
"""

import enum
import re

import attrs

MAX_NAME_BYTES = 64
"""Longest name of a field, in bytes."""

_NAME = rb"[A-Za-z0-9_.-]{1,%d}" % MAX_NAME_BYTES
_LINE = re.compile(rb":|" + _NAME + rb":|(?:data|event|id|retry)\Z")
_LINE_START = re.compile(rb"(?::|" + _NAME + rb":|(?:" + _NAME + rb")?\Z)")
_DATA = b"data"
_ID = b"id"
_BETWEEN_EVENTS = frozenset({b"", b"retry"})
"""Names of the fields of blocks without an event; a comment's name is empty."""

_MAX_DIGITS = 18


class Numbering(enum.Enum):
    """How the events of a stream are identified."""

    NUMBERS = "numbers"
    NAMES = "names"
    NONE = "none"


class EventFault(enum.Enum):
    """Reasons why bytes of a stream are no event that follows its last one."""

    NOT_A_FIELD = "a line of the stream is not a field"
    NOT_TEXT = "the stream is not in UTF-8"
    NO_DATA = "an event without data"
    BAD_ID = "an event with several ids, or with one that can't be sent back"
    OTHER_NUMBERING = "an event identified unlike those before it"
    OUT_OF_ORDER = "the stream does not go on after its last event"
    GAP = "the stream goes on too far after its last event"
    NO_EVENTS = "too many bytes between two events"


@attrs.frozen
class Block:
    """A block that may be forwarded, if its id follows.

    Attributes:
        is_event: Whether it has data.
        event_id: Its id; empty if it has none.
    """

    is_event: bool
    event_id: str = ""


def read_block(block: bytes) -> Block | EventFault:
    r"""Reads a block, with or without the blank line at its end.

    Example:
        read_block(b"id: 3\ndata: a") == Block(is_event=True, event_id="3")
    """
    if not is_text(block):
        return EventFault.NOT_TEXT
    lines = block.strip(b"\r\n").splitlines()
    if not all(map(_LINE.match, lines)):
        return EventFault.NOT_A_FIELD
    fields = [line.partition(b":") for line in lines]
    names = {name for name, _, _ in fields}
    ids = [
        value.strip(b" \t").decode() for name, _, value in fields if name == _ID
    ]
    if names <= _BETWEEN_EVENTS:
        return Block(is_event=False)
    if _DATA not in names:
        return EventFault.NO_DATA
    if len(ids) > 1 or not all(event_id.isprintable() for event_id in ids):
        return EventFault.BAD_ID
    return Block(is_event=True, event_id=ids[0] if ids else "")


def is_text(data: bytes) -> bool:
    """Whether bytes are in UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def has_bad_line(lines: bytes) -> bool:
    """Whether a block that goes on holds a line that no event has.

    Args:
        lines: The beginning of the block, up to the middle of a line.
    """
    *whole, partial = re.split(rb"\r\n|\n|\r", lines)
    return _LINE_START.match(partial) is None or any(
        line and _LINE.match(line) is None for line in whole
    )


def numbering_of(event_id: str) -> Numbering:
    """Returns how an event is identified; an empty id is none."""
    if not event_id:
        return Numbering.NONE
    return Numbering.NUMBERS if is_number(event_id) else Numbering.NAMES


def is_number(event_id: str) -> bool:
    """Whether ids are ordered by their numbers."""
    is_short = len(event_id) <= _MAX_DIGITS
    return is_short and event_id.isascii() and event_id.isdigit()


def follows(event_id: str, before: str) -> bool:
    """Whether an event may follow another one, as far as their ids tell."""
    if is_number(event_id) and is_number(before):
        return int(event_id) > int(before)
    return event_id != before
