"""Tests of the callers' server with slow, idle and malformed requests."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from hollyknot_coordination.holding import ByteBudget
from hollyknot_state import Address
from hollyknot_transport import (
    MAX_CONNECTIONS,
    BodyLimits,
    CallerServer,
    HeldBody,
    Refusal,
    _held_body,
    read_call,
    start_server,
)
from hollyknot_transport._caller_server import HEAD_TIMEOUT_S

_IP = "127.0.0.1"
_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Test = Callable[[CallerServer, Connection], Awaitable[None]]


async def _answer(request: web.BaseRequest) -> web.Response:
    held_body = HeldBody(ByteBudget(1024), asyncio.get_running_loop().time)
    found = await read_call(request, "req-1", BodyLimits(1024, 1024), held_body)
    status = found.status if isinstance(found, Refusal) else 200
    return web.Response(status=status)


def _run(test: Test, max_connections: int = MAX_CONNECTIONS) -> None:
    async def main() -> None:
        server = CallerServer(_answer, max_connections)
        runner, port = await start_server(server, Address(_IP, 0))
        reader, writer = await asyncio.open_connection(_IP, port)
        try:
            async with asyncio.timeout(20):
                while not server.connections:
                    await asyncio.sleep(0)
                await test(server, (reader, writer))
        finally:
            writer.close()
            await runner.cleanup()

    asyncio.run(main())


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether the connection was closed without an answer."""
    try:
        return await reader.read() == b""
    except ConnectionResetError:
        return True


def _after_head_timeout() -> float:
    return asyncio.get_running_loop().time() + HEAD_TIMEOUT_S + 1


class TestServerHeader:
    """Tests of the `Server` header of answers."""

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (_HEAD + b"Content-Length: 2\r\n\r\n{}", b" 400 "),
            (b"no request\r\n\r\n", b" 400 "),
            (_HEAD + b"Content-Length: x\r\n\r\n", b" 400 "),
            (_HEAD + b"X-Long: " + b"x" * 20_000 + b"\r\n\r\n", b" 400 "),
        ],
    )
    def test_server_header_hides_the_library(
        self, sent: bytes, status: bytes
    ) -> None:
        async def test(_: CallerServer, connection: Connection) -> None:
            reader, writer = connection
            writer.write(sent)
            head = await reader.readuntil(b"\r\n\r\n")
            assert status in head.partition(b"\r\n")[0]
            assert b"\r\nServer: hollyknot\r\n" in head

        _run(test)


class TestSlowCallers:
    """Tests of connections that hold a file descriptor and do nothing."""

    @pytest.mark.parametrize("head", [b"", _HEAD, _HEAD + b"X-A: "])
    def test_incomplete_head_is_closed_after_the_timeout(
        self, head: bytes
    ) -> None:
        """Guards against running out of file descriptors for callers.

        Callers open connections and send their request heads one byte a second,
        or not at all. aiohttp limits the idle time of a connection only after
        its first request.
        """

        async def test(server: CallerServer, connection: Connection) -> None:
            reader, writer = connection
            writer.write(head)
            await writer.drain()
            assert server.sweep(asyncio.get_running_loop().time()) == 0
            assert server.sweep(_after_head_timeout()) == 1
            assert await _is_closed(reader)

        _run(test)

    def test_sweep_keeps_a_connection_with_a_request(self) -> None:
        async def test(server: CallerServer, connection: Connection) -> None:
            reader, writer = connection
            writer.write(_HEAD + b"Content-Length: 2\r\n\r\n{")
            while not server.in_work:
                await asyncio.sleep(0)
            assert server.sweep(_after_head_timeout()) == 0
            writer.write(b"}")
            assert b" 400 " in await reader.readline()

        _run(test)

    @pytest.mark.parametrize("has_request", [False, True])
    def test_an_idle_connection_makes_room_for_a_new_one(
        self, has_request: bool
    ) -> None:
        """Guards against idle connections that take all descriptors."""

        async def test(server: CallerServer, connection: Connection) -> None:
            reader, writer = connection
            if has_request:
                writer.write(_HEAD + b"Content-Length: 2\r\n\r\n{")
                while not server.in_work:
                    await asyncio.sleep(0)
            host, port = writer.get_extra_info("peername")
            new_reader, new_writer = await asyncio.open_connection(host, port)
            closed = new_reader if has_request else reader
            assert await _is_closed(closed)
            new_writer.close()

        _run(test, max_connections=1)

    def test_expect_100_continue_is_answered(self) -> None:
        """Guards against large requests that take a second more or time out.

        Common clients send the head of a large request alone and wait for "100
        Continue", which aiohttp's low-level server does not send by itself.
        """

        async def test(server: CallerServer, connection: Connection) -> None:
            del server
            reader, writer = connection
            expect = b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            writer.write(_HEAD + expect)
            assert b" 100 " in await reader.readline()
            assert await reader.readline() == b"\r\n"
            writer.write(b"{}")
            assert b" 400 " in await reader.readline()

        _run(test)

    def test_incomplete_body_is_refused_after_the_timeout(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests that accumulate and never reach admission.

        A caller states a length and sends one byte a second. The time in which
        a body arrives must be limited, not only its size; the answer is 408.
        """
        monkeypatch.setattr(_held_body, "BODY_TIMEOUT_S", 0.01)

        async def test(server: CallerServer, connection: Connection) -> None:
            del server
            reader, writer = connection
            writer.write(_HEAD + b"Content-Length: 9\r\n\r\n{")
            assert b" 408 " in await reader.readline()

        _run(test)
