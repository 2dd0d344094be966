"""Tests that old words do no harm that waited while a host stood still."""

import asyncio

import pytest

from hollyknot_coordination.suspects import RequestIdentity
from hollyknot_gateway._standstills import DRAIN_S
from hollyknot_gateway.tests._neighbour_network import (
    BUFFERED,
    Host,
    Network,
    address,
)
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Outcome, Reason, Verdict

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
GOOD = Verdict(Outcome.COMPLETE)
REQUEST = RequestIdentity(7)
UPSTREAM = "upstream-1"
HOSTS = 8
FROZEN = HOSTS - 1
KNOWN_S = 8.0
FROZEN_S = 10.0
"""Seconds for which a host stands still, longer than losses of one upstream
count as one crash."""

TOLD_S = 3.0


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _lose(host: Host, upstream: str) -> None:
    """Has a host lose the request at an upstream."""
    host.all_suspects.on_dispatch(REQUEST, upstream)
    host.all_suspects.on_end(REQUEST, upstream, LOST, _now_s())


def _answer(host: Host) -> None:
    """Has a host get an answer to the request."""
    host.all_suspects.on_dispatch(REQUEST, "upstream-2")
    host.all_suspects.on_end(REQUEST, "upstream-2", GOOD, _now_s())


def _crashes(host: Host) -> int:
    """Returns how many crashes a host holds against the request."""
    return len(host.suspects._evidence.crashes(REQUEST.fingerprint))


class TestFrozenHost:
    """A host that goes on doesn't take what has waited for new."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_one_crash_is_not_counted_twice(self, seed: int) -> None:
        """Guards against refusing what was lost once, at all hosts."""

        async def main() -> list[int]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            network.freeze(FROZEN)
            _lose(network.hosts[0], UPSTREAM)
            await asyncio.sleep(FROZEN_S)
            await network.thaw(FROZEN)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [_crashes(host) for host in network.hosts]

        assert run_virtually(main()) == [1] * HOSTS

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_an_answered_request_is_not_suspected_again(
        self, seed: int
    ) -> None:
        """Guards against news of a loss that arrive as if it were new."""

        async def main() -> list[int]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            network.freeze(FROZEN)
            _lose(network.hosts[0], UPSTREAM)
            await asyncio.sleep(FROZEN_S / 2)
            _answer(network.hosts[1])
            await asyncio.sleep(FROZEN_S / 2)
            await network.thaw(FROZEN)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [_crashes(host) for host in network.hosts]

        assert run_virtually(main()) == [0] * HOSTS

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_withdrawn_limit_does_not_come_back(self, seed: int) -> None:
        """Guards against old limits that hosts take for the newest."""

        async def main() -> list[float | None]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            limits = network.hosts[0].limits
            limits.observe(UPSTREAM, 5.0, _now_s(), _now_s())
            await asyncio.sleep(TOLD_S)
            network.freeze(FROZEN)
            await asyncio.sleep(FROZEN_S / 2)
            limits.observe(UPSTREAM, None, _now_s(), _now_s())
            await asyncio.sleep(FROZEN_S / 2)
            await network.thaw(FROZEN)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [host.limits.rate(UPSTREAM) for host in network.hosts]

        assert run_virtually(main()) == [None] * HOSTS

    def test_it_learns_at_once_what_it_has_missed(self) -> None:
        """Guards against ignoring the answers to its own questions."""

        async def main() -> int:
            network = Network(HOSTS, 1, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            network.freeze(FROZEN)
            for _ in range(BUFFERED):
                network.send(address(0), address(FROZEN), b"")
            await asyncio.sleep(FROZEN_S / 2)
            _lose(network.hosts[0], UPSTREAM)
            await asyncio.sleep(FROZEN_S / 2)
            await network.thaw(FROZEN)
            await asyncio.sleep(DRAIN_S / 2)
            network.stop()
            return _crashes(network.hosts[FROZEN])

        assert run_virtually(main()) == 1
