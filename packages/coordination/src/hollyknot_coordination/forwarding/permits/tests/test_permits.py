"""Tests of the rate of requests that all hosts together send to an upstream."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_coordination.forwarding.permits.tests._permit_network import (
    ENTRY,
    WINDOW_S,
    Network,
)

CONTACT_S = 3.0
"""Seconds after a limit was first named until hosts must keep to it."""

LEAST_USED = 0.6
"""Fraction of a limit that must be used while the demand is higher."""

LONG_S = 60.0
"""Seconds of virtual time of the long runs."""

SEEDS = range(3)
LARGE = (2500, 400)
"""Number of hosts, and of the peers that each knows."""

SIZES = [(8, None), (83, None), LARGE]
RATES = [0.3, 1.2, 30.0]
CASES = [
    (*size, rate, seed)
    for size in SIZES
    for rate in RATES
    for seed in (SEEDS if size is not LARGE else [0])
]


def _most(rate: float) -> int:
    """Returns the most requests that a limit tolerates within `WINDOW_S`."""
    return int(1.5 * rate * WINDOW_S + 5)


class TestLimit:
    """All hosts together keep to a limit, and use most of it."""

    @pytest.mark.parametrize(("count", "sees", "rate", "seed"), CASES)
    def test_demand_above_the_limit(
        self, count: int, sees: int | None, rate: float, seed: int
    ) -> None:
        """Guards against hosts that each use the whole limit by themselves."""
        network = Network(count, seed, sees)
        network.begin_reports()
        network.name(rate)
        network.run(LONG_S, wanted=3 * rate + 5)
        assert network.busiest_window() <= _most(rate)
        assert network.got() >= LEAST_USED * rate * LONG_S

    @pytest.mark.parametrize(("count", "sees"), SIZES)
    def test_a_burst_after_little_demand(
        self, count: int, sees: int | None
    ) -> None:
        """Guards against a burst of permits that each host has saved up."""
        network = Network(count, 1, sees)
        network.begin_reports()
        network.name(1.2)
        network.run(1.0, wanted=100.0)
        network.run(20.0, wanted=0.01)
        network.run(10.0, wanted=100.0)
        assert network.busiest_window() <= _most(1.2)

    @pytest.mark.parametrize(("count", "sees"), SIZES)
    def test_only_one_host_observed_the_limit(
        self, count: int, sees: int | None
    ) -> None:
        """Guards against hosts that learn limits only from their answers."""
        network = Network(count, 1, sees)
        network.begin_reports()
        network.name(1.2, network.hosts[:1])
        network.run(CONTACT_S, wanted=5.0)
        network.run(LONG_S, wanted=5.0)
        assert network.busiest_window(CONTACT_S) <= _most(1.2)
        assert network.got(CONTACT_S) >= LEAST_USED * 1.2 * LONG_S


class TestChanges:
    """The newest limit of an upstream counts at all hosts."""

    @pytest.mark.parametrize(("count", "sees"), SIZES)
    def test_lowered(self, count: int, sees: int | None) -> None:
        network = Network(count, 1, sees)
        network.begin_reports()
        network.name(20.0)
        network.run(10.0, wanted=60.0)
        network.name(2.0, network.hosts[:1])
        network.run(CONTACT_S, wanted=60.0)
        since_s = network.now_s
        network.run(20.0, wanted=60.0)
        assert network.busiest_window(since_s) <= _most(2.0)

    @pytest.mark.parametrize(("count", "sees"), SIZES)
    def test_raised(self, count: int, sees: int | None) -> None:
        network = Network(count, 1, sees)
        network.begin_reports()
        network.name(2.0)
        network.run(10.0, wanted=60.0)
        network.name(20.0, network.hosts[:1])
        network.run(CONTACT_S, wanted=60.0)
        since_s = network.now_s
        network.run(20.0, wanted=60.0)
        assert network.busiest_window(since_s) <= _most(20.0)
        assert network.got(since_s) >= LEAST_USED * 20.0 * 20.0

    @pytest.mark.parametrize(("count", "sees"), SIZES)
    def test_withdrawn(self, count: int, sees: int | None) -> None:
        network = Network(count, 1, sees)
        network.begin_reports()
        network.name(1.2)
        network.run(10.0, wanted=20.0)
        network.name(None, network.hosts[:1])
        network.run(2 * CONTACT_S, wanted=20.0)
        assert not any(host.permits.is_limited(ENTRY) for host in network.hosts)

    def test_a_limit_of_zero_is_tried_now_and_then(self) -> None:
        """Guards against a limit of zero whose withdrawal is never observed.

        Only answers show it, so a few requests must be sent.
        """
        network = Network(8, 1)
        network.name(0.0)
        network.run(LONG_S, wanted=20.0)
        assert 1 <= network.got() <= LONG_S / 5


class TestFaults:
    """The limit holds while hosts are cut off, killed, restarted or frozen."""

    @pytest.mark.parametrize("count", [8, 83])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_network_partition(self, count: int, seed: int) -> None:
        """Guards against the use of the whole limit on each side."""
        network = Network(count, seed)
        network.name(1.2)
        network.run(20.0, wanted=10.0)
        for host in network.hosts[: count // 2]:
            host.side = 1
        network.run(5.0, wanted=10.0)
        network.refresh_peers()
        since_s = network.now_s
        network.run(40.0, wanted=10.0)
        assert network.busiest_window() <= _most(1.2)
        assert network.got(since_s) >= LEAST_USED * 1.2 * 40.0

    @pytest.mark.parametrize("count", [8, 83])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_issuer_is_killed(self, count: int, seed: int) -> None:
        """Guards against permits that end with the loss of their issuer."""
        network = Network(count, seed)
        network.name(1.2)
        network.run(20.0, wanted=10.0)
        network.issuer().is_up = False
        network.run(20.0, wanted=10.0)
        network.refresh_peers()
        network.run(20.0, wanted=10.0)
        assert network.busiest_window() <= _most(1.2)
        assert network.got(20.0) >= LEAST_USED * 1.2 * 40.0

    @pytest.mark.parametrize("count", [8, 83])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_issuers_are_restarted_in_turn(self, count: int, seed: int) -> None:
        """Guards against a restarted issuer that acts as the only one."""
        network = Network(count, seed)
        network.begin_reports()
        network.name(1.2)
        for _ in range(8):
            network.run(8.0, wanted=10.0)
            network.restart(network.issuer())
        assert network.busiest_window() <= _most(1.2)
        assert network.got() >= LEAST_USED * 1.2 * 64.0

    @pytest.mark.parametrize("count", [8, 83])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_issuer_freezes(self, count: int, seed: int) -> None:
        """Guards against permits issued twice by a host that was frozen."""
        network = Network(count, seed)
        network.begin_reports()
        network.name(1.2)
        for _ in range(4):
            network.run(8.0, wanted=10.0)
            network.issuer().frozen_until_s = network.now_s + 4.0
            network.run(8.0, wanted=10.0)
        assert network.busiest_window() <= _most(1.2)
        assert network.got() >= LEAST_USED * 1.2 * 64.0

    @pytest.mark.parametrize("count", [8, 83])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_messages_are_lost(self, count: int, seed: int) -> None:
        """Guards against several issuers at once where answers are lost."""
        network = Network(count, seed)
        network.loss_rate = 0.05
        network.name(1.2)
        network.run(LONG_S, wanted=20.0)
        assert network.busiest_window() <= _most(1.2)
        assert network.got() >= LEAST_USED * 1.2 * LONG_S


_FAULTS = ["restart", "kill", "freeze", "cut", "heal", "lose", "refresh"]
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(_FAULTS),
        st.sampled_from([0.5, 2.0, 6.0]),
        st.integers(0, 7),
    ),
    max_size=12,
)


def _inject(network: Network, fault: str, number: int) -> None:
    """Injects one fault; an odd number chooses the issuer as its host."""
    host = network.issuer() if number % 2 else network.hosts[number]
    if fault == "restart":
        network.restart(host)
    elif fault == "kill" and sum(h.is_up for h in network.hosts) > 3:
        host.is_up = False
    elif fault == "freeze":
        host.frozen_until_s = network.now_s + 1.0 + number
    elif fault == "cut":
        for other in network.hosts[: number + 1]:
            other.side = 1
    elif fault == "heal":
        for other in network.hosts:
            other.side = 0
    elif fault == "lose":
        network.loss_rate = number / 100
    elif fault == "refresh":
        network.refresh_peers()


class TestAnyFaults:
    """The limit holds under any sequence of faults."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_STEPS, st.sampled_from(RATES), st.integers(0, 1000))
    def test_any_sequence(
        self, steps: list[tuple[str, float, int]], rate: float, seed: int
    ) -> None:
        """Guards against more than two issuers at the same time."""
        network = Network(8, seed)
        network.begin_reports()
        network.name(rate)
        network.run(4.0, wanted=3 * rate + 2)
        for fault, seconds, number in steps:
            _inject(network, fault, number)
            network.run(seconds, wanted=3 * rate + 2)
        assert network.busiest_window() <= _most(rate)


