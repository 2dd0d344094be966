"""One HTTP connection to an upstream, on the library's parser.

The library's client sends an idempotent method again by itself when a kept
connection turns out to be closed, and takes bytes that arrive after an answer
for the start of the next one. Here a request goes out once, the end of each
answer is known, and whatever comes on an idle connection closes it.
"""

import asyncio
import enum
import socket
from typing import Any, Protocol, cast

import attrs
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser

MAX_HEAD_BYTES = 65_536
"""Of an answer; more is taken for rubbish."""

USER_TIMEOUT_MS = 1_000
"""Sent bytes that no one acknowledges for so long end a connection: behind a
cut no reset ever arrives, and the request would wait for its whole timeout."""

KEEPALIVE_IDLE_S = 1
"""Silence after which the kernel probes the other end: a connection that has
silently died is known before the next request is lost on it."""

KEEPALIVE_PROBES = 2
_UNREACHED_LIMIT_BYTES = 2**26
_HEAD_END = b"\r\n\r\n"
_INFORMATIONAL = 200


class Lost(enum.Enum):
    """Why an answer did not arrive whole."""

    CLOSED = "closed"
    TRUNCATED = "truncated"
    RESET = "reset"
    GARBLED = "garbled"


@attrs.frozen
class Head:
    """The first part of an answer.

    Attributes:
        status: The HTTP status.
        headers: As received, in order.
        fields: The same, looked up by name without regard to case.
        should_close: Whether the upstream keeps the connection no longer.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    fields: Any
    should_close: bool


class Receiver(Protocol):
    """Takes one answer as it arrives; called from within the event loop."""

    def on_head(self, head: Head) -> None:
        """Takes the head; called once, first."""

    def on_data(self, data: bytes) -> None:
        """Takes a part of the body."""

    def on_end(self) -> None:
        """The answer is whole; nothing follows."""

    def on_lost(self, lost: Lost) -> None:
        """The answer will not be whole; nothing follows."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        """Not connected yet."""
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._receiver: Receiver | None = None
        self._payload: StreamReader | None = None
        self._head = b""
        self._is_kept_alive = True
        self._idle_since = self._loop.time()
        self.keeps_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Whether the last answer left the connection in a known state."""
        return self.is_open and self._receiver is None and self._is_kept_alive

    @property
    def idle_since(self) -> float:
        """When the last answer ended, on the loop's clock."""
        return self._idle_since

    @property
    def connected(self) -> bool:
        """Read by the library's body reader."""
        return self.is_open

    def send(self, data: bytes, receiver: Receiver, *, is_head: bool) -> None:
        """Writes a whole request.

        Args:
            data: Head and body.
            receiver: Takes the answer.
            is_head: Whether the answer has no body, whatever its head says.
        """
        assert self._transport is not None
        self._receiver = receiver
        self._payload = None
        self._head = b""
        self._parser = HttpResponseParser(
            # It calls no more of it than the methods below.
            cast(BaseProtocol, self),
            self._loop,
            _UNREACHED_LIMIT_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            response_with_body=not is_head,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._transport.write(data)

    def abandon(self) -> None:
        """Ends the connection and with it the request's work upstream."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def pause(self) -> None:
        """Stops reading, while the caller is slow."""
        if self.is_open:
            assert self._transport is not None
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads again."""
        if self.is_open:
            assert self._transport is not None
            self._transport.resume_reading()

    def pause_reading(self) -> None:
        """Called by the library's reader, whose limit is never reached."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Called by the library's reader at the end of each body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # The event loop's own class does not derive from the library's.
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived and hands it on at once."""
        if self._receiver is None:
            # Nobody has asked: a late or a second answer, which must not be
            # taken for the answer to the next request.
            self._is_kept_alive = False
            if self._transport is not None:
                self._transport.abort()
            return
        try:
            self._parse(data)
        except HttpProcessingError:
            self._fail(Lost.GARBLED)

    def eof_received(self) -> None:
        """The upstream has closed its side."""
        self._on_close(is_clean=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._on_close(is_clean=exc is None)
        self._transport = None

    def _parse(self, data: bytes) -> None:
        while self._payload is None:
            self._head += data
            end = self._head.find(_HEAD_END)
            if end < 0:
                if len(self._head) > MAX_HEAD_BYTES:
                    self._fail(Lost.GARBLED)
                return
            end += len(_HEAD_END)
            head, data = self._head[:end], self._head[end:]
            self._head = b""
            if not self._parse_head(head):
                return
        self._parse_body(data)

    def _parse_head(self, data: bytes) -> bool:
        """Returns whether there is more to parse."""
        assert self._parser is not None
        assert self._receiver is not None
        messages, is_upgraded, _ = self._parser.feed_data(data)
        if not messages or is_upgraded:
            self._fail(Lost.GARBLED)
            return False
        message, payload = messages[0]
        if message.code < _INFORMATIONAL:
            return True
        self._payload = payload
        self._is_kept_alive = not message.should_close
        self._receiver.on_head(
            Head(
                message.code,
                message.raw_headers,
                message.headers,
                message.should_close,
            )
        )
        return self._receiver is not None

    def _parse_body(self, data: bytes) -> None:
        payload = self._payload
        assert payload is not None
        assert self._parser is not None
        if payload.is_eof():
            self._is_kept_alive = self._is_kept_alive and not data
        elif data:
            try:
                messages, _, _ = self._parser.feed_data(data)
                self._is_kept_alive = self._is_kept_alive and not messages
            except HttpProcessingError:
                # What follows a whole answer belongs to no request; the
                # answer itself is good.
                self._is_kept_alive = False
                if not payload.is_eof():
                    raise
            if part := payload.read_nowait():
                assert self._receiver is not None
                self._receiver.on_data(part)
        if payload.is_eof():
            self._finish()

    def _finish(self) -> None:
        receiver = self._receiver
        self._receiver = None
        self._parser = None
        self._idle_since = self._loop.time()
        if not self._is_kept_alive and self._transport is not None:
            self._transport.close()
        if receiver is not None:
            receiver.on_end()

    def _on_close(self, *, is_clean: bool) -> None:
        if self._receiver is None:
            return
        payload = self._payload
        if payload is None:
            self._fail(Lost.CLOSED if is_clean else Lost.RESET)
            return
        if not is_clean:
            # A reset may have thrown bytes away, so that a body which ends
            # with its connection is not known to be whole.
            self._fail(Lost.RESET)
            return
        assert self._parser is not None
        try:
            self._parser.feed_eof()
        except HttpProcessingError:
            self._fail(Lost.TRUNCATED)
            return
        self._is_kept_alive = False
        self._finish()

    def _fail(self, lost: Lost) -> None:
        receiver = self._receiver
        self._receiver = None
        self._is_kept_alive = False
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.on_lost(lost)


def set_socket_options(transport: asyncio.Transport) -> None:
    """Makes a dead or silent other end known within seconds."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
