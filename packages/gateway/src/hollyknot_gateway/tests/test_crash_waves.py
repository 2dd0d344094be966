"""Tests that requests that crash upstreams are stopped, and no others."""

import attrs
import pytest

from hollyknot_gateway.tests._crash_fleet import CrashFleet
from hollyknot_gateway.tests._crash_load import MAX_CRASHES, Load, Report
from hollyknot_gateway.tests._virtual_time import run_virtually

MAX_LATE_SENDS = 3
MAX_REFUSAL_S = 1.1
"""A second, which refused callers are told to wait, and the time to return."""

SEEDS = (1, 2, 3)

WAVES = {
    "alone": Load(),
    "six engines": Load(engines=6),
    "other crashes": Load(crash_interval_s=0.7),
    "six engines, other crashes": Load(engines=6, crash_interval_s=1.0),
    "fast restarts": Load(downtime_s=0.5),
    "restarts before the probe": Load(downtime_s=0.02),
    "partition": Load(cuts=((3.0, 4.0),)),
}
"""Loads in which two requests crash upstreams as fast as these come back."""

CROWDS = {
    "8 hosts": Load(
        engines=6, culprits=10, culprits_per_s=0.5, seconds=20.0, is_busy=True
    ),
    "83 hosts": Load(
        hosts=83,
        engines=60,
        culprits=30,
        culprits_per_s=1.0,
        seconds=10.0,
        rate=200.0,
        is_busy=True,
    ),
}
"""Loads with so many losses that the byte budget of news binds."""

ROLLS = {
    "8 hosts": Load(rolls=1, seconds=40.0, culprits_per_s=1.0),
    "8 hosts, twice": Load(rolls=2, seconds=40.0, culprits_per_s=1.0),
    "8 busy hosts, crowds of losses": Load(
        rolls=2,
        engines=6,
        culprits=6,
        culprits_per_s=0.5,
        seconds=40.0,
        is_busy=True,
    ),
    "half the hosts killed": Load(
        kills=((6.0, 0.5), (16.0, 0.5)), seconds=30.0
    ),
    "83 hosts": Load(
        hosts=83,
        engines=30,
        rolls=1,
        roll_gap_s=0.08,
        seconds=18.0,
        rate=30.0,
        culprits_per_s=1.0,
    ),
}
"""Loads beside which hosts are replaced by new processes."""

ROLL_SEEDS = (1, 2)

CROWD_SEEDS = (1, 2)

FAULTS = {
    "refusing partition": Load(culprits=0, cuts=((3.0, 4.0), (12.0, 1.0))),
    "crashed data centre": Load(culprits=0, ends=(3.0, 10.0)),
    "crashes": Load(culprits=0, crash_interval_s=0.7),
    "crashes, restarts before the probe": Load(
        culprits=0, crash_interval_s=0.7, downtime_s=0.02
    ),
}
"""Loads in which no request crashes upstreams."""


def _simulate(load: Load) -> Report:
    async def main() -> Report:
        return await CrashFleet(load).run()

    return run_virtually(main())


def _with_seed(load: Load, seed: int) -> Load:
    return attrs.evolve(load, seed=seed)


class TestCrashingRequests:
    """A request is stopped, however closely its crashes follow each other."""

    @pytest.mark.parametrize("name", WAVES)
    def test_crashes_in_one_data_centre_do_not_excuse_each_other(
        self, name: str
    ) -> None:
        """Pairs of crashes that acquit a request allow further crashes."""
        reports = {
            seed: _simulate(_with_seed(WAVES[name], seed)) for seed in SEEDS
        }
        assert all(len(r.crash_counts) == 2 for r in reports.values())
        late = {seed: r.late_counts for seed, r in reports.items()}
        worst = max(max(counts, default=0) for counts in late.values())
        assert worst <= MAX_LATE_SENDS, late

    @pytest.mark.parametrize("rate", [1.0, 3.0, 6.0])
    def test_requests_that_are_lost_together_do_not_absolve_each_other(
        self, rate: float
    ) -> None:
        """Blame that two requests share lets both crash further upstreams."""
        load = Load(culprits=1, culprits_per_s=rate, shared_crashes=8)
        late = {
            seed: max(_simulate(_with_seed(load, seed)).late_counts, default=0)
            for seed in SEEDS
        }
        assert max(late.values()) <= MAX_LATE_SENDS, late

    @pytest.mark.parametrize("name", CROWDS)
    def test_crowds_of_losses_do_not_keep_news_of_a_loss_back(
        self, name: str
    ) -> None:
        """Losses that are never told let a request go on crashing upstreams."""
        reports = {
            seed: _simulate(_with_seed(CROWDS[name], seed))
            for seed in CROWD_SEEDS
        }
        late = {
            seed: max(r.late_counts, default=0) for seed, r in reports.items()
        }
        assert max(late.values()) <= MAX_LATE_SENDS, late

    @pytest.mark.parametrize("name", ROLLS)
    def test_replaced_hosts_do_not_forget_what_crashed(self, name: str) -> None:
        """Evidence that ends with its hosts lets a request crash upstreams."""
        reports = {
            seed: _simulate(_with_seed(ROLLS[name], seed))
            for seed in ROLL_SEEDS
        }
        crashes = {seed: r.crash_counts for seed, r in reports.items()}
        late = {seed: r.late_counts for seed, r in reports.items()}
        assert all(crashes.values())
        worst = max(max(counts) for counts in crashes.values())
        assert worst <= MAX_CRASHES + MAX_LATE_SENDS, (crashes, late)


class TestInnocentRequests:
    """Requests that were only lost with others are hardly refused."""

    @pytest.mark.parametrize("name", FAULTS)
    def test_lost_requests_are_not_blamed_for_long(self, name: str) -> None:
        """Requests must not be refused for what a partition or crash lost."""
        refused_s = {
            seed: _simulate(_with_seed(FAULTS[name], seed)).longest_refusal_s
            for seed in SEEDS
        }
        assert max(refused_s.values()) <= MAX_REFUSAL_S, refused_s
