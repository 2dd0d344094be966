"""Tests that all hosts divide a service's upstreams alike."""

import random

import pytest

from hollyknot_coordination.forwarding import Demand, Lanes, LaneShares
from hollyknot_coordination.forwarding.placement._demand_samples import (
    MIN_HOSTS,
)
from hollyknot_coordination.forwarding.placement._lane_shares import (
    FRESH_S,
    MAX_AGE_S,
)
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_state import LaneDemand, LaneShare, short_name

POOL = [upstream(f"u{number:02}") for number in range(30)]
ROUND_S = 0.05


class _Host:
    """A host that sizes lanes, and pulls the sizes that others use."""

    def __init__(self, token: int, loose_tokens_s: int) -> None:
        self._told = LaneDemand("engines", loose_tokens_s, 9_000, 1, 1)
        self._demand = Demand()
        self._demand.apply_reported([], 1.0, hosts=20)
        self.shares = LaneShares(token)
        self.lanes = Lanes(self._demand, self.shares)

    def renew_samples(self, now_s: float) -> None:
        for host in range(MIN_HOSTS):
            self._demand.apply_answered(host, [self._told], now_s)

    def is_sizer(self, now_s: float) -> bool:
        told = self.shares.from_others("engines", now_s, can_size=True)
        return told is None

    def loose_count(self, now_s: float) -> int:
        # Each host's estimate differs, as its sample of hosts does.
        self.renew_samples(now_s)
        return len(self.lanes.of("engines", POOL, now_s, is_loose=True))


def _pull(hosts: list[_Host], rng: random.Random, now_s: float) -> None:
    """Lets each host ask one other host and place one request."""
    for host in hosts:
        told = rng.choice(hosts).shares.to_tell(now_s, only_news=False)
        host.shares.apply_told(told, now_s)
        host.loose_count(now_s)


def _play(hosts: list[_Host], rng: random.Random, rounds: range) -> set[int]:
    """Plays rounds of pulls and returns the sizes that hosts use at the end."""
    for number in rounds:
        _pull(hosts, rng, number * ROUND_S)
    return {host.loose_count(rounds.stop * ROUND_S) for host in hosts}


def _fleet(size: int) -> list[_Host]:
    return [_Host(token, 10_000 * (1 + token % 8)) for token in range(size)]


