"""Shares each turn of the event loop among the callers' connections.

Bytes in tiny chunks cost a hundred times as much processor time as others. A
crowd of connections that send them holds the event loop, however little of it
each of them takes. Input that was dear is therefore parsed in turns, of one
connection after the other, for a few milliseconds in each turn of the loop.
"""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import cast

from aiohttp.web_protocol import RequestHandler

READ_BYTES = 16_384
"""Most bytes that are read at once. What many connections have sent is held
until their turns, beside the budget for bodies."""

TURN_S = 0.002
"""Processor time in seconds after which the parsing of dear input ends for one
turn of the event loop."""

CHEAP_S = 0.002
"""Processor time in seconds that a connection may take at once. A usual request
takes a few tenths of a millisecond."""

CHEAP_SHARE = 0.2
"""Share of the time that connections may take and stay cheap. Those that wait
for turns divide it, so that a crowd doesn't take a multiple of it."""


class InputTurns:
    """Chooses whose input is parsed in each turn of the event loop."""

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """Creates turns without input.

        Args:
            clock: Processor time of this thread, in seconds.
        """
        self._clock = clock
        self._waiting: collections.deque[CallerInput] = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of connections whose input waits."""
        return len(self._waiting)

    def enqueue(self, caller: "CallerInput") -> None:
        """Lets a connection's input wait for a turn."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._turn)
        self._waiting.append(caller)

    def parse(self, parse: Callable[[], None]) -> float:
        """Returns the processor time that parsing took, in seconds."""
        began_s = self._clock()
        parse()
        return self._clock() - began_s

    def _turn(self) -> None:
        spent_s = 0.0
        # Those that come back are for the next turn.
        for _ in range(len(self._waiting)):
            spent_s += self._waiting.popleft().take_turn()
            if spent_s >= TURN_S:
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._turn)


class CallerInput(asyncio.BufferedProtocol):
    """Reads one connection, for the handler that parses its requests."""

    def __init__(
        self, handler: RequestHandler, turns: InputTurns, buffer: memoryview
    ) -> None:
        """Creates the input of a connection that is not open yet.

        Args:
            handler: Parses the bytes and answers.
            turns: Shared by all connections.
            buffer: Shared by all connections, as a read is copied at once.
        """
        self._handler = handler
        self._turns = turns
        self._buffer = buffer
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._waiting = b""
        self._spent_s = 0.0
        self._spent_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the connection on."""
        # Transports of uvloop are no subclass of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._handler.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the end of the connection on and discards what waits."""
        self._waiting = b""
        self._transport = None
        self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes on that the caller doesn't read."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the caller reads again."""
        self._handler.resume_writing()

    def eof_received(self) -> None:
        """Passes on that the caller sends no more."""
        self._handler.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are written."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes now if their like was cheap, else in turn."""
        data = bytes(self._buffer[:nbytes])
        if self._waiting:
            self._waiting += data
            self._pause()
        elif self._recent_s() < CHEAP_S:
            self._parse(data)
        else:
            self._waiting = data
            self._pause()
            self._turns.enqueue(self)

    def take_turn(self) -> float:
        """Parses what waits and returns the time it took, in seconds."""
        data, self._waiting = self._waiting, b""
        if self._transport is None:
            return 0.0
        took_s = self._parse(data)
        self._resume()
        return took_s

    def _parse(self, data: bytes) -> float:
        handler = self._handler
        took_s = self._turns.parse(lambda: handler.data_received(data))
        self._spent_s = self._recent_s() + took_s
        self._spent_at_s = self._loop.time()
        return took_s

    def _recent_s(self) -> float:
        idle_s = self._loop.time() - self._spent_at_s
        share = CHEAP_SHARE / (1 + self._turns.waiting)
        return max(0.0, self._spent_s - idle_s * share)

    def _pause(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume(self) -> None:
        """Reads on, unless the handler itself has paused the connection."""
        handler = self._handler
        is_held = handler._reading_paused or handler._buffer_paused
        if self._transport is not None and not is_held:
            self._transport.resume_reading()
