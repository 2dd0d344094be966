"""Ends connections of upstreams that send little but framing.

The parser of aiohttp bounds a line and a number of fields, not how many
informational heads, empty lines or extensions of chunks an answer has.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_BESIDE_BYTES = 65_536
"""Most bytes of an answer that are no content: heads, the sizes, extensions and
ends of chunks, and trailers. Each byte of content allows some more."""

BESIDE_PER_BYTE = 8
"""Framing that each byte of content allows, in bytes. A chunk of one byte has
five."""

_SLICE_BYTES = 16_384


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose connections bound what is no content."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector with the options of aiohttp's."""
        super().__init__(**options)
        handler: type[ResponseHandler] = _BoundedHandler
        self._factory = functools.partial(handler, loop=self._loop)


class _BoundedHandler(ResponseHandler):
    """Counts the bytes of the answer in progress that are no content."""

    _beside_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Starts to count for the next answer."""
        self._beside_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses bytes in slices until there are too many beside content."""
        if len(data) <= _SLICE_BYTES:
            self._receive(data)
            return
        for first in range(0, len(data), _SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            self._receive(data[first : first + _SLICE_BYTES])

    def _receive(self, data: bytes) -> None:
        payload, content = self._payload, self._content_bytes()
        super().data_received(data)
        if self._payload is not payload:
            content = 0
        allowed = (self._content_bytes() - content) * (1 + BESIDE_PER_BYTE)
        self._beside_bytes = max(0, self._beside_bytes + len(data) - allowed)
        # A parser that is paused holds content back.
        is_over = self._beside_bytes > MAX_BESIDE_BYTES
        if is_over and not self._reading_paused and self.transport is not None:
            self.transport.abort()

    def _content_bytes(self) -> int:
        return getattr(self._payload, "total_bytes", 0)
