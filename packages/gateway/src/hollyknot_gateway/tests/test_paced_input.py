"""Tests of parsing received bytes in turns."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from hollyknot_gateway._paced_input import (
    MAX_HOLD_S,
    MAX_PAUSE_S,
    PAUSE_FACTOR,
    SLICE_BYTES,
    PacedInput,
)
from hollyknot_gateway.tests._virtual_time import run_virtually


@attrs.define
class _Connection:
    """A connection whose parser takes some time for each byte.

    Attributes:
        byte_s: Seconds of processor time for a byte.
        parsed: Slices that were parsed, in order.
        is_held: Whether reading is stopped.
        now_s: Processor time so far, in seconds.
        turns: Times of the event loop at which slices were parsed, in seconds.
    """

    byte_s: float
    parsed: list[bytes] = attrs.Factory(list)
    is_held: bool = False
    now_s: float = 0.0
    turns: list[float] = attrs.Factory(list)

    def parse(self, data: bytes) -> None:
        self.parsed.append(data)
        self.now_s += len(data) * self.byte_s
        self.turns.append(asyncio.get_running_loop().time())

    def hold(self) -> None:
        self.is_held = True

    def release(self) -> None:
        self.is_held = False

    def input(self) -> PacedInput:
        return PacedInput(
            self.parse, self.hold, self.release, lambda: self.now_s
        )


def _run(
    connection: _Connection, test: Callable[[PacedInput], Awaitable[None]]
) -> None:
    async def main() -> None:
        await test(connection.input())

    run_virtually(main())


DATA = bytes(range(256)) * 1024


class TestPacedInput:
    """Parses all bytes in order, in turns of bounded length."""

    def test_cheap_input_is_parsed_at_once(self) -> None:
        connection = _Connection(byte_s=1e-9)

        async def test(paced: PacedInput) -> None:
            paced.feed(DATA)
            assert b"".join(connection.parsed) == DATA
            assert not connection.is_held

        _run(connection, test)

    def test_dear_input_holds_the_loop_for_a_bounded_time(self) -> None:
        """Guards against one connection that stops all others."""
        slice_s = 0.001
        connection = _Connection(byte_s=slice_s / SLICE_BYTES)

        async def test(paced: PacedInput) -> None:
            paced.feed(DATA)
            assert connection.is_held
            assert paced.is_waiting
            await asyncio.sleep(10.0)
            assert b"".join(connection.parsed) == DATA
            assert not connection.is_held

        _run(connection, test)
        for turn in set(connection.turns):
            held_s = connection.turns.count(turn) * slice_s
            assert held_s < MAX_HOLD_S + slice_s
        total_s = connection.turns[-1] - connection.turns[0]
        assert total_s > (connection.now_s - MAX_HOLD_S) * PAUSE_FACTOR * 0.9

    def test_bytes_that_arrive_in_a_pause_are_parsed_after_it(self) -> None:
        """Guards against bytes of one answer in another order."""
        connection = _Connection(byte_s=1e-5)

        async def test(paced: PacedInput) -> None:
            paced.feed(DATA)
            paced.feed(b"more")
            await asyncio.sleep(MAX_PAUSE_S * 200)
            assert b"".join(connection.parsed) == DATA + b"more"

        _run(connection, test)

    def test_the_end_of_a_connection_parses_the_rest(self) -> None:
        """Guards against answers that lose their end with their connection."""
        connection = _Connection(byte_s=1e-5)

        async def test(paced: PacedInput) -> None:
            paced.feed(DATA)
            paced.finish()
            assert b"".join(connection.parsed) == DATA
            await asyncio.sleep(MAX_PAUSE_S * 200)
            assert b"".join(connection.parsed) == DATA

        _run(connection, test)

    def test_discarded_input_is_not_parsed(self) -> None:
        connection = _Connection(byte_s=1e-5)

        async def test(paced: PacedInput) -> None:
            paced.feed(DATA)
            count = len(connection.parsed)
            paced.clear()
            await asyncio.sleep(MAX_PAUSE_S * 200)
            assert len(connection.parsed) == count
            assert not paced.is_waiting

        _run(connection, test)

    def test_fast_input_leaves_turns_to_others(self) -> None:
        """Guards against a connection that is read over and over."""
        connection = _Connection(byte_s=1e-9)

        async def test(paced: PacedInput) -> None:
            reads = 0
            while not connection.is_held:
                paced.feed(DATA)
                reads += 1
                assert reads <= 2
            await asyncio.sleep(0.0)
            assert not connection.is_held

        _run(connection, test)
