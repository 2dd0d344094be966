"""Tests of telling crashes from lost answers."""

import asyncio
import os
from collections.abc import Awaitable, Callable

from hollyknot_coordination.forwarding import Reachability, _silence_detector
from hollyknot_coordination.suspects import (
    Clear,
    SuspectOptions,
    SuspectRegister,
)
from hollyknot_gateway import _losses
from hollyknot_gateway._log import Log
from hollyknot_gateway._losses import Losses
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._prober import Prober
from hollyknot_state import Address, Outcome, Reason, Verdict
from hollyknot_state.routes import UpstreamEntry

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
GOOD = Verdict(Outcome.COMPLETE)
FINGERPRINT = 7


class _Parts:
    """The parts of one host that judge losses."""

    def __init__(self, port: int, *, is_cut: bool) -> None:
        clock = asyncio.get_running_loop().time
        log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        self.suspects = SuspectRegister(SuspectOptions())
        self.pool = Pool(clock)
        self.prober = Prober(
            self.pool,
            Reachability(),
            lambda *_: None,
            lambda _: None,
            log,
            clock,
        )
        self.losses = Losses(
            self.suspects, self.prober, lambda _: is_cut, log, clock
        )
        self.entry = UpstreamEntry(
            "i-1", "s", Address("127.0.0.1", port), "north", 8
        )

    async def lose(self) -> None:
        """Loses a request and waits for the judgement."""
        self.suspects.on_dispatch(FINGERPRINT, "i-1")
        self.losses.ended(self.entry, FINGERPRINT, LOST)
        await self.losses.judged()

    @property
    def is_suspect(self) -> bool:
        """Whether the request is suspected."""
        return self.suspects.is_suspect(FINGERPRINT)


async def _free_port() -> int:
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def _run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


class TestLosses:
    """A refused connection tells a crash, but not in a cut."""

    def test_a_crash_makes_a_suspect(self) -> None:
        async def test() -> None:
            parts = _Parts(await _free_port(), is_cut=False)
            await parts.lose()
            assert parts.is_suspect

        _run(test)

    def test_a_lost_answer_does_not(self) -> None:
        """An innocent request is refused for an hour.

        Sequence: answers are reset on their way, one request loses two.
        Cause: each loss was taken for a crash of the upstream.
        """

        async def test() -> None:
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port: int = server.sockets[0].getsockname()[1]
            parts = _Parts(port, is_cut=False)
            await parts.lose()
            assert not parts.is_suspect
            gate = parts.suspects.gate(FINGERPRINT, 0.0)
            assert isinstance(gate, Clear)
            parts.pool.close()
            server.close()

        _run(test)

    def test_a_cut_that_refuses_does_not(self) -> None:
        """All requests of a data centre are refused after a cut.

        Sequence: the network resets what crosses a cut, new connections too;
        many requests were in flight. Cause: the refused connections were
        taken for crashes of all upstreams behind the cut.
        """

        async def test() -> None:
            parts = _Parts(await _free_port(), is_cut=True)
            await parts.lose()
            assert not parts.is_suspect

        _run(test)

    def test_the_wait_for_a_cut_is_longer_than_its_signs_take(self) -> None:
        assert _losses.JUDGE_S >= 2 * _silence_detector.MIN_SILENCE_S