class TestLaneShares:
    """Hosts use the size that the sizer computes."""

    def test_hosts_agree_though_their_estimates_differ(self) -> None:
        """Guards against tight streams beside long prompts for disagreement.

        Hosts with different sizes take an upstream at the boundary for part of
        different lanes.
        """
        hosts = _fleet(20)
        assert len({host.loose_count(0.0) for host in hosts}) > 1
        assert len(_play(hosts, random.Random(1), range(20))) == 1

    def test_another_host_takes_over_if_the_sizer_is_lost(self) -> None:
        """Guards against lanes that keep their size after the sizer's loss."""
        hosts = _fleet(20)
        rng = random.Random(1)
        _play(hosts, rng, range(20))
        sizer = next(host for host in hosts if host.is_sizer(1.0))
        hosts.remove(sizer)
        last = int((1.0 + MAX_AGE_S) / ROUND_S) + 30
        assert len(_play(hosts, rng, range(20, last))) == 1
        sizers = [host for host in hosts if host.is_sizer(last * ROUND_S)]
        assert len(sizers) == 1

    def test_both_sides_of_a_partition_have_a_sizer(self) -> None:
        """Guards against a side that follows a sizer on the other side."""
        hosts = _fleet(20)
        rng = random.Random(1)
        _play(hosts, rng, range(20))
        last = int((1.0 + MAX_AGE_S) / ROUND_S) + 30
        for side in (hosts[:10], hosts[10:]):
            assert len(_play(side, rng, range(20, last))) == 1
            is_told = [not host.is_sizer(last * ROUND_S) for host in side]
            assert is_told.count(False) == 1

    @pytest.mark.parametrize(
        ("permille", "age_ms"), [(-1, 0), (1001, 0), (500, -1)]
    )
    def test_share_that_cannot_be_true_is_ignored(
        self, permille: int, age_ms: int
    ) -> None:
        """Guards against a size from the future, which would never be old."""
        shares = LaneShares(1)
        name = short_name("engines")
        told = [LaneShare(name, permille, 2**31 - 1, age_ms)]
        shares.apply_told(told, 0.0)
        assert shares.from_others("engines", 0.0, can_size=False) is None

    def test_services_that_are_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with each service ever named."""
        shares = LaneShares(1)
        for name in range(100):
            at_s = name * 2 * MAX_AGE_S
            shares.apply_told([LaneShare(name, 500, 1, 0)], at_s)
        assert len(shares._known) == 1

    def test_only_a_sizer_publishes(self) -> None:
        shares = LaneShares(1)
        shares.apply_told([LaneShare(short_name("engines"), 500, 0, 0)], 0.0)
        assert not shares.is_publishing(0.0)
        shares.publish("engines", 0.5, 0.0)
        assert shares.is_publishing(FRESH_S)
        assert not shares.is_publishing(FRESH_S + 0.1)

    def test_old_share_is_not_used(self) -> None:
        shares = LaneShares(1)
        name = short_name("engines")
        top_rank = 2**31 - 1
        shares.apply_told([LaneShare(name, 500, top_rank, 0)], 0.0)
        assert shares.from_others("engines", MAX_AGE_S, can_size=False) == 0.5
        assert not shares.from_others(
            "engines", MAX_AGE_S + 0.1, can_size=False
        )

    def test_host_that_knows_the_demand_takes_over_from_an_old_share(
        self,
    ) -> None:
        """Guards against lanes of the load before the sizer was lost."""
        shares = LaneShares(1)
        name = short_name("engines")
        shares.apply_told([LaneShare(name, 500, 2**31 - 1, 0)], 0.0)
        later_s = FRESH_S + 0.1
        assert shares.from_others("engines", FRESH_S, can_size=True) == 0.5
        assert shares.from_others("engines", later_s, can_size=True) is None
        assert shares.from_others("engines", later_s, can_size=False) == 0.5

    def test_older_or_lower_share_replaces_none(self) -> None:
        shares = LaneShares(1)
        name = short_name("engines")
        top_rank = 2**31 - 1
        shares.apply_told([LaneShare(name, 500, top_rank, 100)], 1.0)
        shares.apply_told([LaneShare(name, 300, top_rank, 200)], 1.0)
        shares.apply_told([LaneShare(name, 200, top_rank - 1, 0)], 1.0)
        assert shares.from_others("engines", 1.0, can_size=True) == 0.5

    def test_old_share_of_a_lost_sizer_replaces_no_fresh_one(self) -> None:
        """Guards against relays that bring back the size of a lost sizer."""
        shares = LaneShares(1)
        name = short_name("engines")
        shares.apply_told([LaneShare(name, 300, 7, 0)], 5.0)
        old_ms = int(FRESH_S * 1000) + 100
        shares.apply_told([LaneShare(name, 500, 2**31 - 1, old_ms)], 5.0)
        assert shares.from_others("engines", 5.0, can_size=True) == 0.3

    def test_host_of_a_high_rank_without_samples_uses_what_it_is_told(
        self,
    ) -> None:
        """Guards against a host that sizes lanes without knowing the demand."""
        shares = LaneShares(1)
        shares.apply_told([LaneShare(short_name("engines"), 500, 0, 0)], 0.0)
        lanes = Lanes(Demand(), shares)
        loose = lanes.of("engines", POOL, 0.0, is_loose=True)
        assert len(loose) == len(POOL) // 2
        assert lanes.sizes["engines"].is_told

    def test_sizer_without_requests_goes_on(self) -> None:
        """Guards against a size that is old since its sizer got no request."""
        host = _Host(1, 50_000)
        host.loose_count(0.0)
        host.renew_samples(MAX_AGE_S)
        host.lanes.refresh(MAX_AGE_S)
        told = host.shares.to_tell(MAX_AGE_S + 0.1, only_news=False)
        assert [share.age_ms for share in told] == [100]

    def test_host_without_samples_publishes_nothing(self) -> None:
        """Guards against a size that all use and that one host's load sets."""
        shares = LaneShares(1)
        lanes = Lanes(Demand(), shares)
        lanes.of("engines", POOL, 0.0, is_loose=True)
        assert not shares.to_tell(0.0, only_news=False)
