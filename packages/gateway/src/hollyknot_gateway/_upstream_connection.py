"""Sends requests on one HTTP connection, with aiohttp's response parser.

aiohttp's client resends a request with an idempotent method by itself if its
kept connection turns out to be closed, and takes bytes that arrive after an
answer for the start of the next one. Here a request is sent once, the end of
each answer is known, and bytes that arrive on an idle connection close it.
"""

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

import attrs
from aiohttp import HttpVersion11, StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from hollyknot_gateway._paced_input import PacedInput

MAX_HEAD_BYTES = 65_536
"""Most bytes of an answer up to the end of its head, with the informational
heads before it; more are treated as malformed."""

MAX_FRAMING_BYTES = 65_536
"""Most bytes of a body that are no content: the sizes, extensions and ends of
chunks, and trailers. Each byte of content allows some more."""

FRAMING_PER_BYTE = 8
"""Framing that each byte of content allows, in bytes. A chunk of one byte has
five."""

USER_TIMEOUT_MS = 1_000
"""A connection ends if sent bytes are not acknowledged for this long: behind a
network cut no reset arrives, and the request would wait until its timeout. It
also decides when keep-alive probes give up."""

PATIENT_USER_TIMEOUT_MS = 3_000
"""The same for a request that can't be sent again: a sound upstream may be
silent for a second or so, and ending the connection would lose the request."""

KEEPALIVE_IDLE_S = 1
"""Idle seconds after which the kernel probes the peer: a dead connection is
detected before the next request is lost on it."""

KEEPALIVE_PROBES = 2
_JOINED_BODY_BYTES = 4096
"""Bodies up to this size are written with their head, at the cost of a copy."""

_UNREACHED_LIMIT_BYTES = 2**26
_HEAD_END = b"\r\n\r\n"
_CONTROLS = bytes(set(range(32)) - set(b"\t\r\n")) + b"\x7f"
"""Bytes that no head may hold. The parser passes most of them on."""

_STATUSES = range(100, 600)
_CONTINUE = 100
_INFORMATIONAL = 200


class Lost(enum.Enum):
    """Reasons why an answer did not arrive complete."""

    CLOSED = "closed"
    TRUNCATED = "truncated"
    RESET = "reset"
    GARBLED = "garbled"
    FLOODED = "flooded"
    """More bytes than any answer has beside its content."""


