"""Parses received bytes in slices, so that no connection holds the event loop.

A read returns up to a quarter of a megabyte. Parsed at once, that many bytes in
pieces of a few bytes each hold the event loop for a tenth of a second, and a
peer that sends them without end holds it for most of the time. Input that costs
much is therefore parsed in turns, with pauses in proportion to what it costs.
"""

import asyncio
import time
from collections.abc import Callable

SLICE_BYTES = 4096
"""Bytes that are parsed between two looks at the clock."""

MAX_HOLD_S = 0.002
"""Seconds of processor time after which a connection makes a pause. A read of
usual answers takes a few tenths of a millisecond."""

PAUSE_FACTOR = 4
"""Length of a pause, as a multiple of the time that the parsing took. The input
of one connection then takes a fifth of the event loop's time at most."""

MAX_PAUSE_S = 0.05
"""The longest pause in seconds."""


class PacedInput:
    """The bytes that one connection has received and not yet parsed."""

    def __init__(
        self,
        parse: Callable[[bytes], None],
        hold: Callable[[], None],
        release: Callable[[], None],
        clock: Callable[[], float] = time.thread_time,
    ) -> None:
        """Creates an input without bytes.

        Args:
            parse: Parses some bytes; it may call `clear`.
            hold: Stops reading from the connection.
            release: Starts to read again.
            clock: Processor time of this thread, in seconds. Time in which the
                process waits for a processor says nothing about the input.
        """
        self._parse = parse
        self._hold = hold
        self._release = release
        self._clock = clock
        self._waiting = b""
        self._timer: asyncio.TimerHandle | None = None
        self._is_in_turn = False
        self._has_read_enough = False

    @property
    def is_waiting(self) -> bool:
        """Whether some bytes have not been parsed."""
        return bool(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """How many bytes have not been parsed."""
        return len(self._waiting)

    def feed(self, data: bytes) -> None:
        """Parses bytes, now or after those that wait."""
        if self._timer is not None:
            self._waiting += data
            return
        if len(data) <= SLICE_BYTES:
            self._parse(data)
            return
        self._waiting = data
        self._parse_waiting()
        self._count_read()

    def finish(self) -> None:
        """Parses what waits, as nothing will follow."""
        waiting, self._waiting = self._waiting, b""
        self.clear()
        if waiting:
            self._parse(waiting)

    def clear(self) -> None:
        """Discards what waits."""
        self._waiting = b""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _parse_waiting(self) -> None:
        """Parses slices until none is left or a pause is due."""
        self._timer = None
        began_s = self._clock()
        while self._waiting:
            data = self._waiting[:SLICE_BYTES]
            self._waiting = self._waiting[SLICE_BYTES:]
            self._parse(data)
            took_s = self._clock() - began_s
            if took_s >= MAX_HOLD_S and self._waiting:
                self._pause(took_s)
                return
        self._release()

    def _count_read(self) -> None:
        """Stops reading after two large reads in one turn of the event loop.

        The event loop may read a fast connection dozens of times before it
        turns to the others.
        """
        if not self._is_in_turn:
            self._is_in_turn = True
            asyncio.get_running_loop().call_soon(self._end_turn)
        elif self._timer is None:
            self._has_read_enough = True
            self._hold()

    def _end_turn(self) -> None:
        self._is_in_turn = False
        if self._has_read_enough and self._timer is None:
            self._release()
        self._has_read_enough = False

    def _pause(self, took_s: float) -> None:
        self._hold()
        pause_s = min(took_s * PAUSE_FACTOR, MAX_PAUSE_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._parse_waiting)
