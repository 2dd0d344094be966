"""Tests of the turns in which callers' input is parsed."""

import asyncio
import itertools
from typing import Any, cast

import attrs

from hollyknot_transport._input_turns import CallerInput, InputTurns

_DEAR = itertools.count(0.0, 1.0)
"""Each look at this clock finds a second of processor time spent."""


@attrs.define
class _Connection:
    """Stands for a handler and for a transport."""

    parsed: list[bytes] = attrs.Factory(list)
    is_reading: bool = True
    _reading_paused: bool = False
    _buffer_paused: bool = False

    def connection_made(self, _: Any) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        self.parsed.append(data)

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True


class TestInputTurns:
    """A crowd's dear input waits; that of others doesn't."""

    def test_dear_input_is_parsed_one_after_the_other(self) -> None:
        """Guards against a crowd of which each takes a part of the loop."""

        async def test() -> None:
            turns = InputTurns(lambda: next(_DEAR))
            buffer = memoryview(bytearray(b"ab"))
            crowd = [_Connection() for _ in range(9)]
            inputs = [CallerInput(cast(Any, c), turns, buffer) for c in crowd]
            for one, connection in zip(inputs, crowd, strict=True):
                one.connection_made(cast(Any, connection))
                one.buffer_updated(1)
                one.buffer_updated(2)
            assert all(c.parsed == [b"a"] for c in crowd)
            assert not any(c.is_reading for c in crowd)
            await asyncio.sleep(0)
            assert [len(c.parsed) for c in crowd] == [2] + [1] * 8
            assert crowd[0].is_reading
            fresh = _Connection()
            CallerInput(cast(Any, fresh), turns, buffer).buffer_updated(2)
            assert fresh.parsed == [b"ab"]
            while turns.waiting:
                await asyncio.sleep(0)
            assert all(c.parsed == [b"a", b"ab"] for c in crowd)

        asyncio.run(test())
