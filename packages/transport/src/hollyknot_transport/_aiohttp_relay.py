"""Hands a body's parts on as the client library parses them.

The one module that reaches into private parts of aiohttp. Its public way to
read a body costs, for each token, a future, a turn of the event loop and a
step of the task that waits; that is more than all else that a host does for a
token. So the body's reader is given a class of ours, of the same layout, whose
`feed_data` calls back, and its `_waiter`, which the library would wake, is an
object of ours that keeps the callback.

`tests/test_aiohttp_relay.py` fails if a new version of the library changes
what is relied on here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import StreamReader

ForwardNow = Callable[[bytes], bool]
"""Takes a part at once; False if it can't, and then it took nothing."""

Forward = Callable[[bytes], Awaitable[None]]
"""Takes a part and waits while its receiver is slow."""


class _Forwarder:
    """Stands in the place of the future that the reader would wake."""

    __slots__ = ("_ended", "forward_now")

    def __init__(
        self, forward_now: ForwardNow, ended: asyncio.Future[None]
    ) -> None:
        self.forward_now = forward_now
        self._ended = ended

    def done(self) -> bool:
        """Tells the reader whether it still has to wake anybody."""
        return self._ended.done()

    def set_result(self, _: None) -> None:
        """Wakes the task: the body's end, or parts that it has to take."""
        if not self._ended.done():
            self._ended.set_result(None)

    def set_exception(self, error: BaseException) -> None:
        """Wakes the task, which finds the error at the reader."""
        del error
        self.set_result(None)


class _ForwardingReader(StreamReader):
    """A reader that keeps nothing while its parts are taken at once."""

    __slots__ = ()

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Called by the library's parser with each part of the body."""
        forwarder: Any = self._waiter
        if type(forwarder) is not _Forwarder or not _try_forward(
            forwarder, data
        ):
            return super().feed_data(data, size)
        # Both positions move on: the reader drops its notes of chunks that
        # lie before the cursor, and pauses for good if they pile up.
        self.total_bytes += len(data)
        self._cursor += len(data)
        return False

    def end_http_chunk_receiving(self) -> None:
        """Called at the end of each chunk; only kept parts need a note."""
        waiter: Any = self._waiter
        if type(waiter) is not _Forwarder:
            super().end_http_chunk_receiving()


def _try_forward(forwarder: _Forwarder, data: bytes) -> bool:
    try:
        return forwarder.forward_now(data)
    except Exception:
        # It would come up in the parser, which would report a bad body. The
        # task takes the part again and meets the error itself.
        return False


async def relay(
    content: StreamReader, forward_now: ForwardNow, forward: Forward
) -> None:
    """Hands all parts of a body on, in order, until it ends.

    Backpressure: while a receiver takes nothing at once, parts are kept by the
    reader, which stops reading from the connection beyond its limit.

    Args:
        content: The body; nobody else may read it.
        forward_now: Asked first, from within the parser: it must not wait.
        forward: Takes what `forward_now` did not.

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
    """Returns at the end, at an error, or when a part was not taken."""
    ended = asyncio.get_running_loop().create_future()
    forwarder = _Forwarder(forward_now, ended)
    content._waiter = forwarder
    try:
        await ended
    finally:
        if content._waiter is forwarder:
            content._waiter = None
