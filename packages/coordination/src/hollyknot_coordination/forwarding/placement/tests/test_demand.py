"""Tests that a host knows the demand of all hosts."""

import pytest

from hollyknot_coordination.forwarding import Demand
from hollyknot_coordination.forwarding.placement._demand_samples import (
    FRESH_S,
    MIN_HOSTS,
)
from hollyknot_state import LaneDemand

HOSTS = 60
CALM = LaneDemand("engines", 20_000, 2_000, 4, 1)
BURST = LaneDemand("engines", 20_000, 6_000, 4, 5)


def _demand_with_reports() -> Demand:
    """Returns the demand as old reports of all other hosts tell it."""
    demand = Demand()
    demand.apply_reported([CALM] * (HOSTS - 1), 1.0, HOSTS)
    return demand


def _tight(demand: Demand, now_s: float) -> float:
    return demand.streams("engines", now_s, is_loose=False)


class TestDemandFromAnswers:
    """Answers tell a burst before reports do."""

    def test_burst_is_known_from_answers(self) -> None:
        """Guards against lanes that are sized for the load before a burst."""
        demand = _demand_with_reports()
        assert _tight(demand, 0.0) == pytest.approx(59)
        for host in range(2 * MIN_HOSTS):
            demand.apply_answered(host, [BURST], 0.1)
        assert _tight(demand, 0.1) == pytest.approx(5 * 59)
        loose_before = _demand_with_reports().share_of_loose("engines", 0.1)
        assert demand.share_of_loose("engines", 0.1) < loose_before

    def test_reports_count_while_few_hosts_have_answered(self) -> None:
        demand = _demand_with_reports()
        for host in range(MIN_HOSTS - 1):
            demand.apply_answered(host, [BURST], 0.1)
        assert _tight(demand, 0.1) == pytest.approx(59)

    def test_reports_count_again_after_answers_have_become_old(self) -> None:
        """Guards against a demand that outlives the loss of all trackers."""
        demand = _demand_with_reports()
        for host in range(MIN_HOSTS):
            demand.apply_answered(host, [BURST], 0.0)
        assert _tight(demand, FRESH_S) == pytest.approx(5 * 59)
        assert _tight(demand, FRESH_S + 0.1) == pytest.approx(59)

    def test_newest_answer_of_a_host_replaces_its_earlier_ones(self) -> None:
        demand = _demand_with_reports()
        for host in range(MIN_HOSTS):
            demand.apply_answered(host, [CALM], 0.0)
        for host in range(MIN_HOSTS):
            demand.apply_answered(host, [BURST], 0.1)
        assert _tight(demand, 0.1) == pytest.approx(5 * 59)

    def test_host_without_work_counts_as_idle(self) -> None:
        demand = _demand_with_reports()
        for host in range(MIN_HOSTS):
            demand.apply_answered(host, [BURST] if host % 2 else [], 0.0)
        assert _tight(demand, 0.0) == pytest.approx(2.5 * 59)
