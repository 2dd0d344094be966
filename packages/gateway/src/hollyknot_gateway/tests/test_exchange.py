"""Tests of receiving the answer to a try."""

import asyncio
from typing import Any, cast

import attrs

from hollyknot_gateway._exchange import (
    MAX_BUFFERED_BYTES,
    Exchange,
    StreamState,
)
from hollyknot_gateway._upstream_connection import Head
from hollyknot_gateway.tests._dialects import sealed_dialect


@attrs.define
class _Connection:
    """An upstream's connection that can be paused."""

    keeps_s: float = 0.0
    is_paused: bool = False

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False


@attrs.define
class _LeavingCaller:
    """A reply to a caller that reads slowly and then leaves."""

    has_begun: bool = False
    is_slow: bool = True
    left: asyncio.Event = attrs.Factory(asyncio.Event)

    def start(self, *_: object) -> None:
        self.has_begun = True

    def note_buffered(self, *_: object) -> None:
        """Counts nothing."""

    async def drained(self) -> None:
        await self.left.wait()
        raise ConnectionResetError


class TestSlowCallers:
    """Answers that callers read more slowly than upstreams write them."""

    def test_reading_goes_on_after_a_slow_caller_has_left(self) -> None:
        """Guards against calls that count as in flight until their deadline."""

        async def main() -> None:
            connection, caller = _Connection(), _LeavingCaller()
            exchange = Exchange(
                sealed_dialect(is_event_stream=False),
                "",
                cast(Any, caller),
                StreamState(),
                cast(Any, connection),
                asyncio.get_running_loop().time,
                lambda: None,
                lambda _: None,
                lambda *_: None,
            )
            exchange.on_head(Head(200, (), {}, should_close=False))
            exchange.on_data(bytes(MAX_BUFFERED_BYTES + 1))
            assert connection.is_paused
            caller.left.set()
            await asyncio.sleep(0.01)
            assert not connection.is_paused

        asyncio.run(main())
