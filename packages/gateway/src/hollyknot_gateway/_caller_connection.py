"""Serves one HTTP connection of a caller with aiohttp's request parser.

aiohttp's own server runs several coroutines for each part of an answer and
closes idle connections by rules of its own. Here each part is written at once,
and a connection is closed only between two requests or to show that an answer
is incomplete.
"""

import asyncio
import contextlib
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

from hollyknot_coordination.forwarding import GiveUp
from hollyknot_coordination.holding import (
    SMALL_BYTES,
    ByteBudget,
    default_capacity_bytes,
)
from hollyknot_gateway._body_rules import (
    LATE_BODY,
    NO_MEMORY,
    BodyRules,
    plain_rules,
)
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._connection_limits import Use
from hollyknot_gateway._holdings import SMALL_ANSWER_BYTES, Holdings
from hollyknot_gateway._incoming import Incoming
from hollyknot_gateway._paced_input import PacedInput
from hollyknot_gateway._reply import Reply
from hollyknot_gateway._upstream_connection import (
    FRAMING_PER_BYTE,
    MAX_FRAMING_BYTES,
    set_socket_options,
)
from hollyknot_state import Outcome, Reason, Verdict
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
_HEAD_TOO_LARGE = 431
_RETRY_AFTER = ((b"Retry-After", b"1"),)
_TOO_LARGE = GiveUp(
    413, Verdict(Outcome.NOT_RUN, Reason.TOO_LARGE, "the body is too large")
)


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
        "_ahead_bytes",
        "_body_bytes",
        "_buffered_bytes",
        "_closes",
        "_handler",
        "_has_request",
        "_head_bytes",
        "_holdings",
        "_idle_since",
        "_incoming",
        "_input",
        "_is_detached",
        "_is_reading_body",
        "_is_surplus",
        "_is_unreadable",
        "_limits",
        "_on_lost",
        "_on_unread",
        "_payload",
        "_queue",
        "_rules",
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
        rules: BodyRules | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        """Builds a connection that waits for its first request.

        Args:
            handler: Answers each request; cancelled if the caller disconnects.
            limits: Limits on the size and duration of requests.
            on_lost: Called when the connection has ended.
            on_unread: Called for each request that can't be read.
            accepts: Returns whether an IP address may connect.
            rules: Decides on requests that are not whole; None accepts all.
            budget: Bounds what this connection and others hold; None for a
                budget of its own.
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
            self._parse, self._pause_reading_for_buffer, self._release
        )
        self._rules = rules or plain_rules(limits.idle_timeout_s)
        self._holdings = Holdings(
            budget or ByteBudget(default_capacity_bytes(0)),
            loop.time,
            lambda: self._break_off(NO_MEMORY),
            self._drop_behind,
            self._drop_answer,
        )
        self._incoming: Incoming | None = None
        self._payload: Any = None
        self._body_bytes = 0
        self._buffered_bytes = 0
        self._queue: list[tuple[RawRequestMessage, Any]] = []
        self._task: asyncio.Task[None] | None = None
        self._has_request = False
        self._is_reading_body = False
        self._closes = False
        self._idle_since = loop.time()
        self._waiting_head = False
        self._head_bytes = 0
        self._ahead_bytes = 0
        self._is_unreadable = False
        self._is_surplus = False
        self._is_detached = False

    @property
    def has_request(self) -> bool:
        """Whether a request is being read or answered."""
        return self._has_request

    @property
    def is_in_work(self) -> bool:
        """Whether a request is in work or its answer is not sent in full."""
        if self._has_request:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def use(self) -> Use:
        """What the connection is used for."""
        if not self._has_request:
            return Use.HEAD if self._waiting_head else Use.IDLE
        if self._is_reading_body:
            return Use.BODY
        return Use.UNREAD_ANSWER if self.writing_paused else Use.WORK

    @property
    def idle_since(self) -> float:
        """When the last request ended, or the current one came."""
        return self._idle_since

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

    @property
    def _is_far_ahead(self) -> bool:
        """Whether enough was read behind the request that is answered."""
        limit_bytes = _HEAD_FACTOR * self._limits.max_head_bytes
        return self._ahead_bytes > limit_bytes

    def refuse(self) -> None:
        """Resets the connection as soon as it is made."""
        self._is_surplus = True

    def make_way(self) -> None:
        """Ends a connection that is not in work for a new one."""
        if self.use is Use.BODY:
            self._break_off(NO_MEMORY)
        elif self.is_in_work:
            self.reset()
        else:
            self.close()

    def close_after_answer(self) -> None:
        """Closes the connection after the current request's answer."""
        self._closes = True

    def write(self, data: bytes) -> None:
        """Writes bytes; drops them if the caller has disconnected."""
        if self.transport is not None and data:
            self.transport.write(data)
            self.count_unsent()

    @property
    def _owed_bytes(self) -> int:
        """Bytes of answers that the caller has not taken."""
        assert self.transport is not None
        return self._buffered_bytes + self.transport.get_write_buffer_size()

    def count_unsent(self) -> None:
        """Counts what the caller has not taken of its answers."""
        if self.transport is not None:
            self._holdings.owe(self._owed_bytes)

    def note_buffered(self, size_bytes: int) -> None:
        """Counts bytes of an answer that wait to be written."""
        if size_bytes != self._buffered_bytes:
            self._buffered_bytes = size_bytes
            self.count_unsent()

    def detach(self, unsent_bytes: int) -> Callable[[], None]:
        """Counts a request on that goes on without its caller.

        Args:
            unsent_bytes: What its upstream has not taken yet.

        Returns:
            Called when the request has ended.
        """
        self._is_detached = True
        self._holdings.keep(unsent_bytes)
        return self._holdings.end_request

    def resume_writing(self) -> None:
        """Goes on with an answer that the caller was slow to take."""
        super().resume_writing()
        self.count_unsent()

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
        if self._is_surplus:
            self._on_unread(0, "too many connections")
            self.reset()
        elif self._accepts is not accept_any and not self._accepts(
            self.sender_ip
        ):
            self._on_unread(0, f"unknown sender {self.sender_ip}")
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the handling of the caller's requests."""
        super().connection_lost(exc)
        self._holdings.close()
        if self._incoming is not None:
            self._incoming.stop()
        self._input.clear()
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parses requests and starts to handle the next one."""
        self._input.feed(data)
        self._count_held()

    def _count_held(self) -> None:
        """Counts what was read and is not in work yet."""
        if self._is_unreadable or self.transport is None:
            return
        waiting_bytes = self._input.waiting_bytes
        if self._has_request and self._payload.is_eof():
            self._holdings.read_behind(self._ahead_bytes + waiting_bytes)
            return
        self._holdings.read_behind(0)
        if self._has_request:
            read_bytes = self._payload.total_bytes
        else:
            read_bytes = self._head_bytes if self._waiting_head else 0
        self._holdings.read(read_bytes + waiting_bytes)

    def _parse(self, data: bytes) -> None:
        is_open = self.transport is not None and not self.transport.is_closing()
        if not is_open or self._is_unreadable:
            self._input.clear()
            return
        assert self._parser is not None
        self._count_ahead(data)
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

    def _count_ahead(self, data: bytes) -> None:
        """Stops reading once enough has arrived behind a whole request."""
        if self._has_request and self._payload.is_eof():
            self._ahead_bytes += len(data)
            if self._is_far_ahead:
                self._pause_reading_for_buffer()

    def _release(self) -> None:
        """Starts to read again, unless enough was read ahead."""
        if not self._is_far_ahead and not self._is_unreadable:
            self._resume_reading_for_buffer()

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
        self._payload = payload
        self._waiting_head = False
        self._incoming = Incoming(message, self._loop.time())
        self._task = self._loop.create_task(self._serve(self._incoming))

    async def _serve(self, incoming: Incoming) -> None:
        message = incoming.message
        if message.should_close:
            self._closes = True
        self._is_reading_body = True
        self._idle_since = incoming.arrived_s
        self._body_bytes = 0
        if not self._payload.is_eof():
            self._limit_body(incoming)
        body = await self._body(incoming, self._payload)
        self._is_reading_body = False
        incoming.stop()
        if self._task is None:
            # It was refused while its last bytes were taken.
            return
        if isinstance(body, GiveUp):
            self._refuse_unread(body)
            return
        if not self._holdings.keep(len(body) + incoming.head_bytes):
            self._refuse_unread(NO_MEMORY)
            return
        request = incoming.request(body)
        del body
        try:
            await self._answer(request, self._reply())
        finally:
            if not self._is_detached:
                self._holdings.end_request()
        await self._drain_answer()
        self._on_request_end()

    def _reply(self) -> Reply:
        """Returns the reply to the current request, or to a head."""
        if not self._has_request or self._incoming is None:
            return Reply(self, "GET", is_http11=True)
        message = self._incoming.message
        is_http11 = message.version >= HttpVersion11
        return Reply(self, message.method, is_http11=is_http11)

    def _limit_body(self, incoming: Incoming) -> None:
        """Starts the time within which a body has to be whole."""
        found = self._rules.check(incoming.request())
        if isinstance(found, GiveUp):
            incoming.refusal = found
            found = self._limits.idle_timeout_s
        incoming.timer = self._loop.call_at(
            incoming.arrived_s + found,
            lambda: self._break_off(incoming.refusal or LATE_BODY),
        )

    def _break_off(self, refusal: GiveUp) -> None:
        """Refuses a request that is not whole, and reads no more of it."""
        if self.transport is None or self.transport.is_closing():
            return
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        self._refuse_unread(refusal)

    def _refuse_unread(self, refusal: GiveUp) -> None:
        """Answers a request of which nothing is kept, and closes."""
        self._closes = True
        reply = self._reply()
        if self._has_request and refusal is not _TOO_LARGE:
            assert self._incoming is not None
            self._rules.refuse(self._incoming.request(), reply, refusal)
        else:
            detail = refusal.verdict.detail
            after = _RETRY_AFTER if refusal is NO_MEMORY else ()
            reply.respond(refusal.status, after, f"{detail}\n".encode())
            self._on_unread(refusal.status, detail)
        self._discard_input()
        self._discard_body()
        self._holdings.end_request()
        self.close()

    def _drop_behind(self) -> None:
        """Closes the connection after the answer in progress."""
        self._closes = True
        self._discard_input()
        self._pause_reading_for_buffer()
        self._on_unread(0, "no memory for what is behind a request")

    def _drop_answer(self) -> None:
        """Resets the connection of a caller that doesn't read its answer."""
        if self.transport is None:
            return
        if self._owed_bytes > SMALL_ANSWER_BYTES:
            self._on_unread(0, "no memory for an answer that is not read")
            self.reset()

    def _discard_input(self) -> None:
        """Frees all that was read behind the current request."""
        self._is_unreadable = True
        self._queue.clear()
        self._input.clear()
        self._parser = None

    def _discard_body(self) -> None:
        """Frees what was read of the current request.

        The task that reads it ends only after others have been read, and they
        may fill the same memory until then.
        """
        if not self._has_request or self._incoming is None:
            return
        self._incoming.stop()
        self._incoming.parts.clear()
        if not self._payload.at_eof():
            self._payload._buffer.clear()

    async def _drain_answer(self) -> None:
        """Waits until the caller has taken most of the answer.

        Otherwise answers to pipelined requests pile up for a caller that reads
        none.
        """
        with contextlib.suppress(ConnectionError):
            await self.drained()

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
        self._holdings.end_request()
        self._idle_since = self._loop.time()
        if self._closes:
            self.close()
            return
        self._start_next()
        if self._ahead_bytes:
            self._ahead_bytes = sum(p.total_bytes for _, p in self._queue)
            if not self._input.is_waiting:
                self._release()
        self._count_held()

    async def _body(self, incoming: Incoming, payload: Any) -> bytes | GiveUp:
        """Reads a request's body; returns why it is not read to its end."""
        max_bytes = self._limits.max_body_bytes
        refusal = incoming.refusal
        announced_bytes = incoming.announced_bytes
        if announced_bytes > max_bytes:
            return _TOO_LARGE
        if refusal is not None and announced_bytes > SMALL_BYTES:
            return refusal
        if incoming.expects_continue:
            self.write(_CONTINUE)
        size = 0
        while part := await payload.readany():
            size += len(part)
            if size > max_bytes:
                return _TOO_LARGE
            if refusal is not None and size > SMALL_BYTES:
                return refusal
            incoming.parts.append(part)
        return incoming.take_body()

    def _reject_unparsable(self, error: HttpProcessingError) -> None:
        """Rejects unparsable input, after which the connection is unusable."""
        self._closes = True
        if self._has_request and not self._is_reading_body:
            # The request in progress is answered first. Then the connection
            # closes without an answer to the unparsable input.
            self._queue.clear()
            self._input.clear()
            self._is_unreadable = True
            self._pause_reading_for_buffer()
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
