"""Tests of links that are silent, slow or idle."""

import asyncio
from typing import Any

from hollyknot_protocol import (
    Pong,
)
from hollyknot_transport import (
    KindTraffic,
    LinkErrorReason,
)
from hollyknot_transport.tests.links_harness import (
    IP,
    NO_SWEEPS,
    SHORT_TIMEOUT_S,
    Host,
    hosts,
    run,
    wait_until,
)


class _TcpProxy:
    """Forwards bytes between a dialler and a server, or drops them."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._dropped: set[int] = set()
        self._opened = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "_TcpProxy":
        self._server = await asyncio.start_server(self._serve, IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def drop_open_connections(self) -> None:
        """Drops all further bytes of the connections that are open now."""
        self._dropped |= set(range(self._opened))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._opened
        self._opened += 1
        far_streams = await asyncio.open_connection(IP, self._target)
        self._writers += [writer, far_streams[1]]
        for source, sink in (
            (reader, far_streams[1]),
            (far_streams[0], writer),
        ):
            self._tasks.add(
                asyncio.ensure_future(self._pass(number, source, sink))
            )

    async def _pass(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        while data := await source.read(65_536):
            if number not in self._dropped:
                sink.write(data)
        sink.close()


class TestSilence:
    """Tests of connections that are silent forever, slow or idle."""

    def test_a_silent_link_is_closed_and_dialled_anew(self) -> None:
        """Guards against calls that fail for minutes to a healthy host.

        A device between two hosts loses the state of their connection and drops
        what either sends. Both ends consider the connection open, and each call
        on it times out.
        """

        async def test() -> None:
            async with hosts() as host, _TcpProxy(host.server.port) as proxy:
                assert await host.call(port=proxy.port) == Pong()
                proxy.drop_open_connections()
                call = asyncio.ensure_future(host.call(port=proxy.port))
                await _wait_for_traffic(host, "CallRefusal", 2)
                host.pool.sweep(host.now_s + NO_SWEEPS.ping_after_s)
                assert not call.done()
                later_s = NO_SWEEPS.ping_after_s + NO_SWEEPS.stall_s
                host.pool.sweep(host.now_s + later_s)
                error = await call
                assert error.reason is LinkErrorReason.LOST
                assert error.may_have_arrived
                assert host.pool.counters.stalled == 1
                assert await host.call(port=proxy.port) == Pong()

        run(test())

    def test_a_call_after_a_timeout_uses_a_new_link(self) -> None:
        """Guards against losing call after call on one silent link.

        Each call has a shorter timeout than the time to detect that the link is
        lost, so that the next call would be sent on the same link again.
        """

        async def test() -> None:
            async with hosts() as host, _TcpProxy(host.server.port) as proxy:
                assert await host.call(port=proxy.port) == Pong()
                host.now_s += 1.0
                proxy.drop_open_connections()
                error = await host.call(SHORT_TIMEOUT_S, port=proxy.port)
                assert error.reason is LinkErrorReason.TIMEOUT
                assert await host.call(port=proxy.port) == Pong()

        run(test())

    def test_a_slow_call_outlives_many_pings(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                may_reply = asyncio.Event()

                async def answer() -> Any:
                    await may_reply.wait()
                    return Pong()

                host.answer = answer
                call = asyncio.ensure_future(host.call())
                await host.wait_until_received(1)
                for number in range(1, 6):
                    host.now_s += NO_SWEEPS.ping_after_s
                    host.pool.sweep(host.now_s)
                    await _wait_for_traffic(host, "Pong", number)
                may_reply.set()
                assert await call == Pong()
                assert host.pool.counters.stalled == 0

        run(test())

    def test_idle_links_close_on_both_sides(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                await host.call()
                host.pool.sweep(host.now_s + NO_SWEEPS.idle_s)
                await wait_until(lambda: host.pool.open_links == 0)
                await wait_until(lambda: host.server.peers == ())
                assert await host.call() == Pong()

        run(test())

    def test_a_link_whose_dialler_vanished_is_closed(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                await host.call()
                host.server.sweep(host.now_s + NO_SWEEPS.accepted_idle_s)
                await wait_until(lambda: host.server.peers == ())

        run(test())


async def _wait_for_traffic(host: Host, kind: str, number: int) -> None:
    def has_count() -> bool:
        kinds = {t.kind: t for t in host.pool.counters.traffic()}
        traffic = kinds.get(kind, KindTraffic(kind))
        return traffic.sent_messages + traffic.received_messages == number

    await wait_until(has_count)
