"""Tests the request rate at cold upstreams, summed over independent hosts."""

import random
from collections import deque

import attrs
import pytest

from hollyknot_coordination.forwarding import ColdStarts, HostCount
from hollyknot_coordination.forwarding.peers._host_count import (
    DISCOVERY_S,
    PEAK_RETENTION_S,
)
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_coordination.forwarding.upstreams._cold_starts import (
    PERMIT_LIFETIME_S,
    RATE_FRACTION,
)
from hollyknot_state.routes import ColdStart, UpstreamEntry

COLD_START = ColdStart(rate=7.6, lasts_s=3.0)
MOST_IN_A_SECOND = 16
"""Requests that a cold upstream may get within any second: 1.5 times its rate,
plus 5."""

LONG_S = 30.0
_STEP_S = 0.01


def _cold(seconds: float) -> UpstreamEntry:
    return attrs.evolve(upstream("a"), cold_s=seconds)


def _host(
    seed: int, started_s: float = -60.0, *, is_alone: bool = False
) -> ColdStarts:
    size = HostCount(started_s, is_alone=is_alone)
    return ColdStarts(random.Random(seed), size, lambda _: COLD_START)


def _busiest_second(
    hosts: list[ColdStarts], until_s: float, asked_a_second: float = 50.0
) -> tuple[int, int]:
    """Lets all hosts send to a cold upstream whenever they may.

    Returns:
        Number of requests in the busiest second, and in total.
    """
    rng = random.Random(1)
    recent: deque[float] = deque()
    busiest = total = 0
    for step in range(int(until_s / _STEP_S)):
        now_s = step * _STEP_S
        for host in hosts:
            is_asked = rng.random() < asked_a_second * _STEP_S
            if is_asked and host.acquire("a", now_s):
                recent.append(now_s)
                total += 1
        while recent and recent[0] <= now_s - 1.0:
            recent.popleft()
        busiest = max(busiest, len(recent))
    return busiest, total


