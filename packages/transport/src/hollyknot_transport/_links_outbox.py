"""Holds the frames that a link has yet to send, in a bounded queue."""

import asyncio
import collections

import attrs

_BATCH_BYTES = 65_536


@attrs.define(eq=False)
class Outgoing:
    """One frame to be sent.

    Attributes:
        kind: Name of the kind of message, for the counters.
        frame: Bytes of the frame.
        is_written: Whether any byte may have been sent; set before the writer
            hands the frame to the kernel.
        is_cancelled: Whether the sender no longer waits; the writer skips the
            frame.
    """

    kind: str
    frame: bytes
    is_written: bool = False
    is_cancelled: bool = False


class Outbox:
    """A bounded FIFO queue of frames for one writer task."""

    def __init__(self, max_messages: int, max_bytes: int) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._items: collections.deque[Outgoing] = collections.deque()
        self._bytes = 0
        self._has_items = asyncio.Event()

    def put(self, item: Outgoing) -> bool:
        """Adds a frame; returns False if the queue is full."""
        size = self._bytes + len(item.frame)
        if len(self._items) >= self._max_messages or size > self._max_bytes:
            return False
        self._items.append(item)
        self._bytes = size
        self._has_items.set()
        return True

    async def next_batch(self) -> list[Outgoing]:
        """Waits for the next frames, one at least, and marks them written."""
        while True:
            await self._has_items.wait()
            batch = self._pop_batch()
            if batch:
                return batch

    def _pop_batch(self) -> list[Outgoing]:
        batch: list[Outgoing] = []
        size = 0
        while self._items and size < _BATCH_BYTES:
            item = self._items.popleft()
            self._bytes -= len(item.frame)
            if item.is_cancelled:
                continue
            item.is_written = True
            size += len(item.frame)
            batch.append(item)
        if not self._items:
            self._has_items.clear()
        return batch
