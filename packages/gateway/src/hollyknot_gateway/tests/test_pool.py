"""Tests of opening connections to upstreams."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from hollyknot_gateway._fetch import FetchFailure, fetch
from hollyknot_gateway._pool import (
    CONNECT_TIMEOUT_S,
    ConnectFailure,
    Pool,
)
from hollyknot_gateway._running_time import STALL_S
from hollyknot_gateway._upstream_connection import Lost, UpstreamConnection
from hollyknot_state import Address

IP = "127.0.0.1"


def _run_with_lost_connections(
    test: Callable[[Pool], Coroutine[Any, Any, object]],
) -> object:
    """Runs a test in a loop whose connections end as they are established."""

    async def main() -> object:
        loop = asyncio.get_running_loop()

        async def connect(
            factory: Callable[[], UpstreamConnection], *_: object, **__: object
        ) -> tuple[asyncio.Transport, UpstreamConnection]:
            connection, transport = factory(), asyncio.Transport()
            connection.connection_made(transport)
            connection.connection_lost(ConnectionResetError())
            return transport, connection

        cast(Any, loop).create_connection = connect
        return await test(Pool(loop.time))

    return asyncio.run(main())


class _LostRecorder:
    """Receives no answer and records why."""

    def __init__(self) -> None:
        self.lost: list[Lost] = []

    def on_lost(self, lost: Lost) -> None:
        self.lost.append(lost)


class TestPool:
    """Tests of connection attempts."""

    def test_a_stall_of_the_host_is_no_timeout_of_the_upstream(self) -> None:
        """Guards against upstreams that count as unreachable after a stall."""

        async def main() -> object:
            server = await asyncio.start_server(lambda *_: None, IP, 0)
            port = server.sockets[0].getsockname()[1]
            pool = Pool(asyncio.get_running_loop().time)
            attempt = asyncio.ensure_future(
                pool.open(Address(IP, port), CONNECT_TIMEOUT_S)
            )
            await asyncio.sleep(0)
            time.sleep(CONNECT_TIMEOUT_S * 2)  # noqa: ASYNC251 (the stall)
            found = await attempt
            server.close()
            return found

        assert not isinstance(asyncio.run(main()), ConnectFailure)

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_a_stall_as_long_as_the_timeout_is_no_timeout(
        self, run: Callable[[Coroutine[Any, Any, object]], object]
    ) -> None:
        """Guards against a timer that is handled before the connection is."""

        async def main() -> object:
            server = await asyncio.start_server(lambda *_: None, IP, 0)
            port = server.sockets[0].getsockname()[1]
            pool = Pool(asyncio.get_running_loop().time)
            attempt = asyncio.ensure_future(
                pool.open(Address(IP, port), CONNECT_TIMEOUT_S)
            )
            await asyncio.sleep(0)
            time.sleep(CONNECT_TIMEOUT_S + STALL_S / 2)  # noqa: ASYNC251
            found = await attempt
            server.close()
            return found

        assert not isinstance(run(main()), ConnectFailure)

    def test_a_port_without_a_listener_refuses(self) -> None:
        """Guards against errors of an attempt that nobody reads."""

        async def main() -> object:
            server = await asyncio.start_server(lambda *_: None, IP, 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            pool = Pool(asyncio.get_running_loop().time)
            return await pool.open(Address(IP, port), CONNECT_TIMEOUT_S)

        assert asyncio.run(main()) is ConnectFailure.REFUSED


class TestLostConnections:
    """Tests of connections that end before they are used."""

    def test_a_connection_lost_at_once_is_not_returned(self) -> None:
        """Guards against requests that are sent on an ended connection."""
        address = Address(IP, 1)

        async def test(pool: Pool) -> object:
            return await pool.open(address, CONNECT_TIMEOUT_S)

        assert _run_with_lost_connections(test) is ConnectFailure.LOST

    def test_a_read_on_a_lost_connection_fails_as_a_value(self) -> None:
        """Guards against a reset by the store that ends the reading task."""
        address = Address(IP, 1)

        async def test(pool: Pool) -> object:
            return await fetch(pool, "store", address, "/", CONNECT_TIMEOUT_S)

        assert _run_with_lost_connections(test) is FetchFailure.CONNECT

    def test_sending_on_a_lost_connection_loses_the_answer(self) -> None:
        """Guards against an exception in place of a verdict."""
        receiver = _LostRecorder()

        async def main() -> None:
            connection = UpstreamConnection()
            connection.send(b"", cast(Any, receiver), is_head=False)

        asyncio.run(main())
        assert receiver.lost == [Lost.CLOSED]
