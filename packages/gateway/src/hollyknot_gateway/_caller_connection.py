"""Serves one HTTP connection of a caller with aiohttp's request parser.

aiohttp's own server runs several coroutines for each part of an answer and
closes idle connections by rules of its own. Here each part is written at once,
and a connection is closed only between two requests or to show that an answer
is incomplete.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import (
    BadHttpMessage,
    HttpProcessingError,
    LineTooLong,
)
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.http_writer import HttpVersion11

from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._headers import CONTENT_LENGTH
from hollyknot_gateway._paced_input import PacedInput
from hollyknot_gateway._reply import Reply
from hollyknot_gateway._upstream_connection import (
    FRAMING_PER_BYTE,
    MAX_FRAMING_BYTES,
    set_socket_options,
)
from hollyknot_state.routes import CallerLimits

_NO_LINGER = struct.pack("ii", 1, 0)
"""Option of a socket whose close is a reset; it is a plain end otherwise."""

_BODY_BUFFER_BYTES = 65_536
_HEAD_FACTOR = 2
"""Most bytes before the end of a head, as a multiple of the largest field. It
bounds empty lines before a request too."""

_MAX_PIPELINED_REQUESTS = 16
"""Requests that a caller may send without waiting for the answers."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431


def accept_any(_: str) -> bool:
    """Accepts connections from any IP address."""
    return True


Handler = Callable[[CallerRequest, Reply], Awaitable[None]]
OnUnread = Callable[[int, str], None]
"""Called with the status and the reason if a request could not be read; the
status is 0 if no answer was sent."""


