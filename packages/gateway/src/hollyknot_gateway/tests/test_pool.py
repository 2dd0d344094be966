"""Tests of opening connections to upstreams."""

import asyncio
import time

from hollyknot_gateway._pool import (
    CONNECT_TIMEOUT_S,
    ConnectFailure,
    Pool,
    _wait,
)
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

    def test_stalls_that_follow_each_other_are_no_timeout(self) -> None:
        """Guards against a second stall in the time that the first one adds."""

        async def main() -> bool:
            loop = asyncio.get_running_loop()
            attempt = loop.create_future()
            for at_s in (0.0, 0.22, 0.44):
                loop.call_later(at_s, time.sleep, 0.2)
            loop.call_later(0.65, attempt.set_result, None)
            await _wait(attempt, 0.1)
            return attempt.done()

        assert asyncio.run(main())

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
