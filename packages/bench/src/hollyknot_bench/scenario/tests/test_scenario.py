"""Tests that the scenario is deterministic and separates the policies."""

import attrs
import pytest

from hollyknot_bench.scenario import Policy, Scenario, measure, play, to_json
from hollyknot_bench.scenario._clock import VirtualClock
from hollyknot_bench.scenario._upstream import Job, Upstream

_SMALL = Scenario(horizon_s=160.0, burst_start_s=40.0, burst_end_s=100.0)


def _figures(policy: Policy, seed: int) -> str:
    run = play(_SMALL, policy, seed)
    return to_json(seed, (measure(_SMALL, policy.value, run),))


class TestDeterminism:
    """Tests that a seed determines a run."""

    @pytest.mark.parametrize("policy", list(Policy))
    def test_same_seed_same_figures(self, policy: Policy) -> None:
        assert _figures(policy, 3) == _figures(policy, 3)

    def test_another_seed_other_figures(self) -> None:
        assert _figures(Policy.NAIVE, 3) != _figures(Policy.NAIVE, 4)


class TestPolicies:
    """Tests of differences between policies that must hold on any seed."""

    def test_rules_hold_on_the_policy_and_not_on_the_baseline(self) -> None:
        own = measure(_SMALL, "", play(_SMALL, Policy.HOLLYKNOT, 5))
        naive = measure(_SMALL, "", play(_SMALL, Policy.NAIVE, 5))
        assert own.violations == {}
        assert "tier-order" in naive.violations
        assert own.classes[0].attainment > naive.classes[0].attainment
        assert own.classes[-1].goodput > naive.classes[-1].goodput

    def test_pressure_of_peers_holds_tier_3_back(self) -> None:
        """Guards against tier 3 starting on a host while others refuse tier 1.

        The load balancer sends overnight work to host 0 and the burst to hosts
        1 and 2. A host 0 that knows only its own queue reuses each slot that
        its own work frees.
        """
        # Short overnight requests, so that many start within the burst.
        overnight = attrs.evolve(_SMALL.classes[-1], tokens_median=60, rate=2.0)
        classes = (*_SMALL.classes[:-1], overnight)
        scenario = attrs.evolve(_SMALL, classes=classes)
        rates = []
        for policy in (Policy.HOLLYKNOT, Policy.NO_SIGNALS):
            got = measure(scenario, "", play(scenario, policy, 5))
            rates.append(got.lower_starts_while_shed / got.seconds_while_shed)
        assert rates[0] < rates[1] / 2


class TestUpstream:
    """Tests of the engine model."""

    @pytest.mark.parametrize(
        ("tokens", "ends"),
        [
            ((10.0,), [1.0]),
            ((10.0, 10.0), [2.0, 2.0]),
            ((5.0, 10.0), [1.0, 1.5]),
            ((10.0, 10.0, 10.0), [2.0, 2.0, 3.0]),
        ],
    )
    def test_ends(self, tokens: tuple[float, ...], ends: list[float]) -> None:
        """Uses two slots; in a batch of two each job has half the rate."""
        clock = VirtualClock()
        upstream = Upstream(clock, 2, 10.0, 1.0)
        ended: list[float] = []
        for count in tokens:
            upstream.submit(
                Job(
                    0.0,
                    count,
                    lambda: None,
                    lambda: None,
                    lambda: ended.append(clock.now_s),
                )
            )
        clock.run(100.0)
        assert ended == pytest.approx(ends)
        assert upstream.free_slots == 2
