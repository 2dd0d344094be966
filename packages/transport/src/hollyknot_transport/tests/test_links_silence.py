"""Links that are silent for good, slow, or idle."""

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
    QUIET,
    SHORT_S,
    Host,
    hosts,
    run,
    until,
)


class _Relay:
    """Passes bytes between a dialler and a server, until it forgets."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._forgotten: set[int] = set()
        self._opened = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "_Relay":
        self._server = await asyncio.start_server(self._serve, IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def forget(self) -> None:
        """Drops, from now on, what comes on the connections that are open."""
        self._forgotten |= set(range(self._opened))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._opened
        self._opened += 1
        far = await asyncio.open_connection(IP, self._target)
        self._writers += [writer, far[1]]
        for source, sink in ((reader, far[1]), (far[0], writer)):
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
            if number not in self._forgotten:
                sink.write(data)
        sink.close()


class TestSilence:
    """Connections that have gone silent for good, and idle ones."""

    def test_a_silent_link_is_closed_and_dialled_anew(self) -> None:
        """Calls to one host fail for minutes while the host is well.

        Something between two hosts forgets their connection and drops what
        either sends. Both ends take it for open; each call on it times out.
        """

        async def test() -> None:
            async with hosts() as host, _Relay(host.server.port) as relay:
                assert await host.call(port=relay.port) == Pong()
                relay.forget()
                call = asyncio.ensure_future(host.call(port=relay.port))
                await _carried(host, "CallRefusal", 2)
                host.pool.sweep(host.now_s + QUIET.ping_after_s)
                assert not call.done()
                later_s = QUIET.ping_after_s + QUIET.stall_s
                host.pool.sweep(host.now_s + later_s)
                error = await call
                assert error.reason is LinkErrorReason.LOST
                assert error.may_have_arrived
                assert host.pool.counters.stalled == 1
                assert await host.call(port=relay.port) == Pong()

        run(test())

    def test_a_timeout_without_a_byte_moves_the_next_call(self) -> None:
        """Call after call is lost on one silent link.

        The link is silent, each call has a timeout below the time that it
        takes to find the link lost, and the next is sent on it again.
        """

        async def test() -> None:
            async with hosts() as host, _Relay(host.server.port) as relay:
                assert await host.call(port=relay.port) == Pong()
                host.now_s += 1.0
                relay.forget()
                error = await host.call(SHORT_S, port=relay.port)
                assert error.reason is LinkErrorReason.TIMEOUT
                assert await host.call(port=relay.port) == Pong()

        run(test())

    def test_a_slow_call_outlives_many_pings(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                door = asyncio.Event()

                async def answer() -> Any:
                    await door.wait()
                    return Pong()

                host.answer = answer
                call = asyncio.ensure_future(host.call())
                await host.has_seen(1)
                for number in range(1, 6):
                    host.now_s += QUIET.ping_after_s
                    host.pool.sweep(host.now_s)
                    await _carried(host, "Pong", number)
                door.set()
                assert await call == Pong()
                assert host.pool.counters.stalled == 0

        run(test())

    def test_idle_links_close_on_both_sides(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                await host.call()
                host.pool.sweep(host.now_s + QUIET.idle_s)
                await until(lambda: host.pool.open_links == 0)
                await until(lambda: host.server.peers == ())
                assert await host.call() == Pong()

        run(test())

    def test_a_link_whose_dialler_vanished_is_closed(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                await host.call()
                host.server.sweep(host.now_s + QUIET.accepted_idle_s)
                await until(lambda: host.server.peers == ())

        run(test())


async def _carried(host: Host, kind: str, number: int) -> None:
    def carried() -> bool:
        kinds = {t.kind: t for t in host.pool.counters.traffic()}
        traffic = kinds.get(kind, KindTraffic(kind))
        return traffic.sent_messages + traffic.received_messages == number

    await until(carried)
