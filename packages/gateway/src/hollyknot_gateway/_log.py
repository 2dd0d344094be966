"""Logs key=value lines without ever blocking the event loop.

Lines are kept in a bounded buffer, which a timer writes to a non-blocking file
descriptor. If the reader of a pipe stopped, a blocking write would stop every
stream of the host. Lines that don't fit are dropped, and the log says how many.
"""

import os
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence

import structlog

from hollyknot_state.routes import PromptPart

BUFFERED_LINES = 4096
"""The capacity of the buffer in lines. It holds a few seconds of a busy host's
lines in about a megabyte."""

ORDINARY_LINES = 3072
"""The number of buffered lines from which lines of successful attempts are
dropped. The rest of the buffer is reserved for failures and changes of state,
which operators need to diagnose an incident."""

EVENT_LINES_PER_S = 200
"""Lines of one event that are logged per second. Failures have events of their
own, so that ordinary lines can't crowd them out."""

_ORDINARY = frozenset({"try"})

_MAX_FINGERPRINTS = 8
"""Largest number of fingerprints in one line."""

_MAX_PARTS = 8
"""Largest number of parts of a prompt in one line."""

_MAX_PART_NAME = 32
"""Largest number of characters of a part's name in a line."""

_WRITE_BYTES = 65_536


def fingerprints_text(fingerprints: Sequence[int]) -> str:
    """Returns the value of a key that lists requests by their fingerprints."""
    return ",".join(f"{f:016x}" for f in fingerprints[:_MAX_FINGERPRINTS])


def parts_text(parts: Sequence[PromptPart]) -> str:
    """Returns the value of a key that lists parts of a prompt by their names.

    Callers choose the names, so only the beginning of a long one is listed.
    """
    names = [part.name[:_MAX_PART_NAME] for part in parts[:_MAX_PARTS]]
    return ",".join(names)


class Log:
    """A bounded buffer of the log lines of one process."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a log with an empty buffer.

        Args:
            host: The host's name, which each line ends with.
            data_centre: The host's data centre, which each line ends with.
            descriptor: The non-blocking file descriptor to write to.
            clock: A monotonic clock in seconds, for the limit on lines.
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
        """Number of lines that have been dropped so far."""
        return self._dropped_before + self._dropped.total()

    @property
    def waiting(self) -> int:
        """Number of lines that wait to be written."""
        return len(self._lines)

    def line(self, event: str, **values: object) -> None:
        """Adds a line, or drops it if its event or the buffer is at its limit.

        Args:
            event: The name of the event.
            **values: The fields of the line, in order.
        """
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
        """Writes as much as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._join()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the lines are discarded.
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
        # While the buffer is full, this waits: if the reader has stopped, the
        # buffer would otherwise grow by a line each second.
        if not self._dropped or len(self._lines) >= ORDINARY_LINES:
            return
        dropped, self._dropped = self._dropped, Counter()
        self._dropped_before += dropped.total()
        for event, count in dropped.items():
            self._add("lines_dropped", {"of": event, "count": count})
