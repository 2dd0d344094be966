"""Tests that bytes without end are cut off, whoever sends them."""

import asyncio
from typing import Any, cast

import attrs
import pytest

from hollyknot_coordination.forwarding import EventFramer
from hollyknot_gateway._caller_connection import CallerConnection
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._exchange import MAX_EVENT_BYTES, Exchange, StreamState
from hollyknot_gateway._fetch import MAX_DOCUMENT_BYTES, _Collector
from hollyknot_gateway._reply import Reply
from hollyknot_gateway._upstream_connection import (
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    Head,
    Lost,
    UpstreamConnection,
)
from hollyknot_gateway.tests._dialects import sealed_dialect
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Outcome
from hollyknot_state.routes import CallerLimits

READ_BYTES = 262_144
"""Most bytes that one read returns."""

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_POST = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

ANSWERS = {
    "informational heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "no answer": (b"", b"x"),
    "a field": (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"A: x\r\n"),
    "a chunk's size": (_CHUNKED, b"0"),
    "an extension": (_CHUNKED + b"1;", b"x"),
    "extensions": (_CHUNKED + b"1", b";a=x"),
    "trailers": (_CHUNKED + b"0\r\n", b"A: x\r\n"),
    "a trailer": (_CHUNKED + b"0\r\nA: ", b"x"),
}

