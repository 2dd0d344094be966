"""Forwards of a stream of server-sent events only whole events of its run.

An upstream may crash in the middle of an event. If the partial event were
relayed, it would be joined to the first event of the upstream that resumes the
stream, and the caller would read an event that nobody sent. A faulty upstream
may send bytes that are no events, which its caller would read as some. So bytes
are relayed only up to the end of an event that follows the one before it, and
the id of the last one is kept.
"""

import re

import attrs

from hollyknot_coordination.forwarding._event_blocks import (
    MAX_NAME_BYTES,
    EventFault,
    Numbering,
    follows,
    has_bad_line,
    is_number,
    is_text,
    numbering_of,
    read_block,
)

MAX_BYTES_BETWEEN_EVENTS = 65_536
"""Most bytes of comments and blank lines between two events; more are treated
as bytes without end."""

_USUAL_EVENT = re.compile(
    rb"(?:id: ?([0-9]{1,18})\r?\n)?data:[^\r\n]*\r?\n\r?\n"
)
_END = re.compile(rb"\n\n|\r\n\r\n|\r\r|\n\r\n|\r\n\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


_MIN_STEPS = 2
"""Steps between events from which a stream's step is known."""


@attrs.frozen
class TryNumbers:
    """The numbers of a try's events.

    The last one is left out of the step, as it may hold less than the others.

    Attributes:
        first: Number of the first event.
        before_last: Number of the last event but one.
        events: Number of events.
    """

    first: int
    before_last: int
    events: int

    @property
    def has_steps(self) -> bool:
        """Whether there are enough events to tell their step."""
        return self.events - 2 >= _MIN_STEPS

    @property
    def step(self) -> int | None:
        """The step from each event to the next; None if not known or varied.

        It is exact if it is 1; others may be the mean of steps that differ.
        """
        if not self.has_steps:
            return None
        step, rest = divmod(self.before_last - self.first, self.events - 2)
        return None if rest else step


class EventFramer:
    """Checks the events of one stream and buffers the partial one at its end.

    The first event tells how all events of the stream are identified: by
    increasing numbers, by other names, or not at all.
    """

    def __init__(self) -> None:
        """Builds a framer at the beginning of a stream."""
        self._rest = bytearray()
        # Indices in the partial event: the end of the bytes that have been
        # checked, and the beginning of the line that they end in.
        self._checked = self._line = 0
        self._first_id = ""
        self._last_id = ""
        self._events = 0
        self._before = ""
        self._numbering: Numbering | None = None
        self._number = self._number_before = -1
        self._furthest: int | None = None
        self._first_number: int | None = None
        self._events_before = 0
        self._bytes_between = 0
        self._fault: EventFault | None = None
        self._may_have_mark = True
        # Whether any bytes were returned. A byte order mark after them would be
        # read as a part of its line.
        self._has_begun = False

    @property
    def first_id(self) -> str:
        """Id of the first event of the current try; empty if it has none."""
        return self._first_id

    @property
    def last_id(self) -> str:
        """Id of the last whole event that had one; empty before the first."""
        return self._last_id

    @property
    def events(self) -> int:
        """Number of whole events."""
        return self._events

    @property
    def numbers(self) -> TryNumbers | None:
        """The numbers of the current try's events; None if it has none."""
        if self._first_number is None:
            return None
        return TryNumbers(
            self._first_number,
            self._number_before,
            self._events - self._events_before,
        )

    @property
    def is_resumable(self) -> bool:
        """Whether the events so far, if any, have ids."""
        return self._numbering is not Numbering.NONE

    @property
    def is_numbered(self) -> bool:
        """Whether the events so far, if any, have numbers, or must have."""
        return self._numbering is Numbering.NUMBERS

    @property
    def fault(self) -> EventFault | None:
        """Why the bytes after those returned are no events of the stream."""
        return self._fault

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._rest.strip())

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all whole events that are buffered.

        Returns:
            The events up to the first bytes that are none. If there are such
            bytes, `fault` is set, and they and all further ones are discarded.
        """
        if self._fault is not None:
            return b""
        if self._rest:
            self._rest += data
            if b"\n" not in data and b"\r" not in data:
                self._check_line()
                return b""
            if self._find_end(self._rest, 0) is None:
                self._check_partial()
                return b""
            data = bytes(self._rest)
        mark = self._mark_length(data)
        end = self._read_blocks(data, mark)
        if end == len(data):
            self.drop_partial()
        else:
            self._rest = bytearray(data[end:])
            if end:
                self._checked = self._line = 0
            self._check_partial()
        begin = mark if self._has_begun else 0
        self._has_begun = self._has_begun or end > 0
        return data[begin:end]

    def resume(
        self,
        after: str,
        *,
        must_be_numbered: bool = False,
        furthest: int | None = None,
    ) -> None:
        """Expects the events of another upstream, without the partial one.

        Args:
            after: Id of the event after which they go on; empty if they begin
                the stream.
            must_be_numbered: Whether an event without a number is none.
            furthest: The highest number that their first one may have; None if
                that is not known.
        """
        self.drop_partial()
        self._first_id = ""
        self._furthest = furthest
        self._first_number = None
        self._events_before = self._events
        self._before = after
        self._bytes_between = 0
        self._fault = None
        self._may_have_mark = True
        if not self._events:
            is_after_number = is_number(after)
            is_numbered = is_after_number or must_be_numbered
            self._numbering = Numbering.NUMBERS if is_numbered else None
            self._number = int(after) if is_after_number else -1

    def drop_partial(self) -> None:
        """Discards a partial event."""
        self._rest.clear()
        self._checked = self._line = 0

    def flush(self) -> bytes:
        """Returns the buffered bytes at the end of a complete stream."""
        rest = bytes(self._rest)
        self.drop_partial()
        return rest

    def _read_blocks(self, data: bytes, start: int) -> int:
        """Reads whole blocks; returns the end of the last sound one, or 0."""
        position = start
        is_ascii = data.isascii()
        while position < len(data):
            usual = _USUAL_EVENT.match(data, position)
            if usual is not None and (is_ascii or is_text(usual[0])):
                end = usual.end()
                self._fault = self._add_usual(usual[1])
            else:
                end = self._read_block(data, position)
            if self._fault is not None or end < 0:
                break
            self._may_have_mark = False
            position = end
        return position if position > start else 0

    def _read_block(self, data: bytes, start: int) -> int:
        """Reads any block; returns its end, or -1 if it is not whole."""
        end = self._find_end(data, start)
        if end is None:
            return -1
        self._fault = self._add_block(data[start:end])
        return end

    def _find_end(self, data: bytes | bytearray, start: int) -> int | None:
        """Finds the end of the block that begins at an index."""
        # A blank line may have begun in the bytes that have been checked.
        begin = max(start, self._checked - len(b"\r\n\r"))
        found = _END.search(data, begin)
        return None if found is None else found.end()

    def _add_usual(self, digits: bytes | None) -> EventFault | None:
        """Adds an event that has a number or no id."""
        if digits is None or self._numbering is not Numbering.NUMBERS:
            return self._add_event((digits or b"").decode())
        number = int(digits)
        if number <= self._number:
            return EventFault.OUT_OF_ORDER
        if self._first_number is None and not self._begins_at(number):
            return EventFault.GAP
        self._number_before, self._number = self._number, number
        self._note_event(digits.decode())
        return None

    def _begins_at(self, number: int) -> bool:
        """Notes a try's first number; returns whether it leaves no gap."""
        self._first_number = number
        return self._furthest is None or number <= self._furthest

    def _add_block(self, data: bytes) -> EventFault | None:
        block = read_block(data)
        if isinstance(block, EventFault):
            return block
        if block.is_event:
            return self._add_event(block.event_id)
        self._bytes_between += len(data)
        if self._bytes_between > MAX_BYTES_BETWEEN_EVENTS:
            return EventFault.NO_EVENTS
        return None

    def _add_event(self, event_id: str) -> EventFault | None:
        numbering = numbering_of(event_id)
        if self._numbering is None:
            is_like_before = numbering is not Numbering.NONE or not self._before
        else:
            is_like_before = numbering is self._numbering
        if not is_like_before:
            return EventFault.OTHER_NUMBERING
        if event_id and not follows(event_id, self._before):
            return EventFault.OUT_OF_ORDER
        if numbering is Numbering.NUMBERS:
            number = int(event_id)
            if self._first_number is None and not self._begins_at(number):
                return EventFault.GAP
            self._number_before, self._number = self._number, number
        self._numbering = numbering
        self._note_event(event_id)
        return None

    def _note_event(self, event_id: str) -> None:
        self._events += 1
        self._bytes_between = 0
        if event_id:
            self._before = self._last_id = event_id
            self._first_id = self._first_id or event_id

    def _check_line(self) -> None:
        """Checks the line that the partial event ends in, until it is named."""
        if self._checked - self._line <= MAX_NAME_BYTES:
            self._check_partial()
        self._checked = len(self._rest)

    def _check_partial(self) -> None:
        """Finds a line that no event has before the block is whole."""
        if self._fault is not None:
            self.drop_partial()
            return
        if self._may_have_mark:
            if _BYTE_ORDER_MARK.startswith(self._rest[:4]):
                return
            self._line = max(self._line, self._mark_length(self._rest))
        lines = bytes(self._rest[self._line :])
        if has_bad_line(lines):
            self._fault = EventFault.NOT_A_FIELD
            self.drop_partial()
            return
        self._checked = len(self._rest)
        self._line += 1 + max(lines.rfind(b"\n"), lines.rfind(b"\r"))

    def _mark_length(self, data: bytes | bytearray) -> int:
        """Returns the length of the byte order mark that may begin a try."""
        has_mark = self._may_have_mark and data.startswith(_BYTE_ORDER_MARK)
        return len(_BYTE_ORDER_MARK) if has_mark else 0
