"""Tests that evidence of losses leaves room for the regular reports."""

import asyncio
import random

import pytest

from hollyknot_coordination.suspects import RequestIdentity
from hollyknot_gateway.tests._neighbour_network import Network, address
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Outcome, Reason, Verdict

HOSTS = 8
UPSTREAMS = 9
LOSSES = 12
"""Requests that a host loses at each upstream when its paths are cut."""

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
KNOWN_S = 8.0
WATCHED_S = 4.0
ROUND_S = 0.1
BUSY_UPSTREAMS = 12
CRASHES = 25
CRASH_INTERVAL_S = 0.4
AFTERWARDS_S = 15.0
INTRODUCTION_S = 3.0
"""Seconds in which a host that has just started has to know its peers."""


class TestLossesAndReports:
    """Tests of reports beside the losses of hosts that are cut off."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_no_data_centre_falls_silent_because_of_losses(
        self, seed: int
    ) -> None:
        """Guards against news of losses that use up the bytes of reports."""

        async def main() -> set[tuple[int, str]]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            lose_requests(network, random.Random(seed))
            silent: set[tuple[int, str]] = set()
            for _ in range(round(WATCHED_S / ROUND_S)):
                await asyncio.sleep(ROUND_S)
                for number, host in enumerate(network.hosts):
                    silent |= {(number, dc) for dc in host.partitions._silent}
            network.stop()
            return silent

        assert run_virtually(main()) == set()

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_crashes_in_a_row_do_not_part_hosts(self, seed: int) -> None:
        """Guards against reports that become rare and then stop."""

        async def main() -> int:
            network = Network(HOSTS, seed, is_busy=False)
            _load(network)
            network.start()
            await asyncio.sleep(KNOWN_S)
            rng = random.Random(seed)
            fewest = HOSTS
            for number in range(CRASHES):
                _crash(network, f"upstream-{number}", rng)
                await asyncio.sleep(CRASH_INTERVAL_S)
            for _ in range(round(AFTERWARDS_S / ROUND_S)):
                await asyncio.sleep(ROUND_S)
                counts = [host.neighbours.count for host in network.hosts]
                fewest = min(fewest, *counts)
            network.stop()
            return fewest

        assert run_virtually(main()) == HOSTS - 1

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_started_host_meets_its_peers_beside_losses(
        self, seed: int
    ) -> None:
        """Guards against hosts that have no bytes left for introductions."""

        async def main() -> tuple[int, list[int]]:
            network = Network(HOSTS, seed, is_busy=True)
            _load(network)
            network.start()
            await asyncio.sleep(KNOWN_S)
            rng = random.Random(seed)
            for number in range(CRASHES):
                _crash(network, f"upstream-{number}", rng)
                await asyncio.sleep(CRASH_INTERVAL_S)
                if number == CRASHES // 2:
                    network.end(0)
            started = network.restart(0)
            _crash(network, "upstream-last", rng)
            await asyncio.sleep(INTRODUCTION_S)
            network.stop()
            incarnation = started.neighbours.incarnation
            knowing = [
                host.neighbours.host_of(incarnation, address(0).ip)
                for host in network.hosts[1:]
            ]
            return started.neighbours.count, [len(name) for name in knowing]

        count, names = run_virtually(main())
        assert count == HOSTS - 1
        assert all(names)


def _load(network: Network) -> None:
    """Has all hosts report work in flight at many upstreams."""
    for host in network.hosts:
        for number in range(BUSY_UPSTREAMS):
            host.neighbours._shared.loads.begin(f"busy-{number}", 500, 0)


def _crash(network: Network, upstream: str, rng: random.Random) -> None:
    """Has all hosts lose requests and parts of prompts at one upstream."""
    now_s = asyncio.get_running_loop().time()
    for host in network.hosts:
        lost = [
            RequestIdentity(rng.getrandbits(64), (rng.getrandbits(64),))
            for _ in range(LOSSES)
        ]
        for request in lost:
            host.all_suspects.on_dispatch(request, upstream)
        host.all_suspects.on_pending_loss(upstream, now_s)
        for request in lost:
            host.all_suspects.on_end(request, upstream, LOST, now_s)


def lose_requests(network: Network, rng: random.Random) -> None:
    """Has three hosts lose requests at all upstreams at once."""
    now_s = asyncio.get_running_loop().time()
    for host in network.hosts[:3]:
        for number in range(UPSTREAMS):
            upstream = f"upstream-{number}"
            lost = [rng.getrandbits(64) for _ in range(LOSSES)]
            for fingerprint in lost:
                host.suspects.on_dispatch(fingerprint, upstream)
            host.suspects.on_pending_loss(upstream, now_s)
            for fingerprint in lost:
                host.suspects.on_end(fingerprint, upstream, LOST, now_s)
