"""Frames a stream of server-sent events into whole events without parsing them.

An upstream may crash in the middle of an event. If the partial event were
relayed, it would be joined to the first event of the upstream that resumes the
stream, and the caller would read an event that nobody sent. So bytes are
relayed only up to the end of an event, and the id of the last one is kept.
"""

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = b"id:"
_DATA = b"data:"
_MAX_DIGITS = 18


class EventFramer:
    """Buffers the partial event at the end of one stream."""

    def __init__(self) -> None:
        """Builds a framer at the beginning of a stream."""
        self._rest = b""
        self._last_id = ""
        self._events = 0
        self._strays = 0
        self._resumes_after = ""
        self._goes_back = False
        self._is_resumable = True

    @property
    def last_id(self) -> str:
        """Id of the last whole event that had one; empty before the first."""
        return self._last_id

    @property
    def events(self) -> int:
        """Number of whole events with an id."""
        return self._events

    @property
    def strays(self) -> int:
        """Number of blocks without an id after the first event with one."""
        return self._strays

    @property
    def is_resumable(self) -> bool:
        """Whether the last whole event with data, if any, had an id."""
        return self._is_resumable

    @property
    def goes_back(self) -> bool:
        """Whether the events of a resumed stream begin before their place."""
        return self._goes_back

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._rest.strip())

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all whole events that are buffered."""
        if self._rest:
            data = self._rest + data
        end = max(
            data.rfind(mark) + len(mark) * (mark in data) for mark in _ENDS
        )
        if end <= 0:
            self._rest = data
            return b""
        whole, self._rest = data[:end], data[end:]
        ids, ends_with_id = _read(whole)
        if ids and self._resumes_after:
            self._goes_back = not _follows(ids[0], self._resumes_after)
            self._resumes_after = ""
        if self._goes_back:
            return b""
        if ids or self._last_id:
            self._strays += _count_strays(whole)
        if ids:
            self._last_id = ids[-1]
            self._events += len(ids)
        if ends_with_id is not None:
            self._is_resumable = ends_with_id
        return whole

    def resume(self, after: str) -> None:
        """Expects the events of another upstream, without the partial one.

        Args:
            after: Id of the event after which they go on; empty if they begin
                the stream.
        """
        self.drop_partial()
        self._resumes_after = after
        self._goes_back = False

    def drop_partial(self) -> None:
        """Discards a partial event."""
        self._rest = b""

    def flush(self) -> bytes:
        """Returns the buffered bytes at the end of a complete stream."""
        rest, self._rest = self._rest, b""
        return rest


def _read(whole: bytes) -> tuple[list[str], bool | None]:
    """Reads whole events.

    Returns:
        Their ids in order, and whether the last event with data has an id; None
        if no event has data.
    """
    ids = []
    ends_with_id = None
    has_id = has_data = False
    for line in whole.splitlines():
        if line.startswith(_ID):
            event_id = line[len(_ID) :].strip()
            ids.append(event_id.decode("utf-8", "surrogateescape"))
            has_id = True
        elif line.startswith(_DATA):
            has_data = True
        elif not line:
            if has_data:
                ends_with_id = has_id
            has_id = has_data = False
    return ids, ends_with_id


def _count_strays(whole: bytes) -> int:
    """Counts blocks that hold more than comments but no id."""
    blocks = b"\n".join(whole.splitlines()).split(b"\n\n")
    fields = [
        [line for line in block.split(b"\n") if line and line[:1] != b":"]
        for block in blocks
    ]
    return sum(
        bool(lines) and not any(line.startswith(_ID) for line in lines)
        for lines in fields
    )


def _follows(event_id: str, before: str) -> bool:
    """Whether an event may follow another one, as far as their ids tell."""
    if _is_number(event_id) and _is_number(before):
        return int(event_id) > int(before)
    return event_id != before


def _is_number(event_id: str) -> bool:
    is_short = len(event_id) <= _MAX_DIGITS
    return is_short and event_id.isascii() and event_id.isdigit()