REQUESTS = {
    "empty lines": (b"", b"\r\n"),
    "a field": (b"GET / HTTP/1.1\r\nA: ", b"x"),
    "fields": (b"GET / HTTP/1.1\r\n", b"A: x\r\n"),
    "a chunk's size": (_POST, b"0"),
    "an extension": (_POST + b"1;", b"x"),
    "extensions": (_POST + b"1", b";a=x"),
    "trailers": (_POST + b"0\r\n", b"A: x\r\n"),
    "requests": (b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
}


class _Transport(asyncio.Transport):
    """Notes whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def write(self, data: Any) -> None:
        """Discards bytes."""

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that were not sent: none."""
        return 0

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        """Does nothing; the test feeds no more than one read at a time."""

    def resume_reading(self) -> None:
        """Does nothing."""


@attrs.define
class _Receiver:
    """Receives an answer and records how it ended."""

    lost: Lost | None = None
    content: int = 0
    is_ended: bool = False

    def on_head(self, _: Head) -> None:
        """Takes a head."""

    def on_data(self, data: bytes) -> None:
        self.content += len(data)

    def on_end(self) -> None:
        self.is_ended = True

    def on_lost(self, lost: Lost) -> None:
        self.lost = lost


async def _flood(
    protocol: Any, transport: _Transport, piece: bytes, most_bytes: int = 2**24
) -> int:
    """Sends pieces until the connection is closed, or up to a limit.

    Returns:
        The number of bytes that were sent.
    """
    block = piece * (READ_BYTES // len(piece))
    sent = 0
    while sent < most_bytes and not transport.is_closed:
        protocol.data_received(block)
        sent += len(block)
        while protocol._input.is_waiting:
            await asyncio.sleep(0.005)
    return sent


class TestAnswers:
    """Upstreams, the directory and peers that send bytes without end."""

    @pytest.mark.parametrize("form", ANSWERS)
    def test_bytes_without_end_are_cut_off(self, form: str) -> None:
        """Guards against a host that parses nothing else."""
        first, piece = ANSWERS[form]
        receiver = _Receiver()

        async def main() -> int:
            connection, transport = UpstreamConnection(), _Transport()
            connection.connection_made(transport)
            connection.send(b"", receiver, is_head=False)
            connection.data_received(first)
            return await _flood(connection, transport, piece)

        assert asyncio.run(main()) <= READ_BYTES
        assert receiver.lost in (Lost.FLOODED, Lost.GARBLED)
        assert not receiver.is_ended
        assert receiver.content <= 1

    @pytest.mark.parametrize("size", [1, 2, 40])
    def test_small_chunks_are_no_flood(self, size: int) -> None:
        """Guards against cutting off streams of small events."""
        receiver = _Receiver()
        piece = b"%x\r\n%b\r\n" % (size, bytes(size))

        async def main() -> None:
            connection, transport = UpstreamConnection(), _Transport()
            connection.connection_made(transport)
            connection.send(b"", receiver, is_head=False)
            connection.data_received(_CHUNKED)
            await _flood(connection, transport, piece, 4 * READ_BYTES)
            connection.data_received(b"0\r\n\r\n")

        asyncio.run(main())
        assert receiver.lost is None
        assert receiver.is_ended
        assert receiver.content > MAX_FRAMING_BYTES

    def test_limits_admit_large_heads(self) -> None:
        """Guards against refusing what an upstream may send."""
        receiver = _Receiver()
        hint = b"HTTP/1.1 103 Early Hints\r\nA: %b\r\n\r\n" % (b"x" * 1000)
        head = b"HTTP/1.1 200 OK\r\nA: %b\r\nContent-Length: 2\r\n\r\nok" % (
            b"x" * (MAX_HEAD_BYTES - 10 * len(hint) - 100)
        )

        async def main() -> None:
            connection = UpstreamConnection()
            connection.connection_made(_Transport())
            connection.send(b"", receiver, is_head=False)
            connection.data_received(hint * 10 + head)

        asyncio.run(main())
        assert receiver.is_ended

    def test_an_event_without_end_is_cut_off(self) -> None:
        """Guards against a stream that fills the host's memory."""

        async def main() -> tuple[int, Any]:
            framer = EventFramer()
            connection = _EndlessStream()
            exchange = Exchange(
                sealed_dialect(is_event_stream=True),
                "",
                cast(Any, _Reply()),
                StreamState(framer),
                cast(Any, connection),
                asyncio.get_running_loop().time,
                lambda: None,
                lambda _: None,
                lambda *_: None,
            )
            exchange.on_head(Head(200, (), {}, should_close=False))
            sent = 0
            while not connection.is_abandoned:
                exchange.on_data(b"x" * READ_BYTES)
                sent += READ_BYTES
            return sent, await exchange.done

        sent, result = asyncio.run(main())
        assert sent <= MAX_EVENT_BYTES + READ_BYTES
        assert result.verdict.outcome is Outcome.MAY_HAVE_RUN
        assert result.answer is None

    def test_a_document_without_end_is_not_collected(self) -> None:
        """Guards against a directory that fills the host's memory."""

        async def main() -> int:
            collector = _Collector(lambda: None)
            for _ in range(2 * MAX_DOCUMENT_BYTES // READ_BYTES):
                collector.on_data(bytes(READ_BYTES))
            assert collector.done.done()
            return sum(map(len, collector._parts))

        assert asyncio.run(main()) == 0


@attrs.define
class _EndlessStream:
    """The connection of an upstream that streams without end."""

    keeps_s: float = 0.0
    requests: int = 1
    is_abandoned: bool = False

    def abandon(self) -> None:
        self.is_abandoned = True


@attrs.define
class _Reply:
    """A reply of which nothing is written."""

    has_begun: bool = False


class TestRequests:
    """Callers that send bytes without end."""

    @pytest.mark.parametrize("form", REQUESTS)
    def test_bytes_without_end_are_cut_off(self, form: str) -> None:
        """Guards against a host that parses nothing else."""
        first, piece = REQUESTS[form]
        handled: list[object] = []

        async def handle(request: object, _: object) -> None:
            handled.append(request)

        async def main() -> int:
            transport = _Transport()
            connection = CallerConnection(
                handle, CallerLimits(), lambda _: None, lambda *_: None
            )
            connection.connection_made(transport)
            if first:
                connection.data_received(first)
                await asyncio.sleep(0)
            sent = await _flood(connection, transport, piece)
            connection.connection_lost(None)
            return sent

        assert asyncio.run(main()) <= 2 * READ_BYTES
        assert len(handled) <= 1

    def test_a_request_behind_a_body_is_no_flood(self) -> None:
        """Guards against counting the next request as framing."""
        handled: list[bytes] = []
        upload = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b"
        body = bytes(READ_BYTES)

        async def handle(request: CallerRequest, reply: Reply) -> None:
            handled.append(request.body)
            reply.respond(200, (), b"")

        async def main() -> None:
            transport = _Transport()
            connection = CallerConnection(
                handle, CallerLimits(), lambda _: None, lambda *_: None
            )
            connection.connection_made(transport)
            first = upload % (2, b"ab")
            connection.data_received(first[:-1])
            await asyncio.sleep(0)
            connection.data_received(
                first[-1:] + upload % (len(body), body[: READ_BYTES // 2])
            )
            await asyncio.sleep(0.01)
            connection.data_received(body[READ_BYTES // 2 :])
            await asyncio.sleep(0.01)
            assert not transport.is_closed
            connection.connection_lost(None)

        asyncio.run(main())
        assert handled == [b"ab", body]

    def test_a_body_may_take_long_but_not_stop(self) -> None:
        """Guards against connections that are kept by half a request."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            limits = CallerLimits()
            connection = CallerConnection(
                cast(Any, None), limits, lambda _: None, lambda *_: None
            )
            connection.connection_made(_Transport())
            connection._idle_since -= 2 * limits.idle_timeout_s
            connection.data_received(_POST + b"2\r\na")
            await asyncio.sleep(0)
            now_s = loop.time()
            assert not connection.is_overdue(now_s)
            assert not connection.is_overdue(now_s + limits.head_timeout_s + 1)
            assert connection.is_overdue(now_s + limits.idle_timeout_s + 1)
            connection.connection_lost(None)

        run_virtually(main())


BEHIND = {
    "empty lines": b"\r\n",
    "a field": b"GET / HTTP/1.1\r\nA: ",
    "an extension": _POST + b"1;",
    "chunks": _POST,
    "no request": b"?",
}


class TestRequestsBehindOthers:
    """Callers that send more while they are owed an answer."""

    @pytest.mark.parametrize("form", BEHIND)
    def test_bytes_without_end_are_not_read(self, form: str) -> None:
        """Guards against parsing for as long as an answer takes."""
        piece = b"1\r\nx\r\n" if form == "chunks" else BEHIND[form][-1:]
        unread: list[str] = []

        async def main() -> int:
            held = asyncio.Event()
            transport = _Reading()
            connection = CallerConnection(
                lambda *_: held.wait(),  # type: ignore[arg-type]
                CallerLimits(),
                lambda _: None,
                lambda _, reason: unread.append(reason),
            )
            connection.connection_made(transport)
            connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            connection.data_received(BEHIND[form])
            await asyncio.sleep(0)
            sent = 0
            while not transport.is_held and sent < READ_BYTES:
                connection.data_received(piece * 1000)
                sent += 1000 * len(piece)
            connection.connection_lost(None)
            return sent

        assert asyncio.run(main()) < READ_BYTES
        assert len(unread) <= 1

    def test_unread_answers_do_not_pile_up(self) -> None:
        """Guards against callers that pipeline requests and read nothing."""
        handled: list[object] = []

        async def handle(request: CallerRequest, reply: Reply) -> None:
            handled.append(request)
            reply.respond(200, (), b"")

        async def main() -> None:
            connection = CallerConnection(
                handle, CallerLimits(), lambda _: None, lambda *_: None
            )
            connection.connection_made(_Transport())
            connection.pause_writing()
            connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 9)
            await asyncio.sleep(0.01)
            assert len(handled) == 1
            connection.resume_writing()
            await asyncio.sleep(0.01)
            assert len(handled) == 9
            connection.connection_lost(None)

        asyncio.run(main())


class _Reading(_Transport):
    """Notes whether it is read."""

    is_held = False

    def pause_reading(self) -> None:
        self.is_held = True

    def resume_reading(self) -> None:
        self.is_held = False