class TestColdStarts:
    """Keeps the sum over all hosts below the rate, but uses much of it."""

    @pytest.mark.parametrize("count", [1, 8, 83, 400])
    @pytest.mark.parametrize("seed", range(4))
    def test_sum_over_all_hosts_stays_below_the_rate(
        self, count: int, seed: int
    ) -> None:
        """An upstream that has just started crashes again and again.

        It is idle while others are busy, so that each host sends it requests,
        and no limit holds for the sum over hosts that share no state.
        """
        hosts = [
            _host(seed * 1000 + n, is_alone=count == 1) for n in range(count)
        ]
        for host in hosts:
            host.size.set(count, count, 0.0)
            host.note(_cold(LONG_S), 0.0)
        busiest, total = _busiest_second(hosts, LONG_S)
        assert busiest <= MOST_IN_A_SECOND
        assert total >= LONG_S * COLD_START.rate * RATE_FRACTION / 2

    def test_permits_are_not_saved_up(self) -> None:
        """A burst after an idle minute crashes an upstream that is still cold.

        It happens if each host keeps a permit that it did not use.
        """
        hosts = [_host(n) for n in range(200)]
        for host in hosts:
            host.size.set(len(hosts), len(hosts), 0.0)
            host.note(_cold(61.0), 0.0)
        at_once = sum(host.acquire("a", 60.0) for host in hosts)
        assert at_once <= MOST_IN_A_SECOND

    def test_a_host_that_knows_nobody_sends_nothing(self) -> None:
        """Hosts that restart at the same time crash a cold upstream.

        It happens if a host that knows no peer yet assumes that it is the only
        one.
        """
        host = _host(1, started_s=0.0)
        host.size.set(1, 1, 0.0)
        host.note(_cold(LONG_S), 0.0)
        assert not any(host.acquire("a", step * 0.1) for step in range(290))

    def test_a_host_that_is_alone_uses_the_rate(self) -> None:
        host = _host(1, is_alone=True)
        host.note(_cold(10.0), 0.0)
        _, total = _busiest_second([host], 10.0)
        assert total >= 10.0 * COLD_START.rate * RATE_FRACTION - 2

    def test_sends_nothing_until_the_host_count_is_known(self) -> None:
        host = _host(1, started_s=0.0)
        host.note(_cold(LONG_S), 0.0)
        host.size.set(2, 2, 0.1)
        assert not any(
            host.acquire("a", step * 0.1)
            for step in range(int(DISCOVERY_S * 10))
        )
        host.size.set(83, 83, DISCOVERY_S)
        _, total = _busiest_second([host], LONG_S)
        assert total <= 2

    def test_peers_that_are_cut_off_still_count(self) -> None:
        """Both sides of a partition send a cold upstream its whole rate.

        It happens if the rate is divided only by the hosts that still report,
        while the others still reach the same upstreams.
        """
        hosts = [_host(n) for n in range(80)]
        for host in hosts:
            host.size.set(80, 80, 0.0)
            host.size.set(4, 4, PEAK_RETENTION_S / 2)
            host.note(_cold(LONG_S), 0.0)
        busiest, _ = _busiest_second(hosts, LONG_S)
        assert busiest <= MOST_IN_A_SECOND

    def test_lost_hosts_stop_counting_after_the_retention(self) -> None:
        host = _host(1)
        host.size.set(80, 80, 0.0)
        host.size.set(4, 4, PEAK_RETENTION_S + 1)
        host.note(_cold(LONG_S), 0.0)
        _, total = _busiest_second([host], LONG_S)
        assert total >= LONG_S * COLD_START.rate * RATE_FRACTION / 4 / 2

    def test_suspected_upstream_counts_as_cold(self) -> None:
        host = _host(1)
        host.suspect(upstream("a"), 0.0)
        assert host.is_cold("a", COLD_START.lasts_s - 0.01)
        assert not host.is_cold("a", COLD_START.lasts_s)
        assert host.acquire("a", COLD_START.lasts_s)

    def test_later_entry_extends_but_never_shortens_it(self) -> None:
        host = _host(1)
        host.note(_cold(3.0), 0.0)
        host.note(_cold(1.0), 0.1)
        assert host.is_cold("a", 2.9)
        host.note(_cold(3.0), 2.0)
        assert host.is_cold("a", 4.9)

    def test_services_that_are_never_cold_are_not_held_back(self) -> None:
        size = HostCount(0.0, is_alone=False)
        host = ColdStarts(random.Random(1), size, lambda _: None)
        host.note(_cold(LONG_S), 0.0)
        host.suspect(upstream("a"), 0.0)
        assert host.blocked([upstream("a")], 0.0) == frozenset()

    def test_upstream_read_before_the_routes_counts_as_cold(
        self,
    ) -> None:
        """Hosts and upstreams that start together crash the upstreams.

        The rate of cold upstreams is in the routes, which a host may read
        after the entries. It happens if an upstream whose service is not known
        yet counts as warm.
        """
        services: dict[str, ColdStart] = {}
        size = HostCount(0.0, is_alone=False)
        host = ColdStarts(random.Random(1), size, services.get)
        host.note(_cold(3.0), 0.0)
        services["engines"] = COLD_START
        assert host.blocked([upstream("a")], 0.1) == {"a"}
        assert not host.acquire("a", 0.1)

    def test_upstream_with_a_permit_is_offered(self) -> None:
        """An upstream gets no requests until it is warm.

        A request considers only a few random upstreams, so that most permits
        lapse unless upstreams with a permit are always among them.
        """
        host = _host(1)
        host.size.set(8, 8, 0.0)
        entries = [upstream("a"), upstream("b")]
        host.note(_cold(LONG_S), 0.0)
        interval_s = 8 / (COLD_START.rate * RATE_FRACTION)
        steps = int((interval_s + PERMIT_LIFETIME_S) / _STEP_S)
        offered = [host.permitted(entries, n * _STEP_S) for n in range(steps)]
        assert [entries[0]] in offered
        assert [] in offered
        excluded = [host.blocked(entries, n * _STEP_S) for n in range(steps)]
        assert set(excluded) == {frozenset({"a"}), frozenset()}
