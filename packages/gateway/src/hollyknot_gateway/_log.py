"""Logs of key=value lines that never hold up the event loop.

Lines are kept in a bounded buffer and written by a timer to a descriptor that
does not block. What does not fit is counted, and the count is told in a line:
a pipe whose reader stops would otherwise stop every stream of the host.
"""

import os
import time
from collections import Counter, deque
from collections.abc import Callable

import structlog

BUFFERED_LINES = 4096
"""Some seconds of lines of a busy host, in about a megabyte."""

ORDINARY_LINES = 3072
"""Of those, what lines of tries that went well may fill. The rest is kept for
failures and changes of belief, which an engineer looks for afterwards."""

EVENT_LINES_PER_S = 200
"""Of one event; failures have events of their own, so that ordinary lines
cannot push them out."""

_ORDINARY = frozenset({"try"})

_WRITE_BYTES = 65_536


class Log:
    """The lines of one process."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Starts with an empty buffer.

        Args:
            host: On each line.
            data_centre: On each line.
            descriptor: Where lines go.
            clock: Seconds, for the cap on lines.
            wall_clock: Seconds since 1970, for the time stamps.
        """
        self._descriptor = descriptor
        self._clock = clock
        self._wall_clock = wall_clock
        self._common_fields = f"host={host} data_centre={data_centre}"
        self._render = structlog.processors.LogfmtRenderer(bool_as_flag=False)
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._second = 0
        self._in_second: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._dropped_before = 0

    @property
    def dropped(self) -> int:
        """Lines that were left out so far."""
        return self._dropped_before + self._dropped.total()

    @property
    def waiting(self) -> int:
        """Lines that have not been written."""
        return len(self._lines)

    def line(self, event: str, **values: object) -> None:
        """Adds a line, unless there are too many of its event."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._in_second.clear()
            self._report_dropped()
        self._in_second[event] += 1
        most = ORDINARY_LINES if event in _ORDINARY else BUFFERED_LINES
        if (
            self._in_second[event] > EVENT_LINES_PER_S
            or len(self._lines) >= most
        ):
            self._dropped[event] += 1
            return
        self._add(event, values)

    def flush(self) -> None:
        """Writes what the descriptor takes without waiting."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._join()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so that there is nobody to tell.
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _join(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _add(self, event: str, values: dict[str, object]) -> None:
        pairs = self._render(None, "", values) if values else ""
        stamp = self._wall_clock()
        text = f"at={stamp:.3f} event={event} {pairs} {self._common_fields}\n"
        self._lines.append(text.encode("utf-8", "replace"))

    def _report_dropped(self) -> None:
        # Told later while the buffer is full: a reader that stopped would
        # otherwise have it grow by a line a second.
        if not self._dropped or len(self._lines) >= ORDINARY_LINES:
            return
        dropped, self._dropped = self._dropped, Counter()
        self._dropped_before += dropped.total()
        for event, count in dropped.items():
            self._add("lines_dropped", {"of": event, "count": count})
