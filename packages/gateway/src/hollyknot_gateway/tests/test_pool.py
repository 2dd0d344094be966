"""Tests of opening connections to upstreams."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from hollyknot_gateway._pool import (
    CONNECT_TIMEOUT_S,
    ConnectFailure,
    Pool,
)
from hollyknot_gateway._running_time import STALL_S
from hollyknot_state import Address

IP = "127.0.0.1"


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
