"""Writes the answer to one request of a caller."""

import http
from collections.abc import Callable, Iterable
from typing import Protocol

from hollyknot_gateway._headers import write_head

_LAST_CHUNK = b"0\r\n\r\n"
_JOINED_BODY_BYTES = 4096
"""Bodies up to this size are written with their head, at the cost of a copy."""

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ReplyConnection(Protocol):
    """The connection that an answer is written to."""

    @property
    def sender_ip(self) -> str:
        """IP address of the caller; empty if it has disconnected."""

    @property
    def writing_paused(self) -> bool:
        """Whether unsent bytes to the caller exceed the high-water mark."""

    @property
    def closes_after_answer(self) -> bool:
        """Whether the answer being written is the connection's last."""

    async def drained(self) -> None:
        """Waits until unsent bytes fall below the low-water mark."""

    def note_buffered(self, size_bytes: int) -> None:
        """Counts bytes of the answer that wait to be written."""

    def detach(self, unsent_bytes: int) -> Callable[[], None]:
        """Counts a request on that goes on without its caller."""

    def write(self, data: bytes) -> None:
        """Writes bytes; drops them if the caller has disconnected."""

    def close_after_answer(self) -> None:
        """Closes the connection after the current request's answer."""

    def abort(self) -> None:
        """Closes the connection at once; drops bytes not yet sent."""

    def reset(self) -> None:
        """Resets the connection; drops bytes not yet received too."""


class Reply:
    """Writes the one answer to a request."""

    def __init__(
        self, connection: ReplyConnection, method: str, *, is_http11: bool
    ) -> None:
        """Builds a reply of which nothing has been written.

        Args:
            connection: The caller's connection.
            method: The request's method; HEAD gets no body.
            is_http11: Whether the caller understands chunked bodies.
        """
        self._connection = connection
        self._method = method
        self._is_http11 = is_http11
        self._has_begun = False
        self._has_ended = False
        self._extra_headers: dict[bytes, bytes] = {}

    @property
    def sender_ip(self) -> str:
        """IP address of the caller; empty if it has disconnected."""
        return self._connection.sender_ip

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer has been written."""
        return self._has_begun

    @property
    def has_ended(self) -> bool:
        """Whether the answer has been completed or aborted."""
        return self._has_ended

    @property
    def is_slow(self) -> bool:
        """Whether unsent bytes to the caller exceed the high-water mark."""
        return self._connection.writing_paused

    async def drained(self) -> None:
        """Waits until unsent bytes fall below the low-water mark."""
        await self._connection.drained()

    def note_buffered(self, size_bytes: int) -> None:
        """Counts bytes of the answer that wait for its end.

        Args:
            size_bytes: All that wait; 0 if they are given up.
        """
        self._connection.note_buffered(size_bytes)

    def detach(self, unsent_bytes: int) -> Callable[[], None]:
        """Counts a request on that goes on without its caller.

        Args:
            unsent_bytes: What its upstream has not taken yet.

        Returns:
            Called when the request has ended.
        """
        return self._connection.detach(unsent_bytes)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the answer, or replaces one that was added."""
        self._extra_headers[name] = value

    def respond(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes a complete answer."""
        self._has_begun = self._has_ended = True
        framed = list(headers)
        if status not in _STATUSES_WITHOUT_BODY and self._method != "HEAD":
            framed.append((b"Content-Length", b"%d" % len(body)))
        head = self._head(status, framed)
        if self._method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
            body = b""
        self._connection.note_buffered(0)
        if len(body) <= _JOINED_BODY_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)

    def start(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], data: bytes
    ) -> None:
        """Writes the head of an answer of unknown length and its first part."""
        self._has_begun = True
        framed = list(headers)
        if self._is_http11:
            framed.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._connection.close_after_answer()
        head = self._head(status, framed)
        self._connection.write(head + self._framed(data))

    def write(self, data: bytes) -> None:
        """Writes a further part of the body."""
        self._connection.write(self._framed(data))

    def finish(self) -> None:
        """Ends the body of an answer that is complete."""
        self._has_ended = True
        if self._is_http11 and self._method != "HEAD":
            self._connection.write(_LAST_CHUNK)

    def abort_answer(self) -> None:
        """Ends the connection, so that the answer is seen to be incomplete.

        A close shows that only for a chunked body: a body that is delimited by
        the end of the connection would look complete.
        """
        self._has_ended = True
        if self._is_http11:
            self._connection.abort()
        else:
            self._connection.reset()

    def _head(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        try:
            phrase = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Unknown"
        line = b"HTTP/1.1 %d %s" % (status, phrase)
        if self._extra_headers:
            headers = (*headers, *self._extra_headers.items())
        if self._connection.closes_after_answer:
            headers = (*headers, (b"Connection", b"close"))
        return write_head(line, headers)

    def _framed(self, data: bytes) -> bytes:
        if self._method == "HEAD":
            return b""
        if not self._is_http11:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
