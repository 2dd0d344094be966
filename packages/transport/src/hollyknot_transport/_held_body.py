"""Reads callers' bodies into one budget of bytes."""

import asyncio
import enum
from collections.abc import Callable

from aiohttp import StreamReader

from hollyknot_coordination.holding import ByteBudget, Holder
from hollyknot_transport._bounded import TooLarge

BODY_TIMEOUT_S = 30.0
"""Maximum time in seconds to receive a body.

It ends requests of callers that send one byte a second.
"""


class NoRoom(enum.Enum):
    """The sentinel that stands for a body for which there is no memory."""

    NO_ROOM = "no-room"


class HeldBody:
    """The body of one request, which counts until `close` is called."""

    def __init__(self, budget: ByteBudget, clock: Callable[[], float]) -> None:
        """Creates a body of which nothing was read.

        Args:
            budget: Counts the bytes of all requests.
            clock: Returns monotonic time in seconds.
        """
        self._budget = budget
        self._clock = clock
        self._holder = Holder(self._give_way)
        self._data = bytearray()
        self._timeout = asyncio.timeout(BODY_TIMEOUT_S)
        self._has_room = True

    async def read(
        self, stream: StreamReader, max_bytes: int
    ) -> bytes | TooLarge | NoRoom:
        """Reads a stream to its end.

        Args:
            stream: The body.
            max_bytes: Maximum size of the body in bytes.

        Returns:
            The bytes, or a sentinel as soon as they are too many for one body
            or for the budget.

        Raises:
            TimeoutError: The body did not end in time.
        """
        try:
            if stream.is_eof():
                return await self._read(stream, max_bytes)
            async with self._timeout:
                return await self._read(stream, max_bytes)
        except TimeoutError:
            if self._has_room:
                raise
            return NoRoom.NO_ROOM
        finally:
            self._data = bytearray()
            if not self._holder.is_whole:
                self.close()

    def close(self) -> None:
        """Stops counting the body."""
        self._budget.hold(self._holder, 0, self._clock())

    async def _read(
        self, stream: StreamReader, max_bytes: int
    ) -> bytes | TooLarge | NoRoom:
        async for part in stream.iter_any():
            if not self._has_room:
                return NoRoom.NO_ROOM
            size = len(self._data) + len(part)
            if size > max_bytes:
                return TooLarge.TOO_LARGE
            if not self._budget.hold(self._holder, size, self._clock()):
                return NoRoom.NO_ROOM
            self._data += part
        if not self._has_room:
            return NoRoom.NO_ROOM
        self._budget.finish(self._holder)
        return bytes(self._data)

    def _give_way(self) -> None:
        """Frees what was read, for another request."""
        self._has_room = False
        self._data = bytearray()
        if not self._timeout.expired():
            self._timeout.reschedule(self._clock())
