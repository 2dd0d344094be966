"""Cuts a stream of server-sent events into whole events, unparsed.

An upstream may die in the middle of an event. Passed on, the torn event would
be joined to the first one of the upstream that goes on with the stream, and a
caller would read a piece that nobody sent. So bytes are handed on only up to
the end of an event, with the id of the last one.
"""

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = b"id:"


class EventFramer:
    """The part of one stream that is not yet a whole event."""

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._rest = b""
        self._last_id = ""
        self._events = 0

    @property
    def last_id(self) -> str:
        """The id of the last whole event; empty before the first."""
        return self._last_id

    @property
    def events(self) -> int:
        """How many whole events were seen."""
        return self._events

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an event are held that has not ended."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> bytes:
        """Takes in bytes and returns those that end whole events."""
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
        """Forgets a torn event, before another upstream goes on."""
        self._rest = b""

    def flush(self) -> bytes:
        """Returns what is held, at the end of a stream that is complete."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self._last_id = line[len(_ID) :].strip().decode("latin-1")
                self._events += 1
