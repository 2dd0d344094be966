"""Tests who is refused when callers fill the memory of a host."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hollyknot_coordination.holding import SMALL_BYTES, ByteBudget
from hollyknot_gateway._caller_connection import CallerConnection
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._reply import Reply
from hollyknot_gateway.tests.test_floods import _Transport
from hollyknot_state.routes import CallerLimits

_TIMEOUT_S = 20.0
_BODY = bytes(10 * SMALL_BYTES)
_POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(
    _BODY
)


class _Sent(_Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""

    def write(self, data: Any) -> None:
        self.sent += data


class _Host:
    """Connections that share a budget with room for one large body."""

    def __init__(self) -> None:
        self.budget = ByteBudget(20 * SMALL_BYTES)
        self.handled: list[int] = []
        self.is_held = asyncio.Event()

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        self.handled.append(len(request.body))
        await self.is_held.wait()
        reply.respond(200, (), b"")

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def send(self, data: bytes) -> tuple[CallerConnection, _Sent]:
        connection = CallerConnection(
            self._handle,
            CallerLimits(),
            lambda _: None,
            lambda *_: None,
            budget=self.budget,
        )
        transport = _Sent()
        connection.connection_made(transport)
        connection.data_received(data)
        await self.until(lambda: not connection._input.is_waiting)
        return connection, transport


def _run(test: Callable[[_Host], Awaitable[None]]) -> None:
    async def main() -> None:
        await test(_Host())

    asyncio.run(main())


class TestFullMemory:
    """Requests that are not whole give way and are told that they don't run."""

    def test_an_older_unfinished_body_gives_way(self) -> None:
        """Guards against a crowd that fills the memory and keeps it."""

        async def test(host: _Host) -> None:
            _, old = await host.send(_POST + _BODY[:-1])
            _, new = await host.send(_POST + _BODY)
            await host.until(lambda: bool(host.handled))
            assert old.sent.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: " in old.sent
            assert b"Connection: close" in old.sent
            assert old.is_closed
            assert not new.is_closed
            assert host.handled == [len(_BODY)]
            assert host.budget.held_bytes < 1.1 * len(_BODY)

        _run(test)

    def test_a_request_that_may_run_does_not_give_way(self) -> None:
        """Guards against a refusal of what has run."""

        async def test(host: _Host) -> None:
            connection, first = await host.send(_POST + _BODY)
            await host.until(lambda: bool(host.handled))
            _, second = await host.send(_POST + _BODY)
            await host.until(lambda: second.is_closed)
            assert second.sent.startswith(b"HTTP/1.1 503 ")
            assert host.handled == [len(_BODY)]
            host.is_held.set()
            await host.until(lambda: not host.budget.held_bytes)
            assert first.sent.startswith(b"HTTP/1.1 200 ")
            connection.connection_lost(None)

        _run(test)

    def test_input_behind_a_request_leaves_the_request_whole(self) -> None:
        """Guards against a body that is cut where the memory ends."""

        async def test(host: _Host) -> None:
            host.budget = ByteBudget(SMALL_BYTES)
            small = _POST.replace(b"%d" % len(_BODY), b"3") + b"abc"
            _, transport = await host.send(small + _POST + _BODY)
            host.is_held.set()
            await host.until(lambda: transport.is_closed)
            assert host.handled == [3]
            assert transport.sent.startswith(b"HTTP/1.1 200 ")

        _run(test)

    def test_what_goes_on_without_its_caller_counts_on(self) -> None:
        """Guards against callers that send bodies and leave at once."""

        async def test(host: _Host) -> None:
            connection, _ = await host.send(_POST + _BODY)
            await host.until(lambda: bool(host.handled))
            connection.connection_lost(None)
            assert host.budget.held_bytes >= len(_BODY)
            release = connection.detach(1000)
            await asyncio.sleep(0)
            assert host.budget.held_bytes == 1000
            release()
            assert not host.budget.held_bytes

        _run(test)