class CallerConnection(BaseProtocol):
    """Reads requests and passes them to the handler one after the other."""

    __slots__ = (
        "_accepts",
        "_body_bytes",
        "_closes",
        "_handler",
        "_has_request",
        "_head_bytes",
        "_idle_since",
        "_input",
        "_is_reading_body",
        "_limits",
        "_on_lost",
        "_on_unread",
        "_payload",
        "_queue",
        "_task",
        "_waiting_head",
    )

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        on_lost: Callable[["CallerConnection"], None],
        on_unread: OnUnread,
        accepts: Callable[[str], bool] = accept_any,
    ) -> None:
        """Builds a connection that waits for its first request.

        Args:
            handler: Answers each request; cancelled if the caller disconnects.
            limits: Limits on the size and duration of requests.
            on_lost: Called when the connection has ended.
            on_unread: Called for each request that can't be read.
            accepts: Returns whether an IP address may connect.
        """
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._handler = handler
        self._limits = limits
        self._on_lost = on_lost
        self._on_unread = on_unread
        self._accepts = accepts
        self._parser = HttpRequestParser(
            self,
            loop,
            _BODY_BUFFER_BYTES,
            max_line_size=limits.max_head_bytes,
            max_field_size=limits.max_head_bytes,
            auto_decompress=False,
        )
        # aiohttp's own flow control holds the transport too.
        self._input = PacedInput(
            self._parse,
            self._pause_reading_for_buffer,
            self._resume_reading_for_buffer,
        )
        self._payload: Any = None
        self._body_bytes = 0
        self._queue: list[tuple[RawRequestMessage, Any]] = []
        self._task: asyncio.Task[None] | None = None
        self._has_request = False
        self._is_reading_body = False
        self._closes = False
        self._idle_since = loop.time()
        self._waiting_head = False
        self._head_bytes = 0

    @property
    def has_request(self) -> bool:
        """Whether a request is being read or answered."""
        return self._has_request

    @property
    def sender_ip(self) -> str:
        """IP address of the other side; empty if it has disconnected."""
        if self.transport is None:
            return ""
        name = self.transport.get_extra_info("peername")
        return name[0] if name else ""

    @property
    def closes_after_answer(self) -> bool:
        """Whether the answer being written is the connection's last."""
        return self._closes

    def close_after_answer(self) -> None:
        """Closes the connection after the current request's answer."""
        self._closes = True

    def write(self, data: bytes) -> None:
        """Writes bytes; drops them if the caller has disconnected."""
        if self.transport is not None and data:
            self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once; drops bytes not yet sent."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Resets the connection; drops bytes not yet received too."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.transport.abort()

    def close(self) -> None:
        """Closes an idle connection."""
        if self.transport is not None:
            self.transport.close()

    async def drained(self) -> None:
        """Waits until unsent bytes fall below the low-water mark."""
        if self.transport is not None:
            await self._drain_helper()

    def is_overdue(self, now_s: float) -> bool:
        """Whether the connection exceeds its idle or head timeout.

        The head timeout counts from the first byte: a caller that sends its
        head at a byte per second would otherwise keep its connection for ever,
        and such connections accumulate until no file descriptor is left. A body
        may take long, but not make pauses longer than the idle timeout.
        """
        if self._has_request and not self._is_reading_body:
            return False
        limits = self._limits
        limit_s = (
            limits.head_timeout_s
            if self._waiting_head
            else limits.idle_timeout_s
        )
        return now_s - self._idle_since > limit_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        super().connection_made(transport)
        set_socket_options(cast(asyncio.Transport, transport))
        if self._accepts is not accept_any and not self._accepts(
            self.sender_ip
        ):
            self._on_unread(0, f"unknown sender {self.sender_ip}")
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the handling of the caller's requests."""
        super().connection_lost(exc)
        self._input.clear()
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parses requests and starts to handle the next one."""
        self._input.feed(data)

    def _parse(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            self._input.clear()
            return
        assert self._parser is not None
        try:
            messages, is_upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._reject_unparsable(error)
            return
        if is_upgraded:
            self._reject_unparsable(BadHttpMessage("upgrade"))
            return
        self._queue.extend(messages)
        if len(self._queue) > _MAX_PIPELINED_REQUESTS:
            self._on_unread(0, "too many pipelined requests")
            self.abort()
            return
        if self._is_reading_body and not self._payload.is_eof():
            self._idle_since = self._loop.time()
            self._check_framing(data)
        if not messages and data and not self._has_request:
            if not self._waiting_head:
                self._idle_since = self._loop.time()
                self._head_bytes = 0
            self._waiting_head = True
            self._head_bytes += len(data)
            if self._head_bytes > _HEAD_FACTOR * self._limits.max_head_bytes:
                self._reject_unparsable(LineTooLong(b"", 0))
                return
        self._start_next()

    def _check_framing(self, data: bytes) -> None:
        """Resets a connection whose body brings little but framing."""
        self._body_bytes += len(data)
        content_bytes = self._payload.total_bytes
        allowed_bytes = MAX_FRAMING_BYTES + content_bytes * FRAMING_PER_BYTE
        if self._body_bytes - content_bytes > allowed_bytes:
            self._on_unread(0, "a body without end")
            self._input.clear()
            self.abort()

    def _start_next(self) -> None:
        if self._has_request or not self._queue or self.transport is None:
            return
        message, payload = self._queue.pop(0)
        self._has_request = True
        self._waiting_head = False
        self._task = self._loop.create_task(self._serve(message, payload))

    async def _serve(self, message: RawRequestMessage, payload: Any) -> None:
        arrived_s = self._loop.time()
        if message.should_close:
            self._closes = True
        is_http11 = message.version >= HttpVersion11
        reply = Reply(self, message.method, is_http11=is_http11)
        self._is_reading_body = True
        self._idle_since = arrived_s
        self._payload = payload
        self._body_bytes = 0
        body = await self._body(message, payload)
        self._is_reading_body = False
        if body is None:
            self._closes = True
            reply.respond(_TOO_LARGE, (), b"The body is too large.\n")
            self._on_unread(_TOO_LARGE, "the body is too large")
        else:
            request = CallerRequest(
                method=message.method,
                target=message.path,
                headers=message.raw_headers,
                fields=message.headers,
                body=body,
                has_body=message.chunked
                or any(
                    n.lower() == CONTENT_LENGTH for n, _ in message.raw_headers
                ),
                arrived_s=arrived_s,
            )
            await self._answer(request, reply)
        self._on_request_end()

    async def _answer(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self._handler(request, reply)
        except Exception:
            # Without a reset the caller would wait for an answer until its
            # own timeout. The event loop logs the error.
            self.abort()
            raise

    def _on_request_end(self) -> None:
        self._has_request = False
        self._task = None
        self._idle_since = self._loop.time()
        if self._closes:
            self.close()
        else:
            self._start_next()

    async def _body(
        self, message: RawRequestMessage, payload: Any
    ) -> bytes | None:
        """Reads a request's body; returns None if it is too large."""
        max_bytes = self._limits.max_body_bytes
        announced = message.headers.get("Content-Length", "0")
        if int(announced) > max_bytes:
            return None
        if message.headers.get("Expect", "").lower() == "100-continue":
            self.write(_CONTINUE)
        parts = []
        size = 0
        while part := await payload.readany():
            size += len(part)
            if size > max_bytes:
                return None
            parts.append(part)
        return b"".join(parts)

    def _reject_unparsable(self, error: HttpProcessingError) -> None:
        """Rejects unparsable input, after which the connection is unusable."""
        self._closes = True
        if self._has_request and not self._is_reading_body:
            # The request in progress is answered first. Then the connection
            # closes without an answer to the unparsable input.
            self._queue.clear()
            self._on_unread(0, type(error).__name__)
            return
        if self._task is not None:
            self._task.cancel()
        is_long = isinstance(error, LineTooLong)
        reply = Reply(self, "GET", is_http11=True)
        status = _HEAD_TOO_LARGE if is_long else _BAD_REQUEST
        reply.respond(status, (), b"The request can't be parsed.\n")
        self._on_unread(status, type(error).__name__)
        self.close()
