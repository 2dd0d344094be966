"""Tests that crashes are distinguished from other lost answers."""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NoReturn, cast

import attrs

from hollyknot_coordination.forwarding import Reachability
from hollyknot_coordination.forwarding.peers import _silence_detector
from hollyknot_coordination.suspects import (
    Clear,
    RequestIdentity,
    Suspects,
)
from hollyknot_gateway import _loss_classifier
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier, PartitionSigns
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._prober import Prober
from hollyknot_state import Address, Outcome, Reason, Verdict
from hollyknot_state.routes import UpstreamEntry

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
GOOD = Verdict(Outcome.COMPLETE)
FINGERPRINT = 7
REQUEST = RequestIdentity(FINGERPRINT)


@attrs.define
class _Clock:
    """A clock that stands still.

    Attributes:
        now_s: Its time in seconds.
    """

    now_s: float = 0.0

    def read(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


class _LossJudgement:
    """The parts of one host that decide on lost answers."""

    def __init__(self, port: int, sign: str = "") -> None:
        self.clock = _Clock()
        log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        self.others: list[UpstreamEntry] = []
        self.has_successor = False
        self.suspects = Suspects()
        self.pool = Pool(self.clock.read)
        self.prober = Prober(
            self.pool,
            Reachability(),
            lambda *_: None,
            lambda _: None,
            log,
            self.clock.read,
        )
        self.losses = LossClassifier(
            self.suspects,
            self.prober,
            PartitionSigns(
                lambda _: sign,
                lambda _: self.others,
                lambda _: self.has_successor,
            ),
            log,
            self.clock.read,
        )
        self.entry = _entry("i-1", port)

    async def lose_request(self) -> None:
        """Loses a request and waits for the verdict."""
        self.suspects.on_dispatch(REQUEST, "i-1")
        self.losses.on_try_end(self.entry, REQUEST, LOST)
        await self.losses.wait_until_judged()

    @property
    def is_suspect(self) -> bool:
        """Whether the request is a suspect."""
        return self.suspects.requests.is_suspect(FINGERPRINT)


def _entry(name: str, port: int) -> UpstreamEntry:
    return UpstreamEntry(name, "s", Address("127.0.0.1", port), "north", 8)


@contextlib.asynccontextmanager
async def _lost_at_reached_upstream() -> AsyncIterator[_LossJudgement]:
    """Loses a request at an upstream that listens."""
    async with contextlib.AsyncExitStack() as stack:
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        stack.callback(server.close)
        parts = _LossJudgement(server.sockets[0].getsockname()[1])
        stack.callback(parts.pool.close)
        await parts.lose_request()
        yield parts


async def _free_port() -> int:
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def _fail(_: UpstreamEntry) -> NoReturn:
    raise AssertionError("a bug")


def _run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


class TestLossClassifier:
    """A refused connection shows a crash, except in a network partition."""

    def test_crash_makes_request_suspect(self) -> None:
        async def test() -> None:
            parts = _LossJudgement(await _free_port())
            await parts.lose_request()
            assert parts.is_suspect

        _run(test)

    def test_reset_answer_makes_no_suspect(self) -> None:
        """Guards against refusing a harmless request for an hour.

        That happens if connection resets on the network path are taken for
        crashes and one request loses two answers to them.
        """

        async def test() -> None:
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port: int = server.sockets[0].getsockname()[1]
            parts = _LossJudgement(port)
            await parts.lose_request()
            assert not parts.is_suspect
            gate = parts.suspects.gate(REQUEST, 0.0)
            assert isinstance(gate, Clear)
            parts.pool.close()
            server.close()

        _run(test)

    def test_refusing_partition_makes_no_suspect(self) -> None:
        """Guards against refusing many harmless requests after a partition.

        A partition may reset all connections across it and refuse new ones
        while many requests are in flight. If the refusals are taken for
        crashes of all upstreams behind it, these requests become suspects.
        """

        async def test() -> None:
            parts = _LossJudgement(await _free_port(), sign="i-2")
            await parts.lose_request()
            assert not parts.is_suspect

        _run(test)

    def test_reached_neighbour_shows_a_crash_beside_another(self) -> None:
        """A request is acquitted for good if two upstreams crash together."""

        async def test() -> None:
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port: int = server.sockets[0].getsockname()[1]
            parts = _LossJudgement(await _free_port(), sign="i-2")
            parts.others = [_entry("i-3", port)]
            await parts.lose_request()
            assert parts.is_suspect
            parts.pool.close()
            server.close()

        _run(test)

    def test_unreachable_others_leave_a_loss_undecided(self) -> None:
        async def test() -> None:
            parts = _LossJudgement(await _free_port(), sign="i-2")
            parts.others = [_entry("i-3", await _free_port())]
            await parts.lose_request()
            assert not parts.is_suspect

        _run(test)

    def test_successor_shows_that_the_loss_was_a_crash(self) -> None:
        """A request is acquitted for good if a whole data centre crashes."""

        async def test() -> None:
            parts = _LossJudgement(await _free_port(), sign="silent")
            await parts.lose_request()
            parts.losses.settle()
            assert not parts.is_suspect
            parts.has_successor = True
            parts.losses.settle()
            assert parts.is_suspect

        _run(test)

    def test_successor_shows_that_a_reached_upstream_had_crashed(self) -> None:
        """Guards against upstreams that start again before they are probed."""

        async def test() -> None:
            async with _lost_at_reached_upstream() as parts:
                assert not parts.is_suspect
                parts.has_successor = True
                parts.losses.settle()
                assert parts.is_suspect

        _run(test)

    def test_upstream_replaced_long_after_a_reset_had_not_crashed(self) -> None:
        """Guards against blaming a reset request for a planned replacement."""

        async def test() -> None:
            async with _lost_at_reached_upstream() as parts:
                parts.clock.now_s += _loss_classifier.MAX_RESTART_S
                parts.losses.settle()
                parts.has_successor = True
                parts.losses.settle()
                assert not parts.is_suspect

        _run(test)

    def test_answer_shows_that_the_loss_was_no_crash(self) -> None:
        """A partition must not count as a crash when its upstream is replaced.

        The upstream answers after the partition and is replaced later, as
        planned.
        """

        async def test() -> None:
            parts = _LossJudgement(await _free_port(), sign="silent")
            await parts.lose_request()
            parts.suspects.on_dispatch(RequestIdentity(8), "i-1")
            parts.losses.on_try_end(parts.entry, RequestIdentity(8), GOOD)
            parts.has_successor = True
            parts.losses.settle()
            assert not parts.is_suspect

        _run(test)

    def test_answered_request_is_not_blamed_by_a_late_verdict(self) -> None:
        """A harmless request must not become a suspect after its answer."""

        async def test() -> None:
            parts = _LossJudgement(await _free_port(), sign="silent")
            await parts.lose_request()
            parts.suspects.on_dispatch(REQUEST, "i-3")
            other = _entry("i-3", 1)
            parts.losses.on_try_end(other, REQUEST, GOOD)
            parts.has_successor = True
            parts.losses.settle()
            assert not parts.is_suspect

        _run(test)

    def test_losses_are_judged_after_a_judgement_has_failed(self) -> None:
        """Guards against crashes that stay unnoticed at one upstream."""

        async def test() -> None:
            parts = _LossJudgement(await _free_port())
            cast(Any, parts.prober).check = _fail
            await parts.lose_request()
            del cast(Any, parts.prober).check
            assert not parts.is_suspect
            await parts.lose_request()
            assert parts.is_suspect

        _run(test)

    def test_verdict_waits_longer_than_partition_detection(self) -> None:
        assert (
            _loss_classifier.VERDICT_DELAY_S
            >= 2 * _silence_detector.MIN_SILENCE_S
        )
