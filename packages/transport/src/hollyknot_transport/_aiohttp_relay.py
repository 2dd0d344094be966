"""Relays the chunks of an HTTP body as soon as aiohttp has parsed them.

This module and `_bounded_client` alone use private parts of aiohttp. Reading a
body through the public interface costs a future, a turn of the event loop and a
step of the waiting task for each token, which is more than all other work of a
host for a token. Instead, the reader of the body is switched to a subclass of
the same memory layout, whose `feed_data` calls a callback, and its `_waiter`,
normally the future that aiohttp wakes, is an object that holds the callback.

`tests/test_aiohttp_relay.py` fails if a new version of aiohttp changes
anything that this module relies on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import StreamReader

ForwardNow = Callable[[bytes], bool]
"""Forwards a chunk without waiting; returns False if it forwarded nothing."""

Forward = Callable[[bytes], Awaitable[None]]
"""Forwards a chunk and waits while the receiver is slow."""


class _Forwarder:
    """Replaces the future that the reader wakes, and holds the callback."""

    __slots__ = ("_ended", "forward_now")

    def __init__(
        self, forward_now: ForwardNow, ended: asyncio.Future[None]
    ) -> None:
        self.forward_now = forward_now
        self._ended = ended

    def done(self) -> bool:
        """Returns whether the reader has no waiting task left to wake."""
        return self._ended.done()

    def set_result(self, _: None) -> None:
        """Wakes the task at the end of the body or when chunks are buffered."""
        if not self._ended.done():
            self._ended.set_result(None)

    def set_exception(self, error: BaseException) -> None:
        """Wakes the task, which then gets the error from the reader."""
        del error
        self.set_result(None)


class _ForwardingReader(StreamReader):
    """A reader that buffers only the chunks that can't be forwarded at once."""

    __slots__ = ()

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Forwards or buffers a chunk; called by the parser of aiohttp."""
        forwarder: Any = self._waiter
        if type(forwarder) is not _Forwarder or not _try_forward(
            forwarder, data
        ):
            return super().feed_data(data, size)
        # Both positions advance: the reader drops the recorded ends of HTTP
        # chunks that lie before the cursor, and would stop reading for good
        # if these ends accumulated.
        self.total_bytes += len(data)
        self._cursor += len(data)
        return False

    def end_http_chunk_receiving(self) -> None:
        """Records the end of an HTTP chunk, which only buffered data needs."""
        waiter: Any = self._waiter
        if type(waiter) is not _Forwarder:
            super().end_http_chunk_receiving()


def _try_forward(forwarder: _Forwarder, data: bytes) -> bool:
    try:
        return forwarder.forward_now(data)
    except Exception:
        # Raised inside the parser, the error would be reported as a malformed
        # body. The task forwards the chunk again and raises the error itself.
        return False


async def relay(
    content: StreamReader, forward_now: ForwardNow, forward: Forward
) -> None:
    """Forwards all chunks of a body, in order, until it ends.

    Backpressure: while the receiver is slow, the reader buffers the chunks and,
    beyond its limit, stops reading from the connection.

    Args:
        content: The body, which has no other reader.
        forward_now: Called first, inside the parser, so it must not wait.
        forward: Called with the chunks that `forward_now` did not forward.

    Raises:
        aiohttp.ClientPayloadError: The body ended early.
        aiohttp.ClientError: The connection was lost.
    """
    is_plain = type(content) is StreamReader
    if is_plain:
        content.__class__ = _ForwardingReader
    while True:
        data = content.read_nowait()
        if data:
            await forward(data)
        elif content.at_eof():
            return
        elif is_plain:
            await _relay_from_parser(content, forward_now)
        elif rest := await content.readany():
            await forward(rest)


async def _relay_from_parser(content: Any, forward_now: ForwardNow) -> None:
    """Waits for the body's end, an error or a chunk that was not forwarded."""
    ended = asyncio.get_running_loop().create_future()
    forwarder = _Forwarder(forward_now, ended)
    content._waiter = forwarder
    try:
        await ended
    finally:
        if content._waiter is forwarder:
            content._waiter = None