@attrs.frozen
class Head:
    """The status and headers of an answer.

    Attributes:
        status: The HTTP status.
        headers: Names and values as received, in order.
        fields: The same headers, looked up by case-insensitive name.
        should_close: Whether the upstream closes the connection afterwards.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    fields: Any
    should_close: bool


class Receiver(Protocol):
    """Receives one answer as it arrives; called from the event loop."""

    def on_head(self, head: Head) -> None:
        """Receives the head; called once, before all others but `on_lost`."""

    def on_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def on_end(self) -> None:
        """Called when the answer is complete; no call follows."""

    def on_lost(self, lost: Lost) -> None:
        """Called when the answer can't be completed; no call follows."""


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        """Builds a connection that is not yet established."""
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._receiver: Receiver | None = None
        self._input = PacedInput(self._handle, self._hold, self._release)
        self._is_held = False
        self._is_paused = False
        self._payload: StreamReader | None = None
        self._head = b""
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body = b""
        self._on_body_sent: Callable[[], None] | None = None
        self._is_kept_alive = True
        self._is_patient = False
        self._idle_since = self._loop.time()
        self._requests = 0
        self._has_ended_answer = False
        self.keeps_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle and can carry another request."""
        is_idle = self._receiver is None and not self._input.is_waiting
        return self.is_open and is_idle and self._is_kept_alive

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that the upstream has not taken."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport else 0

    @property
    def requests(self) -> int:
        """Number of requests that have been written."""
        return self._requests

    @property
    def has_ended_answer(self) -> bool:
        """Whether the answer ended as the upstream closed the connection."""
        return self._has_ended_answer

    @property
    def idle_since(self) -> float:
        """Time at which the last answer ended, on the loop's clock."""
        return self._idle_since

    @property
    def connected(self) -> bool:
        """Whether the connection is open; read by aiohttp's StreamReader."""
        return self.is_open

    def send(
        self,
        head: bytes,
        receiver: Receiver,
        *,
        is_head: bool,
        body: bytes = b"",
        is_patient: bool = False,
    ) -> None:
        """Writes a complete request.

        If the connection has ended, the answer counts as lost at once.

        Args:
            head: The request's head.
            receiver: Receives the answer.
            is_head: Whether the method is HEAD, whose answer has no body even
                if its headers announce one.
            body: The request's body; not copied if it is large.
            is_patient: Whether the connection outlasts a longer silence.
        """
        if self._transport is None:
            receiver.on_lost(Lost.CLOSED)
            return
        self._set_patient(is_patient=is_patient)
        self._requests += 1
        self._receiver = receiver
        self._payload = None
        self._head = b""
        self._head_bytes = 0
        self._framing_bytes = 0
        self._parser = HttpResponseParser(
            # The parser calls only the protocol methods that are defined here.
            cast(BaseProtocol, self),
            self._loop,
            _UNREACHED_LIMIT_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            response_with_body=not is_head,
            read_until_eof=True,
            auto_decompress=False,
        )
        if len(body) <= _JOINED_BODY_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)

    def send_expecting(
        self,
        head: bytes,
        body: bytes,
        receiver: Receiver,
        on_body_sent: Callable[[], None],
    ) -> None:
        """Writes a request's head, and its body when the other side asks.

        Until the body is written, the request provably has not run, whatever
        happens to the connection.

        Args:
            head: The request's head, with an `Expect: 100-continue`.
            body: The request's body.
            receiver: Receives the answer.
            on_body_sent: Called when the body has been written.
        """
        self._body = body
        self._on_body_sent = on_body_sent
        self.send(head, receiver, is_head=False)

    def _set_patient(self, *, is_patient: bool) -> None:
        if is_patient == self._is_patient or self._transport is None:
            return
        self._is_patient = is_patient
        timeout_ms = PATIENT_USER_TIMEOUT_MS if is_patient else USER_TIMEOUT_MS
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    def abandon(self) -> None:
        """Resets the connection, which cancels the request at the upstream."""
        self._receiver = None
        self._input.clear()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def pause(self) -> None:
        """Stops reading while the caller is slow."""
        self._is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Starts to read again."""
        self._is_paused = False
        self._update_reading()

    def _hold(self) -> None:
        """Stops reading while input waits to be parsed."""
        self._is_held = True
        self._update_reading()

    def _release(self) -> None:
        """Starts to read again."""
        if self._is_held:
            self._is_held = False
            self._update_reading()

    def _update_reading(self) -> None:
        if not self.is_open:
            return
        assert self._transport is not None
        if self._is_paused or self._is_held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def pause_reading(self) -> None:
        """Does nothing; StreamReader would call it at a limit never reached."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Does nothing; StreamReader calls it at the end of each body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # The event loop's transport need not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and passes them to the receiver."""
        self._input.feed(data)

    def _handle(self, data: bytes) -> None:
        if self._receiver is None:
            # No request is in flight: this is a late or duplicate answer, which
            # must not be treated as the answer to the next request.
            self._is_kept_alive = False
            self._input.clear()
            if self._transport is not None:
                self._transport.abort()
            return
        try:
            self._parse(data)
        except HttpProcessingError:
            self._fail(Lost.GARBLED)

    def eof_received(self) -> None:
        """Ends the answer in progress after the upstream closed its side."""
        self._input.finish()
        self._on_close(is_clean=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the answer in progress after the connection ended."""
        self._input.finish()
        self._on_close(is_clean=exc is None)
        self._transport = None

    def _parse(self, data: bytes) -> None:
        while self._payload is None:
            self._head += data
            end = self._head.find(_HEAD_END)
            if self._head_bytes + len(self._head) > MAX_HEAD_BYTES and end < 0:
                self._fail(Lost.FLOODED)
            if end < 0:
                return
            end += len(_HEAD_END)
            self._head_bytes += end
            head, data = self._head[:end], self._head[end:]
            self._head = b""
            if not self._parse_head(head):
                return
        self._parse_body(data)

    def _parse_head(self, data: bytes) -> bool:
        """Parses a head; returns whether parsing goes on after it."""
        assert self._parser is not None
        assert self._receiver is not None
        messages, is_upgraded, _ = self._parser.feed_data(data)
        if not messages or is_upgraded or not _is_clean(data):
            self._fail(Lost.GARBLED)
            return False
        message, payload = messages[0]
        if not _is_answer(message):
            self._fail(Lost.GARBLED)
            return False
        if message.code < _INFORMATIONAL:
            if message.code == _CONTINUE:
                self._send_body()
            if self._head_bytes > MAX_HEAD_BYTES:
                self._fail(Lost.FLOODED)
            return self._receiver is not None
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

    def _send_body(self) -> None:
        """Writes the body that was held back, at most once."""
        on_sent, self._on_body_sent = self._on_body_sent, None
        if on_sent is not None and self._transport is not None:
            self._transport.write(self._body)
            on_sent()
        self._body = b""

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
                # Bytes after a complete answer belong to no request; the
                # answer itself is valid.
                self._is_kept_alive = False
                if not payload.is_eof():
                    raise
            part = payload.read_nowait()
            framing_bytes = len(data) - len(part) * (1 + FRAMING_PER_BYTE)
            self._framing_bytes = max(0, self._framing_bytes + framing_bytes)
            if part:
                assert self._receiver is not None
                self._receiver.on_data(part)
        if payload.is_eof():
            self._finish()
        elif self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail(Lost.FLOODED)

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
            # A reset may have discarded bytes, so a body that is delimited by
            # the end of the connection may be incomplete.
            self._fail(Lost.RESET)
            return
        assert self._parser is not None
        try:
            self._parser.feed_eof()
        except HttpProcessingError:
            self._fail(Lost.TRUNCATED)
            return
        self._is_kept_alive = False
        self._has_ended_answer = True
        self._finish()

    def _fail(self, lost: Lost) -> None:
        receiver = self._receiver
        self._receiver = None
        self._is_kept_alive = False
        self._input.clear()
        if self._transport is not None:
            self._transport.abort()
        if receiver is not None:
            receiver.on_lost(lost)


def _is_clean(head: bytes) -> bool:
    """Whether a head has no control bytes and all its lines end alike.

    The parser also ends a head, and begins its body, at line feeds alone.
    """
    has_controls = len(head.translate(None, _CONTROLS)) < len(head)
    return not has_controls and head.count(b"\n") == head.count(b"\r\n")


def _is_answer(message: RawResponseMessage) -> bool:
    """Whether a head is that of an answer whose body can be read.

    No request allows any transfer coding but chunks.
    """
    codings = message.headers.getall("Transfer-Encoding", ())
    is_coded = bool(codings) and (
        message.version < HttpVersion11
        or [coding.strip().lower() for coding in codings] != ["chunked"]
    )
    is_http1 = message.version.major == 1
    return is_http1 and message.code in _STATUSES and not is_coded


def set_socket_options(transport: asyncio.Transport) -> None:
    """Sets socket options that detect a dead peer within seconds."""
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