class TestIssuersInSequence:
    """The limit holds while issuers replace each other in quick succession."""

    def test_three_issuers_within_one_window(self) -> None:
        """Guards against excess requests after a partition and a restart."""
        rate = 30.0
        network = Network(8, 1)
        network.begin_reports()
        network.name(rate)
        network.run(4.0, wanted=3 * rate + 2)
        for fault, seconds, number in [
            ("cut", 0.5, 2),
            ("restart", 6.0, 0),
            ("lose", 6.0, 1),
        ]:
            _inject(network, fault, number)
            network.run(seconds, wanted=3 * rate + 2)
        assert network.busiest_window() <= _most(rate)

    @pytest.mark.parametrize("seed", [17, 20, 28, 32, 52, 53])
    def test_the_same_with_other_random_choices(self, seed: int) -> None:
        """Guards against two sides that each issue the whole limit."""
        network = Network(8, seed)
        network.begin_reports()
        network.name(30.0)
        network.run(4.0, wanted=92.0)
        _inject(network, "cut", 2)
        network.run(0.5, wanted=92.0)
        network.restart(network.hosts[0])
        network.run(6.0, wanted=92.0)
        network.loss_rate = 0.01
        network.run(6.0, wanted=92.0)
        assert network.busiest_window() <= _most(30.0)
