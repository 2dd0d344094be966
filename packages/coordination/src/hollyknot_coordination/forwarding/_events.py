"""Frames a stream of server-sent events into whole events without parsing them.

An upstream may crash in the middle of an event. If the partial event were
relayed, it would be joined to the first event of the upstream that resumes the
stream, and the caller would read an event that nobody sent. So bytes are
relayed only up to the end of an event, and the id of the last one is kept.
"""

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = b"id:"


class EventFramer:
    """Buffers the partial event at the end of one stream."""

    def __init__(self) -> None:
        """Builds a framer at the beginning of a stream."""
        self._rest = b""
        self._last_id = ""
        self._events = 0

    @property
    def last_id(self) -> str:
        """Id of the last whole event that had one; empty before the first."""
        return self._last_id

    @property
    def events(self) -> int:
        """Number of whole events with an id."""
        return self._events

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
        self._note_ids(whole)
        return whole

    def drop_partial(self) -> None:
        """Discards a partial event, before another upstream resumes."""
        self._rest = b""

    def flush(self) -> bytes:
        """Returns the buffered bytes at the end of a complete stream."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self._last_id = line[len(_ID) :].strip().decode("latin-1")
                self._events += 1
