"""Tests of reading a document, on a clock that the tests advance."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import attrs

from hollyknot_gateway._fetch import (
    LONGEST_GAP_S,
    LONGEST_READ_S,
    Document,
    FetchFailure,
    fetch,
)
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._upstream_connection import Head, Receiver
from hollyknot_state import Address

_HEAD = Head(200, (), {}, should_close=False)
_TIMEOUT_S = 0.8


@attrs.define
class _Server:
    """A pool and its only connection, on which the test answers."""

    receiver: Receiver | None = None
    is_reusable: bool = True
    abandoned: int = 0
    offset_s: float = 0.0

    async def acquire(self, *_: object) -> "_Server":
        return self

    def release(self, *_: object) -> None:
        return

    def send(self, _: bytes, receiver: Receiver, *, is_head: bool) -> None:
        assert not is_head
        self.receiver = receiver

    def abandon(self) -> None:
        self.abandoned += 1

    async def wait(self, seconds: float) -> None:
        """Advances the clock and lets due timers run."""
        self.offset_s += seconds
        for _ in range(5):
            await asyncio.sleep(0)


def _read(
    answer: Callable[[_Server, Receiver], Awaitable[None]],
) -> tuple[Document | FetchFailure, _Server]:
    async def main() -> tuple[Document | FetchFailure, _Server]:
        server = _Server()
        loop = asyncio.get_running_loop()
        clock = loop.time
        cast(Any, loop).time = lambda: clock() + server.offset_s
        reading = asyncio.create_task(
            fetch(
                cast(Pool, server),
                "store",
                Address("127.0.0.1", 1),
                "/x",
                _TIMEOUT_S,
            )
        )
        await server.wait(0.0)
        assert server.receiver is not None
        await answer(server, server.receiver)
        return await reading, server

    return asyncio.run(main())


class TestFetch:
    """Tests of answers that arrive late, slowly or never."""

    def test_reads_slow_answer_while_parts_arrive(self) -> None:
        """Guards against large documents that are never read on a slow link.

        Parts arrive every half second, for longer in total than the time-out.
        The time-out must apply to the first part, not to the whole answer.
        """

        async def answer(server: _Server, receiver: Receiver) -> None:
            receiver.on_head(_HEAD)
            for _ in range(4):
                await server.wait(_TIMEOUT_S * 0.6)
                receiver.on_data(b"part ")
            receiver.on_end()

        found, _ = _read(answer)
        assert found == Document(200, b"part " * 4)

    def test_times_out_when_answer_falls_silent(self) -> None:
        async def answer(server: _Server, receiver: Receiver) -> None:
            receiver.on_head(_HEAD)
            server.is_reusable = False
            await server.wait(LONGEST_GAP_S * 1.1)

        found, server = _read(answer)
        assert found is FetchFailure.TIMEOUT
        assert server.abandoned == 1

    def test_late_answer_has_full_read_time(self) -> None:
        """Guards against large versions lost at the end of a long watch.

        An answer begins just before its time-out, and its parts arrive for
        seconds more. The limit for the whole answer must count from the first
        part, not from the request.
        """

        async def answer(server: _Server, receiver: Receiver) -> None:
            await server.wait(_TIMEOUT_S * 0.9)
            receiver.on_head(_HEAD)
            for _ in range(4):
                await server.wait(LONGEST_READ_S / 5)
                receiver.on_data(b"part ")
            receiver.on_end()

        found, _ = _read(answer)
        assert found == Document(200, b"part " * 4)

    def test_times_out_on_endless_answer(self) -> None:
        async def answer(server: _Server, receiver: Receiver) -> None:
            receiver.on_head(_HEAD)
            for _ in range(int(LONGEST_READ_S / (_TIMEOUT_S / 2)) + 2):
                await server.wait(_TIMEOUT_S / 2)
                receiver.on_data(b"more")

        found, _ = _read(answer)
        assert found is FetchFailure.TIMEOUT
